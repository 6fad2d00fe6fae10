//! The order in which gateways issue the permits of one upstream.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::HostId;
use crate::id::UpstreamId;

/// Order by rendezvous hashing, which all gateways know without messages: the highest hash comes
/// first.
#[derive(Clone, Copy, Debug)]
pub struct IssuerOrder {
    seed: u64,
}

impl IssuerOrder {
    /// Returns the order for an upstream.
    pub fn of(upstream: &UpstreamId) -> Self {
        Self { seed: xxh3_64(upstream.as_str().as_bytes()) }
    }

    /// Returns the hash of a gateway.
    pub fn hash(self, host: &HostId) -> u64 {
        xxh3_64_with_seed(host.as_str().as_bytes(), self.seed)
    }
}
