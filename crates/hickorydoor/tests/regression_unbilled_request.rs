//! Checks that the usage a stopped entry left at a paused agent is written in time.
//!
//! The key-value service is unavailable, so the entry cannot store its bill; it stops and is not
//! started again. Its agent is paused for 284 s. An agent that resumes cannot tell how long an
//! entry has been unresponsive, so it waits the whole 120 s before it writes the usage itself. An
//! earlier version of this check expected the usage before that time had passed.

mod support;

use crate::support::bills;
use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

/// An agent writes the usage of an entry after it has received nothing from it for this long.
const ENTRY_LOST_MS: u64 = 120_000;
/// Time from the start of the load until the agent resumes.
const AGENT_RESUME_MS: u64 = 2_641 + 60 + 284_000;
/// Maximum interval between two attempts of an agent to write.
const MAX_WRITE_RETRY_MS: u64 = 5_000;

#[test]
fn usage_is_written_in_time_after_a_long_pause() {
    let faults = [
        (2_641, Fault::PauseAgent { agent: 254, ms: 284_000 }),
        (2_101, Fault::RestartEntry { entry: 29 }),
        (0, Fault::KvOutage { ms: 61_000 }),
    ];
    let mut fleet = Fleet::new(Setup::default(), 0);
    fleet.run_for(3_000);
    fleet.load(40_000, 60, &faults);
    fleet.run_until(3_000 + AGENT_RESUME_MS + ENTRY_LOST_MS + MAX_WRITE_RETRY_MS);
    fleet.callers.check();
    bills::check(&fleet);
}
