//! How an agent writes the usage that a lost entry left behind.
//!
//! The agent closes the ledger of an entry incarnation that is over, reads which requests its
//! batches hold, and writes the other usage under keys of its own. Every write is repeated with
//! the same key and content until its outcome is known.

use bytes::Bytes;

use crate::agent::Agent;
use crate::agent::AgentKvPurpose;
use crate::agent::EntryLink;
use crate::id::AttemptId;
use crate::keys;
use crate::kv_call::KvCall;
use crate::kv_call::KvCompare;
use crate::kv_call::KvOperation;
use crate::kv_call::KvOutcome;
use crate::kv_call::KvPair;
use crate::kv_call::KvReply;
use crate::message::AgentMessage;
use crate::message::Settlement;
use crate::observation::Observation;
use crate::serial_set::SerialSet;
use crate::time::DurationMs;
use crate::time::TimeMs;
use crate::usage_store::LifeKey;

/// An entry that is not heard for this long is taken for lost.
const ENTRY_LOST_MS: DurationMs = DurationMs::from_secs(120);
/// A leaving agent gives linked entries this long to settle its copies before it writes them
/// itself; the entries store bills every 5 s.
const SETTLE_WAIT_MS: DurationMs = DurationMs::from_secs(20);
/// Longest stay of a leaving agent that cannot reach the key-value service.
const LEAVE_LIMIT_MS: DurationMs = DurationMs::from_secs(600);

impl Agent {
    pub(crate) fn on_settled(&mut self, settlement: &Settlement) {
        let life = (settlement.entry.clone(), settlement.incarnation);
        self.usage.settle(&life, settlement.below, &settlement.serials);
        self.fence.settle_below(&life.0, life.1, settlement.below);
    }

    pub(crate) fn tick_billing(&mut self, now: TimeMs) {
        self.forget_lives();
        let busy = self.kv_calls.values().any(AgentKvPurpose::is_recovery);
        if busy || now < self.next_recovery_at_ms {
            return;
        }
        if let Some(life) = self.next_recovery(now) {
            self.recover(life, now);
        }
    }

    fn next_recovery(&self, now: TimeMs) -> Option<LifeKey> {
        let due = |life: &&LifeKey| self.usage.is_closed(life) || self.is_life_over(life, now);
        self.usage.unsettled().find(due).cloned()
    }

    /// Whether an entry incarnation is taken for lost, so that this agent writes its copies.
    fn is_life_over(&self, life: &LifeKey, now: TimeMs) -> bool {
        let (entry, incarnation) = life;
        let leaving = self.idle_since_ms.is_some_and(|idle| now >= idle + SETTLE_WAIT_MS);
        let lost = self.links.get(entry).is_none_or(|link| {
            link.incarnation > *incarnation || now >= link.last_heard_at_ms + ENTRY_LOST_MS
        });
        leaving || lost
    }

    fn recover(&mut self, life: LifeKey, now: TimeMs) {
        if !self.usage.is_closed(&life) {
            let operation = close_call(&life);
            self.call_kv(AgentKvPurpose::CloseLedger(life), operation);
            return;
        }
        let Some(recovered) = self.usage.next_batch(&life, self.config.current(), now) else {
            return;
        };
        let agent = (&self.settings.host, self.settings.incarnation);
        let key = keys::recovered((&life.0, life.1), agent, recovered.sequence);
        let value = recovered.batch.encode();
        let operation = KvCall::Transaction {
            compares: vec![KvCompare::Absent { key: key.clone() }],
            then: vec![KvOperation::Put { key, value, lease: None }],
            otherwise: Vec::new(),
        };
        self.call_kv(AgentKvPurpose::StoreRecovered(life), operation);
    }

    pub(crate) fn on_ledger_closed(&mut self, life: &LifeKey, outcome: KvOutcome, now: TimeMs) {
        let KvOutcome::Reply(KvReply::Transaction { results, .. }) = outcome else {
            self.pause_recovery(now);
            return;
        };
        self.recovery_backoff.succeed();
        // Both branches read the settled requests last.
        let pair = results.last().and_then(|pairs| pairs.first());
        let Some(billed) = decode_settled(pair) else {
            // Without the numbers a request could be billed twice, so nothing is written.
            self.record(Observation::LedgerUnreadable { entry: life.0.clone() });
            self.pause_recovery(now);
            return;
        };
        self.usage.close(life, billed);
        self.fence.close(&life.0, life.1);
        self.tell_closed(life);
    }

    fn tell_closed(&mut self, life: &LifeKey) {
        let (entry, incarnation) = life;
        let same = |link: &EntryLink| link.connected && link.incarnation == *incarnation;
        if self.links.get(entry).is_some_and(same) {
            let message = AgentMessage::IncarnationClosed { incarnation: *incarnation };
            self.send(entry, message);
        }
    }

    /// Tells an entry that says hello with an incarnation whose ledger is closed.
    pub(crate) fn check_incarnation(&mut self, life: &LifeKey) {
        if self.usage.is_closed(life) {
            self.tell_closed(life);
        }
    }

    pub(crate) fn on_recovered_stored(&mut self, life: &LifeKey, outcome: &KvOutcome, now: TimeMs) {
        // The key holds the agent's own incarnation, so an existing key is an earlier write of
        // the same content.
        if let KvOutcome::Reply(KvReply::Transaction { .. }) = outcome {
            self.recovery_backoff.succeed();
            self.usage.stored(life);
        } else {
            self.pause_recovery(now);
        }
    }

    fn pause_recovery(&mut self, now: TimeMs) {
        let pause_ms = self.recovery_backoff.fail(&mut self.rng);
        self.next_recovery_at_ms = now + pause_ms;
        self.record(Observation::KvUnavailable);
    }

    fn forget_lives(&mut self) {
        let links = &self.links;
        let attempts = &self.attempts;
        let in_use = |life: &LifeKey| {
            let of_life = |attempt: &AttemptId| {
                attempt.request.entry == life.0 && attempt.request.incarnation == life.1
            };
            links.get(&life.0).is_some_and(|link| link.incarnation <= life.1)
                || attempts.keys().any(of_life)
        };
        self.usage.forget(|life| !in_use(life));
    }

    /// Whether a leaving agent has nothing left that it must write.
    pub(crate) fn is_settled(&self, now: TimeMs) -> bool {
        let limit = self.idle_since_ms.is_some_and(|idle| now >= idle + LEAVE_LIMIT_MS);
        (self.usage.is_empty() && self.claims.is_empty()) || limit
    }
}

/// Closes a ledger if it is open, and reads its settled requests in the same transaction.
fn close_call(life: &LifeKey) -> KvCall {
    let (entry, incarnation) = life;
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
