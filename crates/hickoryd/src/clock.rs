//! Clock from which the daemon passes the current time to its reducer.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hickorydoor::TimeMs;

/// Monotonic clock that starts at the system time.
///
/// It ignores changes of the system time after the start, so that durations stay correct.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_at_ms: u64,
}

impl Clock {
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), started_at_ms: since_epoch.as_millis() as u64 }
    }

    pub fn now(&self) -> TimeMs {
        TimeMs::new(self.started_at_ms + self.started.elapsed().as_millis() as u64)
    }
}
