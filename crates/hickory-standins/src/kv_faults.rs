//! Faults and counters of the key-value stand-in.

use std::time::Duration;

/// Calls that have arrived, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvCounts {
    /// Transactions.
    pub transactions: u64,
    /// Reads outside of transactions.
    pub ranges: u64,
    /// Leases that were asked for.
    pub grants: u64,
    /// Renewals of leases.
    pub keep_alives: u64,
    /// Leases that were given back.
    pub revokes: u64,
    /// Watches that were started.
    pub watches: u64,
}

impl KvCounts {
    /// Calls of every kind.
    pub const fn total(&self) -> u64 {
        self.transactions
            + self.ranges
            + self.grants
            + self.keep_alives
            + self.revokes
            + self.watches
    }
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct KvFaults {
    /// Pause before each answer.
    pub delay: Duration,
    /// Answers to give before the first one is lost.
    pub answers_to_give: u32,
    /// Answers to lose after the call took effect.
    pub answers_to_lose: u32,
    /// Calls to refuse without effect.
    pub calls_to_refuse: u32,
}

impl KvFaults {
    /// Whether the answer to a call that took effect is lost.
    pub fn take_lost_answer(&mut self) -> bool {
        if self.answers_to_lose == 0 {
            return false;
        }
        if self.answers_to_give > 0 {
            self.answers_to_give -= 1;
            return false;
        }
        self.answers_to_lose -= 1;
        true
    }
}
