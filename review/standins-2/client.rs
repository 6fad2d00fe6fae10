//! Callers: requests that are sent at set times, and what they got.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http::End;
use crate::http::Request;
use crate::http::Response;
use crate::http::call;
use crate::record::Record;

/// Host name of all routes.
pub const HOST: &str = "api.example";

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub attempt: String,
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub deadline_ms: u64,
    /// Headers beside the usual ones.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub sent_ms: u64,
    pub attempt: String,
    /// `None` if the connection ended without an answer.
    pub response: Option<Response>,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, |response| response.status)
    }

    pub fn is_served(&self) -> bool {
        self.response.as_ref().is_some_and(Response::is_served)
    }

    /// Returns whether the answer was broken off, or there was none.
    pub fn is_broken(&self) -> bool {
        self.response.as_ref().is_none_or(|response| response.end != End::Complete)
    }
}

/// All callers of a case.
#[derive(Clone)]
pub struct Callers {
    record: Record,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    open: Arc<AtomicUsize>,
}

impl Callers {
    pub fn new(record: &Record) -> Self {
        Self { record: record.clone(), outcomes: Arc::default(), open: Arc::default() }
    }

    /// Sends a request on a connection of its own, without waiting for the answer.
    pub fn send(&self, gateway: SocketAddr, request: Call) {
        let callers = self.clone();
        self.open.fetch_add(1, Ordering::SeqCst);
        thread::spawn(move || {
            let outcome = callers.run(gateway, &request);
            callers.outcomes.lock().unwrap().push(outcome);
            callers.open.fetch_sub(1, Ordering::SeqCst);
        });
    }

    fn run(&self, gateway: SocketAddr, request: &Call) -> Outcome {
        let Call { attempt, method, path, key, deadline_ms, headers, body } = request;
        let mut all = vec![
            ("Host".to_owned(), HOST.to_owned()),
            ("X-Hickorydoor-Attempt-Id".to_owned(), attempt.clone()),
            ("X-Hickorydoor-Deadline-Ms".to_owned(), deadline_ms.to_string()),
            ("X-Hickorydoor-Key".to_owned(), key.clone()),
        ];
        all.extend(headers.clone());
        let message = Request {
            method: (*method).to_owned(),
            target: path.clone(),
            headers: all,
            body: body.clone(),
        };
        let sent_ms = self.record.now_ms();
        self.record.line(&format!("request {attempt} {method} {path} is sent to {gateway}"));
        let response = call(gateway, &message, Duration::from_millis(deadline_ms + 500)).ok();
        let outcome = Outcome { sent_ms, attempt: attempt.clone(), response };
        let what = match &outcome.response {
            None => "has no answer".to_owned(),
            Some(Response { status, end, body, .. }) => {
                format!("is answered {status}, {} bytes, {end:?}", body.len())
            }
        };
        self.record.line(&format!("request {attempt} {what}"));
        outcome
    }

    /// Waits until all requests have ended.
    pub fn wait(&self) {
        while self.open.load(Ordering::SeqCst) > 0 {
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().unwrap().clone()
    }
}
