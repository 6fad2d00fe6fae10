//! Guards against usage copies that an agent never drops after a lost settlement.
//!
//! A settlement was sent only once. If the link was lost meanwhile, the agent retained its copies
//! for as long as the entry process ran.

mod support;

use crate::support::bills;
use crate::support::callers::RequestKind;
use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

#[test]
fn copies_are_dropped_although_settlements_were_lost() {
    let setup =
        Setup { upstream_fault_probability: 0.0, duplicate_probability: 0.0, ..Setup::default() };
    let mut fleet = Fleet::new(setup, 1);
    fleet.run_for(3_000);
    for round in 0..40 {
        fleet.request(0, RequestKind::NonStreaming);
        fleet.run_for(250);
        fleet.inject(Fault::CutLink { entry: 0, agent: round % setup.engines, late: false });
    }
    fleet.run_for(90_000);
    let copies: usize = fleet.agents.iter().map(|agent| agent.state.usage().len()).sum();
    assert_eq!(copies, 0);
    bills::check(&fleet);
}
