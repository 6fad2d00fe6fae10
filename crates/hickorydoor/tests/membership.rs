//! Links, draining, unresponsive agents and restarts.
//!
//! Guards against requests that a planned restart interrupts, work for agents that are draining or
//! unresponsive, and agents without a link from any entry.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hickorydoor::EntrySettings;
use hickorydoor::entry::link_plan::LinkPlan;
use hickorydoor::host_record::HostRecord;
use hickorydoor::host_record::HostRole;
use hickorydoor::host_record::HostState;
use hickorydoor::id::HostId;
use hickorydoor::id::Incarnation;
use hickorydoor::refusal::RefusalReason;
use proptest::prelude::any;
use proptest::prelude::proptest;

use crate::support::bills;
use crate::support::callers::Exchange;
use crate::support::callers::Outcome;
use crate::support::callers::RequestKind;
use crate::support::fleet::Fleet;
use crate::support::fleet::ProcessId;
use crate::support::fleet::Setup;
use crate::support::schedule;
use crate::support::schedule::Fault;

const AGENTS: usize = 12_000;
const DATA_CENTRES: usize = 32;
const REGIONS: usize = 9;

fn steady_fleet(setup: Setup, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(setup, seed);
    fleet.run_for(5_000);
    fleet
}

fn fault_free() -> Setup {
    Setup { upstream_fault_probability: 0.0, duplicate_probability: 0.0, ..Setup::default() }
}

fn record(index: usize) -> HostRecord {
    HostRecord {
        host: format!("agent-{index}").parse().expect("id"),
        role: HostRole::Agent,
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: format!("centre-{}", index % DATA_CENTRES).parse().expect("id"),
        region: format!("region-{}", index % DATA_CENTRES % REGIONS).parse().expect("id"),
        state: HostState::Live,
    }
}

fn settings(index: usize) -> EntrySettings {
    EntrySettings::new(
        format!("entry-{index}").parse().expect("id"),
        Incarnation::new(1),
        format!("centre-{}", index % DATA_CENTRES).parse().expect("id"),
        format!("region-{}", index % DATA_CENTRES % REGIONS).parse().expect("id"),
    )
}

#[test]
fn links_are_spread_evenly_over_agents() {
    // A data centre has more agents than an entry has links, so its entries connect to agents of
    // their own data centre only and one data centre is enough for the test.
    let records: Vec<HostRecord> = (0..AGENTS).step_by(DATA_CENTRES).map(record).collect();
    let mut links: BTreeMap<&HostId, usize> = records.iter().map(|r| (&r.host, 0)).collect();
    for index in (0..560).step_by(DATA_CENTRES) {
        let mut plan = LinkPlan::default();
        plan.choose(&settings(index), &records, &BTreeSet::new(), false);
        assert_eq!(plan.len(), 256);
        for record in records.iter().filter(|record| plan.contains(&record.host)) {
            *links.entry(&record.host).or_default() += 1;
        }
    }
    let (fewest, most) = (links.values().min(), links.values().max());
    println!("links of an agent: fewest {fewest:?}, most {most:?}");
    assert!(fewest >= Some(&4) && most <= Some(&20), "{fewest:?} {most:?}");
}

#[test]
fn a_changed_list_moves_few_links() {
    let records: Vec<HostRecord> = (0..AGENTS).map(record).collect();
    let mut before = LinkPlan::default();
    before.choose(&settings(0), &records, &BTreeSet::new(), false);
    let mut after = LinkPlan::default();
    after.choose(&settings(0), &records[DATA_CENTRES * 10..], &BTreeSet::new(), false);
    let kept = records.iter().filter(|r| before.contains(&r.host) && after.contains(&r.host));
    // The new list lacks 10 of the 375 agents of the entry's data centre.
    assert!(kept.count() >= 256 - 10);
}

#[test]
fn rare_services_are_found_and_kept() {
    let agents = 1_500;
    let records: Vec<HostRecord> = (0..agents).map(record).collect();
    let rare: HostId = "agent-7".parse().expect("id");
    let mut plan = LinkPlan::default();
    let mut lists = 0;
    while !plan.contains(&rare) {
        plan.choose(&settings(0), &records, &BTreeSet::new(), true);
        lists += 1;
        assert!(lists <= agents / 16, "the agent was not selected within {lists} host lists");
    }
    let sole_servers = BTreeSet::from([rare.clone()]);
    for _ in 0..20 {
        plan.choose(&settings(0), &records, &sole_servers, true);
        assert!(plan.contains(&rare));
        assert_eq!(plan.len(), 256);
    }
}

#[test]
fn an_unresponsive_agent_gets_no_work_after_three_seconds() {
    let mut fleet = steady_fleet(fault_free(), 1);
    fleet.load(2_000, 20, &[]);
    fleet.inject(Fault::PauseAgent { agent: 0, ms: 60_000 });
    fleet.load(3_000, 20, &[]);
    let host = fleet.agents[0].host.clone();
    for entry in &fleet.entries {
        let member = entry.state.members().get(&host).expect("member");
        assert!(!member.is_usable(entry.state.configuration()), "{}", entry.host);
    }
    fleet.run_for(120_000);
    for entry in &fleet.entries {
        let member = entry.state.members().get(&host).expect("member");
        assert!(member.is_usable(entry.state.configuration()), "{}", entry.host);
    }
    fleet.callers.check();
}

#[test]
fn a_leaving_host_gets_no_work_until_it_is_listed_as_live_again() {
    let mut fleet = steady_fleet(fault_free(), 1);
    fleet.agents[0].leaving = true;
    fleet.run_for(3_000);
    let before = fleet.upstream_calls.len();
    fleet.load(10_000, 50, &[]);
    assert!(fleet.upstream_calls[before..].iter().all(|(_, agent, _)| *agent != 0));
    fleet.agents[0].leaving = false;
    fleet.run_for(40_000);
    let before = fleet.upstream_calls.len();
    fleet.load(10_000, 50, &[]);
    assert!(fleet.upstream_calls[before..].iter().any(|(_, agent, _)| *agent == 0));
    fleet.run_for(60_000);
    assert_responses_complete(&fleet);
}

/// Restarts a process gracefully under load and waits for its next incarnation.
fn restart(fleet: &mut Fleet, node: ProcessId) {
    fleet.drain(node);
    let life = fleet.incarnation(node);
    let mut waited_ms = 0;
    // `Fleet::load` restarts stopped processes.
    while fleet.incarnation(node) == life {
        fleet.load(200, 40, &[]);
        waited_ms += 200;
        assert!(waited_ms < 60_000, "{node:?} did not stop within 60 s");
    }
    fleet.load(1_000, 40, &[]);
}

/// Asserts that every response was complete. Of the calls under one idempotency key, the first to
/// be claimed gets a complete response. The others may be refused as duplicates while it runs, in
/// whichever order they were sent.
fn assert_responses_complete(fleet: &Fleet) {
    let mut keyed: BTreeMap<u64, Vec<&Exchange>> = BTreeMap::new();
    for exchange in fleet.callers.exchanges.values() {
        match exchange.kind {
            RequestKind::KeyedWrite(_) => keyed.entry(exchange.number).or_default().push(exchange),
            _ => assert!(is_complete(exchange), "{exchange:?}"),
        }
    }
    for calls in keyed.values() {
        assert!(calls.iter().any(|call| is_complete(call)), "{calls:?}");
        let allowed = |call: &&Exchange| is_complete(call) || is_duplicate(call.outcome.as_ref());
        assert!(calls.iter().all(allowed), "{calls:?}");
    }
}

fn is_complete(exchange: &Exchange) -> bool {
    matches!(exchange.outcome, Some(Outcome::Complete | Outcome::Gone))
}

fn is_duplicate(outcome: Option<&Outcome>) -> bool {
    let Some(Outcome::Refused(refusal)) = outcome else {
        return false;
    };
    let reasons = [RefusalReason::DuplicateInProgress, RefusalReason::OutcomeUnknown];
    reasons.contains(&refusal.reason)
}

proptest! {
    #![proptest_config(schedule::config(3))]

    #[test]
    fn a_rolling_restart_interrupts_no_request(seed in any::<u64>()) {
        let mut fleet = steady_fleet(fault_free(), seed);
        fleet.load(1_000, 40, &[]);
        for index in 0..fleet.entries.len() {
            restart(&mut fleet, ProcessId::Entry(index));
        }
        for index in 0..fleet.agents.len() {
            restart(&mut fleet, ProcessId::Agent(index));
        }
        fleet.run_for(60_000);
        fleet.callers.check();
        bills::check(&fleet);
        assert_responses_complete(&fleet);
        for agent in &fleet.agents {
            assert!(agent.state.usage().is_empty(), "{} still holds usage", agent.host);
        }
    }

    #[test]
    fn agents_are_usable_again_after_faults(
        seed in any::<u64>(),
        faults in schedule::faults(20_000, 14),
    ) {
        let mut fleet = steady_fleet(Setup::default(), seed);
        fleet.load(20_000, 50, &faults);
        fleet.run_for(330_000);
        fleet.restart_stopped();
        fleet.run_for(20_000);
        fleet.callers.check();
        // Every agent is usable at every entry again.
        for entry in fleet.entries.iter().filter(|entry| entry.incarnation != 0) {
            for agent in &fleet.agents {
                let member = entry.state.members().get(&agent.host);
                let usable = member.is_some_and(|m| m.is_usable(entry.state.configuration()));
                assert!(usable, "{}: agent {} is not usable", entry.host, agent.host);
            }
        }
    }
}
