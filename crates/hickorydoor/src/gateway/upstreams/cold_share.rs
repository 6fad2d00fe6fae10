//! How many requests a gateway may send to a cold upstream.
//!
//! A cold upstream has capacity for a bounded rate from all gateways together. The bound is divided
//! evenly among the gateways; where it is smaller than their number, rendezvous hashing selects the
//! gateways that may send at all. This needs no messages. A gateway that does not know all others
//! yet overestimates its share, which the unused part of the bound absorbs.

use xxhash_rust::xxh3::xxh3_64;

use crate::id::HostId;
use crate::id::UpstreamId;

/// Returns the requests per second that this gateway may send to a cold upstream.
pub fn cold_share(
    upstream: &UpstreamId,
    own: &HostId,
    gateways: &[HostId],
    cold_per_s: f64,
) -> usize {
    let budget = cold_per_s.floor() as usize;
    let count = gateways.len().max(1);
    if budget >= count {
        return budget / count;
    }
    let rank = |host: &HostId| xxh3_64(format!("{upstream}/{host}").as_bytes());
    let own_rank = rank(own);
    let before = gateways.iter().filter(|host| *host != own && rank(host) < own_rank).count();
    usize::from(before < budget)
}
