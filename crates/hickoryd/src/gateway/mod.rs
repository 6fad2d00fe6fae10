//! The gateway role: sockets, timers and connections around the reducer of
//! [`hickorydoor::gateway`].
//!
//! All tasks run on one thread and share a [`Core`]. The core owns the reducer, applies events to
//! it and forwards its effects as directives to the task of each request. [`GatewayProcess`] opens
//! the ports and starts the tasks. An adapter to a platform supplies configuration, upstreams and
//! the addresses of other gateways through the core, and writes rollout records to the store.
//!
//! A call is one request of a caller with all its attempts at upstreams. `caller_port` reads
//! requests, `call_driver` runs one task for each request, `upstream_request` sends one attempt,
//! and `digest_exchange` exchanges load digests with the other gateways. [`maintain_view`] keeps
//! what the gateway knows from the store current, through `feed_client` and `feed_server` where a
//! few gateways watch the store for the others.

mod boot_clock;
mod call_driver;
mod caller_port;
pub mod connection;
mod connection_trace;
mod core;
mod digest_exchange;
mod event_log;
mod feed_client;
mod feed_server;
mod followers;
mod header_names;
mod metrics;
mod options;
mod port_phase;
mod process;
mod read_ahead;
mod response;
mod response_body;
mod status_port;
mod stream_pace;
pub mod upstream_request;
mod view_source;

pub use boot_clock::BootClock;
pub use core::AdapterEffects;
pub use core::Core;
pub use header_names::HeaderNames;
pub use options::GatewayOptions;
pub use process::GatewayProcess;
pub use response_body::ResponseBody;
pub use response_body::StreamPiece;
pub use view_source::ViewOptions;
pub use view_source::learn_view;
pub use view_source::maintain_view;
