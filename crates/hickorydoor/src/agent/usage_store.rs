//! Copies of usage that an agent retains until the entry's bills are stored.
//!
//! If an entry is lost, or its ledger is closed for another reason, the agent stores the usage that
//! the ledger does not contain in batches of its own. Many copies share customer, class and
//! version, so each refers to an entry of a table; a copy takes about 40 bytes.

use std::collections::BTreeMap;

use crate::billing::bill::Bill;
use crate::billing::bill::BillLine;
use crate::billing::ledger::Batch;
use crate::billing::serial_set::SerialSet;
use crate::billing::usage::Usage;
use crate::class::Class;
use crate::configuration::Configuration;
use crate::id::AttemptId;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Sequence;
use crate::id::Serial;
use crate::id::VersionId;
use crate::time::TimeMs;

/// Billable usage of one finished attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageCopy {
    /// Customer to bill.
    pub customer: CustomerId,
    /// Class of the request, under which the usage is billed.
    pub class: Class,
    /// Version that ran the attempt; `None` for plain services.
    pub version: Option<VersionId>,
    /// Tokens used; zero for calls to plain services.
    pub usage: Usage,
}

/// Billing key that many copies share.
#[derive(Clone, Debug, PartialEq, Eq)]
struct BillingKey {
    customer: CustomerId,
    class: Class,
    version: Option<VersionId>,
}

/// Billing batch that an agent stores on behalf of a lost entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredBatch {
    /// Number of the batch among those that this agent stores for the ledger, starting at 0.
    pub sequence: Sequence,
    /// Bills of the batch, which do not change until the batch is stored.
    pub batch: Batch,
}

/// Usage copies of one entry incarnation.
#[derive(Clone, Debug, Default)]
struct IncarnationUsage {
    copies: BTreeMap<(Serial, u32), (u32, Usage)>,
    settled_below: Serial,
    /// Requests in the ledger's batches; `None` until the ledger is closed.
    billed: Option<SerialSet>,
    pending: Option<RecoveredBatch>,
    next_sequence: Sequence,
}

/// Identifies an entry incarnation by its host and number.
pub type IncarnationKey = (HostId, Incarnation);

/// Usage copies of all attempts whose bills are not known to be stored.
#[derive(Clone, Debug, Default)]
pub struct UsageStore {
    incarnations: BTreeMap<IncarnationKey, IncarnationUsage>,
    billing_keys: Vec<BillingKey>,
}

impl UsageStore {
    /// Inserts the usage of a finished attempt, unless its request is settled or already billed.
    pub fn insert(&mut self, attempt: &AttemptId, copy: UsageCopy) {
        let request = &attempt.request;
        let billing_key = self.billing_key_index(copy.customer, copy.class, copy.version);
        let key = (request.entry.clone(), request.incarnation);
        let incarnation = self.incarnations.entry(key).or_default();
        let billed = incarnation.billed.as_ref().is_some_and(|set| set.contains(request.serial));
        if request.serial >= incarnation.settled_below && !billed {
            incarnation.copies.insert((request.serial, attempt.ordinal), (billing_key, copy.usage));
        }
    }

    fn billing_key_index(
        &mut self,
        customer: CustomerId,
        class: Class,
        version: Option<VersionId>,
    ) -> u32 {
        let billing_key = BillingKey { customer, class, version };
        let found = self.billing_keys.iter().position(|known| *known == billing_key);
        let index = found.unwrap_or_else(|| {
            self.billing_keys.push(billing_key);
            self.billing_keys.len() - 1
        });
        index as u32
    }

    /// Drops the copies of settled requests: all requests below `below`, and those in `serials`.
    pub fn settle(&mut self, incarnation: &IncarnationKey, below: Serial, serials: &[Serial]) {
        let Some(incarnation) = self.incarnations.get_mut(incarnation) else {
            return;
        };
        if below > incarnation.settled_below {
            incarnation.settled_below = below;
            incarnation.copies = incarnation.copies.split_off(&(below, 0));
        }
        for serial in serials {
            remove_request(&mut incarnation.copies, *serial);
        }
    }

    /// Records that the ledger of an incarnation is closed, and drops the copies of the requests
    /// that its batches contain.
    pub fn close_ledger(&mut self, incarnation: &IncarnationKey, billed: SerialSet) {
        let incarnation = self.incarnations.entry(incarnation.clone()).or_default();
        incarnation.copies.retain(|(serial, _), _| !billed.contains(*serial));
        incarnation.billed = Some(billed);
    }

    /// Whether the ledger of an incarnation is known to be closed. `false` for unknown
    /// incarnations.
    pub fn is_closed(&self, incarnation: &IncarnationKey) -> bool {
        self.incarnations.get(incarnation).is_some_and(|incarnation| incarnation.billed.is_some())
    }

    /// Incarnations with usage that is not stored, in ascending order.
    pub fn unsettled(&self) -> impl Iterator<Item = &IncarnationKey> {
        let unsettled = |incarnation: &IncarnationUsage| {
            !incarnation.copies.is_empty() || incarnation.pending.is_some()
        };
        self.incarnations
            .iter()
            .filter(move |(_, incarnation)| unsettled(incarnation))
            .map(|(key, _)| key)
    }

    /// Returns the batch to store for an incarnation, or `None` if its ledger is not closed or
    /// nothing is left to bill. The same batch is returned until [`Self::mark_stored`] is called.
    pub fn next_batch(
        &mut self,
        key: &IncarnationKey,
        configuration: &Configuration,
        now: TimeMs,
    ) -> Option<RecoveredBatch> {
        let incarnation = self.incarnations.get_mut(key)?;
        incarnation.billed.as_ref()?;
        if incarnation.pending.is_none() {
            let batch =
                drain_batch(&mut incarnation.copies, &self.billing_keys, configuration, now)?;
            let sequence = incarnation.next_sequence;
            incarnation.next_sequence = sequence.next();
            incarnation.pending = Some(RecoveredBatch { sequence, batch });
        }
        incarnation.pending.clone()
    }

    /// Records that the batch last returned by [`Self::next_batch`] is stored.
    pub fn mark_stored(&mut self, key: &IncarnationKey) {
        if let Some(incarnation) = self.incarnations.get_mut(key) {
            incarnation.pending = None;
        }
    }

    /// Evicts incarnations for which `is_over` returns `true` and that have nothing left to store.
    pub fn evict_finished(&mut self, is_over: impl Fn(&IncarnationKey) -> bool) {
        self.incarnations.retain(|key, incarnation| {
            !incarnation.copies.is_empty() || incarnation.pending.is_some() || !is_over(key)
        });
        if self.incarnations.values().all(|incarnation| incarnation.copies.is_empty()) {
            self.billing_keys.clear();
        }
    }

    /// Number of copies, without those in a batch that is being stored.
    pub fn len(&self) -> usize {
        self.incarnations.values().map(|incarnation| incarnation.copies.len()).sum()
    }

    /// Whether all usage is settled or stored.
    pub fn is_empty(&self) -> bool {
        self.unsettled().next().is_none()
    }
}

fn remove_request<T>(copies: &mut BTreeMap<(Serial, u32), T>, serial: Serial) {
    let range = (serial, 0)..=(serial, u32::MAX);
    let attempts: Vec<(Serial, u32)> = copies.range(range).map(|(key, _)| *key).collect();
    for key in attempts {
        copies.remove(&key);
    }
}

/// Moves copies into a batch until it is full. Returns `None` if there is nothing to bill.
fn drain_batch(
    copies: &mut BTreeMap<(Serial, u32), (u32, Usage)>,
    billing_keys: &[BillingKey],
    configuration: &Configuration,
    now: TimeMs,
) -> Option<Batch> {
    let mut batch = Batch { sealed_at_ms: now, ..Batch::default() };
    while !batch.is_full() {
        let Some(((serial, _), (billing_key, usage))) = copies.pop_first() else {
            break;
        };
        let billing_key = &billing_keys[billing_key as usize];
        if usage == Usage::default() && billing_key.version.is_some() {
            // A model call without output is not billed.
            continue;
        }
        let known = billing_key.version.as_ref().and_then(|id| configuration.version(id));
        let cost_micros = known.map(|(model, _)| model.cost(&usage)).unwrap_or_default();
        batch.add(&Bill {
            serial,
            customer: billing_key.customer.clone(),
            class: billing_key.class,
            lines: vec![BillLine { version: billing_key.version.clone(), usage, cost_micros }],
        });
    }
    (!batch.sums.is_empty()).then_some(batch)
}
