//! Effects that the daemon carries out for the agent reducer.

use crate::id::AttemptId;
use crate::id::FencingNumber;
use crate::id::HostId;
use crate::id::KvCallId;
use crate::id::VersionId;
use crate::message::AgentMessage;
use crate::message::Call;
use crate::observation::Observation;
use crate::quantity::ByteCount;
use crate::store::kv_call::KvCall;
use crate::time::DurationMs;

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Loads a version.
    Load {
        /// The version.
        version: VersionId,
    },
    /// Unloads a version.
    Unload {
        /// The version.
        version: VersionId,
    },
}

impl EngineOrder {
    /// The version that the order is about.
    pub const fn version(&self) -> &VersionId {
        match self {
            Self::Load { version } | Self::Unload { version } => version,
        }
    }
}

/// An effect of the agent reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentEffect {
    /// Sends a message to an entry.
    Send {
        /// The entry's host.
        entry: HostId,
        /// The message.
        message: AgentMessage,
    },
    /// Closes the connection to an entry.
    Disconnect {
        /// The entry's host.
        entry: HostId,
    },
    /// Calls the upstream.
    CallUpstream {
        /// The attempt.
        attempt: AttemptId,
        /// The call.
        call: Call,
        /// When the call is to be given up.
        timeout_ms: DurationMs,
        /// Bytes of the answer that may be read before more are allowed.
        read_bytes: ByteCount,
    },
    /// Allows more bytes of an answer to be read from the upstream.
    AllowRead {
        /// The attempt.
        attempt: AttemptId,
        /// Additional bytes.
        bytes: ByteCount,
    },
    /// Cancels a call to the upstream.
    CancelUpstream {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Gives an order to the engine.
    Order {
        /// Fencing number of the agent's lease.
        fencing: FencingNumber,
        /// The order.
        order: EngineOrder,
    },
    /// Calls the key-value service.
    Kv {
        /// Names the call in the answer.
        call: KvCallId,
        /// The call.
        operation: KvCall,
    },
    /// Reports what happened to logs, metrics and histograms.
    Record(Observation),
    /// The shutdown is complete; the process may exit.
    Stopped,
}
