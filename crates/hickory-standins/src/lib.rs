//! Small stand-ins for the systems that hickorydoor talks to.
//!
//! Each stand-in serves its protocol on a loopback port chosen by the system, from `start()` until
//! its handle is dropped. Faults are set on the handle while it runs:
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
pub use server::Server;
pub use service::Service;
pub use service::ServiceCall;
pub use weight_store::WeightStore;
