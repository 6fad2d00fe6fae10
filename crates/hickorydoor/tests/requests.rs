//! Property test of requests under lost links, restarts and pauses.
//!
//! Guards against responses that are truncated, mixed up or lost without an error, against writes
//! that run twice, against a false "not run", and against requests that are billed twice or not at
//! all.

mod support;

use proptest::prelude::any;
use proptest::prelude::proptest;

use crate::support::bills;
use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule;
use crate::support::schedule::MAX_PAUSE_MS;

/// Simulated time under load.
const LOAD_MS: u64 = 40_000;
/// An agent writes the usage of an entry after it has received nothing from it for this long.
const ENTRY_LOST_MS: u64 = 120_000;
/// Simulated time after which every exchange has ended and every agent that was paused has written
/// the usage that lost entries left with it.
const SETTLE_MS: u64 = MAX_PAUSE_MS + ENTRY_LOST_MS + 45_000;

proptest! {
    #![proptest_config(schedule::config(12))]

    #[test]
    fn answers_are_whole_and_writes_run_once(
        seed in any::<u64>(),
        faults in schedule::faults(LOAD_MS, 12),
    ) {
        let mut fleet = Fleet::new(Setup::default(), seed);
        fleet.run_for(3_000);
        fleet.load(LOAD_MS, 60, &faults);
        fleet.run_for(SETTLE_MS);
        fleet.callers.check();
        bills::check(&fleet);
    }
}
