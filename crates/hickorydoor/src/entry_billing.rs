//! How an entry stores its bills.

use crate::bill::Bill;
use crate::entry::Entry;
use crate::entry::KvPurpose;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::kv_call::KvOutcome;
use crate::kv_call::KvPair;
use crate::kv_call::KvReply;
use crate::message::EntryMessage;
use crate::observation::Observation;
use crate::request_state::RequestState;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Pause before a batch is written again after a failed write.
const STORE_PAUSE_MS: DurationMs = DurationMs::from_secs(1);

impl Entry {
    pub(crate) fn bill(&mut self, state: RequestState) {
        if state.lines.is_empty() {
            return;
        }
        self.ledger.add(&Bill {
            serial: state.id.serial,
            customer: state.customer,
            class: state.class,
            lines: state.lines,
        });
    }

    pub(crate) fn tick_billing(&mut self, now: TimeMs) {
        if now >= self.next_seal_at_ms {
            self.next_seal_at_ms = now + self.settings.billing_interval_ms;
            self.ledger.seal(now);
        } else if self.draining && self.requests.is_empty() {
            self.ledger.seal(now);
        }
        self.store_next_batch(now);
    }

    pub(crate) fn store_next_batch(&mut self, now: TimeMs) {
        let busy = self.kv_calls.values().any(|purpose| *purpose == KvPurpose::StoreBatch);
        if busy || now < self.next_store_at_ms {
            return;
        }
        if let Some(operation) = self.ledger.next_write() {
            self.call_kv(KvPurpose::StoreBatch, operation);
        }
    }

    pub(crate) fn on_batch_stored(&mut self, outcome: KvOutcome, now: TimeMs) {
        let KvOutcome::Reply(KvReply::Transaction { succeeded, results, .. }) = outcome else {
            self.next_store_at_ms = now + STORE_PAUSE_MS;
            self.record(Observation::KvUnavailable);
            return;
        };
        // The failure branch returns the batch first and the closing key second.
        let own_write_exists = results.first().is_some_and(|pairs: &Vec<KvPair>| !pairs.is_empty());
        if succeeded || own_write_exists {
            self.settle_stored_batch();
        } else {
            self.ledger.close();
            self.record(Observation::LedgerClosed);
        }
        self.store_next_batch(now);
    }

    fn settle_stored_batch(&mut self) {
        let Some((sequence, serials)) = self.ledger.stored() else {
            return;
        };
        self.record(Observation::BatchStored { sequence, requests: serials.len() as u64 });
        let requests: Vec<RequestId> = serials
            .into_iter()
            .map(|serial| RequestId {
                entry: self.settings.host.clone(),
                incarnation: self.settings.incarnation,
                serial,
            })
            .collect();
        let agents: Vec<HostId> = self
            .members
            .iter()
            .filter(|(_, member)| member.connected && member.sent > 0)
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in agents {
            self.send(&agent, EntryMessage::Settled { requests: requests.clone() });
        }
    }

    pub(crate) fn on_incarnation_closed(&mut self, incarnation: Incarnation) {
        if incarnation == self.settings.incarnation {
            self.ledger.close();
            self.record(Observation::LedgerClosed);
        }
    }
}
