//! Guards against an entry that never uses an agent again after the agent revoked its draining
//! notice.
//!
//! The notice was delivered twice, and the copy arrived after the agent's new hello.

mod support;

use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

#[test]
fn agent_is_used_again_after_a_doubled_notice() {
    let faults = [
        (751, Fault::RestartAgent { agent: 114 }),
        (351, Fault::PauseEntry { entry: 21, ms: 30_000 }),
        (801, Fault::PauseEntry { entry: 78, ms: 500 }),
    ];
    let mut fleet = Fleet::new(Setup::default(), 658_769_798_029_125_649);
    fleet.run_for(5_000);
    fleet.load(20_000, 50, &faults);
    fleet.run_for(330_000);
    fleet.restart_stopped();
    fleet.run_for(20_000);
    for entry in fleet.entries.iter().filter(|entry| entry.incarnation != 0) {
        for agent in &fleet.agents {
            let member = entry.state.members().get(&agent.host);
            let usable = member.is_some_and(|m| m.is_usable(entry.state.configuration()));
            assert!(usable, "{} does not use {}", entry.host, agent.host);
        }
    }
}
