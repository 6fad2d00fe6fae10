//! What an answer says of the upstream that gave it.

use crate::gateway::rate_limits::LimitNotice;
use crate::time::DurationMs;

/// Longest pause that an upstream may ask for.
const MAX_PAUSE_MS: f64 = 60_000.0;

/// What an answer says of the upstream that gave it, beside the answer itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamNotice {
    /// Whether the upstream is about to leave. It stays so until it starts again.
    pub is_leaving: bool,
    /// For how long the upstream wants no requests of this gateway.
    pub pause_ms: Option<DurationMs>,
    /// What the answer says about a limit on the requests of all gateways.
    pub limit: LimitNotice,
}

impl UpstreamNotice {
    /// Returns whether the answer says anything that a gateway does not assume of any upstream.
    pub const fn is_empty(&self) -> bool {
        !self.is_leaving
            && self.pause_ms.is_none()
            && !matches!(self.limit, LimitNotice::Limited(_))
    }
}

/// Reads a pause in seconds, which may have a fraction; a longer one than a minute is cut. `None` if
/// the text is no number of seconds.
pub fn parse_pause(text: &str) -> Option<DurationMs> {
    let seconds: f64 = text.trim().parse().ok()?;
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| DurationMs::new((seconds * 1_000.0).ceil().min(MAX_PAUSE_MS) as u64))
}
