//! An attempt that a gateway closed before its answer was complete.

use crate::gateway::quarantine::engine_end::EngineEnd;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long before the end of an engine an attempt may have been closed that has caused it.
pub(super) const DEPARTURE_WINDOW_MS: DurationMs = DurationMs::new(500);
/// The same if the end was only noticed by the next connection.
pub(super) const LATE_DEPARTURE_WINDOW_MS: DurationMs = DurationMs::from_secs(2);

/// An attempt that the gateway closed before its answer was complete.
#[derive(Clone, Debug)]
pub(super) struct Departure {
    pub(super) at: TimeMs,
    pub(super) end: EngineEnd,
}
