//! Choice of the upstream for a request.

use rand::Rng;
use rand::RngExt;

use crate::id::HostId;
use crate::member_table::Member;

/// Chooses the less loaded of two random candidates.
pub fn choose<'a, R: Rng>(
    candidates: impl Iterator<Item = (&'a HostId, &'a Member)>,
    rng: &mut R,
) -> Option<HostId> {
    let candidates: Vec<(&HostId, &Member)> = candidates.collect();
    if candidates.is_empty() {
        return None;
    }
    let first = candidates[rng.random_range(0..candidates.len())];
    let second = candidates[rng.random_range(0..candidates.len())];
    let chosen = if load(second.1) < load(first.1) { second } else { first };
    Some(chosen.0.clone())
}

fn load(member: &Member) -> u64 {
    u64::from(member.load.running) + member.sent_since_report()
}
