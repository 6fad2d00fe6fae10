//! A ready entry said that it was not ready while one agent restarted.
//!
//! Its link to the agent was lost and not yet opened again, and a link without a hello counted as
//! one that was never tried. Where all entries were linked to that agent, callers were sent to an
//! entry that had just started and knew no agent.

mod support;

use crate::support::fleet::Fleet;
use crate::support::fleet::Node;
use crate::support::fleet::Setup;

#[test]
fn entry_stays_ready_while_an_agent_restarts() {
    let mut fleet = Fleet::new(Setup::default(), 1);
    fleet.run_for(5_000);
    assert!(fleet.entries.iter().all(|entry| entry.state.is_ready()));
    fleet.drain(Node::Agent(0));
    for _ in 0..500 {
        fleet.run_for(10);
        fleet.start_stopped();
        assert!(fleet.entries.iter().all(|entry| entry.state.is_ready()), "at {}", fleet.now_ms);
    }
}
