//! Decision logic of hickorydoor, a model-aware router for versions and cascades.
//!
//! The crate holds reducers without sockets, clocks, threads or global randomness. A reducer
//! takes one event and the time, changes its state and returns the effects to carry out:
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
//! // The first effect reads the configuration from the key-value service.
//! assert_eq!(effects.len(), 1);
//! # Ok(())
//! # }
//! ```
//!
//! [`Entry`] accepts callers' requests and places them; [`Agent`] stands beside one upstream and
//! gates it. They exchange [`EntryMessage`] and [`AgentMessage`], whose encoded form is in
//! [`wire`]. Operators' configuration is written as [`RawConfiguration`] and checked into a
//! [`Configuration`]. [`gateway`] is the third reducer: it does both jobs in one process where
//! the upstreams register themselves and take calls directly.
//!
//! The parts, in the order in which a request meets them:
//!
//! | Part | What it holds |
//! |---|---|
//! | [`configuration`] | who may call what, with the checks and the operators' changes |
//! | [`entry`] | arrival, limits, queueing, placement, sessions, cascades, the answer |
//! | [`agent`] | admission, at-most-once claims, the run at the upstream, resuming |
//! | [`gateway`] | the way of a request in one process, with its own overview |
//! | [`cascades`], [`rollouts`] | what is learned of cheaper models and of new versions |
//! | [`billing`] | what requests used, and the ledger that stores it once |
//! | [`store`], [`wire`], [`message`] | calls to the key-value service, messages between processes |
//!
//! The files beside the folders are words that all parts share: ids, times, quantities, refusals.

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
pub mod message;
pub mod observation;
pub mod quantity;
pub mod refusal;
pub mod rollouts;
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
