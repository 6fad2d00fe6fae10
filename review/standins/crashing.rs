//! An engine that crashes when it begins to write an answer on one part of a prompt, and is back some
//! seconds later.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::engine::Run;
use crate::http::Message;
use crate::http::read_message;
use crate::http::write_response;
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time from a crash to the next start.
const DOWN_FOR: Duration = Duration::from_secs(3);
/// Time until the first event of a stream.
const FIRST_EVENT: Duration = Duration::from_millis(150);
/// A stream of a sound request: number of events, and time between them.
const EVENTS: u64 = 20;
const GAP: Duration = Duration::from_millis(30);

#[derive(Clone)]
pub struct CrashingEngine {
    pub id: String,
    /// Id of the part on which the engine crashes.
    part: String,
    address: SocketAddr,
    /// Number of the incarnation; the connections of earlier ones are dead.
    incarnation: Arc<AtomicU64>,
    /// When the engine crashed.
    pub crashes: Arc<Mutex<Vec<Duration>>>,
    /// Requests with the part that reached the engine.
    pub arrivals: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl CrashingEngine {
    pub fn start(id: &str, ip: &str, part: &str, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("engine cannot listen");
        let engine = Self {
            id: id.to_owned(),
            part: part.to_owned(),
            address: listener.local_addr().expect("address"),
            incarnation: Arc::new(AtomicU64::new(1)),
            crashes: Arc::default(),
            arrivals: Arc::default(),
            record: record.clone(),
        };
        let (running, store) = (engine.clone(), store.clone());
        running.register(&store, now_ms(), 1);
        thread::spawn(move || running.run(listener, &store));
        engine
    }

    fn register(&self, store: &Store, born: u64, seq: u64) {
        let value = format!(
            "{{\"service\":\"engines\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":{seq},\"born\":{born}}}",
            self.address
        );
        store.put(&format!("servers/{}", self.id), &value);
    }

    /// Runs one incarnation after the other.
    fn run(&self, first: TcpListener, store: &Store) {
        let mut listener = first;
        loop {
            let incarnation = self.incarnation.load(Ordering::SeqCst);
            listener.set_nonblocking(true).expect("listener");
            let (born, mut seq) = (now_ms(), 1);
            let mut beat_at = self.record.now();
            while !self.is_dead(incarnation) {
                if self.record.now() >= beat_at {
                    self.register(store, born, seq);
                    seq += 1;
                    beat_at += HEARTBEAT;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let engine = self.clone();
                        let _ = stream.set_nonblocking(false);
                        thread::spawn(move || engine.serve(stream, incarnation));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            thread::sleep(DOWN_FOR);
            listener = TcpListener::bind(self.address).expect("engine cannot listen again");
            self.record.line(&format!("{}: started again", self.id));
        }
    }

    fn is_dead(&self, incarnation: u64) -> bool {
        self.incarnation.load(Ordering::SeqCst) != incarnation
    }

    fn serve(&self, mut stream: TcpStream, incarnation: u64) {
        let Ok(copy) = stream.try_clone() else { return };
        let Some(request) = read_message(&mut BufReader::new(copy), false) else { return };
        let _ = stream.set_nodelay(true);
        let attempt = request.header("x-hickorydoor-attempt-id").unwrap_or_default().to_owned();
        let expected = request.header("x-hickorydoor-expect-instance").unwrap_or(&self.id);
        if expected != self.id {
            let headers = [("X-Hickorydoor-Attempt-Id", attempt.as_str())];
            write_response(&mut stream, "421 Misdirected Request", &headers, b"");
            return;
        }
        let has_part = self.has_part(&request);
        if has_part {
            let run =
                Run { at: self.record.now(), engine: self.id.clone(), attempt: attempt.clone() };
            self.arrivals.lock().unwrap().push(run);
        }
        self.record.line(&format!("{}: {attempt} arrives, with the part: {has_part}", self.id));
        thread::sleep(FIRST_EVENT);
        if self.is_dead(incarnation) {
            return;
        }
        if has_part {
            let next = incarnation + 1;
            let order = Ordering::SeqCst;
            if self.incarnation.compare_exchange(incarnation, next, order, order).is_ok() {
                self.crashes.lock().unwrap().push(self.record.now());
                self.record.line(&format!("{}: crashes as it begins to write {attempt}", self.id));
            }
            return;
        }
        let from = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Hickorydoor-Attempt-Id: {attempt}\r\n\
             X-Hickorydoor-Response-Seal: seal-{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        for number in from + 1..=EVENTS {
            if !is_open || self.is_dead(incarnation) {
                return;
            }
            let event = format!("id: {number}\ndata: word\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open = stream.write_all(chunk.as_bytes()).is_ok();
            thread::sleep(GAP);
        }
        if is_open && !self.is_dead(incarnation) {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
    }

    fn has_part(&self, request: &Message) -> bool {
        let parts = request.header("x-hickorydoor-prompt-prefix").unwrap_or_default();
        parts.split(',').any(|part| part.split(':').next() == Some(&self.part))
    }
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("clock").as_millis() as u64
}
