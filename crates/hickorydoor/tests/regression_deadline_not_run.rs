//! Guards against reporting a request as "not run" that may have run before its deadline passed.
//!
//! The run state used to change only when the first message from the agent arrived. A write that
//! had been dispatched to a paused agent was therefore reported as never forwarded.

mod support;

use crate::support::callers::Outcome;
use crate::support::callers::RequestKind;
use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

use hickorydoor::refusal::RunState;

#[test]
fn missed_deadline_of_a_dispatched_write_is_unknown() {
    let setup = Setup { upstream_fault_probability: 0.0, services: 1, ..Setup::default() };
    let mut fleet = Fleet::new(setup, 1);
    fleet.run_for(3_000);
    let caller = fleet.request(0, RequestKind::Write);
    fleet.inject(Fault::PauseAgent { agent: setup.engines, ms: 60_000 });
    fleet.run_for(100_000);
    let outcome = fleet.callers.exchanges[&caller].outcome.clone();
    let Some(Outcome::Refused(refusal)) = outcome else {
        panic!("the write was not refused: {outcome:?}");
    };
    assert_eq!(refusal.run, RunState::Unknown);
    fleet.callers.check();
}
