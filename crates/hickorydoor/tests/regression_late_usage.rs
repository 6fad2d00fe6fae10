//! Guards against usage copies that an idle agent never drops.
//!
//! An attempt can end after its bill was stored. Its settlement then reaches the agent before the
//! usage is recorded there, and no later message told the agent which requests are settled.

mod support;

use hickorydoor::EntryEvent;
use hickorydoor::id::CallerId;

use crate::support::callers::Outcome;
use crate::support::callers::RequestKind;
use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

#[test]
fn usage_that_arrives_late_is_settled() {
    let setup = Setup {
        entries: 1,
        services: 1,
        upstream_fault_probability: 0.0,
        duplicate_probability: 0.0,
        ..Setup::default()
    };
    let mut fleet = Fleet::new(setup, 1);
    fleet.run_for(3_000);
    // A request in flight keeps all later serial numbers above the settled bound.
    fleet.inject(Fault::PauseAgent { agent: setup.engines, ms: 1_900 });
    fleet.request(0, RequestKind::Write);
    fleet.run_for(1_900);
    for key in 0..20 {
        let caller = fleet.request(0, RequestKind::KeyedWrite(key));
        fleet.run_for(30);
        let exchange = fleet.callers.exchanges.get_mut(&caller).expect("caller");
        exchange.outcome = Some(Outcome::Gone);
        fleet.apply_to_entry(0, EntryEvent::CallerGone { caller: CallerId::new(caller) });
        fleet.run_for(250);
    }
    fleet.run_for(30_000);
    let copies: usize = fleet.agents.iter().map(|agent| agent.state.usage().len()).sum();
    assert_eq!(copies, 0);
}
