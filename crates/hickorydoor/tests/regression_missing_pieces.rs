//! Guards against responses that reach the caller with chunks missing.
//!
//! The fault was in the simulated fleet, when two pauses of an agent overlapped. Messages from the
//! second pause were delivered before those from the first, or the agent resumed while messages
//! from the longer pause were still queued. A connection must keep its order across pauses.

mod support;

use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

#[test]
fn answer_has_all_chunks() {
    let faults = [
        (9_721, Fault::RestartAgent { agent: 61 }),
        (11_161, Fault::PauseEntry { entry: 65, ms: 32_000 }),
        (8_701, Fault::CutLink { entry: 53, agent: 131, late: false }),
        (11_941, Fault::PauseAgent { agent: 136, ms: 5_940 }),
        (11_401, Fault::PauseAgent { agent: 22, ms: 1_380 }),
        (4_921, Fault::CutLink { entry: 0, agent: 66, late: false }),
    ];
    let setup = Setup { duplicate_probability: 0.0, ..Setup::default() };
    let mut fleet = Fleet::new(setup, 6_250_475_243_888_650_056);
    fleet.run_for(5_000);
    fleet.load(20_000, 60, &faults);
    fleet.run_for(60_000);
    fleet.callers.check();
}

#[test]
fn answer_has_all_chunks_after_a_pause_within_a_longer_one() {
    let faults = [
        (32_161, Fault::PauseAgent { agent: 18, ms: 48_000 }),
        (3_901, Fault::CutLink { entry: 20, agent: 213, late: false }),
        (25_501, Fault::CrashEntry { entry: 8, down_ms: 1_780 }),
        (1_501, Fault::CutLink { entry: 2, agent: 50, late: false }),
        (32_341, Fault::PauseAgent { agent: 30, ms: 1_700 }),
    ];
    let mut fleet = Fleet::new(Setup::default(), 909_235_562_047_635_721);
    fleet.run_for(3_000);
    fleet.load(40_000, 60, &faults);
    fleet.run_for(90_000);
    fleet.callers.check();
}
