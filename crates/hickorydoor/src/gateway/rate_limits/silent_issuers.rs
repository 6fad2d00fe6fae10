//! Which gateway issues the permits of an upstream.
//!
//! Rendezvous hashing ranks the gateways for each upstream, so all choose the same one without
//! messages. A gateway that does not answer is passed over for a while.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::HostId;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How many gateways are asked, before a gateway issues permits to itself.
const MAX_ISSUERS: usize = 2;
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
    /// Returns the gateway that issues permits for an upstream and its rank: the number of gateways
    /// before it, which do not answer.
    pub fn issuer(
        &self,
        upstream: &UpstreamId,
        own: &HostId,
        gateways: &[HostId],
        now: TimeMs,
    ) -> (HostId, u32) {
        let seed = xxh3_64(upstream.as_str().as_bytes());
        let hash = |host: &HostId| xxh3_64_with_seed(host.as_str().as_bytes(), seed);
        let mut passed: Vec<&HostId> = Vec::with_capacity(MAX_ISSUERS);
        while passed.len() < MAX_ISSUERS {
            let left = gateways.iter().filter(|host| !passed.contains(host));
            let Some(host) = left.max_by_key(|host| hash(host)) else {
                break;
            };
            if host == own || !self.is_silent(host, now) {
                return (host.clone(), passed.len() as u32);
            }
            passed.push(host);
        }
        (own.clone(), passed.len() as u32)
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

    fn is_silent(&self, host: &HostId, now: TimeMs) -> bool {
        self.silences.get(host).is_some_and(|silence| now < silence.until)
    }
}
