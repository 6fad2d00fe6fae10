//! An operator's attempt to change the configuration.
//!
//! The attempt reads the configuration, plans the action, and writes items, head and record in one
//! transaction that compares the head. A write whose answer is lost is sent again unchanged: the
//! comparison lets it take effect at most once, and its failure branch reads back the record of the
//! revision, which shows whether the first write or another operator's change came first. After a
//! lost race the action is planned again only if the items that it touches are as they were.

use bytes::Bytes;
use compact_str::CompactString;

use crate::configuration::Configuration;
use crate::configuration::change::ChangeRecord;
use crate::configuration::change::Operation;
use crate::configuration::change_outcome::ChangeOutcome;
use crate::configuration::diff::ConfigDiff;
use crate::configuration::head::Head;
use crate::configuration::item::ItemKey;
use crate::configuration::operator_action::OperatorAction;
use crate::configuration::raw::RawChangeRecord;
use crate::configuration::raw::RawItem;
use crate::configuration::stored::StoredConfiguration;
use crate::configuration::stored::decode_change;
use crate::configuration::stored::decode_head;
use crate::id::ChangeId;
use crate::id::OperatorId;
use crate::id::Revision;
use crate::store::keys;
use crate::store::kv_call::KvCall;
use crate::store::kv_call::KvCompare;
use crate::store::kv_call::KvFault;
use crate::store::kv_call::KvOperation;
use crate::store::kv_call::KvOutcome;
use crate::store::kv_call::KvPair;
use crate::store::kv_call::KvReply;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Operations of a change at most. The key-value service accepts 128 operations in a transaction,
/// and the head and the record take two.
pub const MAX_OPERATIONS: usize = 126;
const FIRST_PAUSE_MS: DurationMs = DurationMs::new(50);
const MAX_PAUSE_MS: DurationMs = DurationMs::new(1_000);

/// Who wants to change what, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeDraft {
    /// Id of the change, never used before.
    pub change: ChangeId,
    /// The operator.
    pub operator: OperatorId,
    /// The operator's reason.
    pub reason: CompactString,
    /// The time on the operator's clock.
    pub made_at_ms: TimeMs,
    /// The action.
    pub action: OperatorAction,
}

/// What the attempt needs next.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeStep {
    /// Carry out a call after a pause, and pass on its outcome.
    Call {
        /// The pause.
        pause_ms: DurationMs,
        /// The call.
        call: KvCall,
    },
    /// The attempt is over.
    Done(Box<ChangeOutcome>),
}

/// A write that has been sent.
#[derive(Clone, Debug)]
struct SentWrite {
    record: ChangeRecord,
    call: KvCall,
    /// Whether an earlier sending may have taken effect.
    unresolved: bool,
}

/// An attempt to change the configuration.
#[derive(Clone, Debug)]
pub struct ChangeAttempt {
    draft: ChangeDraft,
    deadline_ms: TimeMs,
    pause_ms: DurationMs,
    sent: Option<SentWrite>,
    /// The configuration that the operator's action met first.
    first_base: Option<Box<Configuration>>,
    lost_to: Option<ChangeRecord>,
}

impl ChangeAttempt {
    /// An attempt that ends shortly after `deadline_ms`.
    pub const fn new(draft: ChangeDraft, deadline_ms: TimeMs) -> Self {
        Self {
            draft,
            deadline_ms,
            pause_ms: FIRST_PAUSE_MS,
            sent: None,
            first_base: None,
            lost_to: None,
        }
    }

    /// The first call.
    pub fn first_call(&self) -> KvCall {
        StoredConfiguration::read_call()
    }

    /// Takes the outcome of the last call.
    pub fn apply(&mut self, outcome: KvOutcome, now: TimeMs) -> ChangeStep {
        match (self.sent.take(), outcome) {
            (None, KvOutcome::Reply(KvReply::Transaction { results, .. })) => {
                self.on_read(&results)
            }
            (None, KvOutcome::Fault(KvFault::Rejected)) => done(ChangeOutcome::StoreRefused),
            (None, _) => self.read_again(now),
            (Some(sent), KvOutcome::Reply(KvReply::Transaction { succeeded: true, .. })) => {
                done(ChangeOutcome::Accepted { record: sent.record })
            }
            (Some(sent), KvOutcome::Reply(KvReply::Transaction { results, .. })) => {
                self.on_lost_race(sent, &results, now)
            }
            (Some(sent), KvOutcome::Fault(KvFault::Rejected)) if !sent.unresolved => {
                done(ChangeOutcome::StoreRefused)
            }
            (Some(mut sent), outcome) => {
                let harmless =
                    matches!(outcome, KvOutcome::Fault(KvFault::NotSent | KvFault::Rejected));
                sent.unresolved |= !harmless;
                self.write_again(sent, now)
            }
        }
    }

    fn on_read(&mut self, results: &[Vec<KvPair>]) -> ChangeStep {
        let stored = match StoredConfiguration::decode(results) {
            Ok(stored) => stored,
            Err(error) => return done(ChangeOutcome::Unreadable(error)),
        };
        match self.plan(&stored) {
            Ok(sent) => self.send(sent, DurationMs::default()),
            Err(outcome) => ChangeStep::Done(outcome),
        }
    }

    fn plan(&mut self, stored: &StoredConfiguration) -> Result<SentWrite, Box<ChangeOutcome>> {
        let current = &stored.configuration;
        let operations = self.plan_operations(current)?;
        let record = ChangeRecord {
            revision: current.revision.next(),
            change: self.draft.change.clone(),
            operator: self.draft.operator.clone(),
            reason: self.draft.reason.clone(),
            made_at_ms: self.draft.made_at_ms,
            operations,
        };
        let call = write_call(&record, stored.head_modified_at);
        Ok(SentWrite { record, call, unresolved: false })
    }

    fn plan_operations(
        &mut self,
        current: &Configuration,
    ) -> Result<Vec<Operation>, Box<ChangeOutcome>> {
        let planned = self.draft.action.plan(current);
        if let Some(base) = &self.first_base
            && planned.as_ref().map_or(true, |operations| touches(base, current, operations))
        {
            // The operator decided on other items than the ones that are now in force.
            return Err(Box::new(ChangeOutcome::Conflict { other: self.lost_to.take() }));
        }
        let operations = planned.map_err(ChangeOutcome::Refused)?;
        if operations.is_empty() {
            let revision = current.revision;
            return Err(Box::new(ChangeOutcome::Unchanged { revision }));
        }
        if operations.len() > MAX_OPERATIONS {
            let (operations, limit) = (operations.len(), MAX_OPERATIONS);
            return Err(Box::new(ChangeOutcome::TooLarge { operations, limit }));
        }
        current.clone().apply_operations(&operations).map_err(ChangeOutcome::Invalid)?;
        self.first_base.get_or_insert_with(|| Box::new(current.clone()));
        Ok(operations)
    }

    /// The comparison failed: this revision belongs to an earlier sending or to another change.
    fn on_lost_race(
        &mut self,
        sent: SentWrite,
        results: &[Vec<KvPair>],
        now: TimeMs,
    ) -> ChangeStep {
        let mut found = results.iter().flatten();
        let record = found.clone().find(|pair| pair.key != keys::HEAD).map(decode_change);
        let head = found.find(|pair| pair.key == keys::HEAD).map(decode_head);
        match (record, head) {
            (Some(Ok(record)), _) if record.change == self.draft.change => {
                done(ChangeOutcome::Accepted { record })
            }
            (None, Some(Ok(head))) if head.change == self.draft.change => {
                done(ChangeOutcome::Accepted { record: sent.record })
            }
            (Some(Ok(record)), _) => {
                self.lost_to = Some(record);
                self.read_after_conflict(now)
            }
            (Some(Err(error)), _) => done(ChangeOutcome::Unreadable(error)),
            // Without the record, an earlier sending cannot be told from another change.
            (None, _) if sent.unresolved => self.unknown(&sent),
            (None, _) => self.read_after_conflict(now),
        }
    }

    fn read_after_conflict(&mut self, now: TimeMs) -> ChangeStep {
        if now >= self.deadline_ms {
            return done(ChangeOutcome::Conflict { other: self.lost_to.take() });
        }
        let call = StoredConfiguration::read_call();
        ChangeStep::Call { pause_ms: DurationMs::default(), call }
    }

    fn read_again(&mut self, now: TimeMs) -> ChangeStep {
        if now >= self.deadline_ms {
            return done(ChangeOutcome::Unavailable);
        }
        ChangeStep::Call { pause_ms: self.next_pause(), call: StoredConfiguration::read_call() }
    }

    fn write_again(&mut self, sent: SentWrite, now: TimeMs) -> ChangeStep {
        if now < self.deadline_ms {
            let pause_ms = self.next_pause();
            return self.send(sent, pause_ms);
        }
        if sent.unresolved { self.unknown(&sent) } else { done(ChangeOutcome::Unavailable) }
    }

    fn unknown(&self, sent: &SentWrite) -> ChangeStep {
        let change = self.draft.change.clone();
        done(ChangeOutcome::Unknown { change, revision: sent.record.revision })
    }

    fn send(&mut self, sent: SentWrite, pause_ms: DurationMs) -> ChangeStep {
        let call = sent.call.clone();
        self.sent = Some(sent);
        ChangeStep::Call { pause_ms, call }
    }

    fn next_pause(&mut self) -> DurationMs {
        let pause_ms = self.pause_ms;
        self.pause_ms = (pause_ms + pause_ms).min(MAX_PAUSE_MS);
        pause_ms
    }
}

fn done(outcome: ChangeOutcome) -> ChangeStep {
    ChangeStep::Done(Box::new(outcome))
}

/// Whether the operations touch an item in which the two configurations differ.
fn touches(base: &Configuration, current: &Configuration, operations: &[Operation]) -> bool {
    let diff = ConfigDiff::between(base, current);
    let touched: Vec<ItemKey> = operations.iter().map(Operation::key).collect();
    diff.keys().any(|key| touched.contains(key))
}

/// The call that writes items, head and record if the head is as it was read.
///
/// If it is not, the call returns the record of the revision and the head.
pub fn write_call(record: &ChangeRecord, head_modified_at: Option<u64>) -> KvCall {
    let head_key = CompactString::from(keys::HEAD);
    let compare = match head_modified_at {
        Some(store_revision) => KvCompare::ModifiedAt { key: head_key.clone(), store_revision },
        None => KvCompare::Absent { key: head_key.clone() },
    };
    let record_key = keys::change(record.revision);
    let mut then: Vec<KvOperation> = record.operations.iter().map(write_item).collect();
    then.push(put(head_key.clone(), encode_head(record.revision, &record.change)));
    then.push(put(record_key.clone(), json(&RawChangeRecord::from(record))));
    KvCall::Transaction {
        compares: vec![compare],
        then,
        otherwise: vec![KvOperation::Get { key: record_key }, KvOperation::Get { key: head_key }],
    }
}

fn write_item(operation: &Operation) -> KvOperation {
    let key = keys::item(&operation.key());
    match operation {
        Operation::Put(item) => put(key, json(&RawItem::from(item))),
        Operation::Delete(_) => KvOperation::Delete { key },
    }
}

fn encode_head(revision: Revision, change: &ChangeId) -> Bytes {
    json(&Head { revision, change: change.clone() })
}

fn put(key: CompactString, value: Bytes) -> KvOperation {
    KvOperation::Put { key, value, lease: None }
}

fn json(value: &impl serde::Serialize) -> Bytes {
    // Serialising plain structs with string keys cannot fail.
    serde_json::to_vec(value).unwrap_or_default().into()
}
