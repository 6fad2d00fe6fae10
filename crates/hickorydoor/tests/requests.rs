//! Requests over faulty links, restarts and pauses.
//!
//! Guards against answers that are cut, mixed up or lost without an error, against writes that
//! run twice, against a false "not run", and against requests that are billed twice or not at all.

mod support;

use proptest::prelude::any;
use proptest::prelude::proptest;

use crate::support::bills;
use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule;

/// Virtual time under load.
const LOAD_MS: u64 = 40_000;
/// Virtual time after which every exchange has ended; pauses and deadlines are shorter.
const SETTLE_MS: u64 = 330_000;

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
