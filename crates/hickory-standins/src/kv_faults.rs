//! Injected faults and call counters of the key-value stand-in.

use std::time::Duration;

/// Number of received calls by kind, including those that were rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvCounts {
    /// Calls of `/v3/kv/txn`.
    pub transactions: u64,
    /// Calls of `/v3/kv/range`; reads in transactions are not counted.
    pub ranges: u64,
    /// Calls of `/v3/lease/grant`.
    pub grants: u64,
    /// Calls of `/v3/lease/keepalive`, including those for expired leases.
    pub keep_alives: u64,
    /// Calls of `/v3/lease/revoke`, including those for unknown leases.
    pub revokes: u64,
    /// Well-formed calls of `/v3/watch`.
    pub watches: u64,
}

impl KvCounts {
    /// Sum over all kinds of calls.
    pub const fn total(&self) -> u64 {
        self.transactions
            + self.ranges
            + self.grants
            + self.keep_alives
            + self.revokes
            + self.watches
    }
}

/// Faults that apply to the next calls; watches are not affected.
#[derive(Clone, Copy, Debug, Default)]
pub struct KvFaults {
    /// Delay between the effect of a call and its response.
    pub delay: Duration,
    /// Number of responses to deliver before the first one is dropped.
    pub responses_to_deliver: u32,
    /// Number of responses to drop after their calls have taken effect.
    pub responses_to_drop: u32,
    /// Number of calls to reject without effect.
    pub calls_to_reject: u32,
}

impl KvFaults {
    /// Returns whether to drop the response to a call that has taken effect, and counts it.
    pub fn take_response_drop(&mut self) -> bool {
        if self.responses_to_drop == 0 {
            return false;
        }
        if self.responses_to_deliver > 0 {
            self.responses_to_deliver -= 1;
            return false;
        }
        self.responses_to_drop -= 1;
        true
    }
}
