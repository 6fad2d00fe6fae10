//! A small HTTP/1.1 implementation for stand-ins: requests are read, responses are written, and the
//! other way round, on blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Headers in the order of the message.
pub type Headers = Vec<(String, String)>;

/// A request that was read whole.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole body has arrived.
    Complete,
    /// The connection ended before the body was complete.
    Broken,
    /// The caller's time ran out.
    TimedOut,
}

/// A response as a caller sees it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub end: End,
}

impl Response {
    /// Returns whether the response is a whole success with the seal of an engine.
    pub fn is_served(&self) -> bool {
        self.end == End::Complete
            && (200..300).contains(&self.status)
            && header(&self.headers, "x-hickorydoor-response-seal").is_some()
    }
}

/// Returns the first value of a header.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&line);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Option<Headers>> {
    let mut headers = Headers::new();
    loop {
        let Some(line) = read_line(reader)? else {
            return Ok(None);
        };
        if line.is_empty() {
            return Ok(Some(headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body; returns whether it is complete. What has arrived is appended to `body`.
fn read_body(
    reader: &mut impl BufRead,
    headers: &Headers,
    is_response: bool,
    body: &mut Vec<u8>,
) -> io::Result<bool> {
    let is_chunked = header(headers, "transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if is_chunked {
        loop {
            let Some(line) = read_line(reader)? else {
                return Ok(false);
            };
            let size = line.split(';').next().unwrap_or_default().trim();
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return Ok(false);
            };
            if size == 0 {
                return Ok(read_headers(reader)?.is_some());
            }
            if !read_exactly(reader, size, body)? || read_line(reader)?.is_none() {
                return Ok(false);
            }
        }
    }
    let length = header(headers, "content-length").and_then(|value| value.parse().ok());
    match length {
        Some(length) => read_exactly(reader, length, body),
        None if is_response => {
            reader.read_to_end(body)?;
            Ok(true)
        }
        None => Ok(true),
    }
}

fn read_exactly(reader: &mut impl Read, length: usize, body: &mut Vec<u8>) -> io::Result<bool> {
    let mut left = length;
    let mut buffer = [0; 16 << 10];
    while left > 0 {
        let count = left.min(buffer.len());
        let read = reader.read(&mut buffer[..count])?;
        if read == 0 {
            return Ok(false);
        }
        body.extend_from_slice(&buffer[..read]);
        left -= read;
    }
    Ok(true)
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Ok(None);
    };
    let (method, target) = (method.to_owned(), target.to_owned());
    let Some(headers) = read_headers(reader)? else {
        return Ok(None);
    };
    let mut body = Vec::new();
    if !read_body(reader, &headers, false, &mut body)? {
        return Ok(None);
    }
    Ok(Some(Request { method, target, headers, body }))
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Fails reads of a stream once a deadline has come.
struct Deadline {
    stream: TcpStream,
    at: Instant,
}

impl Read for Deadline {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}

/// Sends a request on a connection of its own and reads the response until it ends or `timeout` has
/// passed. Fails if no head of a response arrives.
pub fn call(
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> Result<Response, io::Error> {
    let at = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers {
        head += &format!("{name}: {value}\r\n");
    }
    if request.method != "GET" {
        head += &format!("Content-Length: {}\r\n", request.body.len());
    }
    head += "\r\n";
    stream.write_all(&[head.as_bytes(), &request.body].concat())?;
    read_response(&mut BufReader::new(Deadline { stream, at }))
}

/// Reads a response; fails if no head of one arrives.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        let headers = read_headers(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if (100..200).contains(&status) {
            continue;
        }
        let mut body = Vec::new();
        let end = match read_body(reader, &headers, true, &mut body) {
            Ok(true) => End::Complete,
            Ok(false) => End::Broken,
            Err(error)
                if matches!(error.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock) =>
            {
                End::TimedOut
            }
            Err(_reset) => End::Broken,
        };
        return Ok(Response { status, headers, body, end });
    }
}
