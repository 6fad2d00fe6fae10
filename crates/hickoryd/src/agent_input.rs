//! What reaches the task that owns an agent's reducer.

use hickorydoor::AgentEvent;
use hickorydoor::AgentMessage;
use hickorydoor::EntryMessage;
use hickorydoor::id::HostId;
use tokio::sync::oneshot;

use crate::link::LinkQueue;
use crate::link_table::Generation;
use crate::question::Question;

/// What reaches the task that owns an agent's reducer.
#[derive(Debug)]
pub enum AgentInput {
    /// An event for the reducer.
    Event(Box<AgentEvent>),
    /// An entry opened a connection.
    LinkOpened {
        /// The entry.
        entry: HostId,
        /// Where messages to the entry go.
        queue: LinkQueue<AgentMessage>,
        /// Takes the number of the connection.
        opened: oneshot::Sender<Generation>,
    },
    /// An entry sent a message.
    LinkMessage {
        /// The entry.
        entry: HostId,
        /// The connection.
        generation: Generation,
        /// The message.
        message: EntryMessage,
    },
    /// A connection ended.
    LinkLost {
        /// The entry.
        entry: HostId,
        /// The connection.
        generation: Generation,
    },
    /// The operators' port asks something.
    Question(Question),
}
