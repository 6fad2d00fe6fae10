//! Which parts are kept where not all of them fit.
//!
//! The part that ends engines is the one that no attempt has survived. So those are dropped first
//! that were proven sound last. If even the others do not fit, a part is kept or not by chance, anew
//! for each end and each report: the evidence about it comes later then, but it comes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::quarantine::part_id::PartId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Number of parts up to which nothing is dropped.
pub(super) const FEW_PARTS: usize = 64;
/// How long a proof counts for dropping a part.
const PROOF_MS: DurationMs = DurationMs::from_secs(60);

/// Drops the parts that were proven sound lately, if there are many and others are left.
/// `proven_at` returns when a part was last proven.
pub(super) fn drop_proven(
    parts: &[PartId],
    proven_at: impl Fn(&PartId) -> Option<TimeMs>,
    now: TimeMs,
) -> Vec<PartId> {
    if parts.len() > FEW_PARTS {
        let is_open = |part: &&PartId| proven_at(part).is_none_or(|at| now.since(at) > PROOF_MS);
        let open: Vec<PartId> = parts.iter().filter(is_open).copied().collect();
        if !open.is_empty() {
            return open;
        }
    }
    parts.to_vec()
}

/// Keeps up to `limit` parts: those that were never proven first, then those with the oldest proofs,
/// and by chance among equals. `seed` changes with each choice.
pub(super) fn keep_most_suspect(
    parts: &mut Vec<PartId>,
    limit: usize,
    proven_at: impl Fn(&PartId) -> Option<TimeMs>,
    seed: u64,
) {
    if parts.len() <= limit {
        return;
    }
    parts.sort_by_cached_key(|part| (proven_at(part), chance_of(*part, seed)));
    parts.truncate(limit);
}

/// Returns a number by which a part comes before others by chance.
pub(super) fn chance_of(part: PartId, seed: u64) -> u64 {
    xxh3_64_with_seed(&part.get().to_le_bytes(), seed)
}

/// Returns whether any of some parts is among others.
pub fn shares_any(parts: &[PartId], others: &[PartId]) -> bool {
    let others = sorted(others);
    parts.iter().any(|part| others.binary_search(part).is_ok())
}

/// Returns whether all of some parts are among others.
pub fn is_subset(parts: &[PartId], others: &[PartId]) -> bool {
    if parts.len() <= 2 || others.len() <= FEW_PARTS {
        return parts.iter().all(|part| others.contains(part));
    }
    let others = sorted(others);
    parts.iter().all(|part| others.binary_search(part).is_ok())
}

/// Returns the parts in order, so that they can be searched.
pub(super) fn sorted(parts: &[PartId]) -> Vec<PartId> {
    let mut sorted = parts.to_vec();
    sorted.sort_unstable();
    sorted
}
