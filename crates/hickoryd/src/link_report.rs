//! What the task of a link reports to the task that owns a reducer.

use hickorydoor::id::HostId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::link::LinkError;
use crate::link::LinkQueue;
use crate::link_table::Generation;

/// A report of the task of a link that sends `Out` and receives `In`.
#[derive(Debug)]
pub enum LinkReport<Out, In> {
    /// The connection is open.
    Opened {
        /// The other end.
        peer: HostId,
        /// Where messages to it go.
        queue: LinkQueue<Out>,
        /// Takes the number of the connection.
        opened: oneshot::Sender<Generation>,
    },
    /// The other end sent a message.
    Message {
        /// The other end.
        peer: HostId,
        /// The connection.
        generation: Generation,
        /// The message.
        message: In,
    },
    /// The connection ended.
    Lost {
        /// The other end.
        peer: HostId,
        /// The connection.
        generation: Generation,
    },
}

/// Reports of one connection, as inputs of the reducer's task.
#[derive(Debug)]
pub struct LinkReporter<I> {
    peer: HostId,
    generation: Generation,
    inputs: mpsc::Sender<I>,
}

impl<I> LinkReporter<I> {
    /// Reports that a connection is open, and waits for its number.
    ///
    /// # Errors
    ///
    /// Fails if the reducer's task has ended.
    pub async fn open<Out, In>(
        peer: HostId,
        queue: LinkQueue<Out>,
        inputs: mpsc::Sender<I>,
    ) -> Result<Self, LinkError>
    where
        I: From<LinkReport<Out, In>>,
    {
        let (opened, generation) = oneshot::channel();
        let report = LinkReport::Opened { peer: peer.clone(), queue, opened };
        inputs.send(report.into()).await.map_err(|_closed| LinkError::Stopped)?;
        let generation = generation.await.map_err(|_closed| LinkError::Stopped)?;
        Ok(Self { peer, generation, inputs })
    }

    /// Reports a message.
    ///
    /// # Errors
    ///
    /// Fails if the reducer's task has ended.
    pub async fn message<Out, In>(&self, message: In) -> Result<(), LinkError>
    where
        I: From<LinkReport<Out, In>>,
    {
        let (peer, generation) = (self.peer.clone(), self.generation);
        self.send(LinkReport::Message { peer, generation, message }).await
    }

    /// Reports that the connection has ended.
    ///
    /// # Errors
    ///
    /// Fails if the reducer's task has ended.
    pub async fn lost<Out, In>(self) -> Result<(), LinkError>
    where
        I: From<LinkReport<Out, In>>,
    {
        let (peer, generation) = (self.peer.clone(), self.generation);
        self.send(LinkReport::Lost { peer, generation }).await
    }

    async fn send<Out, In>(&self, report: LinkReport<Out, In>) -> Result<(), LinkError>
    where
        I: From<LinkReport<Out, In>>,
    {
        self.inputs.send(report.into()).await.map_err(|_closed| LinkError::Stopped)
    }
}
