//! Server that writes given bytes as its response and ends the connection in a given way.
//!
//! It implements HTTP/1.1 by hand, since an HTTP library would not send the broken responses that a
//! client has to reject.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Size of the receive buffer of a connection. A longer upload stays partly at the sender while the
/// server does not read.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
const BACKLOG: u32 = 64;
/// Time between the last byte of a response and the reset, so that the client has read the response.
const RESET_DELAY: Duration = Duration::from_millis(50);
/// Time between the close of a connection and its reset, about a round trip between data centres.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Place in a response at which the headers that a gateway expects are inserted.
const ECHO: &str = "{echo}";

/// How a connection ends after the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawEnd {
    /// It is closed.
    Close,
    /// It is reset at once.
    Reset,
    /// It is reset some time after the response.
    LateReset,
    /// The direction to the client is closed at once, and the connection is reset some time later.
    CloseThenReset,
    /// It stays open until the client closes it.
    Open,
}

/// Response to every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RawResponse {
    /// Whether the body of the request is read first. Otherwise it stays unread.
    pub reads_body: bool,
    /// Bytes to send. `{echo}` stands for the headers by which a gateway recognizes its upstream.
    pub bytes: &'static str,
    /// End of the connection.
    pub end: RawEnd,
}

/// Server that writes given bytes as its response to every request.
#[derive(Debug)]
pub struct RawServer {
    address: SocketAddr,
    response: Arc<Mutex<RawResponse>>,
    requests: Arc<AtomicUsize>,
    task: AbortHandle,
}

impl RawServer {
    /// Starts on a loopback port chosen by the system. Needs a Tokio runtime.
    ///
    /// # Errors
    /// Fails if no port can be opened.
    pub fn start(response: RawResponse) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let response = Arc::new(Mutex::new(response));
        let requests = Arc::<AtomicUsize>::default();
        let task = tokio::spawn(accept(listener, Arc::clone(&response), Arc::clone(&requests)));
        Ok(Self { address, response, requests, task: task.abort_handle() })
    }

    /// Returns the address of the server.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the root of the server.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the response to later requests.
    pub fn set_response(&self, response: RawResponse) {
        *self.response.lock().unwrap_or_else(PoisonError::into_inner) = response;
    }

    /// Returns how many requests have arrived.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    response: Arc<Mutex<RawResponse>>,
    requests: Arc<AtomicUsize>,
) {
    while let Ok((stream, _peer)) = listener.accept().await {
        let (response, requests) = (Arc::clone(&response), Arc::clone(&requests));
        tokio::spawn(async move {
            // Writing fails if the client closes the connection, which ends the request.
            drop(serve(stream, &response, &requests).await);
        });
    }
}

async fn serve(
    mut stream: TcpStream,
    response: &Mutex<RawResponse>,
    requests: &AtomicUsize,
) -> io::Result<()> {
    let Some(head) = read_head(&mut stream).await? else {
        return Ok(());
    };
    requests.fetch_add(1, Ordering::Relaxed);
    let response = *response.lock().unwrap_or_else(PoisonError::into_inner);
    if response.reads_body {
        read_body(&mut stream, &head).await?;
    }
    let bytes = response.bytes.replace(ECHO, &echo(&head));
    stream.write_all(bytes.as_bytes()).await?;
    match response.end {
        RawEnd::Close => stream.shutdown().await,
        RawEnd::Reset => stream.set_zero_linger(),
        RawEnd::LateReset => {
            sleep(RESET_DELAY).await;
            stream.set_zero_linger()
        }
        RawEnd::CloseThenReset => {
            stream.shutdown().await?;
            sleep(ROUND_TRIP).await;
            stream.set_zero_linger()
        }
        RawEnd::Open => {
            while stream.read(&mut [0; 1_024]).await? > 0 {}
            Ok(())
        }
    }
}

/// Reads the head of a request, byte by byte so that nothing of its body is read. Returns `None` if
/// the connection is closed before.
async fn read_head(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).await? == 0 {
            return Ok(None);
        }
        head.extend(byte);
    }
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}

async fn read_body(stream: &mut TcpStream, head: &str) -> io::Result<()> {
    let length = header(head, "content-length").parse().unwrap_or(0);
    tokio::io::copy(&mut stream.take(length), &mut tokio::io::sink()).await?;
    Ok(())
}

/// Returns the headers by which a gateway recognizes the response of its upstream.
fn echo(head: &str) -> String {
    let attempt = header(head, "x-hickorydoor-attempt-id");
    format!("X-Hickorydoor-Response-Seal: raw\r\nX-Hickorydoor-Attempt-Id: {attempt}\r\n")
}

/// Returns the value of a header, empty if it is missing.
fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    let field = fields.find(|(field, _value)| field.eq_ignore_ascii_case(name));
    field.map_or("", |(_name, value)| value.trim())
}
