//! Guards against a draining agent that waits for the deadlines of responses already delivered.
//!
//! The entry did not acknowledge the end of an attempt, so the agent kept it until its deadline.

mod support;

use crate::support::callers::RequestKind;
use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

#[test]
fn agent_leaves_soon_after_its_answers() {
    let setup =
        Setup { engines: 1, services: 0, upstream_fault_probability: 0.0, ..Setup::default() };
    let mut fleet = Fleet::new(setup, 1);
    fleet.run_for(3_000);
    for _ in 0..10 {
        fleet.request(0, RequestKind::Streaming);
        fleet.request(1, RequestKind::NonStreaming);
    }
    fleet.run_for(100);
    fleet.inject(Fault::RestartAgent { agent: 0 });
    // The responses take at most 3 s, and bills are stored every 5 s.
    fleet.run_for(12_000);
    assert!(fleet.agents[0].stopped);
    fleet.callers.check();
}
