//! The hickorydoor daemon: sockets, timers and HTTP around the reducers of `hickorydoor`.
//!
//! A process runs one of two roles. An [`EntryProcess`] accepts callers over HTTP and routes their
//! requests to agents. An [`AgentProcess`] is the sidecar of one upstream and limits the requests
//! that the upstream receives. In each process, one task owns the reducer. Sockets, timers and HTTP
//! calls run in tasks of their own, which send events to the reducer and carry out its effects.
//!
//! [`Settings`] reads and checks the settings file, and [`run()`] runs the process that it
//! describes. The [`gateway`] module contains a third role, which a platform adapter embeds.

mod agent_input;
mod agent_link;
mod agent_loop;
mod agent_process;
mod answer_response;
pub mod answer_text;
mod caller_answer;
mod caller_body;
mod caller_guard;
mod caller_table;
mod chat_body;
mod chat_event;
mod clock;
pub mod command_line;
mod daemon;
mod engine;
mod entry_input;
mod entry_link;
mod entry_loop;
mod entry_process;
mod error_body;
mod event_splitter;
mod field_line;
mod front;
mod front_error;
pub mod gateway;
mod http_client;
mod http_server;
mod journal;
mod kv_port;
mod link;
mod link_report;
mod link_table;
pub mod logging;
mod metrics;
mod model_body;
mod operators;
mod platform;
mod process;
mod question;
mod raw_settings;
mod read_allowance;
mod reducer_loop;
mod request_header;
mod request_log;
mod response_header;
mod settings;
mod settings_error;
mod start_error;
mod status;
mod timings;
mod tls;
mod upstream_call;
mod whole_to_stream;
mod write_limit;

pub use agent_process::AgentOptions;
pub use agent_process::AgentProcess;
pub use daemon::run;
pub use entry_process::EntryOptions;
pub use entry_process::EntryProcess;
pub use http_server::HttpLimits;
pub use process::CommonOptions;
pub use settings::Role;
pub use settings::Settings;
pub use settings_error::FieldError;
pub use settings_error::SettingsError;
pub use start_error::StartError;
pub use tls::TlsError;
pub use tls::TlsFiles;
