//! Stores the bills of finished requests in the key-value service.
//!
//! If an agent has closed this entry's ledger, the entry continues under a new incarnation.
//! Requests in flight keep their ids and continue; the agents bill them from their copies of the
//! usage.

use crate::billing::bill::Bill;
use crate::billing::ledger::Ledger;
use crate::entry::Entry;
use crate::entry::KvPurpose;
use crate::entry::request_state::RequestState;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Serial;
use crate::message::EntryMessage;
use crate::message::Settlement;
use crate::observation::Observation;
use crate::store::kv_call::KvOutcome;
use crate::store::kv_call::KvPair;
use crate::store::kv_call::KvReply;
use crate::time::TimeMs;

impl Entry {
    pub(crate) fn bill(&mut self, state: RequestState, now: TimeMs) {
        if state.id.incarnation != self.ledger.incarnation() {
            // The ledger of this request is closed, so the agents bill it.
            return;
        }
        let bill = Bill {
            serial: state.id.serial,
            customer: state.customer,
            class: state.class,
            lines: state.bill_lines,
        };
        self.ledger.add(&bill, &state.dispatched_agents, now);
    }

    pub(crate) fn tick_billing(&mut self, now: TimeMs) {
        if now >= self.next_seal_at_ms {
            self.next_seal_at_ms = now + self.settings.billing_interval_ms;
            self.ledger.seal(now);
            self.send_settlement_bounds();
        } else if self.draining && self.requests.is_empty() {
            self.ledger.seal(now);
        }
        self.store_next_batch(now);
    }

    pub(crate) fn store_next_batch(&mut self, now: TimeMs) {
        let storing = |purpose: &KvPurpose| matches!(purpose, KvPurpose::StoreBatch { .. });
        if self.kv_calls.values().any(storing) || now < self.next_store_at_ms {
            return;
        }
        if let Some(operation) = self.ledger.next_write() {
            let incarnation = self.ledger.incarnation();
            self.call_kv(KvPurpose::StoreBatch { incarnation }, operation);
        }
    }

    pub(crate) fn on_batch_stored(
        &mut self,
        incarnation: Incarnation,
        outcome: KvOutcome,
        now: TimeMs,
    ) {
        if incarnation != self.ledger.incarnation() {
            // The ledger is closed. Agents read it and see whether it contains this batch.
            return;
        }
        let KvOutcome::Reply(KvReply::Transaction { succeeded, results, .. }) = outcome else {
            let pause_ms = self.store_backoff.record_failure(&mut self.rng);
            self.next_store_at_ms = now + pause_ms;
            self.record(Observation::KvUnavailable);
            return;
        };
        self.store_backoff.record_success();
        // If the transaction fails, it returns the batch key first and the closing key second. A
        // batch that exists is an earlier write of this entry whose reply was lost.
        let own_write_exists = results.first().is_some_and(|pairs: &Vec<KvPair>| !pairs.is_empty());
        if succeeded || own_write_exists {
            self.settle_stored_batch();
        } else {
            self.start_incarnation(now);
        }
        self.store_next_batch(now);
    }

    fn settle_stored_batch(&mut self) {
        let Some((sequence, requests, by_agent)) = self.ledger.confirm_stored() else {
            return;
        };
        self.record(Observation::BatchStored { sequence, requests });
        for (agent, serials) in by_agent {
            self.send_settlement(&agent, serials);
        }
    }

    /// Sends the serial number below which all requests are settled to agents that may still hold
    /// copies of settled usage. An attempt can end at its agent after its bill was stored, so the
    /// settlement of that bill may have come too early for the copy.
    fn send_settlement_bounds(&mut self) {
        let below = self.ledger.settled_below();
        let outdated = self.members.iter().filter(|(_, member)| {
            let may_hold_copies =
                member.last_serial.is_some_and(|last| last >= member.settled_below);
            member.connected && may_hold_copies && member.settled_below < below
        });
        let agents: Vec<HostId> = outdated.map(|(agent, _)| agent.clone()).collect();
        for agent in agents {
            self.send_settlement(&agent, Vec::new());
        }
    }

    /// Notifies an agent of settled requests, so that it can drop its copies of their usage.
    pub(crate) fn send_settlement(&mut self, agent: &HostId, serials: Vec<Serial>) {
        let settlement = Settlement {
            entry: self.settings.host.clone(),
            incarnation: self.ledger.incarnation(),
            settled_below: self.ledger.settled_below(),
            serials,
        };
        if let Some(member) = self.members.get_mut(agent) {
            member.settled_below = settlement.settled_below;
        }
        self.send(agent, EntryMessage::Settled(settlement));
    }

    pub(crate) fn on_incarnation_closed(&mut self, incarnation: Incarnation, now: TimeMs) {
        if incarnation == self.ledger.incarnation() {
            self.start_incarnation(now);
        }
    }

    /// Continues under a new incarnation after an agent has closed the ledger.
    fn start_incarnation(&mut self, now: TimeMs) {
        self.record(Observation::LedgerClosed);
        let next = self.settings.incarnation.next().get().max(now.get());
        self.settings.incarnation = Incarnation::new(next);
        let first_serial = self.next_serial();
        let host = self.settings.host.clone();
        self.ledger = Ledger::new(host, self.settings.incarnation, first_serial);
        self.next_store_at_ms = now;
        for agent in self.linked_agents() {
            self.send_hello(&agent);
        }
    }
}
