//! The gateway role: sockets, timers and connections around the reducer of
//! [`hickorydoor::gateway`].
//!
//! All tasks run on one thread and share a [`Core`], which owns the reducer, passes it events and
//! hands its effects to the tasks of the requests. [`GatewayProcess`] opens the ports. An adapter
//! to a platform feeds the reducer with configuration, upstreams and other gateways through the
//! core, and carries out its writes.

mod answer;
mod answer_body;
mod boot_clock;
mod call_driver;
pub mod connection;
mod core;
mod front;
mod header_names;
mod log_writer;
mod metrics;
mod options;
mod peers;
mod process;
mod status_port;
mod upstream_request;

pub use boot_clock::BootClock;
pub use core::Core;
pub use header_names::HeaderNames;
pub use log_writer::start_log;
pub use options::GatewayOptions;
pub use process::GatewayProcess;
