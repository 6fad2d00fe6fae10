//! Usage of an attempt that ended after its bill was stored stayed at an idle agent.
//!
//! The settlement named the request before the agent had its usage, and no later message to the
//! agent told how far all was settled.

mod support;

use hickorydoor::EntryEvent;
use hickorydoor::id::CallerId;

use crate::support::callers::Kind;
use crate::support::callers::Outcome;
use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

#[test]
fn usage_that_arrives_late_is_settled() {
    let setup = Setup {
        entries: 1,
        services: 1,
        upstream_fault_chance: 0.0,
        double_chance: 0.0,
        ..Setup::default()
    };
    let mut fleet = Fleet::new(setup, 1);
    fleet.run_for(3_000);
    // A request in flight holds back the lowest number that is not settled.
    fleet.apply(Fault::PauseAgent { agent: setup.engines, ms: 1_900 });
    fleet.request(0, Kind::Write);
    fleet.run_for(1_900);
    for key in 0..20 {
        let caller = fleet.request(0, Kind::KeyedWrite(key));
        fleet.run_for(30);
        let exchange = fleet.callers.exchanges.get_mut(&caller).expect("caller");
        exchange.outcome = Some(Outcome::Gone);
        fleet.at_entry(0, EntryEvent::CallerGone { caller: CallerId::new(caller) });
        fleet.run_for(250);
    }
    fleet.run_for(30_000);
    let copies: usize = fleet.agents.iter().map(|agent| agent.state.usage().len()).sum();
    assert_eq!(copies, 0);
}
