//! Reports from the task that serves a link to the task that owns the reducer.

use hickorydoor::id::HostId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::link::LinkError;
use crate::link::LinkQueue;
use crate::link_table::Generation;

/// Report about a link that sends messages of type `Out` and receives messages of type `In`.
#[derive(Debug)]
pub enum LinkReport<Out, In> {
    /// A connection was opened.
    Opened {
        /// Host at the other end.
        peer: HostId,
        /// Queue of messages to the peer. Dropping it closes the connection.
        queue: LinkQueue<Out>,
        /// Receives the generation that is assigned to the connection.
        generation_sender: oneshot::Sender<Generation>,
    },
    /// The peer sent a message.
    Message {
        /// Host at the other end.
        peer: HostId,
        /// Connection on which the message arrived.
        generation: Generation,
        /// Decoded message.
        message: In,
    },
    /// A connection ended, whichever side closed it.
    Lost {
        /// Host at the other end.
        peer: HostId,
        /// Connection that ended.
        generation: Generation,
    },
}

/// Sends the reports about one connection to the task that owns the reducer.
#[derive(Debug)]
pub struct LinkReporter<I> {
    peer: HostId,
    generation: Generation,
    inputs: mpsc::Sender<I>,
}

impl<I> LinkReporter<I> {
    /// Reports that a connection was opened and waits for the generation assigned to it.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Stopped`] if the task that owns the reducer has ended.
    pub async fn open<Out, In>(
        peer: HostId,
        queue: LinkQueue<Out>,
        inputs: mpsc::Sender<I>,
    ) -> Result<Self, LinkError>
    where
        I: From<LinkReport<Out, In>>,
    {
        let (generation_sender, generation) = oneshot::channel();
        let report = LinkReport::Opened { peer: peer.clone(), queue, generation_sender };
        inputs.send(report.into()).await.map_err(|_closed| LinkError::Stopped)?;
        let generation = generation.await.map_err(|_closed| LinkError::Stopped)?;
        Ok(Self { peer, generation, inputs })
    }

    /// Reports a received message.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Stopped`] if the task that owns the reducer has ended.
    pub async fn report_message<Out, In>(&self, message: In) -> Result<(), LinkError>
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
    /// Returns [`LinkError::Stopped`] if the task that owns the reducer has ended.
    pub async fn report_lost<Out, In>(self) -> Result<(), LinkError>
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
