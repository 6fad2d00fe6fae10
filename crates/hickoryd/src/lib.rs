//! The hickorydoor daemon: sockets, timers and HTTP around the reducers of `hickorydoor`.
//!
//! A process runs one of two roles. An [`EntryProcess`] accepts callers over HTTP and routes their
//! requests to agents. An [`AgentProcess`] is the sidecar of one upstream and limits the requests
//! that the upstream receives. In each process, one task owns the reducer. Sockets, timers and HTTP
//! calls run in tasks of their own, which send events to the reducer and carry out its effects.
//!
//! [`Settings`] reads and checks the settings file, and [`run()`] runs the process that it
//! describes. The [`gateway`] module contains a third role, which a platform adapter embeds.

mod accept_queue;
mod agent_input;
mod agent_link;
mod agent_loop;
mod agent_process;
pub mod answer_text;
mod api_error;
pub mod body_collector;
mod caller_guard;
mod caller_response;
mod caller_table;
mod chat_body;
mod chat_event;
mod clock;
pub mod command_line;
mod completion_stream;
mod daemon;
mod engine;
mod entry_input;
mod entry_link;
mod entry_loop;
mod entry_process;
mod error_body;
mod event_splitter;
mod field_line;
mod flow_control;
pub mod gateway;
mod http_api;
mod http_client;
mod http_server;
mod kv_executor;
mod lingering_close;
mod link;
mod link_report;
mod link_table;
mod log_writer;
pub mod logging;
pub mod memory_hold;
pub mod memory_limits;
pub mod memory_pool;
mod metrics;
mod model_body;
mod operator_port;
mod operator_query;
mod panic_log;
mod platform;
pub mod port;
mod process;
mod raw_settings;
mod reducer_loop;
mod request_header;
mod request_log;
mod response_body;
mod response_builder;
mod response_header;
mod settings;
mod settings_error;
pub mod signals;
mod start_error;
mod status;
mod telemetry;
mod timings;
mod tls;
mod upstream_call;
mod upstream_connection;
mod upstream_notice;
mod write_timeout;

pub use agent_process::AgentOptions;
pub use agent_process::AgentProcess;
pub use daemon::run;
pub use entry_process::EntryOptions;
pub use entry_process::EntryProcess;
pub use http_server::HttpLimits;
pub use panic_log::log_panics;
pub use process::CommonOptions;
pub use settings::Role;
pub use settings::Settings;
pub use settings_error::FieldError;
pub use settings_error::SettingsError;
pub use start_error::StartError;
pub use tls::TlsError;
pub use tls::TlsFiles;
