//! Client side of the links that an entry opens to agents.

use std::io;
use std::net::SocketAddr;
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
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

use crate::entry_input::EntryInput;
use crate::link::LinkError;
use crate::link::LinkQueue;
use crate::link::framed_reader;
use crate::link::read_message;
use crate::link::write_messages;
use crate::link_report::LinkReporter;
use crate::tls::TlsIdentity;
use crate::tls::server_name;

/// Maximum time to open a connection, including the TLS handshake. It allows for the round trips to
/// an agent in a remote region.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Opens a link and serves it until it ends. If the connection cannot be opened, the reducer is
/// notified with [`EntryInput::ConnectFailed`].
pub async fn run_link(
    agent: HostId,
    address: SocketAddr,
    identity: Option<TlsIdentity>,
    inputs: mpsc::Sender<EntryInput>,
) {
    let served = match identity {
        None => match timeout(CONNECT_TIMEOUT, connect(address)).await {
            Ok(Ok(stream)) => Some(serve_link(&agent, stream, inputs.clone()).await),
            Ok(Err(_)) | Err(_) => None,
        },
        Some(identity) => {
            match timeout(CONNECT_TIMEOUT, connect_tls(&agent, address, identity)).await {
                Ok(Ok(stream)) => Some(serve_link(&agent, stream, inputs.clone()).await),
                Ok(Err(_)) | Err(_) => None,
            }
        }
    };
    match served {
        Some(Ok(())) => {}
        Some(Err(fault)) => debug!(upstream:% = agent, reason:% = fault; "link lost; reconnecting"),
        // The channel only closes when the process ends.
        None => drop(inputs.send(EntryInput::ConnectFailed { agent }).await),
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Connects with TLS and checks that the certificate belongs to the host of the agent.
async fn connect_tls(
    agent: &HostId,
    address: SocketAddr,
    identity: TlsIdentity,
) -> io::Result<TlsStream<TcpStream>> {
    let name = server_name(agent).ok_or(io::ErrorKind::InvalidInput)?;
    let stream = connect(address).await?;
    TlsConnector::from(identity.client).connect(name, stream).await
}

pub async fn serve_link<S>(
    agent: &HostId,
    stream: S,
    inputs: mpsc::Sender<EntryInput>,
) -> Result<(), LinkError>
where
    S: AsyncRead + AsyncWrite,
{
    let (reader, writer) = tokio::io::split(stream);
    let mut reader = framed_reader(reader);
    let (queue, queue_reader) = LinkQueue::new();
    let reporter = LinkReporter::open(agent.clone(), queue, inputs).await?;
    let result = tokio::select! {
        result = read_loop(agent, &reporter, &mut reader) => result,
        result = write_messages::<EntryFrame, EntryMessage, _>(writer, queue_reader) => result,
    };
    reporter.report_lost().await?;
    result
}

/// Reports received messages. The first must be the hello of the expected agent, because a stale
/// address in the host list may lead to another one.
async fn read_loop<S: AsyncRead + AsyncWrite>(
    agent: &HostId,
    reporter: &LinkReporter<EntryInput>,
    reader: &mut FramedRead<ReadHalf<S>, LengthDelimitedCodec>,
) -> Result<(), LinkError> {
    let mut hello_received = false;
    while let Some(message) = read_message::<AgentFrame, AgentMessage, _>(reader).await? {
        if !hello_received {
            let expected = matches!(&message, AgentMessage::Hello(hello) if hello.agent == *agent);
            if !expected {
                return Err(LinkError::UnexpectedHello);
            }
            hello_received = true;
        }
        reporter.report_message(message).await?;
    }
    Ok(())
}
