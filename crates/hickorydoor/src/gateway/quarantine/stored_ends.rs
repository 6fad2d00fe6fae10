//! Ends of engines that the store holds, bounded in number, size and age.

use std::collections::BTreeMap;

use crate::gateway::quarantine::end_log::END_TTL_MS;
use crate::gateway::quarantine::end_log::MAX_ENDS;
use crate::gateway::quarantine::end_log::SAME_END_MS;
use crate::gateway::quarantine::engine_end::EngineEnd;
use crate::gateway::quarantine::part_item::PartItemKey;
use crate::id::UpstreamId;
use crate::time::TimeMs;

/// Maximum number of parts of all ends.
const MAX_STORED_PARTS: usize = 6_144;

/// Ends in the store by their keys, each with its time as far as it is known.
#[derive(Clone, Debug, Default)]
pub struct StoredEnds(BTreeMap<PartItemKey, (EngineEnd, TimeMs)>);

impl StoredEnds {
    /// Adds or replaces an end. If there are too many, or they have too many parts, the oldest are
    /// dropped.
    pub fn set(&mut self, key: PartItemKey, end: EngineEnd, at: TimeMs) {
        self.0.insert(key, (end, at));
        while self.0.len() > MAX_ENDS || self.parts() > MAX_STORED_PARTS {
            let oldest = self.0.iter().min_by_key(|(_, (_, at))| *at);
            let Some(oldest) = oldest.map(|(key, _)| key.clone()) else {
                break;
            };
            self.0.remove(&oldest);
        }
    }

    /// Removes an end; returns whether it was known.
    pub fn remove(&mut self, key: &PartItemKey) -> bool {
        self.0.remove(key).is_some()
    }

    /// Drops ends that no longer count.
    pub fn expire(&mut self, now: TimeMs) {
        self.0.retain(|_, (_, at)| now.since(*at) <= END_TTL_MS);
    }

    /// Returns the time of an end.
    pub fn at(&self, key: &PartItemKey) -> Option<TimeMs> {
        self.0.get(key).map(|(_, at)| *at)
    }

    /// Returns the keys of the ends that are the same as one that is known otherwise.
    pub fn keys_of(
        &self,
        upstream: &UpstreamId,
        started_unix_ms: u64,
        at: TimeMs,
    ) -> impl Iterator<Item = PartItemKey> {
        let is_same = move |(_, (end, stored_at)): &(&PartItemKey, &(EngineEnd, TimeMs))| {
            is_same_end(end, *stored_at, upstream, started_unix_ms, at)
        };
        self.0.iter().filter(is_same).map(|(key, _)| key.clone())
    }

    /// Iterates over the ends with their times.
    pub fn iter(&self) -> impl Iterator<Item = (&EngineEnd, TimeMs)> {
        self.0.values().map(|(end, at)| (end, *at))
    }

    /// Returns the number of parts of all ends.
    pub fn parts(&self) -> usize {
        self.iter().map(|(end, _)| end.parts.len() + end.tried.len()).sum()
    }

    /// Returns the number of ends.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Returns whether an end that the store holds is the one of an engine that is known otherwise. The
/// time of the stored one may be later, since it is not known when it was written.
pub fn is_same_end(
    stored: &EngineEnd,
    stored_at: TimeMs,
    upstream: &UpstreamId,
    started_unix_ms: u64,
    at: TimeMs,
) -> bool {
    stored.upstream == *upstream
        && stored.started_unix_ms == started_unix_ms
        && at <= stored_at + SAME_END_MS
}
