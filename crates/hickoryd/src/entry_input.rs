//! Inputs of the task that owns the entry reducer.

use hickorydoor::AgentMessage;
use hickorydoor::CallerRequest;
use hickorydoor::EntryEvent;
use hickorydoor::EntryMessage;
use hickorydoor::id::CallerId;
use hickorydoor::id::HostId;
use hickorydoor::quantity::ByteCount;
use tokio::sync::oneshot;

use crate::caller_response::CallerResponse;
use crate::link_report::LinkReport;
use crate::operator_query::OperatorQuery;

/// Input of the task that owns the entry reducer.
#[derive(Debug)]
pub enum EntryInput {
    /// Event to apply to the reducer.
    Event(Box<EntryEvent>),
    /// Request from a caller.
    Request {
        /// Parsed request.
        request: Box<CallerRequest>,
        /// Receives the head of the response or the refusal. Closed if the caller disconnects first.
        response: oneshot::Sender<CallerResponse>,
    },
    /// Report from the task that serves the link to an agent.
    Link(LinkReport<EntryMessage, AgentMessage>),
    /// The connection to an agent could not be opened.
    ConnectFailed {
        /// Host of the agent.
        agent: HostId,
    },
    /// Query from the operator port.
    OperatorQuery(OperatorQuery),
}

impl From<LinkReport<EntryMessage, AgentMessage>> for EntryInput {
    fn from(report: LinkReport<EntryMessage, AgentMessage>) -> Self {
        Self::Link(report)
    }
}

/// Update from the HTTP server about a caller with an open request.
///
/// Updates are sent from `poll` and `drop`, which cannot wait, so their channel is unbounded.
/// Flow-control credit and the limit on open requests bound how many are queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerUpdate {
    /// The server has read a chunk of the response body.
    Read {
        /// Caller that receives the response.
        caller: CallerId,
        /// Bytes read since the last update.
        bytes: ByteCount,
    },
    /// The caller disconnected before its response was complete.
    Disconnected {
        /// Caller that disconnected.
        caller: CallerId,
    },
}
