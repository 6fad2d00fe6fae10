//! What an upstream has said to its agent holds until the upstream has ended.

mod support;

use hickorydoor::AgentEvent;
use hickorydoor::DurationMs;
use hickorydoor::agent::event::ReportFault;
use hickorydoor::agent::event::UpstreamReport;
use hickorydoor::gateway::rate_limits::LimitNotice;
use hickorydoor::gateway::upstreams::UpstreamNotice;

use crate::support::callers::RequestKind;
use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;

const PAUSED: UpstreamNotice = UpstreamNotice {
    is_leaving: false,
    pause_ms: Some(DurationMs::from_secs(12)),
    limit: LimitNotice::Silent,
};

/// Returns how many of ten requests reach upstreams that all want a pause and do not report once.
fn calls_after(fault: ReportFault) -> usize {
    let setup = Setup { upstream_fault_probability: 0.0, ..Setup::default() };
    let mut fleet = Fleet::new(setup, 1);
    fleet.run_for(3_000);
    let steps = [
        AgentEvent::UpstreamNoticed(PAUSED),
        AgentEvent::UpstreamReport(Err(fault)),
        AgentEvent::UpstreamReport(Ok(UpstreamReport::default())),
    ];
    for agent in 0..fleet.agents.len() {
        for step in &steps {
            fleet.apply_to_agent(agent, step.clone());
        }
    }
    fleet.run_for(500);
    for _ in 0..10 {
        fleet.request(0, RequestKind::Write);
    }
    fleet.run_for(3_000);
    fleet.upstream_calls.len()
}

/// Guards against requests in a pause after a report that did not come in time.
#[test]
fn pause_outlives_a_report_that_is_missing() {
    assert_eq!(calls_after(ReportFault::NoReport), 0);
}

#[test]
fn pause_ends_with_the_process_that_asked_for_it() {
    assert_eq!(calls_after(ReportFault::NotListening), 10);
}
