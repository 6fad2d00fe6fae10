//! Links that entries open to an agent.

use std::sync::Arc;
use std::time::Duration;

use hickorydoor::AgentMessage;
use hickorydoor::EntryMessage;
use hickorydoor::id::HostId;
use hickorydoor::wire::AgentFrame;
use hickorydoor::wire::EntryFrame;
use log::debug;
use rustls::ServerConfig;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

use crate::agent_input::AgentInput;
use crate::link::LinkFault;
use crate::link::LinkQueue;
use crate::link::frames;
use crate::link::read_message;
use crate::link::write_messages;
use crate::link_report::LinkReporter;
use crate::tls::TlsWatch;
use crate::tls::certificate_matches_host;

/// An entry says hello right after it has connected.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts links until the process ends.
pub async fn accept_links(
    listener: TcpListener,
    tls: Option<TlsWatch>,
    inputs: mpsc::Sender<AgentInput>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let inputs = inputs.clone();
                let server = tls.as_ref().map(|tls| Arc::clone(&tls.borrow().server));
                drop(stream.set_nodelay(true));
                tokio::spawn(async move {
                    if let Err(fault) = accept_link(stream, server, inputs).await {
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

async fn accept_link(
    stream: TcpStream,
    server: Option<Arc<ServerConfig>>,
    inputs: mpsc::Sender<AgentInput>,
) -> Result<(), LinkFault> {
    let Some(server) = server else {
        return serve_link(stream, |_entry| true, inputs).await;
    };
    let handshake = timeout(HELLO_TIMEOUT, TlsAcceptor::from(server).accept(stream));
    let stream = handshake.await.map_err(|_elapsed| LinkFault::Timeout)??;
    let certificates = stream.get_ref().1.peer_certificates().map(<[_]>::to_vec);
    serve_link(
        stream,
        move |entry| certificate_matches_host(certificates.as_deref(), entry),
        inputs,
    )
    .await
}

/// Serves one link until it ends; `may_be` tells whether the peer may be the entry that its hello
/// names.
async fn serve_link<S>(
    stream: S,
    may_be: impl FnOnce(&HostId) -> bool,
    inputs: mpsc::Sender<AgentInput>,
) -> Result<(), LinkFault>
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
    if !may_be(&entry) {
        return Err(LinkFault::WrongHello);
    }
    let (queue, queue_reader) = LinkQueue::new();
    let reporter = LinkReporter::open(entry, queue, inputs).await?;
    reporter.message(EntryMessage::Hello(hello)).await?;
    let result = tokio::select! {
        result = read_loop(&reporter, &mut reader) => result,
        result = write_messages::<AgentFrame, AgentMessage, _>(writer, queue_reader) => result,
    };
    reporter.lost().await?;
    result
}

async fn read_loop<S: AsyncRead + AsyncWrite>(
    reporter: &LinkReporter<AgentInput>,
    reader: &mut FramedRead<ReadHalf<S>, LengthDelimitedCodec>,
) -> Result<(), LinkFault> {
    while let Some(message) = read_message::<EntryFrame, EntryMessage, _>(reader).await? {
        reporter.message(message).await?;
    }
    Ok(())
}
