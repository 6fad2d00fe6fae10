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

/// Operator-assigned change of the versions that are loaded on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Loads the weights of a version.
    Load {
        /// Assigned version that is not loaded.
        version: VersionId,
    },
    /// Frees the weights of a version.
    Unload {
        /// Withdrawn version without attempts in progress.
        version: VersionId,
    },
}

impl EngineOrder {
    /// Version to load or unload.
    pub const fn version(&self) -> &VersionId {
        match self {
            Self::Load { version } | Self::Unload { version } => version,
        }
    }
}

/// Side effect that the agent reducer requests. Effects must be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentEffect {
    /// Sends a message to an entry.
    Send {
        /// Host that the entry runs on.
        entry: HostId,
        /// Message to encode and send on the link of that entry.
        message: AgentMessage,
    },
    /// Closes the connection to an entry.
    Disconnect {
        /// Host that the entry runs on.
        entry: HostId,
    },
    /// Starts a call to the upstream.
    CallUpstream {
        /// Identifies the call in later effects and events.
        attempt: AttemptId,
        /// Request to send.
        call: Call,
        /// Time left until the deadline of the request, which bounds the call.
        timeout_ms: DurationMs,
        /// Response bytes that may be read before [`Self::AllowRead`] allows more.
        read_bytes: ByteCount,
    },
    /// Extends the flow-control window of a call to the upstream.
    AllowRead {
        /// Attempt whose response may be read further.
        attempt: AttemptId,
        /// Response bytes to allow in addition to those allowed before.
        bytes: ByteCount,
    },
    /// Cancels a call to the upstream.
    CancelUpstream {
        /// Attempt whose call is cancelled.
        attempt: AttemptId,
    },
    /// Sends an order to the engine. The outcome shows in a later [`UpstreamReport`].
    ///
    /// [`UpstreamReport`]: crate::agent::event::UpstreamReport
    Order {
        /// Fencing number of the presence lease, with which the engine rejects stale orders.
        fencing: FencingNumber,
        /// Change to make.
        order: EngineOrder,
    },
    /// Calls the key-value service.
    Kv {
        /// Identifies the call in the event that reports its outcome.
        call: KvCallId,
        /// Request to send.
        operation: KvCall,
    },
    /// Reports an observation to logs, metrics and histograms.
    Record(Observation),
    /// Shutdown is complete, so the process may exit.
    Stopped,
}
