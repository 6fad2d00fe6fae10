//! Client for the key-value service, which is accessed through the JSON gateway of etcd v3.
//!
//! [`Client`] executes the calls that [`hickorydoor::store::kv_call`] defines as plain data, and
//! [`Watch`] streams the changes of the keys under a prefix:
//!
//! ```no_run
//! use hickory_kv::Client;
//! use hickory_kv::ClientSettings;
//! use hickorydoor::store::kv_call::KvCall;
//! use hickorydoor::store::kv_call::KvOutcome;
//! use hickorydoor::time::DurationMs;
//!
//! # async fn grant() -> Result<(), hickory_kv::SettingsError> {
//! let settings = ClientSettings::new(["http://127.0.0.1:2379"])?;
//! let client = Client::new(settings);
//! let outcome = client.call(KvCall::Grant { ttl_ms: DurationMs::from_secs(10) }).await;
//! assert!(matches!(outcome, KvOutcome::Reply(_)));
//! # Ok(())
//! # }
//! ```
//!
//! Errors distinguish calls that had no effect ([`CallError::Connect`]) from calls that may have
//! taken effect ([`CallError::ResponseLost`]): callers retry the former, and read the stored state
//! to resolve the latter.
//!
//! [`UploadStream`] keeps a response that ends too early from looking complete, here and in the daemon.

mod base64_text;
mod call_error;
mod client;
mod client_settings;
mod connector;
mod int_text;
mod reply_wire;
mod request_wire;
mod upload_stream;
mod watch;

pub use call_error::CallError;
pub use client::Client;
pub use client_settings::ClientSettings;
pub use client_settings::SettingsError;
pub use connector::Connector;
pub use connector::check_ends;
pub use upload_stream::UploadStream;
pub use watch::Watch;
