//! Stand-in of the engines: model engines, which answer with streams, and plain services.

use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Request;
use crate::http::header;
use crate::http::read_request;
use crate::http::write_response;
use crate::record::Record;
use crate::store::Store;

/// Interval at which an engine writes its entry.
const BEAT: Duration = Duration::from_millis(1_200);
/// Silence after which the entry of an engine is removed.
const ENTRY_TTL: Duration = Duration::from_millis(3_600);

/// How an engine works.
#[derive(Clone, Debug)]
pub enum Work {
    /// Answers with a short body after this time.
    Plain { takes: Duration },
    /// Answers with a stream of `events`, the first after `first`, the next ones `gap` apart.
    Stream { first: Duration, gap: Duration, events: u64 },
}

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub work: Work,
    /// Part of a prompt, never the last, on which the engine crashes as it begins to write.
    pub fatal_part: Option<String>,
    /// Time after a crash until the engine starts again, with another id.
    pub restarts_after: Duration,
}

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub engine: String,
    pub attempt: String,
    pub has_fatal_part: bool,
    pub has_run: bool,
}

/// What all engines have seen.
#[derive(Default)]
pub struct Seen {
    pub arrivals: Vec<Arrival>,
    /// Time and engine of each crash.
    pub crashes: Vec<(u64, String)>,
}

#[derive(Default)]
struct State {
    incarnation: u32,
    born_ms: u128,
    is_up: bool,
    /// Connections with a request that runs.
    running: HashMap<u64, TcpStream>,
    next_connection: u64,
    last_beat_at: Option<Instant>,
}

/// An engine; clones share it.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    settings: Arc<EngineSettings>,
    state: Arc<Mutex<State>>,
    seen: Arc<Mutex<Seen>>,
    store: Store,
    record: Record,
}

impl Engine {
    /// Starts an engine and registers it in the store.
    pub fn start(
        ip: IpAddr,
        settings: EngineSettings,
        store: &Store,
        seen: &Arc<Mutex<Seen>>,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0))?;
        let engine = Self {
            address: listener.local_addr()?,
            settings: Arc::new(settings),
            state: Arc::default(),
            seen: Arc::clone(seen),
            store: store.clone(),
            record: record.clone(),
        };
        let served = engine.clone();
        thread::spawn(move || served.run(listener));
        Ok(engine)
    }

    fn id(&self) -> String {
        format!("{}-{}", self.settings.name, self.state.lock().unwrap().incarnation)
    }

    /// Serves one incarnation after the other.
    fn run(&self, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            let current = listener.take().unwrap_or_else(|| {
                loop {
                    match TcpListener::bind(self.address) {
                        Ok(listener) => break listener,
                        Err(_in_use) => thread::sleep(Duration::from_millis(10)),
                    }
                }
            });
            {
                let mut state = self.state.lock().unwrap();
                state.incarnation += 1;
                state.is_up = true;
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                state.born_ms = now.as_millis();
            }
            self.record.line(&format!("engine {} starts", self.id()));
            self.serve(current);
            thread::sleep(self.settings.restarts_after);
        }
    }

    fn serve(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener can be polled");
        let mut sequence = 0;
        let mut beat_at = Instant::now();
        let id = self.id();
        while self.state.lock().unwrap().is_up {
            if Instant::now() >= beat_at {
                sequence += 1;
                beat_at += BEAT;
                self.beat(&id, sequence);
            }
            match listener.accept() {
                Ok((stream, _peer)) => {
                    let engine = self.clone();
                    thread::spawn(move || engine.serve_connection(stream));
                }
                Err(_would_block) => thread::sleep(Duration::from_millis(2)),
            }
        }
        let last_beat_at = self.state.lock().unwrap().last_beat_at;
        let store = self.store.clone();
        thread::spawn(move || {
            let silent = last_beat_at.map_or(ENTRY_TTL, |at| at.elapsed());
            thread::sleep(ENTRY_TTL.saturating_sub(silent));
            store.delete(&format!("servers/{id}"));
        });
    }

    fn beat(&self, id: &str, sequence: u64) {
        let EngineSettings { service, zone, slots, .. } = &*self.settings;
        let mut state = self.state.lock().unwrap();
        state.last_beat_at = Some(Instant::now());
        let born = state.born_ms;
        drop(state);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":{sequence},\
             \"born\":{born}}}",
            self.address
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    fn serve_connection(&self, stream: TcpStream) {
        drop(stream.set_nonblocking(false));
        drop(stream.set_nodelay(true));
        let Ok(gateway) = stream.peer_addr().map(|address| address.ip()) else {
            return;
        };
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let connection = {
            let mut state = self.state.lock().unwrap();
            if !state.is_up {
                return;
            }
            state.next_connection += 1;
            let connection = state.next_connection;
            state.running.insert(connection, kept);
            connection
        };
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.answer(&request, gateway, &mut writer).is_err() {
                break;
            }
        }
        self.state.lock().unwrap().running.remove(&connection);
    }

    fn answer(&self, request: &Request, gateway: IpAddr, writer: &mut TcpStream) -> io::Result<()> {
        let id = self.id();
        let value = |name: &str| header(&request.headers, name).unwrap_or_default().to_owned();
        let attempt = value("x-hickorydoor-attempt-id");
        let echo = format!("X-Hickorydoor-Attempt-Id: {attempt}\r\n");
        let prefix = value("x-hickorydoor-prompt-prefix");
        let parts: Vec<&str> =
            prefix.split(',').filter_map(|part| Some(part.split_once(':')?.0)).collect();
        let shared = parts.split_last().map_or(&[][..], |(_own, shared)| shared);
        let fatal = self.settings.fatal_part.as_deref();
        let has_fatal_part = fatal.is_some_and(|fatal| shared.contains(&fatal));
        let expected = value("x-hickorydoor-expect-instance");
        let is_other = !expected.is_empty() && expected != id;
        let is_full = self.state.lock().unwrap().running.len() > self.settings.slots * 5 / 4;
        let has_run = !is_other && !is_full;
        let at_ms = self.record.now_ms();
        self.seen.lock().unwrap().arrivals.push(Arrival {
            at_ms,
            engine: id.clone(),
            attempt: attempt.clone(),
            has_fatal_part,
            has_run,
        });
        let kind = if has_fatal_part { " with the fatal part" } else { "" };
        let fate = if has_run { "runs" } else { "is turned away" };
        self.record.line(&format!("request {attempt}{kind} from {gateway} {fate} at {id}"));
        if is_other {
            let headers = format!("{echo}X-Hickorydoor-Instance-Id: {id}\r\n");
            return write_response(writer, "421 Misdirected Request", &headers, b"");
        }
        if is_full {
            let headers = format!("{echo}X-Hickorydoor-Not-Executed: 1\r\n");
            return write_response(writer, "503 Service Unavailable", &headers, b"");
        }
        let echo = format!("{echo}X-Hickorydoor-Response-Seal: {id}.{attempt}\r\n");
        match self.settings.work {
            Work::Plain { takes } => {
                thread::sleep(takes);
                let body = format!("answer of {id} to {attempt}");
                write_response(writer, "200 OK", &echo, body.as_bytes())
            }
            Work::Stream { first, gap, events } => {
                thread::sleep(first);
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{echo}Content-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                );
                writer.write_all(head.as_bytes())?;
                if has_fatal_part {
                    self.crash();
                    return Err(io::ErrorKind::BrokenPipe.into());
                }
                let from = value("last-event-id").parse().unwrap_or(0);
                for event in from + 1..=events {
                    let text = format!("id: {event}\ndata: token {event} of {attempt}\n\n");
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    writer.write_all(chunk.as_bytes())?;
                    if event < events {
                        thread::sleep(gap);
                    }
                }
                writer.write_all(b"0\r\n\r\n")
            }
        }
    }

    /// Ends the process: all connections are closed, and none is accepted.
    fn crash(&self) {
        let id = self.id();
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        state.is_up = false;
        for (_, stream) in state.running.drain() {
            drop(stream.shutdown(Shutdown::Both));
        }
        drop(state);
        self.record.line(&format!("engine {id} crashes"));
        let at_ms = self.record.now_ms();
        self.seen.lock().unwrap().crashes.push((at_ms, id));
    }
}
