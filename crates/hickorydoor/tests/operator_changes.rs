//! Concurrent configuration changes by several operators over a faulty key-value service.

mod memory_kv;

use hickorydoor::Configuration;
use hickorydoor::KeyDigest;
use hickorydoor::TimeMs;
use hickorydoor::configuration::change::ChangeRecord;
use hickorydoor::configuration::change_attempt::ChangeAttempt;
use hickorydoor::configuration::change_attempt::ChangeDraft;
use hickorydoor::configuration::change_attempt::ChangeStep;
use hickorydoor::configuration::change_outcome::ChangeOutcome;
use hickorydoor::configuration::diff::ConfigDiff;
use hickorydoor::configuration::operator_action::OperatorAction;
use hickorydoor::configuration::stored::StoredConfiguration;
use hickorydoor::configuration::stored::decode_change;
use hickorydoor::id::ChangeId;
use hickorydoor::quantity::Share;
use hickorydoor::store::keys;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvFault;
use hickorydoor::store::kv_call::KvOutcome;
use memory_kv::MemoryKv;
use memory_kv::configuration;
use proptest::prelude::*;

mod property;

const DEADLINE_MS: TimeMs = TimeMs::new(1_000);
const AFTER_DEADLINE_MS: TimeMs = TimeMs::new(2_000);

/// Injected result of an operator's next call.
#[derive(Clone, Copy, Debug)]
enum CallResult {
    Replied,
    NotSent,
    Rejected,
    ReplyLost,
    /// The reply is lost, and the call takes effect only later.
    Delayed,
}

/// One step of a generated interleaving.
#[derive(Clone, Debug)]
enum RaceStep {
    Call { operator: usize, result: CallResult },
    ApplyDelayedCall,
}

/// An operator with an attempt to change the configuration.
struct Operator {
    change: ChangeId,
    attempt: ChangeAttempt,
    next: Result<KvCall, ChangeOutcome>,
}

impl Operator {
    fn new(index: usize, action: OperatorAction) -> Self {
        let change: ChangeId = format!("change-{index}").parse().expect("the id is valid");
        let draft = ChangeDraft {
            change: change.clone(),
            operator: format!("operator-{index}").parse().expect("the id is valid"),
            reason: "a test".into(),
            made_at_ms: TimeMs::new(0),
            action,
        };
        let attempt = ChangeAttempt::new(draft, DEADLINE_MS);
        let next = Ok(attempt.first_call());
        Self { change, attempt, next }
    }

    fn step(
        &mut self,
        kv: &mut MemoryKv,
        delayed: &mut Vec<KvCall>,
        result: CallResult,
        now: TimeMs,
    ) {
        let Ok(call) = &self.next else {
            return;
        };
        let outcome = match result {
            CallResult::Replied => kv.call(call),
            CallResult::NotSent => KvOutcome::Fault(KvFault::NotSent),
            CallResult::Rejected => KvOutcome::Fault(KvFault::Rejected),
            CallResult::ReplyLost => {
                kv.call(call);
                KvOutcome::Fault(KvFault::OutcomeUnknown)
            }
            CallResult::Delayed => {
                delayed.push(call.clone());
                KvOutcome::Fault(KvFault::OutcomeUnknown)
            }
        };
        self.next = match self.attempt.apply(outcome, now) {
            ChangeStep::Call { call, .. } => Ok(call),
            ChangeStep::Done(outcome) => Err(*outcome),
        };
    }

    fn finish(
        mut self,
        kv: &mut MemoryKv,
        result: CallResult,
        now: TimeMs,
    ) -> (ChangeId, ChangeOutcome) {
        // Every replied call either ends the attempt or follows another operator's change, so 100
        // steps suffice.
        for _ in 0..100 {
            self.step(kv, &mut Vec::new(), result, now);
        }
        (self.change, self.next.expect_err("the attempt did not end within 100 steps"))
    }
}

fn records(kv: &MemoryKv) -> Vec<ChangeRecord> {
    let pairs = kv.list(keys::CHANGES_PREFIX);
    pairs.iter().map(|pair| decode_change(pair).expect("the record is valid")).collect()
}

fn read_stored(kv: &mut MemoryKv) -> Configuration {
    let KvOutcome::Reply(reply) = kv.call(&StoredConfiguration::read_call()) else {
        panic!("the read succeeds");
    };
    let hickorydoor::store::kv_call::KvReply::Transaction { results, .. } = reply else {
        panic!("the read is a transaction");
    };
    StoredConfiguration::decode(&results).expect("the configuration is valid").configuration
}

/// Returns a key-value service with the test configuration stored as revision 1.
fn store_with_configuration() -> MemoryKv {
    let mut kv = MemoryKv::default();
    let action = OperatorAction::Replace { configuration: Box::new(configuration()) };
    let (_, outcome) =
        Operator::new(1_000, action).finish(&mut kv, CallResult::Replied, TimeMs::new(0));
    assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
    kv
}

/// Checks that replaying the records gives the stored configuration, and that every reported
/// outcome agrees with the records.
fn check_outcomes(kv: &mut MemoryKv, outcomes: &[(ChangeId, ChangeOutcome)]) {
    let records = records(kv);
    let mut replayed = Configuration::default();
    for record in &records {
        replayed.apply(record).expect("revisions are consecutive and changes fit");
    }
    assert_eq!(replayed, read_stored(kv));
    for (change, outcome) in outcomes {
        let found: Vec<_> = records.iter().filter(|record| record.change == *change).collect();
        match outcome {
            ChangeOutcome::Accepted { record } => assert_eq!(found, [record]),
            ChangeOutcome::Unknown { .. } => assert!(found.len() <= 1),
            _ => assert!(
                found.is_empty(),
                "change {change} was stored, but its outcome is {outcome:?}"
            ),
        }
    }
}

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the id is valid")
}

fn actions() -> impl Strategy<Value = OperatorAction> {
    let model = prop::sample::select(vec!["brine", "chat"]);
    let data_centre = prop::sample::select(vec!["arauco-1", "san-blas-1", "famatina-1"]);
    let customer = prop::sample::select(vec!["almazara", "bodega"]);
    let share = Share::from_percent(5);
    prop_oneof![
        (data_centre, any::<bool>()).prop_map(|(name, out)| OperatorAction::SetDataCentre {
            data_centre: id(name),
            out,
            force: false,
        }),
        (customer, 0..3_u8).prop_map(|(name, key)| OperatorAction::AddKey {
            customer: id(name),
            digest: KeyDigest::of_key(&format!("{name}{key}")),
        }),
        (model.clone(), 2..4_u8).prop_map(move |(name, number)| OperatorAction::StartVersion {
            model: id(name),
            version: id(&format!("{name}-{number}")),
            share,
        }),
        model.clone().prop_map(|name| OperatorAction::PromoteVersion {
            model: id(name),
            version: id(&format!("{name}-2")),
        }),
        model.prop_map(|name| OperatorAction::WithdrawVersion {
            model: id(name),
            version: id(&format!("{name}-1")),
            force: false,
        }),
    ]
}

fn race_steps(operators: usize) -> impl Strategy<Value = RaceStep> {
    let result = prop_oneof![
        6 => Just(CallResult::Replied),
        1 => Just(CallResult::NotSent),
        1 => Just(CallResult::Rejected),
        2 => Just(CallResult::ReplyLost),
        2 => Just(CallResult::Delayed),
    ];
    prop_oneof![
        9 => (0..operators, result)
            .prop_map(|(operator, result)| RaceStep::Call { operator, result }),
        1 => Just(RaceStep::ApplyDelayedCall),
    ]
}

proptest! {
    #![proptest_config(property::config(11, 256))]

    // Guards against changes that are accepted twice, lost after being accepted, or stored after
    // being rejected, under concurrent attempts, lost replies and writes that take effect late.
    #[test]
    fn outcomes_match_stored_records(
        actions in prop::collection::vec(actions(), 2..6),
        race_steps in prop::collection::vec(race_steps(6), 0..60),
        outage_at_end in any::<bool>(),
    ) {
        let mut kv = store_with_configuration();
        let mut delayed = Vec::new();
        let mut operators: Vec<Operator> = actions
            .into_iter()
            .enumerate()
            .map(|(index, action)| Operator::new(index, action))
            .collect();
        for step in race_steps {
            match step {
                RaceStep::Call { operator, result } => {
                    let index = operator % operators.len();
                    operators[index].step(&mut kv, &mut delayed, result, TimeMs::new(0));
                }
                RaceStep::ApplyDelayedCall => {
                    if let Some(call) = delayed.pop() {
                        kv.call(&call);
                    }
                }
            }
        }
        let result = if outage_at_end { CallResult::NotSent } else { CallResult::Replied };
        let outcomes: Vec<_> = operators
            .into_iter()
            .map(|operator| operator.finish(&mut kv, result, AFTER_DEADLINE_MS))
            .collect();
        for call in delayed {
            kv.call(&call);
        }
        check_outcomes(&mut kv, &outcomes);
        if !outage_at_end {
            let unknown = |(_, outcome): &(_, _)| matches!(outcome, ChangeOutcome::Unknown { .. });
            prop_assert!(!outcomes.iter().any(unknown));
        }
    }

    // Guards against a diff whose operations do not turn one configuration into the other.
    #[test]
    fn diff_operations_produce_the_other_configuration(
        actions in prop::collection::vec(actions(), 0..8),
    ) {
        let before = configuration();
        let mut after = before.clone();
        for action in actions {
            if let Ok(operations) = action.plan(&after) {
                after.apply_operations(&operations).expect("planned operations fit");
            }
        }
        let diff = ConfigDiff::between(&before, &after);
        let mut reached = before.clone();
        reached.apply_operations(&diff.operations()).expect("the operations fit");
        prop_assert_eq!(&reached, &after);
        prop_assert_eq!(diff.is_empty(), before == after);
    }
}

fn take_out(data_centre: &str) -> OperatorAction {
    OperatorAction::SetDataCentre { data_centre: id(data_centre), out: true, force: false }
}

// Guards against rejecting a change because of a concurrent change of other items.
#[test]
fn changes_of_other_items_are_both_accepted() {
    let mut kv = store_with_configuration();
    let mut slow = Operator::new(0, take_out("arauco-1"));
    slow.step(&mut kv, &mut Vec::new(), CallResult::Replied, TimeMs::new(0));
    let fast = Operator::new(1, take_out("san-blas-1"));
    let fast = fast.finish(&mut kv, CallResult::Replied, TimeMs::new(0));
    let slow = slow.finish(&mut kv, CallResult::Replied, TimeMs::new(0));
    assert!(matches!(&slow.1, ChangeOutcome::Accepted { record } if record.revision.get() == 3));
    check_outcomes(&mut kv, &[fast, slow]);
}

// Guards against two concurrent operators who together take out the last data centre.
#[test]
fn a_race_cannot_take_out_the_last_data_centre() {
    let mut kv = store_with_configuration();
    Operator::new(0, take_out("famatina-1")).finish(&mut kv, CallResult::Replied, TimeMs::new(0));
    let mut slow = Operator::new(1, take_out("arauco-1"));
    slow.step(&mut kv, &mut Vec::new(), CallResult::Replied, TimeMs::new(0));
    Operator::new(2, take_out("san-blas-1")).finish(&mut kv, CallResult::Replied, TimeMs::new(0));
    let (_, outcome) = slow.finish(&mut kv, CallResult::Replied, TimeMs::new(0));
    assert!(matches!(&outcome, ChangeOutcome::Conflict { other: Some(other) }
        if other.operator.as_str() == "operator-2"));
}

// Guards against a configuration file that silently reverts changes made after its export.
#[test]
fn a_file_for_an_older_revision_is_refused() {
    let mut kv = store_with_configuration();
    let file = Box::new(read_stored(&mut kv));
    Operator::new(0, take_out("arauco-1")).finish(&mut kv, CallResult::Replied, TimeMs::new(0));
    let apply = Operator::new(1, OperatorAction::Replace { configuration: file });
    let (_, outcome) = apply.finish(&mut kv, CallResult::Replied, TimeMs::new(0));
    assert_eq!(
        outcome.to_string(),
        "not accepted: the file was written for revision 1, but revision 2 is in force"
    );
}
