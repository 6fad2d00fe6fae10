//! Guards against a write that runs twice because its dispatch was delivered twice.
//!
//! The agent dropped an attempt once its response was delivered, so a late copy of the dispatch was
//! admitted as a new attempt.

mod support;

use crate::support::callers::RequestKind;
use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;

#[test]
fn doubled_dispatch_runs_a_write_once() {
    let setup =
        Setup { duplicate_probability: 1.0, upstream_fault_probability: 0.0, ..Setup::default() };
    let mut fleet = Fleet::new(setup, 1);
    fleet.run_for(3_000);
    for _ in 0..20 {
        fleet.request(0, RequestKind::Write);
        fleet.run_for(100);
    }
    fleet.run_for(60_000);
    fleet.callers.check();
    assert!(fleet.callers.agents_by_call.values().all(|agents| agents.len() == 1));
}
