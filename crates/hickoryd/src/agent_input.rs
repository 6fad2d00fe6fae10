//! What reaches the task that owns an agent's reducer.

use hickorydoor::AgentEvent;
use hickorydoor::AgentMessage;
use hickorydoor::EntryMessage;

use crate::link_report::LinkReport;
use crate::operator_query::OperatorQuery;

/// What reaches the task that owns an agent's reducer.
#[derive(Debug)]
pub enum AgentInput {
    /// An event for the reducer.
    Event(Box<AgentEvent>),
    /// A report of the link of an entry.
    Link(LinkReport<AgentMessage, EntryMessage>),
    /// The operators' port asks something.
    OperatorQuery(OperatorQuery),
}

impl From<LinkReport<AgentMessage, EntryMessage>> for AgentInput {
    fn from(report: LinkReport<AgentMessage, EntryMessage>) -> Self {
        Self::Link(report)
    }
}
