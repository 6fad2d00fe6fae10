//! Batch size and tick interval of the tasks that own a reducer.

use std::time::Duration;

use tokio::time::Interval;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

/// Maximum number of inputs that are received from a channel at once.
pub const MAX_BATCH: usize = 64;
/// The reducers require a tick at least every 100 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the timer for the ticks of a reducer. Ticks that were missed are skipped.
pub fn ticks() -> Interval {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
