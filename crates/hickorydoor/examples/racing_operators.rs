//! Calls and time that operators' changes need while others change the configuration.
//!
//! Operators arrive at random in virtual time and change either items of their own or a few shared
//! ones. Each call to the key-value service takes 1 to 5 ms, and the answers to some are lost after
//! 2 s.
//!
//! ```sh
//! cargo run --release -p hickorydoor --example racing_operators
//! ```

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

/// What operators do.
#[derive(Clone, Copy, Debug)]
struct Load {
    changes_per_s: f64,
    /// Customers that are changed; few mean many changes of the same items.
    customers: usize,
    lost_answers: f64,
}

#[derive(Debug, Default)]
struct Figures {
    accepted: usize,
    conflicts: usize,
    unknown: usize,
    calls: usize,
    durations_ms: Vec<u64>,
}

struct Running {
    attempt: ChangeAttempt,
    started_at_ms: u64,
}

/// A call that reaches the service, or its outcome that reaches the operator.
#[derive(Debug)]
enum Event {
    Reach(KvCall),
    Answer(KvOutcome),
}

fn customers() -> Configuration {
    let item = |index| format!("- {{id: customer-{index}, key_digests: []}}");
    let items = (0..CUSTOMERS).map(item).collect::<Vec<_>>().join("\n");
    let raw = RawConfiguration::from_yaml(&format!("customers:\n{items}"));
    Configuration::try_from(raw.expect("the text is valid")).expect("the configuration is valid")
}

fn attempt(number: usize, action: OperatorAction, now_ms: u64) -> ChangeAttempt {
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

fn seeded() -> MemoryKv {
    let mut store = MemoryKv::default();
    let action = OperatorAction::Replace { configuration: Box::new(customers()) };
    let mut first = attempt(CHANGES, action, 0);
    let mut call = first.first_call();
    while let ChangeStep::Call { call: next, .. } = first.apply(store.call(&call), TimeMs::new(0)) {
        call = next;
    }
    store
}

fn run(load: Load) -> Figures {
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let mut store = seeded();
    let mut figures = Figures::default();
    let mut running = HashMap::new();
    let mut events = HashMap::new();
    let mut queue = BinaryHeap::new();
    let mut order = 0_u64;
    let mut arrival_ms = 0.0;
    for number in 0..CHANGES {
        arrival_ms -=
            random.random::<f64>().max(f64::MIN_POSITIVE).ln() * 1000.0 / load.changes_per_s;
        let started_at_ms = arrival_ms as u64;
        let customer = format!("customer-{}", random.random_range(0..load.customers));
        let action = OperatorAction::AddKey {
            customer: customer.parse().expect("the id is valid"),
            digest: KeyDigest::of_key(&number.to_string()),
        };
        let attempt = attempt(number, action, started_at_ms);
        let first = Event::Reach(attempt.first_call());
        running.insert(number, Running { attempt, started_at_ms });
        events.insert(order, (number, first));
        queue.push(Reverse((started_at_ms, order)));
        order += 1;
    }
    while let Some(Reverse((now_ms, id))) = queue.pop() {
        let Some((number, event)) = events.remove(&id) else {
            continue;
        };
        let (delay_ms, next) = match event {
            Event::Reach(call) => {
                figures.calls += 1;
                let outcome = store.call(&call);
                if random.random::<f64>() < load.lost_answers {
                    (CALL_TIMEOUT_MS, Event::Answer(KvOutcome::Fault(KvFault::OutcomeUnknown)))
                } else {
                    (random.random_range(CALL_MS), Event::Answer(outcome))
                }
            }
            Event::Answer(outcome) => {
                let state = running.get_mut(&number).expect("the attempt is running");
                match state.attempt.apply(outcome, TimeMs::new(now_ms)) {
                    ChangeStep::Call { pause_ms, call } => (pause_ms.get(), Event::Reach(call)),
                    ChangeStep::Done(outcome) => {
                        figures.durations_ms.push(now_ms - state.started_at_ms);
                        figures.count(&outcome);
                        continue;
                    }
                }
            }
        };
        events.insert(order, (number, next));
        queue.push(Reverse((now_ms + delay_ms, order)));
        order += 1;
    }
    let records = store.list(keys::CHANGES_PREFIX).len();
    // The first record seeds the store; unknown outcomes may have a record.
    let told = figures.accepted + 1;
    assert!((told..=told + figures.unknown).contains(&records), "an outcome is untrue");
    figures.durations_ms.sort_unstable();
    figures
}

impl Figures {
    fn count(&mut self, outcome: &ChangeOutcome) {
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
    for (changes_per_s, customers, lost_answers) in [
        (0.3, CUSTOMERS, 0.0),
        (3.0, CUSTOMERS, 0.0),
        (30.0, CUSTOMERS, 0.0),
        (100.0, CUSTOMERS, 0.0),
        (30.0, 1, 0.0),
        (0.3, CUSTOMERS, 0.05),
        (30.0, CUSTOMERS, 0.05),
    ] {
        let figures = run(Load { changes_per_s, customers, lost_answers });
        println!(
            "{changes_per_s} | {customers} | {lost_answers} | {} | {} | {} | {:.2} | {} | {}",
            figures.accepted,
            figures.conflicts,
            figures.unknown,
            figures.calls as f64 / CHANGES as f64,
            figures.quantile_ms(0.5),
            figures.quantile_ms(0.99),
        );
    }
}
