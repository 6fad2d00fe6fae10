//! Record of what a caller's connection has carried, from its first byte to its end.

use std::cell::Cell;
use std::cell::RefCell;

use compact_str::CompactString;
use hickorydoor::TimeMs;

use crate::memory_hold::MemoryHold;

/// How a caller's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Each request that was read has its whole response.
    Complete,
    /// No request arrived in time, or the connection gave way to others.
    Idle,
    /// There was no memory to read a request.
    Refused,
    /// The connection failed, or broke off in a request that was not read to its end.
    Failed,
    /// A request had been read and its response was not sent whole.
    Unanswered,
}

impl ConnectionEnd {
    /// Returns the name for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Idle => "idle",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Requests of one connection, and how far the last one has come.
#[derive(Debug)]
pub struct ConnectionTrace {
    /// Number of the connection among those on which something has arrived.
    pub number: u64,
    /// When the first byte arrived.
    pub first_byte_at: TimeMs,
    requests: Cell<u32>,
    unanswered: RefCell<Option<CompactString>>,
    /// Memory of the connection, whose caller has to go on between requests.
    hold: MemoryHold,
}

impl ConnectionTrace {
    /// Creates the record of a connection without requests.
    pub const fn new(number: u64, first_byte_at: TimeMs, hold: MemoryHold) -> Self {
        let unanswered = RefCell::new(None);
        Self { number, first_byte_at, requests: Cell::new(0), unanswered, hold }
    }

    /// Records that the head of a request has been read.
    pub fn begin_request(&self, client_attempt: &str) {
        self.requests.set(self.requests.get() + 1);
        self.unanswered.replace(Some(client_attempt.into()));
        self.hold.rest();
    }

    /// Records that the response to the last request has been handed over whole.
    pub fn end_request(&self) {
        if self.unanswered.take().is_some() {
            self.hold.progress();
        }
    }

    /// Waits until the connection is to give way to others.
    pub async fn evicted(&self) {
        self.hold.evicted().await;
    }

    /// Returns the number of requests that have been read.
    pub const fn requests(&self) -> u32 {
        self.requests.get()
    }

    /// Returns whether a request has no whole response.
    pub fn has_open_request(&self) -> bool {
        self.unanswered.borrow().is_some()
    }

    /// Returns the client's id of the request that has no whole response.
    pub fn unanswered(&self) -> Option<CompactString> {
        self.unanswered.borrow().clone()
    }

    /// Returns how the connection ended, from the result of serving it.
    pub fn end(&self, result: &hyper::Result<()>) -> ConnectionEnd {
        match result {
            _ if self.has_open_request() => ConnectionEnd::Unanswered,
            Ok(()) => ConnectionEnd::Complete,
            Err(error) if error.is_timeout() => ConnectionEnd::Idle,
            Err(_error) => ConnectionEnd::Failed,
        }
    }
}
