//! Decision about sending a request to an engine.

use crate::time::DurationMs;

/// Whether a request may be sent to an engine, as far as the parts of its prompt are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent.
    Allowed,
    /// The request may be sent as the only one with a suspected part.
    Trial,
    /// The request has to wait until the trial of a suspected part has ended.
    Held,
    /// The request is to be refused.
    Refused {
        /// Time until a request with the parts is tried again.
        retry_after_ms: DurationMs,
    },
}
