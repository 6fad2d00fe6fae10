//! The billing ledger of one entry incarnation.
//!
//! Bills are summed up in an open batch, which is sealed before it is stored. A sealed batch keeps
//! its sequence number and content until it is known to be stored, so a write can safely be
//! repeated after its reply was lost.
//!
//! A batch is only created while the ledger is not closed. An agent closes the ledger of an entry
//! that has failed before it bills the entry's remaining requests, so no request is billed twice.
//! Each write of a batch also stores the numbers of all settled requests, so that agents read one
//! small key instead of every batch.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::billing::bill::Bill;
use crate::billing::bill::BillSum;
use crate::billing::serial_set::SerialSet;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Sequence;
use crate::id::Serial;
use crate::quantity::CostMicros;
use crate::quantity::Tokens;
use crate::store::keys;
use crate::store::kv_call::KvCall;
use crate::store::kv_call::KvCompare;
use crate::store::kv_call::KvOperation;
use crate::time::TimeMs;

/// Maximum number of sums in a batch. A sum takes at most 600 bytes (three ids of 128 bytes and the
/// numbers), so a batch stays below the size limit of 1 MB for a value.
pub const MAX_SUMS: usize = 1_000;
/// Maximum number of ranges of request numbers in a batch. A range takes at most 42 bytes.
pub const MAX_RANGES: usize = 8_000;

/// A batch of bills in its stored form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Batch {
    /// Time at which the batch was sealed, on the clock of the entry.
    pub sealed_at_ms: TimeMs,
    /// Numbers of the requests in the batch.
    pub serials: SerialSet,
    /// Sums of the bills by customer, version and class.
    pub sums: Vec<BillSum>,
}

impl Batch {
    /// Adds one bill to the sums.
    pub fn add(&mut self, bill: &Bill) {
        self.serials.insert(bill.serial);
        for (index, line) in bill.lines.iter().enumerate() {
            let sum = self.sum_mut(bill, index);
            sum.requests += u64::from(index == 0);
            sum.prompt_tokens += line.usage.prompt_tokens;
            sum.answer_tokens += line.usage.answer_tokens;
            sum.cost_micros += line.cost_micros;
        }
    }

    fn sum_mut(&mut self, bill: &Bill, line_index: usize) -> &mut BillSum {
        let version = &bill.lines[line_index].version;
        let found = self.sums.iter().position(|sum| {
            sum.customer == bill.customer && sum.version == *version && sum.class == bill.class
        });
        let index = found.unwrap_or_else(|| {
            self.sums.push(BillSum {
                customer: bill.customer.clone(),
                version: version.clone(),
                class: bill.class,
                requests: 0,
                prompt_tokens: Tokens::default(),
                answer_tokens: Tokens::default(),
                cost_micros: CostMicros::default(),
            });
            self.sums.len() - 1
        });
        &mut self.sums[index]
    }

    /// Returns whether the batch has reached its size limit and should be sealed.
    pub fn is_full(&self) -> bool {
        self.sums.len() >= MAX_SUMS || self.serials.range_count() >= MAX_RANGES
    }

    /// Encodes the batch as JSON.
    pub fn encode(&self) -> Bytes {
        // Serialising plain structs with string keys cannot fail.
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Requests of a batch, grouped by the agents that hold copies of their usage.
pub type SettledByAgent = BTreeMap<HostId, Vec<Serial>>;

/// A sealed batch that is not yet known to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SealedBatch {
    sequence: Sequence,
    batch: Batch,
    by_agent: SettledByAgent,
}

/// The billing ledger of one entry incarnation.
#[derive(Clone, Debug)]
pub struct Ledger {
    entry: HostId,
    incarnation: Incarnation,
    first_serial: Serial,
    open: Batch,
    open_by_agent: SettledByAgent,
    sealed: VecDeque<SealedBatch>,
    settled: SerialSet,
    next_sequence: Sequence,
}

impl Ledger {
    /// Creates an empty ledger for an incarnation whose first request has the number
    /// `first_serial`.
    pub fn new(entry: HostId, incarnation: Incarnation, first_serial: Serial) -> Self {
        Self {
            entry,
            incarnation,
            first_serial,
            open: Batch::default(),
            open_by_agent: SettledByAgent::new(),
            sealed: VecDeque::new(),
            settled: SerialSet::default(),
            next_sequence: Sequence::default(),
        }
    }

    /// Returns the entry incarnation to which the ledger belongs.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Adds a bill to the open batch. `agents` are the agents that hold copies of its usage.
    pub fn add(&mut self, bill: &Bill, agents: &[HostId], now: TimeMs) {
        if bill.lines.is_empty() {
            // There is nothing to store, so the request is settled at once.
            self.settled.insert(bill.serial);
            return;
        }
        self.open.add(bill);
        for agent in agents {
            self.open_by_agent.entry(agent.clone()).or_default().push(bill.serial);
        }
        if self.open.is_full() {
            self.seal_open(now);
        }
    }

    /// Seals the open batch if it is not empty and no other sealed batch awaits storage.
    ///
    /// While a batch awaits storage, further bills are added to the open batch. An outage of the
    /// key-value service thus takes little memory and causes few writes afterwards.
    pub fn seal(&mut self, now: TimeMs) {
        if self.sealed.is_empty() {
            self.seal_open(now);
        }
    }

    fn seal_open(&mut self, now: TimeMs) {
        if self.open.sums.is_empty() {
            return;
        }
        let mut batch = std::mem::take(&mut self.open);
        batch.sealed_at_ms = now;
        let by_agent = std::mem::take(&mut self.open_by_agent);
        self.sealed.push_back(SealedBatch { sequence: self.next_sequence, batch, by_agent });
        self.next_sequence = self.next_sequence.next();
    }

    /// Returns the call that stores the oldest sealed batch, if there is one.
    ///
    /// If the batch already exists or the ledger is closed, the failure branch reads the batch and
    /// the closing key. From these the entry can tell an earlier write of its own, whose reply was
    /// lost, from a closed ledger.
    pub fn next_write(&self) -> Option<KvCall> {
        let sealed = self.sealed.front()?;
        let key = keys::batch(&self.entry, self.incarnation, sealed.sequence);
        let closed = keys::ledger_closed(&self.entry, self.incarnation);
        let mut settled = self.settled.clone();
        settled.extend(&sealed.batch.serials);
        let put = |key, value| KvOperation::Put { key, value, lease: None };
        Some(KvCall::Transaction {
            compares: vec![
                KvCompare::Absent { key: key.clone() },
                KvCompare::Absent { key: closed.clone() },
            ],
            then: vec![
                put(key.clone(), sealed.batch.encode()),
                put(
                    keys::ledger_settled(&self.entry, self.incarnation),
                    settled.to_string().into_bytes().into(),
                ),
            ],
            otherwise: vec![KvOperation::Get { key }, KvOperation::Get { key: closed }],
        })
    }

    /// Records that the oldest sealed batch is stored. Returns its sequence number, the number of
    /// its requests, and the requests by agent.
    pub fn confirm_stored(&mut self) -> Option<(Sequence, u64, SettledByAgent)> {
        let sealed = self.sealed.pop_front()?;
        self.settled.extend(&sealed.batch.serials);
        Some((sealed.sequence, sealed.batch.serials.len(), sealed.by_agent))
    }

    /// Returns the lowest request number that is not settled.
    pub fn settled_below(&self) -> Serial {
        self.settled.first_missing(self.first_serial)
    }

    /// Returns whether every bill is stored.
    pub fn is_drained(&self) -> bool {
        self.open.sums.is_empty() && self.sealed.is_empty()
    }
}
