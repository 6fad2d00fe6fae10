//! Guards against a response body that reaches the caller without its head.
//!
//! The message with the response head was lost with its link. The first chunk arrived over the next
//! link before the entry had requested a resume, and was accepted because its offset was expected.

mod support;

use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

#[test]
fn chunk_without_a_head_is_requested_again() {
    let faults = [
        (13_981, Fault::CutLink { entry: 43, agent: 172, late: false }),
        (12_121, Fault::CrashAgent { agent: 203, down_ms: 8_620 }),
        (6_241, Fault::RestartAgent { agent: 94 }),
    ];
    let setup = Setup { duplicate_probability: 0.0, ..Setup::default() };
    let mut fleet = Fleet::new(setup, 17_629_248_820_670_870_721);
    fleet.run_for(5_000);
    fleet.load(20_000, 60, &faults);
    fleet.run_for(5_000);
    fleet.callers.check();
}
