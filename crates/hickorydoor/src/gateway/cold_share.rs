//! How many requests a gateway may send to a cold upstream.
//!
//! A cold upstream bears a bounded rate from all gateways together. The bound is divided evenly
//! among the gateways; where it is smaller than their number, rendezvous hashing picks the
//! gateways that may send at all. No message is needed, and a gateway that knows too few others
//! is covered by the part of the bound that is left unused.

use xxhash_rust::xxh3::xxh3_64;

use crate::id::HostId;
use crate::id::UpstreamId;

/// Requests a second that this gateway may send to a cold upstream.
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
