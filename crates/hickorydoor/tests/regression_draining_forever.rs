//! Guards against entries that open no link to an agent after its graceful restart.
//!
//! The draining flag of the earlier incarnation was cleared only by a hello, but no link, and thus
//! no hello, was possible while the flag was set.

mod support;

use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

#[test]
fn a_restarted_agent_is_linked_again() {
    let setup =
        Setup { upstream_fault_probability: 0.0, duplicate_probability: 0.0, ..Setup::default() };
    let mut fleet = Fleet::new(setup, 1);
    fleet.run_for(3_000);
    fleet.inject(Fault::RestartAgent { agent: 1 });
    fleet.run_for(1_000);
    fleet.restart_stopped();
    fleet.run_for(8_000);
    assert_eq!(fleet.agents[1].state.revision().get(), fleet.revision);
}
