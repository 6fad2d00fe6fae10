//! An engine, or a server of a plain service: registers itself in the store by heartbeats, and
//! serves requests as PROTOCOL.md describes.

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

use crate::http::Message;
use crate::http::serve;
use crate::http::write_response;
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that an engine began to work on.
#[derive(Clone, Debug)]
#[allow(dead_code)] // The engine is shown in the record.
pub struct Run {
    pub at: Duration,
    pub engine: String,
    pub attempt: String,
}

#[derive(Clone, Debug)]
pub struct Registration {
    pub state: &'static str,
}

/// Answers a request that was recorded as run; returns whether the connection is kept.
pub type Answer = Box<dyn Fn(&Engine, &Message, &mut TcpStream) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub registration: Arc<Mutex<Registration>>,
    /// All requests that reached the engine, also those that it did not run.
    pub arrivals: Arc<Mutex<Vec<Run>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
    /// Writes the registration to the store.
    write: Arc<dyn Fn(&Engine) + Send + Sync>,
}

impl Engine {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        ip: &str,
        slots: u32,
        store: &Store,
        record: &Record,
        answer: Answer,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("engine cannot listen");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock").as_millis();
        let (service, zone, store) = (service.to_owned(), zone.to_owned(), store.clone());
        let seq = AtomicU64::new(1);
        let write = Arc::new(move |engine: &Engine| {
            let known = engine.registration.lock().unwrap();
            let value = format!(
                "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"{}\",\
                 \"cold_remaining_ms\":0,\"seq\":{},\"born\":{born}}}",
                engine.address,
                known.state,
                seq.fetch_add(1, Ordering::Relaxed)
            );
            store.put(&format!("servers/{}", engine.id), &value);
        });
        let engine = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("address"),
            registration: Arc::new(Mutex::new(Registration { state: "ready" })),
            arrivals: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
            write,
        };
        let served = engine.clone();
        serve(listener, move |request, stream| served.handle(request, stream, &answer));
        let beating = engine.clone();
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    /// Writes the registration, as a heartbeat does.
    pub fn beat(&self) {
        (self.write)(self);
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream, answer: &Answer) -> bool {
        let attempt = request.header("x-hickorydoor-attempt-id").unwrap_or_default().to_owned();
        let expected = request.header("x-hickorydoor-expect-instance").unwrap_or(&self.id);
        if expected != self.id {
            let headers = [
                ("X-Hickorydoor-Instance-Id", self.id.as_str()),
                ("X-Hickorydoor-Attempt-Id", attempt.as_str()),
            ];
            return write_response(stream, "421 Misdirected Request", &headers, b"");
        }
        let run = Run { at: self.record.now(), engine: self.id.clone(), attempt };
        self.arrivals.lock().unwrap().push(run);
        answer(self, request, stream)
    }

    /// Records that the engine begins to work on a request.
    pub fn begin(&self, request: &Message) -> String {
        let attempt = request.header("x-hickorydoor-attempt-id").unwrap_or_default().to_owned();
        let tenant = request.header("x-hickorydoor-tenant").unwrap_or("-");
        self.record.line(&format!("{}: runs {attempt} {} of {tenant}", self.id, request.word(1)));
        let run = Run { at: self.record.now(), engine: self.id.clone(), attempt: attempt.clone() };
        self.runs.lock().unwrap().push(run);
        attempt
    }

    /// Works on a request for a while and answers it whole.
    pub fn answer_whole(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        work: Duration,
        more: &[(&str, &str)],
    ) -> bool {
        let attempt = self.begin(request);
        thread::sleep(work);
        let seal = format!("seal-{attempt}");
        let mut headers = vec![
            ("X-Hickorydoor-Attempt-Id", attempt.as_str()),
            ("X-Hickorydoor-Response-Seal", seal.as_str()),
            ("Content-Type", "application/json"),
        ];
        headers.extend_from_slice(more);
        let body = format!("{{\"engine\":\"{}\",\"attempt\":\"{attempt}\"}}", self.id);
        write_response(stream, "200 OK", &headers, body.as_bytes())
    }

    /// Answers with a whole stream of numbered events.
    pub fn answer_stream(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        events: u32,
        gap: Duration,
    ) -> bool {
        let attempt = self.begin(request);
        if !self.write_head(stream, &attempt, "200 OK", "text/event-stream") {
            return false;
        }
        for number in 1..=events {
            thread::sleep(gap);
            let event = format!("id: {number}\ndata: {attempt} word {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Writes the head of a sealed answer in chunks.
    pub fn write_head(
        &self,
        stream: &mut TcpStream,
        attempt: &str,
        status: &str,
        kind: &str,
    ) -> bool {
        let head = format!(
            "HTTP/1.1 {status}\r\nX-Hickorydoor-Attempt-Id: {attempt}\r\n\
             X-Hickorydoor-Response-Seal: seal-{attempt}\r\nContent-Type: {kind}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).is_ok()
    }
}
