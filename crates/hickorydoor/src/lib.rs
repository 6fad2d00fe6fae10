//! Decision logic of hickorydoor, a router that places requests on versions of models, on cascades
//! of models and on plain services.
//!
//! The crate consists of reducers that use no sockets, clocks, threads or global randomness. A
//! reducer applies one event at a given time, updates its state and returns the effects that the
//! daemon carries out:
//!
//! ```
//! use hickorydoor::Entry;
//! use hickorydoor::EntryEvent;
//! use hickorydoor::EntrySettings;
//! use hickorydoor::TimeMs;
//! use hickorydoor::id::Incarnation;
//!
//! # fn main() -> Result<(), hickorydoor::id::IdError> {
//! let settings = EntrySettings::new(
//!     "entry-1".parse()?,
//!     Incarnation::new(1),
//!     "arauco-1".parse()?,
//!     "la-rioja".parse()?,
//! );
//! let mut entry = Entry::new(settings, 42, TimeMs::new(0));
//! let effects = entry.apply(EntryEvent::Tick, TimeMs::new(0));
//! // The only effect so far is a read of the configuration from the key-value service.
//! assert_eq!(effects.len(), 1);
//! # Ok(())
//! # }
//! ```
//!
//! There are three reducers:
//!
//! - [`Entry`] accepts requests from callers and dispatches them to agents.
//! - [`Agent`] runs next to one upstream as its sidecar and controls admission to it.
//! - [`gateway`] does the work of both in one process, for upstreams that register themselves and
//!   accept calls directly.
//!
//! Entries and agents exchange [`EntryMessage`] and [`AgentMessage`], which [`wire`] encodes.
//! Operators write the configuration as a [`RawConfiguration`], which is validated into a
//! [`Configuration`].
//!
//! The modules, in the order in which a request passes through them:
//!
//! | Module | Contents |
//! |---|---|
//! | [`configuration`] | customers, models and services, with validation and operators' changes |
//! | [`entry`] | arrival, limits, queueing, placement, sessions, cascades, delivery of responses |
//! | [`agent`] | admission, at-most-once claims, execution at the upstream, resumption |
//! | [`gateway`] | the path of a request within a single process |
//! | [`admission_queue`] | the order in which requests that wait are sent |
//! | [`cascades`], [`rollouts`] | statistics and decisions about cheaper models and new versions |
//! | [`billing`] | usage of requests, and the ledger that stores each bill exactly once |
//! | [`store`] | calls to the key-value service |
//! | [`memory`] | who may hold how much memory, who waits and who is refused |
//! | [`message`], [`wire`] | messages between processes, and their encoding |
//!
//! The remaining modules hold types that all of these share, such as [`id`], [`time`], [`quantity`],
//! [`refusal`] and [`status_promise`].

pub mod admission_queue;
pub mod agent;
pub mod backoff;
pub mod billing;
pub mod cascades;
pub mod class;
pub mod configuration;
pub mod duration_stats;
pub mod entry;
pub mod error;
pub mod gateway;
pub mod host_record;
pub mod id;
pub mod key_digest;
pub mod load_report;
pub mod lru_map;
pub mod memory;
pub mod message;
pub mod observation;
pub mod quantity;
pub mod refusal;
pub mod rollouts;
pub mod status_promise;
pub mod store;
pub mod time;
pub mod wire;

pub use agent::Agent;
pub use agent::effect::AgentEffect;
pub use agent::event::AgentEvent;
pub use agent::settings::AgentSettings;
pub use class::Class;
pub use configuration::Configuration;
pub use configuration::raw::RawConfiguration;
pub use entry::Entry;
pub use entry::caller_request::CallerRequest;
pub use entry::effect::EntryEffect;
pub use entry::event::EntryEvent;
pub use entry::settings::EntrySettings;
pub use error::Category;
pub use key_digest::KeyDigest;
pub use message::AgentMessage;
pub use message::EntryMessage;
pub use refusal::Refusal;
pub use time::DurationMs;
pub use time::TimeMs;
