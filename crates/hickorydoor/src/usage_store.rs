//! Copies of usage that an agent keeps until the entry's bills are stored.
//!
//! If an entry is lost, or its ledger is closed for another reason, the agent writes the copies
//! that are not in the ledger as batches of its own. Customers and versions repeat, so a copy
//! refers to a table of them; a copy takes about 40 bytes.

use std::collections::BTreeMap;

use crate::bill::Bill;
use crate::bill::BillLine;
use crate::class::Class;
use crate::configuration::Configuration;
use crate::id::AttemptId;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Sequence;
use crate::id::Serial;
use crate::id::VersionId;
use crate::ledger::Batch;
use crate::serial_set::SerialSet;
use crate::time::TimeMs;
use crate::usage::Usage;

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
struct UsageLife {
    copies: BTreeMap<(Serial, u32), (u32, Usage)>,
    below: Serial,
    /// Requests in the ledger's batches, once the ledger is closed.
    billed: Option<SerialSet>,
    pending: Option<RecoveredBatch>,
    next_sequence: Sequence,
}

/// Names an entry incarnation.
pub type LifeKey = (HostId, Incarnation);

/// Usage copies by entry incarnation and attempt.
#[derive(Clone, Debug, Default)]
pub struct UsageStore {
    lives: BTreeMap<LifeKey, UsageLife>,
    payers: Vec<Payer>,
}

impl UsageStore {
    /// Keeps the usage of a finished attempt, unless its request is settled.
    pub fn keep(&mut self, attempt: &AttemptId, copy: UsageCopy) {
        let request = &attempt.request;
        let payer = self.payer(copy.customer, copy.class, copy.version);
        let key = (request.entry.clone(), request.incarnation);
        let life = self.lives.entry(key).or_default();
        let billed = life.billed.as_ref().is_some_and(|set| set.contains(request.serial));
        if request.serial >= life.below && !billed {
            life.copies.insert((request.serial, attempt.ordinal), (payer, copy.usage));
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
    pub fn settle(&mut self, life: &LifeKey, below: Serial, serials: &[Serial]) {
        let Some(life) = self.lives.get_mut(life) else {
            return;
        };
        if below > life.below {
            life.below = below;
            life.copies = life.copies.split_off(&(below, 0));
        }
        for serial in serials {
            remove_request(&mut life.copies, *serial);
        }
    }

    /// Notes that the ledger of an incarnation is closed with these requests in its batches.
    pub fn close(&mut self, life: &LifeKey, billed: SerialSet) {
        let life = self.lives.entry(life.clone()).or_default();
        life.copies.retain(|(serial, _), _| !billed.contains(*serial));
        life.billed = Some(billed);
    }

    /// Whether the ledger of an incarnation is known to be closed.
    pub fn is_closed(&self, life: &LifeKey) -> bool {
        self.lives.get(life).is_some_and(|life| life.billed.is_some())
    }

    /// Incarnations with copies or batches that are not stored, in order.
    pub fn unsettled(&self) -> impl Iterator<Item = &LifeKey> {
        let unsettled = |life: &UsageLife| !life.copies.is_empty() || life.pending.is_some();
        self.lives.iter().filter(move |(_, life)| unsettled(life)).map(|(key, _)| key)
    }

    /// The batch to write for a closed incarnation. Its content and number stay fixed until
    /// [`Self::stored`].
    pub fn next_batch(
        &mut self,
        key: &LifeKey,
        configuration: &Configuration,
        now: TimeMs,
    ) -> Option<RecoveredBatch> {
        let life = self.lives.get_mut(key)?;
        life.billed.as_ref()?;
        if life.pending.is_none() {
            let batch = take_batch(&mut life.copies, &self.payers, configuration, now)?;
            let sequence = life.next_sequence;
            life.next_sequence = sequence.next();
            life.pending = Some(RecoveredBatch { sequence, batch });
        }
        life.pending.clone()
    }

    /// Notes that the pending batch of an incarnation is stored.
    pub fn stored(&mut self, key: &LifeKey) {
        if let Some(life) = self.lives.get_mut(key) {
            life.pending = None;
        }
    }

    /// Forgets incarnations that `is_over` and that have nothing left to write.
    pub fn forget(&mut self, is_over: impl Fn(&LifeKey) -> bool) {
        self.lives
            .retain(|key, life| !life.copies.is_empty() || life.pending.is_some() || !is_over(key));
        if self.lives.values().all(|life| life.copies.is_empty()) {
            self.payers.clear();
        }
    }

    /// Attempts with copies.
    pub fn len(&self) -> usize {
        self.lives.values().map(|life| life.copies.len()).sum()
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
