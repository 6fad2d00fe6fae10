//! State machine of one attempt by an operator to change the configuration.
//!
//! The attempt reads the configuration, plans the action, and writes items, head and change record
//! in one transaction that compares the head. A write whose reply is lost is sent again unchanged:
//! the comparison lets it take effect at most once, and its failure branch reads the record of the
//! revision, which shows whether the first write or another operator's change was stored. After a
//! conflict, the action is planned again only if the items that it changes have not been modified.
//!
//! [`ChangeAttempt`] does no I/O: the caller executes each [`KvCall`] and passes on its outcome.

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

/// Maximum number of operations in a change. The key-value service accepts 128 operations per
/// transaction, of which the head and the change record need two.
pub const MAX_OPERATIONS: usize = 126;
/// Delay before the first retry; each further retry doubles it up to [`MAX_BACKOFF_MS`].
const INITIAL_BACKOFF_MS: DurationMs = DurationMs::new(50);
const MAX_BACKOFF_MS: DurationMs = DurationMs::new(1_000);

/// A requested change with its author and reason, before it is planned and assigned a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeDraft {
    /// Unique id, which must not be reused for another attempt.
    pub change: ChangeId,
    /// Operator who requests the change.
    pub operator: OperatorId,
    /// Explanation that the operator gave, stored in the change record.
    pub reason: CompactString,
    /// Time of the request by the operator's clock, stored in the change record.
    pub made_at_ms: TimeMs,
    /// Action to plan against the configuration that is read.
    pub action: OperatorAction,
}

/// What the caller of a [`ChangeAttempt`] has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeStep {
    /// Execute a call and pass its outcome to [`ChangeAttempt::apply`].
    Call {
        /// Delay before the call is sent; 0 unless it is a retry.
        pause_ms: DurationMs,
        /// Call to send to the key-value service.
        call: KvCall,
    },
    /// The attempt has ended; no further calls are needed.
    Done(Box<ChangeOutcome>),
}

/// The write in progress, kept so that it can be sent again unchanged.
#[derive(Clone, Debug)]
struct SentWrite {
    record: ChangeRecord,
    call: KvCall,
    /// Whether an earlier transmission may have taken effect.
    may_have_committed: bool,
}

/// State machine of one attempt; see the [module documentation](self) for the protocol.
#[derive(Clone, Debug)]
pub struct ChangeAttempt {
    draft: ChangeDraft,
    deadline_ms: TimeMs,
    /// Delay before the next retry.
    backoff_ms: DurationMs,
    sent: Option<SentWrite>,
    /// Configuration that the action was first planned against.
    initial_configuration: Option<Box<Configuration>>,
    /// Change of another operator that was stored instead of the last write.
    conflicting_change: Option<ChangeRecord>,
}

impl ChangeAttempt {
    /// Creates an attempt that starts no retries after `deadline_ms`.
    pub const fn new(draft: ChangeDraft, deadline_ms: TimeMs) -> Self {
        Self {
            draft,
            deadline_ms,
            backoff_ms: INITIAL_BACKOFF_MS,
            sent: None,
            initial_configuration: None,
            conflicting_change: None,
        }
    }

    /// Returns the call that starts the attempt, which reads the configuration.
    pub fn first_call(&self) -> KvCall {
        StoredConfiguration::read_call()
    }

    /// Handles the outcome of the last call and returns the next step.
    pub fn apply(&mut self, outcome: KvOutcome, now: TimeMs) -> ChangeStep {
        match (self.sent.take(), outcome) {
            (None, KvOutcome::Reply(KvReply::Transaction { results, .. })) => {
                self.on_read(&results)
            }
            (None, KvOutcome::Fault(KvFault::Rejected)) => done(ChangeOutcome::StoreRefused),
            (None, _) => self.retry_read(now),
            (Some(sent), KvOutcome::Reply(KvReply::Transaction { succeeded: true, .. })) => {
                done(ChangeOutcome::Accepted { record: sent.record })
            }
            (Some(sent), KvOutcome::Reply(KvReply::Transaction { results, .. })) => {
                self.on_write_conflict(sent, &results, now)
            }
            (Some(sent), KvOutcome::Fault(KvFault::Rejected)) if !sent.may_have_committed => {
                done(ChangeOutcome::StoreRefused)
            }
            (Some(mut sent), outcome) => {
                let had_no_effect =
                    matches!(outcome, KvOutcome::Fault(KvFault::NotSent | KvFault::Rejected));
                sent.may_have_committed |= !had_no_effect;
                self.retry_write(sent, now)
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
        let call = write_call(&record, stored.head_modify_revision);
        Ok(SentWrite { record, call, may_have_committed: false })
    }

    fn plan_operations(
        &mut self,
        current: &Configuration,
    ) -> Result<Vec<Operation>, Box<ChangeOutcome>> {
        let planned = self.draft.action.plan(current);
        if let Some(initial) = &self.initial_configuration
            && planned
                .as_ref()
                .map_or(true, |operations| changes_overlap(initial, current, operations))
        {
            // The operator's decision was based on an older state of these items.
            return Err(Box::new(ChangeOutcome::Conflict {
                other: self.conflicting_change.take(),
            }));
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
        self.initial_configuration.get_or_insert_with(|| Box::new(current.clone()));
        Ok(operations)
    }

    /// Handles a failed comparison: the revision was taken by an earlier transmission of this write
    /// or by another change.
    fn on_write_conflict(
        &mut self,
        sent: SentWrite,
        results: &[Vec<KvPair>],
        now: TimeMs,
    ) -> ChangeStep {
        let mut pairs = results.iter().flatten();
        let record = pairs.clone().find(|pair| pair.key != keys::HEAD).map(decode_change);
        let head = pairs.find(|pair| pair.key == keys::HEAD).map(decode_head);
        match (record, head) {
            (Some(Ok(record)), _) if record.change == self.draft.change => {
                done(ChangeOutcome::Accepted { record })
            }
            (None, Some(Ok(head))) if head.change == self.draft.change => {
                done(ChangeOutcome::Accepted { record: sent.record })
            }
            (Some(Ok(record)), _) => {
                self.conflicting_change = Some(record);
                self.read_after_conflict(now)
            }
            (Some(Err(error)), _) => done(ChangeOutcome::Unreadable(error)),
            // Without the record, an earlier transmission cannot be told from another change.
            (None, _) if sent.may_have_committed => self.outcome_unknown(&sent),
            (None, _) => self.read_after_conflict(now),
        }
    }

    fn read_after_conflict(&mut self, now: TimeMs) -> ChangeStep {
        if now >= self.deadline_ms {
            return done(ChangeOutcome::Conflict { other: self.conflicting_change.take() });
        }
        let call = StoredConfiguration::read_call();
        ChangeStep::Call { pause_ms: DurationMs::default(), call }
    }

    fn retry_read(&mut self, now: TimeMs) -> ChangeStep {
        if now >= self.deadline_ms {
            return done(ChangeOutcome::Unavailable);
        }
        ChangeStep::Call { pause_ms: self.next_backoff(), call: StoredConfiguration::read_call() }
    }

    fn retry_write(&mut self, sent: SentWrite, now: TimeMs) -> ChangeStep {
        if now < self.deadline_ms {
            let pause_ms = self.next_backoff();
            return self.send(sent, pause_ms);
        }
        if sent.may_have_committed {
            self.outcome_unknown(&sent)
        } else {
            done(ChangeOutcome::Unavailable)
        }
    }

    fn outcome_unknown(&self, sent: &SentWrite) -> ChangeStep {
        let change = self.draft.change.clone();
        done(ChangeOutcome::Unknown { change, revision: sent.record.revision })
    }

    fn send(&mut self, sent: SentWrite, pause_ms: DurationMs) -> ChangeStep {
        let call = sent.call.clone();
        self.sent = Some(sent);
        ChangeStep::Call { pause_ms, call }
    }

    fn next_backoff(&mut self) -> DurationMs {
        let backoff_ms = self.backoff_ms;
        self.backoff_ms = (backoff_ms + backoff_ms).min(MAX_BACKOFF_MS);
        backoff_ms
    }
}

fn done(outcome: ChangeOutcome) -> ChangeStep {
    ChangeStep::Done(Box::new(outcome))
}

/// Returns whether an operation changes an item in which the two configurations differ.
fn changes_overlap(
    initial: &Configuration,
    current: &Configuration,
    operations: &[Operation],
) -> bool {
    let diff = ConfigDiff::between(initial, current);
    let changed_keys: Vec<ItemKey> = operations.iter().map(Operation::key).collect();
    diff.keys().any(|key| changed_keys.contains(key))
}

/// Builds the transaction that writes items, head and change record if the head is unchanged.
///
/// `head_modify_revision` is the store revision at which the head was last modified when it was
/// read, or `None` if it did not exist. If the head has changed since, the transaction writes
/// nothing and returns the head and the stored record of the same configuration revision.
pub fn write_call(record: &ChangeRecord, head_modify_revision: Option<u64>) -> KvCall {
    let head_key = CompactString::from(keys::HEAD);
    let compare = match head_modify_revision {
        Some(store_revision) => KvCompare::ModifiedAt { key: head_key.clone(), store_revision },
        None => KvCompare::Absent { key: head_key.clone() },
    };
    let record_key = keys::change(record.revision);
    let mut then: Vec<KvOperation> = record.operations.iter().map(write_item).collect();
    then.push(put(head_key.clone(), encode_head(record.revision, &record.change)));
    then.push(put(record_key.clone(), to_json(&RawChangeRecord::from(record))));
    KvCall::Transaction {
        compares: vec![compare],
        then,
        otherwise: vec![KvOperation::Get { key: record_key }, KvOperation::Get { key: head_key }],
    }
}

fn write_item(operation: &Operation) -> KvOperation {
    let key = keys::item(&operation.key());
    match operation {
        Operation::Put(item) => put(key, to_json(&RawItem::from(item))),
        Operation::Delete(_) => KvOperation::Delete { key },
    }
}

fn encode_head(revision: Revision, change: &ChangeId) -> Bytes {
    to_json(&Head { revision, change: change.clone() })
}

fn put(key: CompactString, value: Bytes) -> KvOperation {
    KvOperation::Put { key, value, lease: None }
}

fn to_json(value: &impl serde::Serialize) -> Bytes {
    // Serialising plain structs with string keys cannot fail.
    serde_json::to_vec(value).unwrap_or_default().into()
}
