//! Copies of usage that an agent keeps until the entry's bills are stored.
//!
//! If an entry is lost, or its ledger is closed for another reason, the agent writes the copies
//! that are not in the ledger as batches of its own. Customers and versions repeat, so a copy
//! refers to a table of them; a copy takes about 40 bytes.

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

/// Usage of one finished attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageCopy {
    /// The customer that pays.
    pub customer: CustomerId,
    /// The class.
    pub class: Class,
    /// The version; absent for plain services.
    pub version: Option<VersionId>,
    /// Tokens used.
    pub usage: Usage,
}

/// Who pays for what; shared by many copies.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Payer {
    customer: CustomerId,
    class: Class,
    version: Option<VersionId>,
}

/// A batch that an agent writes in place of a lost entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredBatch {
    /// Its number among this agent's batches of the ledger.
    pub sequence: Sequence,
    /// Its content, fixed until it is stored.
    pub batch: Batch,
}

/// Copies of one entry incarnation.
#[derive(Clone, Debug, Default)]
struct IncarnationUsage {
    copies: BTreeMap<(Serial, u32), (u32, Usage)>,
    below: Serial,
    /// Requests in the ledger's batches, once the ledger is closed.
    billed: Option<SerialSet>,
    pending: Option<RecoveredBatch>,
    next_sequence: Sequence,
}

/// Names an entry incarnation.
pub type IncarnationKey = (HostId, Incarnation);

/// Usage copies by entry incarnation and attempt.
#[derive(Clone, Debug, Default)]
pub struct UsageStore {
    incarnations: BTreeMap<IncarnationKey, IncarnationUsage>,
    payers: Vec<Payer>,
}

impl UsageStore {
    /// Keeps the usage of a finished attempt, unless its request is settled.
    pub fn insert(&mut self, attempt: &AttemptId, copy: UsageCopy) {
        let request = &attempt.request;
        let payer = self.payer(copy.customer, copy.class, copy.version);
        let key = (request.entry.clone(), request.incarnation);
        let incarnation = self.incarnations.entry(key).or_default();
        let billed = incarnation.billed.as_ref().is_some_and(|set| set.contains(request.serial));
        if request.serial >= incarnation.below && !billed {
            incarnation.copies.insert((request.serial, attempt.ordinal), (payer, copy.usage));
        }
    }

    fn payer(&mut self, customer: CustomerId, class: Class, version: Option<VersionId>) -> u32 {
        let payer = Payer { customer, class, version };
        let found = self.payers.iter().position(|known| *known == payer);
        let index = found.unwrap_or_else(|| {
            self.payers.push(payer);
            self.payers.len() - 1
        });
        index as u32
    }

    /// Drops the copies of requests whose bills are stored.
    pub fn settle(&mut self, incarnation: &IncarnationKey, below: Serial, serials: &[Serial]) {
        let Some(incarnation) = self.incarnations.get_mut(incarnation) else {
            return;
        };
        if below > incarnation.below {
            incarnation.below = below;
            incarnation.copies = incarnation.copies.split_off(&(below, 0));
        }
        for serial in serials {
            remove_request(&mut incarnation.copies, *serial);
        }
    }

    /// Notes that the ledger of an incarnation is closed with these requests in its batches.
    pub fn close(&mut self, incarnation: &IncarnationKey, billed: SerialSet) {
        let incarnation = self.incarnations.entry(incarnation.clone()).or_default();
        incarnation.copies.retain(|(serial, _), _| !billed.contains(*serial));
        incarnation.billed = Some(billed);
    }

    /// Whether the ledger of an incarnation is known to be closed.
    pub fn is_closed(&self, incarnation: &IncarnationKey) -> bool {
        self.incarnations.get(incarnation).is_some_and(|incarnation| incarnation.billed.is_some())
    }

    /// Incarnations with copies or batches that are not stored, in order.
    pub fn unsettled(&self) -> impl Iterator<Item = &IncarnationKey> {
        let unsettled = |incarnation: &IncarnationUsage| {
            !incarnation.copies.is_empty() || incarnation.pending.is_some()
        };
        self.incarnations
            .iter()
            .filter(move |(_, incarnation)| unsettled(incarnation))
            .map(|(key, _)| key)
    }

    /// The batch to write for a closed incarnation. Its content and number stay fixed until
    /// [`Self::stored`].
    pub fn next_batch(
        &mut self,
        key: &IncarnationKey,
        configuration: &Configuration,
        now: TimeMs,
    ) -> Option<RecoveredBatch> {
        let incarnation = self.incarnations.get_mut(key)?;
        incarnation.billed.as_ref()?;
        if incarnation.pending.is_none() {
            let batch = take_batch(&mut incarnation.copies, &self.payers, configuration, now)?;
            let sequence = incarnation.next_sequence;
            incarnation.next_sequence = sequence.next();
            incarnation.pending = Some(RecoveredBatch { sequence, batch });
        }
        incarnation.pending.clone()
    }

    /// Notes that the pending batch of an incarnation is stored.
    pub fn stored(&mut self, key: &IncarnationKey) {
        if let Some(incarnation) = self.incarnations.get_mut(key) {
            incarnation.pending = None;
        }
    }

    /// Forgets incarnations that `is_over` and that have nothing left to write.
    pub fn forget(&mut self, is_over: impl Fn(&IncarnationKey) -> bool) {
        self.incarnations.retain(|key, incarnation| {
            !incarnation.copies.is_empty() || incarnation.pending.is_some() || !is_over(key)
        });
        if self.incarnations.values().all(|incarnation| incarnation.copies.is_empty()) {
            self.payers.clear();
        }
    }

    /// Attempts with copies.
    pub fn len(&self) -> usize {
        self.incarnations.values().map(|incarnation| incarnation.copies.len()).sum()
    }

    /// Whether nothing waits for being stored.
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

/// Moves copies into a batch until it is full.
fn take_batch(
    copies: &mut BTreeMap<(Serial, u32), (u32, Usage)>,
    payers: &[Payer],
    configuration: &Configuration,
    now: TimeMs,
) -> Option<Batch> {
    let mut batch = Batch { sealed_at_ms: now, ..Batch::default() };
    while !batch.is_full() {
        let Some(((serial, _), (payer, usage))) = copies.pop_first() else {
            break;
        };
        let payer = &payers[payer as usize];
        if usage == Usage::default() && payer.version.is_some() {
            // A model call without output is not billed.
            continue;
        }
        let known = payer.version.as_ref().and_then(|id| configuration.version(id));
        let cost_micros = known.map(|(model, _)| model.cost(&usage)).unwrap_or_default();
        batch.add(&Bill {
            serial,
            customer: payer.customer.clone(),
            class: payer.class,
            lines: vec![BillLine { version: payer.version.clone(), usage, cost_micros }],
        });
    }
    (!batch.sums.is_empty()).then_some(batch)
}
