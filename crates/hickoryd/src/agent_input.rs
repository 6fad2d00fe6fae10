//! Inputs of the task that owns the agent reducer.

use hickorydoor::AgentEvent;
use hickorydoor::AgentMessage;
use hickorydoor::EntryMessage;

use crate::link_report::LinkReport;
use crate::operator_query::OperatorQuery;

/// Input of the task that owns the agent reducer.
#[derive(Debug)]
pub enum AgentInput {
    /// Event to apply to the reducer.
    Event(Box<AgentEvent>),
    /// Report from the task that serves the link of an entry.
    Link(LinkReport<AgentMessage, EntryMessage>),
    /// Query from the operator port.
    OperatorQuery(OperatorQuery),
}

impl From<LinkReport<AgentMessage, EntryMessage>> for AgentInput {
    fn from(report: LinkReport<AgentMessage, EntryMessage>) -> Self {
        Self::Link(report)
    }
}
