//! At-most-once execution of writes with an idempotency key.
//!
//! Sends retries through other entries and agents, during restarts, crashes and store outages.
//! Guards against a second run under the same key, a lost first response, and a refusal as "not
//! run" of a call that was run.

mod support;

use hickorydoor::Refusal;
use hickorydoor::refusal::RefusalReason;
use hickorydoor::refusal::RunState;
use hickorydoor::store::keys;
use proptest::prelude::any;
use proptest::prelude::proptest;

use crate::support::callers::Outcome;
use crate::support::callers::RequestKind;
use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule;
use crate::support::schedule::Fault;

const KEYED_WRITE: RequestKind = RequestKind::KeyedWrite(1);

fn fleet_without_faults() -> Fleet {
    let setup =
        Setup { upstream_fault_probability: 0.0, duplicate_probability: 0.0, ..Setup::default() };
    let mut fleet = Fleet::new(setup, 1);
    fleet.run_for(3_000);
    fleet
}

fn outcome(fleet: &Fleet, caller: u64) -> Outcome {
    fleet.callers.exchanges[&caller].outcome.clone().expect("the exchange has ended")
}

fn refusal(fleet: &Fleet, caller: u64) -> Refusal {
    match outcome(fleet, caller) {
        Outcome::Refused(refusal) => refusal,
        other => panic!("the call was not refused: {other:?}"),
    }
}

#[test]
fn retries_through_other_entries_and_agents_get_the_first_response() {
    let mut fleet = fleet_without_faults();
    let first = fleet.request(0, KEYED_WRITE);
    fleet.run_for(5_000);
    assert_eq!(outcome(&fleet, first), Outcome::Complete);
    for round in 0..20 {
        let retry = fleet.request(round % 3, KEYED_WRITE);
        fleet.run_for(200);
        assert_eq!(outcome(&fleet, retry), Outcome::Complete);
    }
    fleet.callers.check();
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut fleet = fleet_without_faults();
    fleet.request(0, KEYED_WRITE);
    fleet.run_for(5_000);
    for entry in 0..3 {
        let other = fleet.request(entry, RequestKind::OtherKeyedWrite(1));
        fleet.run_for(200);
        let refusal = refusal(&fleet, other);
        assert_eq!(refusal.reason, RefusalReason::KeyReused);
        assert_eq!(refusal.run, RunState::NotRun);
    }
    fleet.callers.check();
}

#[test]
fn keyed_writes_are_refused_as_not_run_while_the_store_is_down() {
    let mut fleet = fleet_without_faults();
    fleet.inject(Fault::KvOutage { ms: 60_000 });
    let callers: Vec<u64> =
        (0..20).map(|key| fleet.request(0, RequestKind::KeyedWrite(key))).collect();
    fleet.run_for(10_000);
    for caller in callers {
        let refusal = refusal(&fleet, caller);
        assert_eq!(refusal.reason, RefusalReason::StoreUnavailable);
        assert_eq!(refusal.run, RunState::NotRun);
        assert!(refusal.retry_after_ms.is_some());
    }
    fleet.run_for(120_000);
    // Claims that may have been stored during the outage are deleted, so every key is usable again.
    let retries: Vec<u64> =
        (0..20).map(|key| fleet.request(1, RequestKind::KeyedWrite(key))).collect();
    fleet.run_for(10_000);
    for caller in retries {
        assert_eq!(outcome(&fleet, caller), Outcome::Complete);
    }
    fleet.callers.check();
}

#[test]
fn a_claim_of_a_crashed_agent_is_not_run_again() {
    let mut fleet = fleet_without_faults();
    let first = fleet.request(0, KEYED_WRITE);
    // The calls that store the claim take at most 20 ms in total; the response takes longer.
    fleet.run_for(30);
    assert_eq!(fleet.kv.list(keys::CLAIMS_PREFIX).len(), 1);
    let agent = fleet.callers.agents_by_call.values().next().expect("the call has run")[0];
    fleet.inject(Fault::CrashAgent { agent, down_ms: 500 });
    fleet.run_for(20_000);
    assert_eq!(refusal(&fleet, first).run, RunState::Unknown);
    for entry in 0..3 {
        let retry = fleet.request(entry, KEYED_WRITE);
        fleet.run_for(1_000);
        assert_eq!(refusal(&fleet, retry).reason, RefusalReason::OutcomeUnknown);
    }
    fleet.callers.check();
}

#[test]
fn a_retry_after_a_lost_entry_gets_the_response() {
    let mut fleet = fleet_without_faults();
    fleet.request(0, KEYED_WRITE);
    fleet.run_for(30);
    fleet.inject(Fault::CrashEntry { entry: 0, down_ms: 500 });
    fleet.run_for(5_000);
    let retry = fleet.request(1, KEYED_WRITE);
    fleet.run_for(1_000);
    assert_eq!(outcome(&fleet, retry), Outcome::Complete);
    fleet.callers.check();
}

proptest! {
    #![proptest_config(schedule::config(8))]

    #[test]
    fn keyed_writes_run_at_most_once(
        seed in any::<u64>(),
        faults in schedule::faults(30_000, 12),
    ) {
        let setup = Setup { engines: 1, services: 3, ..Setup::default() };
        let mut fleet = Fleet::new(setup, seed);
        fleet.run_for(3_000);
        let mut faults = faults.into_iter().collect::<Vec<_>>();
        faults.sort_by_key(|(at_ms, _)| *at_ms);
        let mut faults = faults.into_iter().peekable();
        for step in 0..300 {
            while let Some((_, fault)) = faults.next_if(|(at_ms, _)| *at_ms <= step * 100) {
                fleet.inject(fault);
            }
            fleet.restart_stopped();
            let key = step % 30;
            let entry = (step * 7 % 3) as usize;
            let kind = if step % 9 == 0 { RequestKind::OtherKeyedWrite(key) } else { RequestKind::KeyedWrite(key) };
            fleet.request(entry, kind);
            fleet.run_for(100);
        }
        fleet.run_for(330_000);
        fleet.callers.check();
    }
}
