//! Stand-ins for the external systems that hickorydoor talks to, for tests, benchmarks and
//! examples.
//!
//! A stand-in implements the protocol of its system in memory:
//!
//! - [`Kv`]: the key-value service that holds configuration, leases and bills
//! - [`Engine`]: a model engine with an OpenAI-compatible API
//! - [`Service`]: a plain service, one that is not a model engine
//! - [`RatingService`]: the service that rates answers
//! - [`HostList`]: the platform's list of hosts
//! - [`WeightStore`]: the store of model weights
//! - [`RawServer`]: any server that sends broken responses
//!
//! Each one serves HTTP on a loopback port chosen by the system, from `start()` until its handle is
//! dropped. The handle injects faults while the stand-in runs:
//!
//! ```
//! use hickory_standins::Engine;
//! use hickory_standins::EngineSettings;
//!
//! # #[tokio::main]
//! # async fn main() -> std::io::Result<()> {
//! let engine = Engine::start(EngineSettings::new(["brine-small-1"])).await?;
//! engine.update(|settings| settings.error_rate = 0.1);
//! engine.server().set_down(true).await?;
//! assert_eq!(engine.counts().completions, 0);
//! # Ok(())
//! # }
//! ```

mod engine;
mod engine_completion;
mod engine_settings;
mod engine_state;
mod host_list;
mod kv;
mod kv_faults;
mod kv_store;
mod kv_wire;
mod rating;
mod raw_server;
mod server;
mod service;
mod weight_store;

pub use engine::Engine;
pub use engine_settings::ColdStart;
pub use engine_settings::EngineSettings;
pub use engine_state::EngineCounts;
pub use host_list::Host;
pub use host_list::HostList;
pub use host_list::HostRole;
pub use host_list::HostState;
pub use kv::Kv;
pub use kv_faults::KvCounts;
pub use rating::RatingRequest;
pub use rating::RatingService;
pub use raw_server::RawEnd;
pub use raw_server::RawResponse;
pub use raw_server::RawServer;
pub use server::Server;
pub use service::Service;
pub use service::ServiceCall;
pub use weight_store::WeightStore;
