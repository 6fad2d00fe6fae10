//! Server side of the links that entries open to an agent.
//!
//! A link starts with the hello of the entry. With TLS, the certificate of the peer must belong to
//! the host that the hello names.

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
use crate::link::LinkError;
use crate::link::LinkQueue;
use crate::link::framed_reader;
use crate::link::read_message;
use crate::link::write_messages;
use crate::link_report::LinkReporter;
use crate::tls::TlsWatch;
use crate::tls::certificate_matches_host;

/// Maximum time for the TLS handshake, and then for the hello, which an entry sends right after it
/// has connected.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the next accept after a failure, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts links for as long as the process runs and serves each in a task of its own.
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
                        debug!(peer:% = peer, reason:% = fault; "link from an entry failed; waiting for the entry to reconnect");
                    }
                });
            }
            Err(error) => {
                debug!(reason:% = error; "could not accept a link; retrying after a delay");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn accept_link(
    stream: TcpStream,
    server: Option<Arc<ServerConfig>>,
    inputs: mpsc::Sender<AgentInput>,
) -> Result<(), LinkError> {
    let Some(server) = server else {
        return serve_link(stream, |_entry| true, inputs).await;
    };
    let handshake = timeout(HELLO_TIMEOUT, TlsAcceptor::from(server).accept(stream));
    let stream = handshake.await.map_err(|_elapsed| LinkError::Timeout)??;
    let certificates = stream.get_ref().1.peer_certificates().map(<[_]>::to_vec);
    serve_link(
        stream,
        move |entry| certificate_matches_host(certificates.as_deref(), entry),
        inputs,
    )
    .await
}

/// Serves one link until it ends. The link is closed if `is_authorized` rejects the host that the
/// hello of the peer names.
async fn serve_link<S>(
    stream: S,
    is_authorized: impl FnOnce(&HostId) -> bool,
    inputs: mpsc::Sender<AgentInput>,
) -> Result<(), LinkError>
where
    S: AsyncRead + AsyncWrite,
{
    let (reader, writer) = tokio::io::split(stream);
    let mut reader = framed_reader(reader);
    let first = timeout(HELLO_TIMEOUT, read_message::<EntryFrame, EntryMessage, _>(&mut reader));
    let first = first.await.map_err(|_elapsed| LinkError::Timeout)??;
    let Some(EntryMessage::Hello(hello)) = first else {
        return Err(LinkError::UnexpectedHello);
    };
    let entry = hello.entry.clone();
    if !is_authorized(&entry) {
        return Err(LinkError::UnexpectedHello);
    }
    let (queue, queue_reader) = LinkQueue::new();
    let reporter = LinkReporter::open(entry, queue, inputs).await?;
    reporter.report_message(EntryMessage::Hello(hello)).await?;
    let result = tokio::select! {
        result = read_loop(&reporter, &mut reader) => result,
        result = write_messages::<AgentFrame, AgentMessage, _>(writer, queue_reader) => result,
    };
    reporter.report_lost().await?;
    result
}

async fn read_loop<S: AsyncRead + AsyncWrite>(
    reporter: &LinkReporter<AgentInput>,
    reader: &mut FramedRead<ReadHalf<S>, LengthDelimitedCodec>,
) -> Result<(), LinkError> {
    while let Some(message) = read_message::<EntryFrame, EntryMessage, _>(reader).await? {
        reporter.report_message(message).await?;
    }
    Ok(())
}
