//! Links that entries open to an agent.

use std::time::Duration;

use hickorydoor::AgentMessage;
use hickorydoor::EntryMessage;
use hickorydoor::id::HostId;
use hickorydoor::wire::AgentFrame;
use hickorydoor::wire::EntryFrame;
use log::debug;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadHalf;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

use crate::agent_input::AgentInput;
use crate::link::LinkFault;
use crate::link::LinkQueue;
use crate::link::frames;
use crate::link::read_message;
use crate::link::write_messages;
use crate::link_table::Generation;

/// An entry says hello right after it has connected.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts links until the process ends.
pub async fn accept_links(listener: TcpListener, inputs: mpsc::Sender<AgentInput>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let inputs = inputs.clone();
                drop(stream.set_nodelay(true));
                tokio::spawn(async move {
                    if let Err(fault) = serve_link(stream, inputs).await {
                        debug!(peer:% = peer, reason:% = fault; "link ended");
                    }
                });
            }
            Err(error) => {
                debug!(reason:% = error; "accept failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one link until it ends.
pub async fn serve_link<S>(stream: S, inputs: mpsc::Sender<AgentInput>) -> Result<(), LinkFault>
where
    S: AsyncRead + AsyncWrite,
{
    let (reader, writer) = tokio::io::split(stream);
    let mut reader = frames(reader);
    let first = timeout(HELLO_TIMEOUT, read_message::<EntryFrame, EntryMessage, _>(&mut reader));
    let first = first.await.map_err(|_elapsed| LinkFault::Timeout)??;
    let Some(EntryMessage::Hello(hello)) = first else {
        return Err(LinkFault::WrongHello);
    };
    let entry = hello.entry.clone();
    let (queue, queue_reader) = LinkQueue::new();
    let generation = open(&entry, queue, &inputs).await?;
    let message = EntryMessage::Hello(hello);
    forward(&entry, generation, message, &inputs).await?;
    let result = tokio::select! {
        result = read_loop(&entry, generation, &mut reader, &inputs) => result,
        result = write_messages::<AgentFrame, AgentMessage, _>(writer, queue_reader) => result,
    };
    let lost = AgentInput::LinkLost { entry, generation };
    inputs.send(lost).await.map_err(|_closed| LinkFault::Stopped)?;
    result
}

async fn open(
    entry: &HostId,
    queue: LinkQueue<AgentMessage>,
    inputs: &mpsc::Sender<AgentInput>,
) -> Result<Generation, LinkFault> {
    let (opened, generation) = oneshot::channel();
    let input = AgentInput::LinkOpened { entry: entry.clone(), queue, opened };
    inputs.send(input).await.map_err(|_closed| LinkFault::Stopped)?;
    generation.await.map_err(|_closed| LinkFault::Stopped)
}

async fn read_loop<S: AsyncRead + AsyncWrite>(
    entry: &HostId,
    generation: Generation,
    reader: &mut FramedRead<ReadHalf<S>, LengthDelimitedCodec>,
    inputs: &mpsc::Sender<AgentInput>,
) -> Result<(), LinkFault> {
    while let Some(message) = read_message::<EntryFrame, EntryMessage, _>(reader).await? {
        forward(entry, generation, message, inputs).await?;
    }
    Ok(())
}

async fn forward(
    entry: &HostId,
    generation: Generation,
    message: EntryMessage,
    inputs: &mpsc::Sender<AgentInput>,
) -> Result<(), LinkFault> {
    let input = AgentInput::LinkMessage { entry: entry.clone(), generation, message };
    inputs.send(input).await.map_err(|_closed| LinkFault::Stopped)
}
