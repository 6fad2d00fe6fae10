//! HTTP/1.1 for the stand-ins: one request or response at a time on blocking sockets.

use std::collections::BTreeMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Headers by name in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Method and path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
    /// Set when the connection is reset from outside; then reads end within the read time-out.
    cut: Option<Arc<AtomicBool>>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Without it, small writes wait for acknowledgements.
        let _unsupported = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new(), cut: None }
    }

    /// A connection of a client that can be reset from outside.
    pub fn with_cut(stream: TcpStream, cut: Arc<AtomicBool>) -> io::Result<Self> {
        stream.set_read_timeout(Some(Duration::from_millis(5)))?;
        Ok(Self { cut: Some(cut), ..Self::new(stream) })
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        let length = loop {
            let read = self.stream.read(&mut bytes);
            let Some(cut) = &self.cut else {
                break read?;
            };
            if cut.swap(false, Ordering::SeqCst) {
                reset(&self.stream)?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            match read {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => break read?,
            }
        };
        match length {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            length => {
                self.ahead.extend_from_slice(&bytes[..length]);
                Ok(())
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            self.fill()?;
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message { start: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
            }
        }
    }

    /// Reads a message whose body has a length, as all requests of the gateways do.
    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = self.take(length)?;
        Ok(message)
    }

    /// Reads the next chunk of a body; empty at its end.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let length = usize::from_str_radix(line.trim(), 16)
            .map_err(|_error| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.take(length)?;
        self.line()?;
        Ok(chunk)
    }
}

/// Has the system reset a connection when it is closed, as the pages' `reset_conns` does.
fn reset(stream: &TcpStream) -> io::Result<()> {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    // On, for 0 seconds.
    let linger = [1_i32, 0];
    // SAFETY: the socket is open, and the value is as long as stated.
    let result =
        unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
    if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Status; 0 if there was no answer.
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the answer is complete.
    pub whole: bool,
    /// Whether a part of the body arrived.
    pub begun: bool,
    pub took_ms: u64,
}

/// Sends a request on a new connection and reads the answer.
pub fn send(to: SocketAddr, request: &[u8], within: Duration) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome::default();
    // What arrived before an error counts.
    let _broken = exchange(to, request, within, &mut outcome);
    outcome.took_ms = started.elapsed().as_millis() as u64;
    outcome
}

fn exchange(
    to: SocketAddr,
    request: &[u8],
    within: Duration,
    outcome: &mut Outcome,
) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(within))?;
    let mut connection = Connection::new(stream);
    connection.stream.write_all(request)?;
    let head = connection.read_head()?;
    outcome.status = head.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    outcome.headers = head.headers.clone();
    if head.headers.contains_key("content-length") {
        let length = head.header("content-length").parse().unwrap_or(0);
        outcome.body = connection.take(length)?;
        outcome.begun = true;
    } else {
        loop {
            let chunk = connection.read_chunk()?;
            if chunk.is_empty() {
                break;
            }
            outcome.begun = true;
            outcome.body.extend_from_slice(&chunk);
        }
    }
    outcome.whole = true;
    Ok(())
}
