//! The billing ledger of one entry incarnation.
//!
//! Bills are summed into a batch. A sealed batch keeps its sequence number and content until it is
//! known to be stored, so writing it again after a lost answer changes nothing. A batch is created
//! only while the ledger is not closed; an agent closes the ledger before it bills what a dead
//! entry left behind.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::bill::Bill;
use crate::bill::BillSum;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Sequence;
use crate::id::Serial;
use crate::keys;
use crate::kv_call::KvCall;
use crate::kv_call::KvCompare;
use crate::kv_call::KvOperation;
use crate::time::TimeMs;

/// A batch of bills as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Batch {
    /// When the batch was sealed.
    pub sealed_at_ms: TimeMs,
    /// Numbers of the requests in it, ascending.
    pub serials: Vec<Serial>,
    /// Sums of the bills.
    pub sums: Vec<BillSum>,
}

impl Batch {
    /// Adds the lines of one bill.
    pub fn add(&mut self, bill: &Bill) {
        self.serials.push(bill.serial);
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
                prompt_tokens: crate::quantity::Tokens::default(),
                answer_tokens: crate::quantity::Tokens::default(),
                cost_micros: crate::quantity::CostMicros::default(),
            });
            self.sums.len() - 1
        });
        &mut self.sums[index]
    }

    /// The stored form.
    pub fn encode(&self) -> Bytes {
        // Serialising plain structs with string keys cannot fail.
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// A sealed batch that is not known to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SealedBatch {
    sequence: Sequence,
    batch: Batch,
}

/// The billing ledger of one entry incarnation.
#[derive(Clone, Debug)]
pub struct Ledger {
    entry: HostId,
    incarnation: Incarnation,
    open: Batch,
    sealed: VecDeque<SealedBatch>,
    next_sequence: Sequence,
    closed: bool,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(entry: HostId, incarnation: Incarnation) -> Self {
        Self {
            entry,
            incarnation,
            open: Batch::default(),
            sealed: VecDeque::new(),
            next_sequence: Sequence::default(),
            closed: false,
        }
    }

    /// Adds a bill to the open batch.
    pub fn add(&mut self, bill: &Bill) {
        self.open.add(bill);
    }

    /// Seals the open batch, if it holds any bill.
    pub fn seal(&mut self, now: TimeMs) {
        if self.open.serials.is_empty() {
            return;
        }
        let mut batch = std::mem::take(&mut self.open);
        batch.sealed_at_ms = now;
        batch.serials.sort_unstable();
        self.sealed.push_back(SealedBatch { sequence: self.next_sequence, batch });
        self.next_sequence = self.next_sequence.next();
    }

    /// The call that stores the oldest sealed batch.
    ///
    /// If the batch exists already, the failure branch returns it and the closing key, so the
    /// caller can tell an earlier write of its own from a closed ledger.
    pub fn next_write(&self) -> Option<KvCall> {
        let sealed = self.sealed.front()?;
        if self.closed {
            return None;
        }
        let key = keys::batch(&self.entry, self.incarnation, sealed.sequence);
        let closed = keys::ledger_closed(&self.entry, self.incarnation);
        Some(KvCall::Transaction {
            compares: vec![
                KvCompare::Absent { key: key.clone() },
                KvCompare::Absent { key: closed.clone() },
            ],
            then: vec![KvOperation::Put {
                key: key.clone(),
                value: sealed.batch.encode(),
                lease: None,
            }],
            otherwise: vec![KvOperation::Get { key }, KvOperation::Get { key: closed }],
        })
    }

    /// Notes that the oldest sealed batch is stored; returns its number and requests.
    pub fn stored(&mut self) -> Option<(Sequence, Vec<Serial>)> {
        let sealed = self.sealed.pop_front()?;
        Some((sealed.sequence, sealed.batch.serials))
    }

    /// Notes that an agent has closed this ledger; its unstored batches are left to the agents.
    pub fn close(&mut self) {
        self.closed = true;
        self.sealed.clear();
        self.open = Batch::default();
    }

    /// Whether every bill is stored.
    pub fn is_drained(&self) -> bool {
        self.closed || (self.open.serials.is_empty() && self.sealed.is_empty())
    }
}
