//! Guards against a ready entry that reports itself as not ready while an agent restarts.
//!
//! A lost link that is not yet reopened has no hello. It used to count as a link that the entry had
//! never attempted to open. If all entries were connected to the restarting agent, callers were
//! routed to an entry that had just started and knew no agent.

mod support;

use crate::support::fleet::Fleet;
use crate::support::fleet::ProcessId;
use crate::support::fleet::Setup;

#[test]
fn entry_stays_ready_while_an_agent_restarts() {
    let mut fleet = Fleet::new(Setup::default(), 1);
    fleet.run_for(5_000);
    assert!(fleet.entries.iter().all(|entry| entry.state.is_ready()));
    fleet.drain(ProcessId::Agent(0));
    for _ in 0..500 {
        fleet.run_for(10);
        fleet.restart_stopped();
        assert!(fleet.entries.iter().all(|entry| entry.state.is_ready()), "at {}", fleet.now_ms);
    }
}
