//! An agent that was restarted gracefully got no links from the entries that knew it.
//!
//! The draining mark of its earlier life was only cleared by a hello, and no link was opened to a
//! draining agent.

mod support;

use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

#[test]
fn a_restarted_agent_is_linked_again() {
    let setup = Setup { upstream_fault_chance: 0.0, double_chance: 0.0, ..Setup::default() };
    let mut fleet = Fleet::new(setup, 1);
    fleet.run_for(3_000);
    fleet.apply(Fault::RestartAgent { agent: 1 });
    fleet.run_for(1_000);
    fleet.start_stopped();
    fleet.run_for(8_000);
    assert_eq!(fleet.agents[1].state.revision().get(), fleet.revision);
}
