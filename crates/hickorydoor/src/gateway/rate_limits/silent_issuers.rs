//! Which gateway issues the permits of an upstream.
//!
//! Rendezvous hashing ranks the gateways for each upstream, so all choose the same one without
//! messages. One that does not answer, or is not heard of, is passed over.

use std::collections::HashMap;

use crate::gateway::rate_limits::issuer_order::IssuerOrder;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long a gateway that does not answer is passed over; doubled each time.
const BASE_SILENCE_MS: u64 = 1_000;
/// Longest time for which a gateway is passed over.
const MAX_SILENCE_MS: u64 = 8_000;

/// Times at which a gateway did not answer.
#[derive(Clone, Copy, Debug)]
struct Silence {
    until: TimeMs,
    next_ms: u64,
}

/// Gateways that do not answer requests for permits.
#[derive(Clone, Debug, Default)]
pub struct SilentIssuers {
    silences: HashMap<HostId, Silence>,
}

impl SilentIssuers {
    /// Returns the gateway that issues permits for an upstream. `is_heard` returns whether another
    /// gateway is heard of.
    pub fn issuer(
        &self,
        upstream: &UpstreamId,
        own: &HostId,
        gateways: &[HostId],
        is_heard: impl Fn(&HostId) -> bool,
        now: TimeMs,
    ) -> HostId {
        let can_issue =
            |host: &&HostId| *host == own || (is_heard(host) && !self.is_silent(host, now));
        let order = IssuerOrder::of(upstream);
        let first = gateways.iter().filter(can_issue).max_by_key(|host| order.hash(host));
        first.unwrap_or(own).clone()
    }

    /// Records that a gateway has not answered.
    pub fn record_silence(&mut self, host: HostId, now: TimeMs) {
        let known = self.silences.get(&host);
        let for_ms = known.map_or(BASE_SILENCE_MS, |silence| silence.next_ms);
        let until = now + DurationMs::new(for_ms);
        let next_ms = (for_ms * 2).min(MAX_SILENCE_MS);
        self.silences.insert(host, Silence { until, next_ms });
    }

    /// Records that a gateway has answered.
    pub fn record_answer(&mut self, host: &HostId) {
        self.silences.remove(host);
    }

    /// Forgets gateways that are not present any more.
    pub fn retain(&mut self, present: &[HostId]) {
        self.silences.retain(|host, _| present.contains(host));
    }

    /// Returns the number of gateways.
    pub fn len(&self) -> usize {
        self.silences.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.silences.is_empty()
    }

    fn is_silent(&self, host: &HostId, now: TimeMs) -> bool {
        self.silences.get(host).is_some_and(|silence| now < silence.until)
    }
}
