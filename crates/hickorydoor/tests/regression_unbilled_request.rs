//! The usage that a stopped entry left at a sleeping agent was looked for too early.
//!
//! The key-value service was away, so the entry never stored its bill, stopped and was not
//! started again. Its agent slept for 284 s, and an agent that wakes cannot tell how long an
//! entry has been silent: it waits for the whole 120 s before it writes the usage itself.

mod support;

use crate::support::bills;
use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

/// An agent writes the usage of an entry that it has not heard for this long.
const ENTRY_LOST_MS: u64 = 120_000;
/// Time from the start of the load to the agent's waking.
const AWAKE_MS: u64 = 2_641 + 60 + 284_000;
/// Longest pause between two tries of an agent's write.
const RETRY_MS: u64 = 5_000;

#[test]
fn usage_is_written_in_time_after_a_long_pause() {
    let faults = [
        (2_641, Fault::PauseAgent { agent: 254, ms: 284_000 }),
        (2_101, Fault::RestartEntry { entry: 29 }),
        (0, Fault::KvOutage { ms: 61_000 }),
    ];
    let mut fleet = Fleet::new(Setup::default(), 0);
    fleet.run_for(3_000);
    fleet.load(40_000, 60, &faults);
    fleet.run_until(3_000 + AWAKE_MS + ENTRY_LOST_MS + RETRY_MS);
    fleet.callers.check();
    bills::check(&fleet);
}
