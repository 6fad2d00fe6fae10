//! The clock that the daemon passes to its reducer.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hickorydoor::TimeMs;

/// A clock that starts at the system's time and never goes back.
///
/// Steps of the system's clock after the start do not show, so durations stay right.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_at_ms: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), started_at_ms: since_epoch.as_millis() as u64 }
    }

    /// The current time.
    pub fn now(&self) -> TimeMs {
        TimeMs::new(self.started_at_ms + self.started.elapsed().as_millis() as u64)
    }
}
