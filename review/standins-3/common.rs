//! What all cases share: the configuration, requests of clients, the record, and the random numbers.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Server;
use crate::gateway::Gateway;
use crate::gateway::Net;
use crate::http::Connection;
use crate::http::Message;
use crate::http::Outcome;
use crate::http::send;

/// Longest time until a gateway is ready.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// How a case ended, as the exit status says.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    /// Time since the start, in seconds.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds(at));
        // A full disk is no result of the case.
        let _written = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// One run of a case.
pub struct Run {
    pub net: Net,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
    pub folder: PathBuf,
    pub random: Random,
}

impl Run {
    /// Starts gateways and waits until all are ready.
    pub fn start_gateways(&self, count: u8) -> Result<Vec<Gateway>, String> {
        let gateways: Vec<Gateway> =
            (1..=count).map(|number| Gateway::start(self.net, number, &self.folder)).collect();
        for gateway in &gateways {
            if !gateway.wait_ready(READY_WITHIN) {
                return Err(format!("{} is not ready", gateway.host));
            }
        }
        Ok(gateways)
    }
}

/// Pseudo-random numbers of a seed (xorshift).
#[derive(Clone)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 16
    }

    pub fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit as u64) as usize
    }

    /// Time until the next of events that come at random, so many a second.
    pub fn wait(&mut self, per_s: f64) -> Duration {
        let uniform = (self.next() % 1_000_000) as f64 / 1_000_000.0;
        Duration::from_secs_f64((-(1.0 - uniform).ln() / per_s).min(10.0))
    }
}

/// The operator's configuration: a route with models and resumable streams, one whose requests run
/// once at most, and one whose requests may be repeated.
pub fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let route = |name: &str,
                 kind: &str,
                 service: &str,
                 attempts: u32,
                 timeout_ms: u32,
                 more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"api.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"slo_ms\":1000,\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"public\":false{more}}}"
        )
    };
    let draft = route(
        "draft",
        "streaming",
        "engines",
        3,
        15_000,
        ",\"sizes\":[\"m-small\",\"m-large\"],\"sticky\":true,\"resumable\":true,\"gap_target_ms\":1000",
    );
    let book = route("book", "non_idempotent", "registry", 1, 1_500, "");
    let look = route("look", "idempotent", "registry", 2, 1_500, "");
    format!(
        "{{\"version\":{version},\"routes\":[{draft},{book},{look}],\"services\":[\
         {{\"name\":\"engines\",\"health_path\":\"/health\",\"max_conns\":370,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_s\":3.0,\"cold_per_s\":7.3,\"engine\":{{\"slots\":64,\
         \"kv_tokens\":361732,\"kv_token_bytes\":163840,\"link_mbps\":130000.0,\"models\":[\
         {{\"name\":\"m-small\",\"cost\":0.01}},{{\"name\":\"m-large\",\"cost\":0.1}}]}}}},\
         {{\"name\":\"registry\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"header_bytes\":16384,\
         \"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"customer-1\",\"api_keys\":[{}],\"priority\":1}}]}}",
        keys.join(",")
    )
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// A request of a client.
pub struct Request {
    pub attempt: String,
    bytes: Vec<u8>,
}

impl Request {
    /// Builds a request; `more` are further header lines.
    pub fn new(path: &str, key: &str, deadline_ms: u64, more: &str) -> Self {
        let number = NEXT_ATTEMPT.fetch_add(1, Ordering::SeqCst);
        let attempt = format!("{:08x}{number:08x}", std::process::id());
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: api.example\r\nX-Hickorydoor-Attempt-Id: {attempt}\r\n\
             X-Hickorydoor-Deadline-Ms: {deadline_ms}\r\nX-Hickorydoor-Key: {key}\r\n{more}\
             Connection: close\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        Self { attempt, bytes: head.into_bytes() }
    }

    /// Length of the head.
    pub fn head_bytes(&self) -> usize {
        self.bytes.len() - 2
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub fn send(&self, gateway: std::net::SocketAddr, within: Duration) -> Outcome {
        send(gateway, &self.bytes, within)
    }
}

/// Writes a stream of events with ids, one each `gap`.
pub fn stream(
    server: &Server,
    request: &Message,
    connection: &mut Connection,
    events: u64,
    gap: Duration,
) -> io::Result<()> {
    let first = request.header("last-event-id").parse::<u64>().unwrap_or(0) + 1;
    let head = server.head(request, "200 OK")
        + "X-Hickorydoor-Confidence: 90\r\nContent-Type: text/event-stream\r\n\
           Transfer-Encoding: chunked\r\n\r\n";
    connection.stream.write_all(head.as_bytes())?;
    for id in first..=events {
        let event = format!("id: {id}\ndata: token\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        connection.stream.write_all(chunk.as_bytes())?;
        thread::sleep(gap);
    }
    connection.stream.write_all(b"0\r\n\r\n")
}
