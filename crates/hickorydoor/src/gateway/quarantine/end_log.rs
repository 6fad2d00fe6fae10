//! Engines that ended, as this gateway and the others have seen it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use smallvec::Array;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::quarantine::engine_end::EngineEnd;
use crate::gateway::quarantine::merged_end::MergedEnd;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_item::PartItemKey;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::part_selection::keep_most_suspect;
use crate::gateway::quarantine::part_selection::sorted;
use crate::gateway::quarantine::stored_ends::StoredEnds;
use crate::gateway::quarantine::stored_ends::is_same_end;
use crate::gateway::quarantine::survival_table::SurvivalTable;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long an end counts.
pub(super) const END_TTL_MS: DurationMs = DurationMs::from_secs(60);
/// How long an end is reported whose parts have all been proven sound; other gateways may know
/// attempts that they have closed shortly before.
const MIN_REPORT_MS: DurationMs = DurationMs::from_secs(2);
/// Ends of the same engine closer together than this are one: gateways notice it at different times.
pub(super) const SAME_END_MS: DurationMs = DurationMs::from_secs(3);
/// Time after an end from which on a response shows that the engine has not ended; what it sent before
/// may arrive until then.
const MIN_REFUTATION_MS: DurationMs = DurationMs::new(100);
/// Time after an end until which a response shows that. An engine that has ended is back later.
const MAX_REFUTATION_MS: DurationMs = DurationMs::new(1_500);
/// The same if nothing but silence speaks for the end. It is noticed later, and its engine is back later
/// than this all the same.
pub const MAX_SILENCE_MS: DurationMs = DurationMs::new(2_500);
/// Time after an end until which a request is sent to its engine to learn whether it goes on. The
/// response has to arrive before [`MAX_REFUTATION_MS`].
const MAX_CHECK_MS: DurationMs = DurationMs::new(1_000);
/// Time after an end until which gateways may learn that its engine has responded.
const REFUTABLE_MS: DurationMs = DurationMs::new(8_000);
/// Error of the time of an end that is not worth a new assessment.
const MAX_TIME_ERROR_MS: DurationMs = DurationMs::new(20);
/// Maximum number of ends of one gateway; the oldest are dropped.
pub(super) const MAX_ENDS: usize = 48;
/// Maximum number of parts of all ends of one gateway. A head of 16 KB holds 1,500 parts.
const MAX_OWN_PARTS: usize = 8_192;
/// Maximum number of parts of the ends that all other gateways report.
const MAX_PEER_PARTS: usize = 131_072;

/// An end that this gateway has seen.
#[derive(Clone, Debug)]
struct OwnEnd {
    at: TimeMs,
    end: EngineEnd,
    /// Attempts of this gateway that it cut off before they were proven sound.
    cut_off: u32,
}

/// Ends of engines, bounded in number and age.
#[derive(Clone, Debug, Default)]
pub struct EndLog {
    own: VecDeque<OwnEnd>,
    /// Ends that other gateways report, by host and incarnation. Those of an earlier incarnation
    /// still count.
    peers: HashMap<(HostId, u64), Vec<(EngineEnd, TimeMs)>>,
    /// Ends that the store holds, by their keys. Those that are known otherwise too count once.
    stored: StoredEnds,
    /// The ends as they were merged last.
    merged: Arc<[MergedEnd]>,
    /// Parts that more than one of these holds.
    repeated: HashSet<PartId>,
    /// Parts of the ends that other gateways report, with the latest of these, as of then.
    parts_of_peers: HashMap<PartKey, TimeMs>,
    /// Parts of the ends that the store holds, likewise.
    parts_of_store: HashMap<PartKey, TimeMs>,
    /// Whether the ends have changed since they were merged.
    has_changed: bool,
}

impl EndLog {
    /// Records an end that this gateway has seen, or adds to the one that it knows already.
    pub fn record(
        &mut self,
        seen: EngineEnd,
        is_cut_off: bool,
        survivals: &SurvivalTable,
        at: TimeMs,
    ) {
        self.add(seen, is_cut_off, at);
        if self.own_parts() > MAX_OWN_PARTS {
            self.shed_own_parts(survivals);
        }
    }

    /// Drops parts of the ends that have the most, down to an equal share of the limit for each.
    fn shed_own_parts(&mut self, survivals: &SurvivalTable) {
        let mut left = MAX_OWN_PARTS;
        let mut by_size: Vec<&mut OwnEnd> = self.own.iter_mut().collect();
        by_size.sort_by_key(|known| known.end.parts.len() + known.end.tried.len());
        let ends = by_size.len();
        for (index, known) in by_size.into_iter().enumerate() {
            let share = left / (ends - index);
            let seed = known.at.get();
            let EngineEnd { service, parts, tried, .. } = &mut known.end;
            let proven_at = |part: &PartId| {
                survivals.last_at(&PartKey { service: service.clone(), part: *part })
            };
            limit_parts(tried, share / 2, proven_at, seed);
            limit_parts(parts, share - tried.len(), proven_at, seed);
            left -= parts.len() + tried.len();
        }
    }

    fn add(&mut self, seen: EngineEnd, is_cut_off: bool, at: TimeMs) {
        self.has_changed = true;
        let same = |known: &&mut OwnEnd| {
            known.end.upstream == seen.upstream && distance(known.at, at) <= SAME_END_MS
        };
        if let Some(known) = self.own.iter_mut().rev().find(same) {
            known.at = known.at.min(at);
            known.cut_off += u32::from(is_cut_off);
            known.end.is_confirmed |= seen.is_confirmed;
            known.end.is_closed |= seen.is_closed;
            add_parts(&mut known.end.parts, &seen.parts);
            add_parts(&mut known.end.tried, &seen.tried);
            return;
        }
        if self.own.len() >= MAX_ENDS {
            self.own.pop_front();
        }
        self.own.push_back(OwnEnd { at, end: seen, cut_off: u32::from(is_cut_off) });
    }

    /// Records that an engine accepts no connections, which confirms that it has ended shortly before.
    pub fn confirm(&mut self, seen: EngineEnd, survivals: &SurvivalTable, at: TimeMs) {
        let of_engine = self.own.iter().rev().find(|known| known.end.upstream == seen.upstream);
        // It goes on not to accept connections after an end that is known already.
        if of_engine.is_none_or(|known| at.since(known.at) <= SAME_END_MS) {
            self.record(seen, false, survivals, at);
        }
    }

    /// Removes ends of engines that have responded since, as `alive_at` returns. A connection may be
    /// cut off although its engine goes on. `silence_ms` is how long an engine that fell silent has
    /// for it. Returns the keys of those that the store holds.
    pub fn remove_refuted(
        &mut self,
        alive_at: impl Fn(&UpstreamId) -> Option<TimeMs>,
        silence_ms: DurationMs,
        now: TimeMs,
    ) -> Vec<PartItemKey> {
        let is_refuted = |end: &EngineEnd, at: TimeMs| {
            !end.is_confirmed
                && now.since(at) <= REFUTABLE_MS
                && alive_at(&end.upstream)
                    .is_some_and(|alive| refutes(alive, at, (!end.is_closed).then_some(silence_ms)))
        };
        let before = self.len();
        let mut refuted = Vec::new();
        if !self.stored.is_empty() {
            for (end, at) in self.all().filter(|(end, at)| is_refuted(end, *at)) {
                refuted.extend(self.stored.keys_of(&end.upstream, end.started_unix_ms, at));
            }
        }
        self.own.retain(|known| !is_refuted(&known.end, known.at));
        for ends in self.peers.values_mut() {
            ends.retain(|(end, at)| !is_refuted(end, *at));
        }
        for key in &refuted {
            self.stored.remove(key);
        }
        self.has_changed |= self.len() != before;
        refuted
    }

    /// Adds an end that the store holds. It is settled, so that no response refutes it.
    pub fn set_stored(&mut self, key: PartItemKey, end: EngineEnd, at: TimeMs) {
        self.has_changed = true;
        self.stored.set(key, end, at);
    }

    /// Returns when an end that the store holds was, as far as is known.
    pub fn stored_at(&self, key: &PartItemKey) -> Option<TimeMs> {
        self.stored.at(key)
    }

    /// Removes an end that the store no longer holds.
    pub fn remove_stored(&mut self, key: &PartItemKey) {
        self.has_changed |= self.stored.remove(key);
    }

    /// Returns the number of ends, counted for each gateway that reports them.
    fn len(&self) -> usize {
        self.own.len() + self.peers.values().map(Vec::len).sum::<usize>() + self.stored.len()
    }

    /// Iterates over the recent ends of engines that may go on, with their times. A request shows
    /// whether they do.
    pub fn undecided(&self, now: TimeMs) -> impl Iterator<Item = (&EngineEnd, TimeMs)> {
        self.all().filter(move |(end, at)| {
            let age_ms = now.since(*at);
            end.is_closed
                && age_ms > MIN_REFUTATION_MS
                && age_ms <= MAX_CHECK_MS
                && !self.is_confirmed(&end.upstream, *at)
        })
    }

    fn is_confirmed(&self, upstream: &UpstreamId, ended_at: TimeMs) -> bool {
        self.all().any(|(end, at)| {
            end.is_confirmed && end.upstream == *upstream && distance(at, ended_at) <= SAME_END_MS
        })
    }

    fn all(&self) -> impl Iterator<Item = (&EngineEnd, TimeMs)> {
        let own = self.own.iter().map(|known| (&known.end, known.at));
        own.chain(self.of_peers().map(|(end, at)| (end, *at)))
    }

    /// Replaces the ends that another gateway reports. Returns whether that changes anything.
    pub fn set_peer(&mut self, peer: (HostId, u64), mut ends: Vec<(EngineEnd, TimeMs)>) -> bool {
        ends.truncate(MAX_ENDS);
        self.limit_peer_parts(&peer, &mut ends);
        let known = self.peers.get(&peer).map_or(&[][..], Vec::as_slice);
        if are_same(known, &ends) {
            return false;
        }
        self.has_changed = true;
        if ends.is_empty() {
            self.peers.remove(&peer);
        } else {
            self.peers.insert(peer, ends);
        }
        true
    }

    /// Drops parts that another gateway reports if all of them report more than there is room for. How
    /// the parts of one end are chosen does not change with each report.
    fn limit_peer_parts(&self, peer: &(HostId, u64), ends: &mut [(EngineEnd, TimeMs)]) {
        let parts = |ends: &[(EngineEnd, TimeMs)]| {
            ends.iter().map(|(end, _)| end.parts.len() + end.tried.len()).sum::<usize>()
        };
        let of_others = self.peers.iter().filter(|(known, _)| *known != peer);
        let of_others: usize = of_others.map(|(_, known)| parts(known)).sum();
        let left = MAX_PEER_PARTS.saturating_sub(of_others);
        if parts(ends) <= left {
            return;
        }
        let share = left / ends.len();
        for (end, _) in ends {
            let seed = xxh3_64(end.upstream.as_str().as_bytes());
            limit_parts(&mut end.tried, share / 2, |_| None, seed);
            limit_parts(&mut end.parts, share - end.tried.len(), |_| None, seed);
        }
    }

    /// Returns the number of parts of all ends, and of the ends as they were merged last.
    pub fn held_parts(&self) -> usize {
        let of_peers = self.of_peers().map(|(end, _)| end.parts.len() + end.tried.len());
        let merged = self.merged.iter().map(|end| end.parts.len() + end.tried.len());
        self.own_parts() + self.stored.parts() + of_peers.sum::<usize>() + merged.sum::<usize>()
    }

    /// Drops ends that are too old, and parts that have been proven sound since.
    pub fn expire(&mut self, survivals: &SurvivalTable, now: TimeMs) {
        let before = (self.len(), self.own_parts());
        self.own.retain(|known| now.since(known.at) <= END_TTL_MS);
        for known in &mut self.own {
            let at = known.at;
            let service = &known.end.service;
            known.end.parts.retain(|part| {
                let key = PartKey { service: service.clone(), part: *part };
                survivals.last_at(&key).is_none_or(|last_at| last_at <= at)
            });
            let EngineEnd { parts, tried, .. } = &mut known.end;
            if !tried.is_empty() {
                let parts = sorted(parts);
                tried.retain(|part| parts.binary_search(part).is_ok());
            }
        }
        for ends in self.peers.values_mut() {
            ends.retain(|(_, at)| now.since(*at) <= END_TTL_MS);
        }
        self.peers.retain(|_, ends| !ends.is_empty());
        self.stored.expire(now);
        self.has_changed |= before != (self.len(), self.own_parts());
    }

    /// Returns the number of parts of the ends that this gateway has seen.
    fn own_parts(&self) -> usize {
        self.own.iter().map(|known| known.end.parts.len() + known.end.tried.len()).sum()
    }

    /// Returns the ends of this gateway that others have to know, with their times.
    pub fn reportable(&self, now: TimeMs) -> impl Iterator<Item = (&EngineEnd, TimeMs)> {
        let is_reported = move |known: &&OwnEnd| {
            !known.end.parts.is_empty() || now.since(known.at) <= MIN_REPORT_MS
        };
        self.own.iter().filter(is_reported).map(|known| (&known.end, known.at))
    }

    /// Iterates over the ends that other gateways report.
    pub fn of_peers(&self) -> impl Iterator<Item = &(EngineEnd, TimeMs)> {
        self.peers.values().flatten()
    }

    /// Returns each end once, with the parts that any gateway reports, as of the last
    /// [`EndLog::refresh`].
    pub fn merged(&self) -> Arc<[MergedEnd]> {
        Arc::clone(&self.merged)
    }

    /// Returns whether a part is one of several ends, as of the last [`EndLog::refresh`].
    pub fn is_repeated(&self, part: PartId) -> bool {
        self.repeated.contains(&part)
    }

    /// Returns the parts of the ends that other gateways report, with the latest of these, as of the
    /// last [`EndLog::refresh`].
    pub const fn parts_of_peers(&self) -> &HashMap<PartKey, TimeMs> {
        &self.parts_of_peers
    }

    /// Returns the parts of the ends that the store holds, with the latest of these, as of the last
    /// [`EndLog::refresh`].
    pub const fn parts_of_store(&self) -> &HashMap<PartKey, TimeMs> {
        &self.parts_of_store
    }

    /// Merges the ends again if they have changed.
    pub fn refresh(&mut self) {
        if !std::mem::take(&mut self.has_changed) {
            return;
        }
        self.merged = self.merge().into();
        let mut once = HashSet::new();
        let parts = self.merged.iter().flat_map(|end| end.parts.iter().copied());
        self.repeated = parts.filter(|part| !once.insert(*part)).collect();
        self.parts_of_peers = latest_by_part(self.of_peers().map(|(end, at)| (end, *at)));
        self.parts_of_store = latest_by_part(self.stored.iter());
    }

    fn merge(&self) -> Vec<MergedEnd> {
        let own = self.own.iter().map(|known| (&known.end, known.at, known.cut_off));
        let peers = self.of_peers().map(|(end, at)| (end, *at, 0));
        let mut all: Vec<_> = own.chain(peers).collect();
        all.sort_by(|a, b| (&a.0.upstream, a.1).cmp(&(&b.0.upstream, b.1)));
        let mut merged: Vec<MergedEnd> = Vec::new();
        for (end, at, cut_off) in all {
            match merged.last_mut() {
                Some(last) if last.upstream == end.upstream && at.since(last.at) <= SAME_END_MS => {
                    last.parts.extend(end.parts.iter().copied());
                    last.tried.extend(end.tried.iter().copied());
                    last.cut_off += cut_off;
                    last.is_confirmed |= end.is_confirmed;
                    last.is_closed |= end.is_closed;
                }
                _ => merged.push(MergedEnd { cut_off, ..MergedEnd::new(end, at) }),
            }
        }
        for (stored, stored_at) in self.stored.iter() {
            let is_same = |end: &&mut MergedEnd| {
                is_same_end(stored, stored_at, &end.upstream, end.started_unix_ms, end.at)
            };
            if let Some(end) = merged.iter_mut().find(is_same) {
                end.parts.extend(stored.parts.iter().copied());
                end.tried.extend(stored.tried.iter().copied());
            } else {
                merged.push(MergedEnd { is_confirmed: true, ..MergedEnd::new(stored, stored_at) });
            }
        }
        merged
    }
}

/// Returns the parts of some ends, each with the time of the latest of these.
fn latest_by_part<'a>(
    ends: impl Iterator<Item = (&'a EngineEnd, TimeMs)>,
) -> HashMap<PartKey, TimeMs> {
    let mut by_part: HashMap<PartKey, TimeMs> = HashMap::new();
    for (end, at) in ends {
        for part in &end.parts {
            let key = PartKey { service: end.service.clone(), part: *part };
            let latest = by_part.entry(key).or_default();
            *latest = (*latest).max(at);
        }
    }
    by_part
}

/// Adds the parts that are not known yet.
fn add_parts<A: Array<Item = PartId>>(known: &mut SmallVec<A>, further: &[PartId]) {
    let before: HashSet<PartId> = known.iter().copied().collect();
    known.extend(further.iter().filter(|part| !before.contains(part)).copied());
}

/// Keeps up to `limit` parts; see [`keep_most_suspect`].
fn limit_parts<A: Array<Item = PartId>>(
    parts: &mut SmallVec<A>,
    limit: usize,
    proven_at: impl Fn(&PartId) -> Option<TimeMs>,
    seed: u64,
) {
    if parts.len() > limit {
        let mut kept = parts.to_vec();
        keep_most_suspect(&mut kept, limit, proven_at, seed);
        *parts = kept.into();
    }
}

/// Returns whether two reports of a gateway say the same, and the times of the ends are no better
/// known from the second one. A report that was delayed states them too late.
fn are_same(known: &[(EngineEnd, TimeMs)], received: &[(EngineEnd, TimeMs)]) -> bool {
    let is_same = |((end, at), (other, other_at)): (&(EngineEnd, TimeMs), &(EngineEnd, TimeMs))| {
        end == other && at.since(*other_at) <= MAX_TIME_ERROR_MS
    };
    known.len() == received.len() && known.iter().zip(received).all(is_same)
}

/// Returns whether a response at `alive_at` shows that an engine has not ended at `ended_at`. `silence_ms`
/// is how long it may arrive after an end for which nothing but silence speaks.
pub fn refutes(alive_at: TimeMs, ended_at: TimeMs, silence_ms: Option<DurationMs>) -> bool {
    let within_ms = silence_ms.unwrap_or(MAX_REFUTATION_MS);
    alive_at > ended_at + MIN_REFUTATION_MS && alive_at <= ended_at + within_ms
}

fn distance(a: TimeMs, b: TimeMs) -> DurationMs {
    a.since(b).max(b.since(a))
}
