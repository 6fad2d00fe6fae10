//! Recovers the usage that a lost entry has not billed.
//!
//! When an entry incarnation has ended, the agent closes its ledger, reads which requests the
//! stored batches contain, and stores the usage of all others in batches under its own keys. Each
//! write is retried with the same key and content until its outcome is known, so it takes effect
//! once.

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

/// An entry without contact for this long is considered lost.
const ENTRY_LOST_TIMEOUT_MS: DurationMs = DurationMs::from_secs(120);
/// A shutting-down agent waits this long for entries to settle its usage copies before it stores
/// them itself; entries store bills every 5 s.
const SETTLE_TIMEOUT_MS: DurationMs = DurationMs::from_secs(20);
/// A shutting-down agent stops after this time even if the key-value service cannot be reached to
/// store the remaining usage.
const SHUTDOWN_STORE_TIMEOUT_MS: DurationMs = DurationMs::from_secs(600);

impl Agent {
    pub(crate) fn on_settled(&mut self, settlement: &Settlement) {
        let incarnation = (settlement.entry.clone(), settlement.incarnation);
        self.usage.settle(&incarnation, settlement.settled_below, &settlement.serials);
        self.fence.settle_below(&incarnation.0, incarnation.1, settlement.settled_below);
    }

    pub(crate) fn tick_usage_recovery(&mut self, now: TimeMs) {
        self.evict_finished_incarnations();
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
            self.usage.is_closed(incarnation) || self.must_recover(incarnation, now)
        };
        self.usage.unsettled().find(due).cloned()
    }

    /// Whether this agent has to store the usage of an entry incarnation: the incarnation has
    /// ended, or the agent is about to stop.
    fn must_recover(&self, incarnation: &IncarnationKey, now: TimeMs) -> bool {
        let (entry, incarnation) = incarnation;
        let stopping = self.idle_since_ms.is_some_and(|idle| now >= idle + SETTLE_TIMEOUT_MS);
        let lost = self.links.get(entry).is_none_or(|link| {
            link.incarnation > *incarnation
                || now >= link.last_contact_at_ms + ENTRY_LOST_TIMEOUT_MS
        });
        stopping || lost
    }

    fn recover(&mut self, incarnation: IncarnationKey, now: TimeMs) {
        if !self.usage.is_closed(&incarnation) {
            let operation = close_ledger_call(&incarnation);
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
            self.back_off_recovery(now);
            return;
        };
        self.recovery_backoff.record_success();
        // In both branches of the transaction, the last operation reads the settled requests.
        let pair = results.last().and_then(|pairs| pairs.first());
        let Some(billed) = decode_settled(pair) else {
            // Without the settled requests a request could be billed twice, so nothing is stored.
            self.record(Observation::LedgerUnreadable { entry: incarnation.0.clone() });
            self.back_off_recovery(now);
            return;
        };
        self.usage.close_ledger(incarnation, billed);
        self.fence.close_incarnation(&incarnation.0, incarnation.1);
        self.notify_closed(incarnation);
    }

    fn notify_closed(&mut self, incarnation: &IncarnationKey) {
        let (entry, incarnation) = incarnation;
        let is_same_incarnation =
            |link: &EntryLink| link.connected && link.incarnation == *incarnation;
        if self.links.get(entry).is_some_and(is_same_incarnation) {
            let message = AgentMessage::IncarnationClosed { incarnation: *incarnation };
            self.send(entry, message);
        }
    }

    /// Notifies an entry whose hello names an incarnation with a closed ledger.
    pub(crate) fn notify_if_closed(&mut self, incarnation: &IncarnationKey) {
        if self.usage.is_closed(incarnation) {
            self.notify_closed(incarnation);
        }
    }

    pub(crate) fn on_recovered_stored(
        &mut self,
        incarnation: &IncarnationKey,
        outcome: &KvOutcome,
        now: TimeMs,
    ) {
        // The key contains this agent's incarnation, so an existing key is the result of an
        // earlier write of the same content.
        if let KvOutcome::Reply(KvReply::Transaction { .. }) = outcome {
            self.recovery_backoff.record_success();
            self.usage.mark_stored(incarnation);
        } else {
            self.back_off_recovery(now);
        }
    }

    fn back_off_recovery(&mut self, now: TimeMs) {
        let pause_ms = self.recovery_backoff.record_failure(&mut self.rng);
        self.next_recovery_at_ms = now + pause_ms;
        self.record(Observation::KvUnavailable);
    }

    fn evict_finished_incarnations(&mut self) {
        let links = &self.links;
        let attempts = &self.attempts;
        let in_use = |incarnation: &IncarnationKey| {
            let of_incarnation = |attempt: &AttemptId| {
                attempt.request.entry == incarnation.0
                    && attempt.request.incarnation == incarnation.1
            };
            links.get(&incarnation.0).is_some_and(|link| link.incarnation <= incarnation.1)
                || attempts.keys().any(of_incarnation)
        };
        self.usage.evict_finished(|incarnation| !in_use(incarnation));
    }

    /// Whether a shutting-down agent has nothing left to store, or has reached
    /// [`SHUTDOWN_STORE_TIMEOUT_MS`].
    pub(crate) fn is_settled(&self, now: TimeMs) -> bool {
        let timed_out =
            self.idle_since_ms.is_some_and(|idle| now >= idle + SHUTDOWN_STORE_TIMEOUT_MS);
        (self.usage.is_empty() && self.claims.is_empty()) || timed_out
    }
}

/// Builds a transaction that closes a ledger, if it is open, and reads its settled requests.
fn close_ledger_call(incarnation: &IncarnationKey) -> KvCall {
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
        // The entry incarnation has not stored any batch.
        return Some(SerialSet::default());
    };
    std::str::from_utf8(&pair.value).ok()?.parse().ok()
}
