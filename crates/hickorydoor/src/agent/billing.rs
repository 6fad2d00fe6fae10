//! How an agent writes the usage that a lost entry left behind.
//!
//! The agent closes the ledger of an entry incarnation that is over, reads which requests its
//! batches hold, and writes the other usage under keys of its own. Every write is repeated with
//! the same key and content until its outcome is known.

use bytes::Bytes;

use crate::agent::Agent;
use crate::agent::AgentKvPurpose;
use crate::agent::EntryLink;
use crate::agent::usage_store::IncarnationKey;
use crate::billing::serial_set::SerialSet;
use crate::id::AttemptId;
use crate::message::AgentMessage;
use crate::message::Settlement;
use crate::observation::Observation;
use crate::store::keys;
use crate::store::kv_call::KvCall;
use crate::store::kv_call::KvCompare;
use crate::store::kv_call::KvOperation;
use crate::store::kv_call::KvOutcome;
use crate::store::kv_call::KvPair;
use crate::store::kv_call::KvReply;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// An entry that is not heard for this long is taken for lost.
const ENTRY_LOST_MS: DurationMs = DurationMs::from_secs(120);
/// A leaving agent gives linked entries this long to settle its copies before it writes them
/// itself; the entries store bills every 5 s.
const SETTLE_WAIT_MS: DurationMs = DurationMs::from_secs(20);
/// Longest stay of a leaving agent that cannot reach the key-value service.
const LEAVE_LIMIT_MS: DurationMs = DurationMs::from_secs(600);

impl Agent {
    pub(crate) fn on_settled(&mut self, settlement: &Settlement) {
        let incarnation = (settlement.entry.clone(), settlement.incarnation);
        self.usage.settle(&incarnation, settlement.settled_below, &settlement.serials);
        self.fence.settle_below(&incarnation.0, incarnation.1, settlement.settled_below);
    }

    pub(crate) fn tick_billing(&mut self, now: TimeMs) {
        self.forget_lives();
        let busy = self.kv_calls.values().any(AgentKvPurpose::is_recovery);
        if busy || now < self.next_recovery_at_ms {
            return;
        }
        if let Some(incarnation) = self.next_recovery(now) {
            self.recover(incarnation, now);
        }
    }

    fn next_recovery(&self, now: TimeMs) -> Option<IncarnationKey> {
        let due = |incarnation: &&IncarnationKey| {
            self.usage.is_closed(incarnation) || self.is_incarnation_over(incarnation, now)
        };
        self.usage.unsettled().find(due).cloned()
    }

    /// Whether an entry incarnation is taken for lost, so that this agent writes its copies.
    fn is_incarnation_over(&self, incarnation: &IncarnationKey, now: TimeMs) -> bool {
        let (entry, incarnation) = incarnation;
        let leaving = self.idle_since_ms.is_some_and(|idle| now >= idle + SETTLE_WAIT_MS);
        let lost = self.links.get(entry).is_none_or(|link| {
            link.incarnation > *incarnation || now >= link.last_heard_at_ms + ENTRY_LOST_MS
        });
        leaving || lost
    }

    fn recover(&mut self, incarnation: IncarnationKey, now: TimeMs) {
        if !self.usage.is_closed(&incarnation) {
            let operation = close_call(&incarnation);
            self.call_kv(AgentKvPurpose::CloseLedger(incarnation), operation);
            return;
        }
        let Some(recovered) = self.usage.next_batch(&incarnation, self.config.current(), now)
        else {
            return;
        };
        let agent = (&self.settings.host, self.settings.incarnation);
        let key = keys::recovered_batch((&incarnation.0, incarnation.1), agent, recovered.sequence);
        let value = recovered.batch.encode();
        let operation = KvCall::Transaction {
            compares: vec![KvCompare::Absent { key: key.clone() }],
            then: vec![KvOperation::Put { key, value, lease: None }],
            otherwise: Vec::new(),
        };
        self.call_kv(AgentKvPurpose::StoreRecovered(incarnation), operation);
    }

    pub(crate) fn on_ledger_closed(
        &mut self,
        incarnation: &IncarnationKey,
        outcome: KvOutcome,
        now: TimeMs,
    ) {
        let KvOutcome::Reply(KvReply::Transaction { results, .. }) = outcome else {
            self.pause_recovery(now);
            return;
        };
        self.recovery_backoff.record_success();
        // Both branches read the settled requests last.
        let pair = results.last().and_then(|pairs| pairs.first());
        let Some(billed) = decode_settled(pair) else {
            // Without the numbers a request could be billed twice, so nothing is written.
            self.record(Observation::LedgerUnreadable { entry: incarnation.0.clone() });
            self.pause_recovery(now);
            return;
        };
        self.usage.close(incarnation, billed);
        self.fence.close(&incarnation.0, incarnation.1);
        self.tell_closed(incarnation);
    }

    fn tell_closed(&mut self, incarnation: &IncarnationKey) {
        let (entry, incarnation) = incarnation;
        let same = |link: &EntryLink| link.connected && link.incarnation == *incarnation;
        if self.links.get(entry).is_some_and(same) {
            let message = AgentMessage::IncarnationClosed { incarnation: *incarnation };
            self.send(entry, message);
        }
    }

    /// Tells an entry that says hello with an incarnation whose ledger is closed.
    pub(crate) fn check_incarnation(&mut self, incarnation: &IncarnationKey) {
        if self.usage.is_closed(incarnation) {
            self.tell_closed(incarnation);
        }
    }

    pub(crate) fn on_recovered_stored(
        &mut self,
        incarnation: &IncarnationKey,
        outcome: &KvOutcome,
        now: TimeMs,
    ) {
        // The key holds the agent's own incarnation, so an existing key is an earlier write of
        // the same content.
        if let KvOutcome::Reply(KvReply::Transaction { .. }) = outcome {
            self.recovery_backoff.record_success();
            self.usage.stored(incarnation);
        } else {
            self.pause_recovery(now);
        }
    }

    fn pause_recovery(&mut self, now: TimeMs) {
        let pause_ms = self.recovery_backoff.record_failure(&mut self.rng);
        self.next_recovery_at_ms = now + pause_ms;
        self.record(Observation::KvUnavailable);
    }

    fn forget_lives(&mut self) {
        let links = &self.links;
        let attempts = &self.attempts;
        let in_use = |incarnation: &IncarnationKey| {
            let of_life = |attempt: &AttemptId| {
                attempt.request.entry == incarnation.0
                    && attempt.request.incarnation == incarnation.1
            };
            links.get(&incarnation.0).is_some_and(|link| link.incarnation <= incarnation.1)
                || attempts.keys().any(of_life)
        };
        self.usage.forget(|incarnation| !in_use(incarnation));
    }

    /// Whether a leaving agent has nothing left that it must write.
    pub(crate) fn is_settled(&self, now: TimeMs) -> bool {
        let limit = self.idle_since_ms.is_some_and(|idle| now >= idle + LEAVE_LIMIT_MS);
        (self.usage.is_empty() && self.claims.is_empty()) || limit
    }
}

/// Closes a ledger if it is open, and reads its settled requests in the same transaction.
fn close_call(incarnation: &IncarnationKey) -> KvCall {
    let (entry, incarnation) = incarnation;
    let closed = keys::ledger_closed(entry, *incarnation);
    let read = KvOperation::Get { key: keys::ledger_settled(entry, *incarnation) };
    KvCall::Transaction {
        compares: vec![KvCompare::Absent { key: closed.clone() }],
        then: vec![
            KvOperation::Put { key: closed, value: Bytes::new(), lease: None },
            read.clone(),
        ],
        otherwise: vec![read],
    }
}

fn decode_settled(pair: Option<&KvPair>) -> Option<SerialSet> {
    let Some(pair) = pair else {
        // No batch was ever stored.
        return Some(SerialSet::default());
    };
    std::str::from_utf8(&pair.value).ok()?.parse().ok()
}
