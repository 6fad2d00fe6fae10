//! What reaches the task that owns an entry's reducer.

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

/// What reaches the task that owns an entry's reducer.
#[derive(Debug)]
pub enum EntryInput {
    /// An event for the reducer.
    Event(Box<EntryEvent>),
    /// A caller sent a request.
    Request {
        /// The request.
        request: Box<CallerRequest>,
        /// Takes the head of the answer.
        answer: oneshot::Sender<CallerResponse>,
    },
    /// A report of the link of an agent.
    Link(LinkReport<EntryMessage, AgentMessage>),
    /// A connection could not be opened.
    ConnectFailed {
        /// The agent.
        agent: HostId,
    },
    /// The operators' port asks something.
    OperatorQuery(OperatorQuery),
}

impl From<LinkReport<EntryMessage, AgentMessage>> for EntryInput {
    fn from(report: LinkReport<EntryMessage, AgentMessage>) -> Self {
        Self::Link(report)
    }
}

/// What the HTTP server reports about a caller that it serves. These notes are sent where nothing
/// may wait; credit and the limit on open requests bound their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerUpdate {
    /// The server has taken bytes of the answer.
    Read {
        /// The caller.
        caller: CallerId,
        /// The bytes.
        bytes: ByteCount,
    },
    /// The caller hung up.
    Gone {
        /// The caller.
        caller: CallerId,
    },
}
