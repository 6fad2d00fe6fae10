//! Measures the store calls and the time that configuration changes of concurrent operators take.
//!
//! Operators arrive at random in virtual time. The number of customers that they change determines
//! how often their changes conflict. Each call to the key-value service takes 1 to 5 ms; some replies
//! are lost, and those calls time out after 2 s.
//!
//! Run with `cargo run --release -p hickorydoor --example racing_operators`.

#[path = "../tests/memory_kv/mod.rs"]
mod memory_kv;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use hickorydoor::Configuration;
use hickorydoor::KeyDigest;
use hickorydoor::RawConfiguration;
use hickorydoor::TimeMs;
use hickorydoor::configuration::change_attempt::ChangeAttempt;
use hickorydoor::configuration::change_attempt::ChangeDraft;
use hickorydoor::configuration::change_attempt::ChangeStep;
use hickorydoor::configuration::change_outcome::ChangeOutcome;
use hickorydoor::configuration::operator_action::OperatorAction;
use hickorydoor::store::keys;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvFault;
use hickorydoor::store::kv_call::KvOutcome;
use hickorydoor::time::DurationMs;
use memory_kv::MemoryKv;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SEED: u64 = 5;
const CUSTOMERS: usize = 100;
const CHANGES: usize = 2_000;
const CALL_MS: std::ops::RangeInclusive<u64> = 1..=5;
const CALL_TIMEOUT_MS: u64 = 2_000;
const DEADLINE_MS: DurationMs = DurationMs::from_secs(10);

/// Arrival rate of changes, number of changed customers and loss of replies in one run.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    changes_per_s: f64,
    /// Number of customers among which each change selects one; a low number causes conflicts.
    customers: usize,
    /// Probability that the reply to a call is lost.
    reply_loss: f64,
}

#[derive(Debug, Default)]
struct Results {
    accepted: usize,
    conflicts: usize,
    unknown: usize,
    calls: usize,
    durations_ms: Vec<u64>,
}

/// A change that has no outcome yet.
struct PendingChange {
    attempt: ChangeAttempt,
    started_at_ms: u64,
}

/// A call that arrives at the key-value service, or its outcome that arrives at the operator.
#[derive(Debug)]
enum Event {
    Call(KvCall),
    Outcome(KvOutcome),
}

fn initial_configuration() -> Configuration {
    let item = |index| format!("- {{id: customer-{index}, key_digests: []}}");
    let items = (0..CUSTOMERS).map(item).collect::<Vec<_>>().join("\n");
    let raw = RawConfiguration::from_yaml(&format!("customers:\n{items}"));
    Configuration::try_from(raw.expect("the text is valid")).expect("the configuration is valid")
}

fn new_attempt(number: usize, action: OperatorAction, now_ms: u64) -> ChangeAttempt {
    let now = TimeMs::new(now_ms);
    let draft = ChangeDraft {
        change: format!("change-{number}").parse().expect("the id is valid"),
        operator: "operator".parse().expect("the id is valid"),
        reason: "an example".into(),
        made_at_ms: now,
        action,
    };
    ChangeAttempt::new(draft, now + DEADLINE_MS)
}

fn seeded_store() -> MemoryKv {
    let mut store = MemoryKv::default();
    let action = OperatorAction::Replace { configuration: Box::new(initial_configuration()) };
    let mut first = new_attempt(CHANGES, action, 0);
    let mut call = first.first_call();
    while let ChangeStep::Call { call: next, .. } = first.apply(store.call(&call), TimeMs::new(0)) {
        call = next;
    }
    store
}

fn run(scenario: Scenario) -> Results {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut store = seeded_store();
    let mut results = Results::default();
    let mut pending = HashMap::new();
    let mut events = HashMap::new();
    let mut queue = BinaryHeap::new();
    let mut next_event = 0_u64;
    let mut arrival_ms = 0.0;
    for number in 0..CHANGES {
        arrival_ms -=
            rng.random::<f64>().max(f64::MIN_POSITIVE).ln() * 1000.0 / scenario.changes_per_s;
        let started_at_ms = arrival_ms as u64;
        let customer = format!("customer-{}", rng.random_range(0..scenario.customers));
        let action = OperatorAction::AddKey {
            customer: customer.parse().expect("the id is valid"),
            digest: KeyDigest::of_key(&number.to_string()),
        };
        let attempt = new_attempt(number, action, started_at_ms);
        let first = Event::Call(attempt.first_call());
        pending.insert(number, PendingChange { attempt, started_at_ms });
        events.insert(next_event, (number, first));
        queue.push(Reverse((started_at_ms, next_event)));
        next_event += 1;
    }
    while let Some(Reverse((now_ms, id))) = queue.pop() {
        let Some((number, event)) = events.remove(&id) else {
            continue;
        };
        let (delay_ms, next) = match event {
            Event::Call(call) => {
                results.calls += 1;
                let outcome = store.call(&call);
                if rng.random::<f64>() < scenario.reply_loss {
                    (CALL_TIMEOUT_MS, Event::Outcome(KvOutcome::Fault(KvFault::OutcomeUnknown)))
                } else {
                    (rng.random_range(CALL_MS), Event::Outcome(outcome))
                }
            }
            Event::Outcome(outcome) => {
                let state = pending.get_mut(&number).expect("the attempt is running");
                match state.attempt.apply(outcome, TimeMs::new(now_ms)) {
                    ChangeStep::Call { pause_ms, call } => (pause_ms.get(), Event::Call(call)),
                    ChangeStep::Done(outcome) => {
                        results.durations_ms.push(now_ms - state.started_at_ms);
                        results.record(&outcome);
                        continue;
                    }
                }
            }
        };
        events.insert(next_event, (number, next));
        queue.push(Reverse((now_ms + delay_ms, next_event)));
        next_event += 1;
    }
    let records = store.list(keys::CHANGES_PREFIX).len();
    // The initial configuration has a record, too. A change with an unknown outcome may have one.
    let reported = results.accepted + 1;
    assert!(
        (reported..=reported + results.unknown).contains(&records),
        "the reported outcomes do not match the stored change records"
    );
    results.durations_ms.sort_unstable();
    results
}

impl Results {
    fn record(&mut self, outcome: &ChangeOutcome) {
        match outcome {
            ChangeOutcome::Accepted { .. } => self.accepted += 1,
            ChangeOutcome::Conflict { .. } => self.conflicts += 1,
            ChangeOutcome::Unknown { .. } => self.unknown += 1,
            other => panic!("unexpected outcome: {other}"),
        }
    }

    fn quantile_ms(&self, quantile: f64) -> u64 {
        let last = self.durations_ms.len() - 1;
        self.durations_ms[(quantile * last as f64).round() as usize]
    }
}

fn main() {
    println!(
        "changes/s | customers | lost | accepted | conflict | unknown | calls | p50 ms | p99 ms"
    );
    for (changes_per_s, customers, reply_loss) in [
        (0.3, CUSTOMERS, 0.0),
        (3.0, CUSTOMERS, 0.0),
        (30.0, CUSTOMERS, 0.0),
        (100.0, CUSTOMERS, 0.0),
        (30.0, 1, 0.0),
        (0.3, CUSTOMERS, 0.05),
        (30.0, CUSTOMERS, 0.05),
    ] {
        let results = run(Scenario { changes_per_s, customers, reply_loss });
        println!(
            "{changes_per_s} | {customers} | {reply_loss} | {} | {} | {} | {:.2} | {} | {}",
            results.accepted,
            results.conflicts,
            results.unknown,
            results.calls as f64 / CHANGES as f64,
            results.quantile_ms(0.5),
            results.quantile_ms(0.99),
        );
    }
}
