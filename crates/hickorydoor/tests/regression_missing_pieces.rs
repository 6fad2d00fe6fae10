//! Pieces of an answer were missing at its caller.
//!
//! Two pauses of an agent overlapped, and the fleet delivered what had arrived in the second one
//! before what had arrived in the first. A connection keeps its order over pauses.

mod support;

use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

#[test]
fn answer_has_all_pieces() {
    let faults = [
        (9_721, Fault::RestartAgent { agent: 61 }),
        (11_161, Fault::PauseEntry { entry: 65, ms: 32_000 }),
        (8_701, Fault::CutLink { entry: 53, agent: 131, late: false }),
        (11_941, Fault::PauseAgent { agent: 136, ms: 5_940 }),
        (11_401, Fault::PauseAgent { agent: 22, ms: 1_380 }),
        (4_921, Fault::CutLink { entry: 0, agent: 66, late: false }),
    ];
    let setup = Setup { double_chance: 0.0, ..Setup::default() };
    let mut fleet = Fleet::new(setup, 6_250_475_243_888_650_056);
    fleet.run_for(5_000);
    fleet.load(20_000, 60, &faults);
    fleet.run_for(60_000);
    fleet.callers.check();
}
