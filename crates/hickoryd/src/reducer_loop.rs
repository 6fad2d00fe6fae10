//! What the tasks that own a reducer have in common.

use std::time::Duration;

use tokio::time::Interval;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

/// Inputs that are taken from a channel at once.
pub const MAX_BATCH: usize = 64;
/// The reducers want a tick at least every 100 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The ticks of a reducer; those missed by a pause are not made up for.
pub fn ticks() -> Interval {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
