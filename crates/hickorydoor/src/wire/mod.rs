//! Encoding of the messages between entries and agents.
//!
//! Each frame on a link contains one [`EntryFrame`] or [`AgentFrame`], encoded as a protobuf
//! message. The codec is derived by `prost` from the structs of this module, so there is no code
//! generator. `From` converts domain messages to frames. `TryFrom` converts received frames and
//! validates them: a frame that it rejects is a protocol error of the peer.

mod agent;
mod attempt;
mod config;
mod dispatch;
mod entry;
mod error;
mod hello;
mod load;
mod pin;

pub use crate::wire::agent::AgentBody;
pub use crate::wire::agent::AgentFrame;
pub use crate::wire::agent::WireChunk;
pub use crate::wire::agent::WireEnded;
pub use crate::wire::agent::WireFailed;
pub use crate::wire::agent::WireRefused;
pub use crate::wire::agent::WireStarted;
pub use crate::wire::attempt::WireAttempt;
pub use crate::wire::attempt::WirePosition;
pub use crate::wire::attempt::WireUsage;
pub use crate::wire::config::WireConfigUpdate;
pub use crate::wire::dispatch::WireCall;
pub use crate::wire::dispatch::WireDispatch;
pub use crate::wire::dispatch::WireModelCall;
pub use crate::wire::dispatch::WireServiceCall;
pub use crate::wire::entry::EntryBody;
pub use crate::wire::entry::EntryFrame;
pub use crate::wire::entry::WireEmpty;
pub use crate::wire::entry::WireRatings;
pub use crate::wire::entry::WireSettled;
pub use crate::wire::error::WireError;
pub use crate::wire::hello::WireAgentHello;
pub use crate::wire::hello::WireEntryHello;
pub use crate::wire::load::WireEvidence;
pub use crate::wire::load::WireEvidenceList;
pub use crate::wire::load::WireLoad;
pub use crate::wire::pin::WirePin;
