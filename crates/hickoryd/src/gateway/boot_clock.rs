//! A clock that goes on while the host is suspended.

use std::time::Instant;

use hickorydoor::TimeMs;
use log::error;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Milliseconds since the host started, suspended time included.
///
/// Steps of the time of day do not show.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    started: Instant,
}

impl BootClock {
    /// The clock of this host.
    pub fn new() -> Self {
        Self { started: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> TimeMs {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => {
                TimeMs::new(time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000)
            }
            Err(reason) => {
                error!(reason:% = reason; "the boot-time clock cannot be read");
                TimeMs::new(self.started.elapsed().as_millis() as u64)
            }
        }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}
