//! Clock that also advances while the host is suspended.

use std::time::Instant;

use hickorydoor::TimeMs;
use log::error;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Clock that counts the milliseconds since the host booted, including the time while the host was
/// suspended.
///
/// Adjustments of the wall clock do not affect it.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    created_at: Instant,
}

impl BootClock {
    /// Creates a clock. If the boot-time clock cannot be read, it falls back to the time since this
    /// call.
    pub fn new() -> Self {
        Self { created_at: Instant::now() }
    }

    /// Returns the milliseconds since boot.
    pub fn now(&self) -> TimeMs {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => {
                TimeMs::new(time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000)
            }
            Err(reason) => {
                error!(reason:% = reason; "cannot read CLOCK_BOOTTIME; using process uptime");
                TimeMs::new(self.created_at.elapsed().as_millis() as u64)
            }
        }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}
