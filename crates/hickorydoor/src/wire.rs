//! Encoded form of the messages between entries and agents.
//!
//! Each frame on a link holds one [`EntryFrame`] or [`AgentFrame`]. The structs derive their
//! codec from `prost`, so no generator is needed. `From` encodes domain messages and `TryFrom`
//! checks what arrives: a frame that fails the check is a protocol error of the peer.

pub use crate::wire_agent::AgentBody;
pub use crate::wire_agent::AgentFrame;
pub use crate::wire_agent::WireChunk;
pub use crate::wire_agent::WireEnded;
pub use crate::wire_agent::WireFailed;
pub use crate::wire_agent::WireRefused;
pub use crate::wire_agent::WireStarted;
pub use crate::wire_attempt::WireAttempt;
pub use crate::wire_attempt::WirePosition;
pub use crate::wire_attempt::WireUsage;
pub use crate::wire_config::WireConfigUpdate;
pub use crate::wire_dispatch::WireCall;
pub use crate::wire_dispatch::WireDispatch;
pub use crate::wire_dispatch::WireModelCall;
pub use crate::wire_dispatch::WireServiceCall;
pub use crate::wire_entry::EntryBody;
pub use crate::wire_entry::EntryFrame;
pub use crate::wire_entry::WireEmpty;
pub use crate::wire_entry::WireSettled;
pub use crate::wire_entry::WireVerdicts;
pub use crate::wire_error::WireError;
pub use crate::wire_hello::WireAgentHello;
pub use crate::wire_hello::WireEntryHello;
pub use crate::wire_load::WireEvidence;
pub use crate::wire_load::WireEvidenceList;
pub use crate::wire_load::WireLoad;
pub use crate::wire_pin::WirePin;
