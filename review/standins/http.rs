//! HTTP/1.1 by hand: what servers read and write, and a client with its own connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ended before its end.
fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            if lines.is_empty() {
                continue;
            }
            break;
        }
        lines.push(line);
    }
    let first = lines.remove(0);
    let split = |line: String| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    };
    let headers = lines.into_iter().filter_map(split).collect();
    Some(Message { first, headers, body: Vec::new() })
}

/// Reads a message with its whole body; `None` if it is not complete.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk).ok()?;
            if length == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    match message.header("content-length").and_then(|value| value.parse().ok()) {
        Some(length) => {
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            message.body = body;
        }
        None if is_response => {
            reader.read_to_end(&mut message.body).ok()?;
        }
        None => {}
    }
    Some(message)
}

/// Serves each connection on a thread of its own. `handle` returns whether the connection is kept.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = Arc::clone(&handle);
            let spawned = thread::Builder::new().stack_size(256 << 10).spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Some(request) = read_message(&mut reader, false) {
                    if !handle(&request, &mut stream) {
                        return;
                    }
                }
            });
            drop(spawned);
        }
    });
}

pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// What a client saw of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A complete response.
    Answer { status: u16, body: Vec<u8>, headers: Vec<(String, String)> },
    /// No connection could be opened; nothing was sent.
    NotSent,
    /// The connection ended, or the response broke off, after the request was sent.
    Closed,
    /// Nothing until the client's own deadline.
    TimedOut,
}

impl Seen {
    pub fn status(&self) -> Option<u16> {
        match self {
            Seen::Answer { status, .. } => Some(*status),
            _ => None,
        }
    }
}

/// A client's connection, kept for as long as the responses allow.
pub struct Connection {
    address: SocketAddr,
    reader: Option<BufReader<TcpStream>>,
}

impl Connection {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, reader: None }
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
        deadline: Duration,
    ) -> Seen {
        let until = Instant::now() + deadline;
        if self.reader.is_none() {
            let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))
            else {
                return Seen::NotSent;
            };
            let _ = stream.set_nodelay(true);
            self.reader = Some(BufReader::new(stream));
        }
        let Some(mut reader) = self.reader.take() else { return Seen::NotSent };
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        if reader.get_mut().write_all(&bytes).is_err() {
            return Seen::Closed;
        }
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = reader.get_mut().set_read_timeout(Some(left));
        match read_message(&mut reader, true) {
            Some(message) => {
                let is_kept = !message
                    .header("connection")
                    .is_some_and(|value| value.eq_ignore_ascii_case("close"));
                if is_kept {
                    self.reader = Some(reader);
                }
                Seen::Answer {
                    status: message.status(),
                    body: message.body,
                    headers: message.headers,
                }
            }
            None if Instant::now() >= until => Seen::TimedOut,
            None => Seen::Closed,
        }
    }
}
