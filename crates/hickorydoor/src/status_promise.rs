//! What the status of a response promises to the client that receives it.
//!
//! The same status means different things on the two sides of a gateway. A client takes 408, 421,
//! 429 and 503 as a promise that its request has not run and never will. An upstream that answers
//! with one of them, and does not state that it did not run the request, may well have run it.

/// HTTP statuses that promise that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// What a client concludes from the status of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusPromise {
    /// The request has not run and never will, so that it may be sent again.
    NotRun,
    /// The request may have run.
    Nothing,
}

impl StatusPromise {
    /// Returns what an HTTP status promises.
    pub fn of(status: u16) -> Self {
        if NOT_RUN_STATUSES.contains(&status) { Self::NotRun } else { Self::Nothing }
    }
}
