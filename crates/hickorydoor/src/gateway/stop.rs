//! When a stopping gateway refuses requests and answers the open ones.

use crate::time::TimeMs;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Stop {
    /// From when on all new requests are rejected.
    pub refuse_from: TimeMs,
    /// When the requests that have not ended are answered.
    pub answer_at: TimeMs,
}
