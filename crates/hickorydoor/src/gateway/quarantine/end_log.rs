//! Engines that ended, as this gateway and the others have seen it.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use compact_str::CompactString;

use crate::gateway::quarantine::engine_end::EngineEnd;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::survival_table::SurvivalTable;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long an end counts.
const END_TTL_MS: DurationMs = DurationMs::from_secs(60);
/// How long an end is reported whose parts have all been proven sound; other gateways may know
/// attempts that they have closed shortly before.
const MIN_REPORT_MS: DurationMs = DurationMs::from_secs(2);
/// Ends of the same engine closer together than this are one: gateways notice it at different times.
const SAME_END_MS: DurationMs = DurationMs::from_secs(3);
/// Time after an end from which on a response shows that the engine has not ended; what it sent before
/// may arrive until then.
const MIN_REFUTATION_MS: DurationMs = DurationMs::new(100);
/// Time after an end until which a response shows that. An engine that has ended is back later.
const MAX_REFUTATION_MS: DurationMs = DurationMs::new(1_500);
/// Time after an end until which a request is sent to its engine to learn whether it goes on. The
/// response has to arrive before [`MAX_REFUTATION_MS`].
const MAX_CHECK_MS: DurationMs = DurationMs::new(1_000);
/// Time after an end until which gateways may learn that its engine has responded.
const REFUTABLE_MS: DurationMs = DurationMs::new(5_000);
/// Error of the time of an end that is not worth a new assessment.
const MAX_TIME_ERROR_MS: DurationMs = DurationMs::new(20);
/// Maximum number of ends of one gateway; the oldest are dropped.
const MAX_ENDS: usize = 48;
/// Maximum number of parts of one end.
const MAX_PARTS: usize = 64;

/// An end that this gateway has seen.
#[derive(Clone, Debug)]
struct OwnEnd {
    at: TimeMs,
    end: EngineEnd,
    /// Attempts of this gateway that it cut off before they were proven sound.
    cut_off: u32,
}

/// An end, with all that gateways know about it.
#[derive(Clone, Debug)]
pub struct MergedEnd {
    pub upstream: UpstreamId,
    pub service: ServiceName,
    pub version: CompactString,
    pub at: TimeMs,
    pub parts: BTreeSet<PartId>,
    pub tried: BTreeSet<PartId>,
    pub cut_off: u32,
    pub is_confirmed: bool,
}

/// Ends of engines, bounded in number and age.
#[derive(Clone, Debug, Default)]
pub struct EndLog {
    own: VecDeque<OwnEnd>,
    /// Ends that other gateways report, by host and incarnation. Those of an earlier incarnation
    /// still count.
    peers: HashMap<(HostId, u64), Vec<(EngineEnd, TimeMs)>>,
    /// The ends as they were merged last.
    merged: Arc<[MergedEnd]>,
    /// Parts of the ends that other gateways report, as of then.
    parts_of_peers: BTreeSet<PartKey>,
    /// Whether the ends have changed since they were merged.
    has_changed: bool,
}

impl EndLog {
    /// Records an end that this gateway has seen, or adds to the one that it knows already.
    pub fn record(&mut self, seen: EngineEnd, is_cut_off: bool, at: TimeMs) {
        self.has_changed = true;
        let same = |known: &&mut OwnEnd| {
            known.end.upstream == seen.upstream && distance(known.at, at) <= SAME_END_MS
        };
        if let Some(known) = self.own.iter_mut().rev().find(same) {
            known.at = known.at.min(at);
            known.cut_off += u32::from(is_cut_off);
            known.end.is_confirmed |= seen.is_confirmed;
            known.end.is_closed |= seen.is_closed;
            for part in seen.parts {
                if !known.end.parts.contains(&part) && known.end.parts.len() < MAX_PARTS {
                    known.end.parts.push(part);
                }
            }
            for part in seen.tried {
                if !known.end.tried.contains(&part) && known.end.tried.len() < MAX_PARTS {
                    known.end.tried.push(part);
                }
            }
            return;
        }
        if self.own.len() >= MAX_ENDS {
            self.own.pop_front();
        }
        let mut end = seen;
        end.parts.truncate(MAX_PARTS);
        self.own.push_back(OwnEnd { at, end, cut_off: u32::from(is_cut_off) });
    }

    /// Records that an engine accepts no connections, which confirms that it has ended shortly before.
    pub fn confirm(&mut self, seen: EngineEnd, at: TimeMs) {
        let of_engine = self.own.iter().rev().find(|known| known.end.upstream == seen.upstream);
        // It goes on not to accept connections after an end that is known already.
        if of_engine.is_none_or(|known| at.since(known.at) <= SAME_END_MS) {
            self.record(seen, false, at);
        }
    }

    /// Removes ends of engines that have responded since, as `alive_at` returns. A connection may be
    /// cut off although its engine goes on.
    pub fn remove_refuted(
        &mut self,
        alive_at: impl Fn(&UpstreamId) -> Option<TimeMs>,
        now: TimeMs,
    ) {
        let is_refuted = |end: &EngineEnd, at: TimeMs| {
            !end.is_confirmed
                && now.since(at) <= REFUTABLE_MS
                && alive_at(&end.upstream).is_some_and(|alive| refutes(alive, at))
        };
        let before = self.len();
        self.own.retain(|known| !is_refuted(&known.end, known.at));
        for ends in self.peers.values_mut() {
            ends.retain(|(end, at)| !is_refuted(end, *at));
        }
        self.has_changed |= self.len() != before;
    }

    /// Returns the number of ends, counted for each gateway that reports them.
    fn len(&self) -> usize {
        self.own.len() + self.peers.values().map(Vec::len).sum::<usize>()
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
            tried.retain(|part| parts.contains(part));
        }
        for ends in self.peers.values_mut() {
            ends.retain(|(_, at)| now.since(*at) <= END_TTL_MS);
        }
        self.peers.retain(|_, ends| !ends.is_empty());
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

    /// Returns the parts of the ends that other gateways report, as of the last
    /// [`EndLog::refresh`].
    pub const fn parts_of_peers(&self) -> &BTreeSet<PartKey> {
        &self.parts_of_peers
    }

    /// Merges the ends again if they have changed.
    pub fn refresh(&mut self) {
        if !std::mem::take(&mut self.has_changed) {
            return;
        }
        self.merged = self.merge().into();
        let of_peers = self.of_peers().flat_map(|(end, _)| {
            end.parts.iter().map(|part| PartKey { service: end.service.clone(), part: *part })
        });
        self.parts_of_peers = of_peers.collect();
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
                }
                _ => merged.push(MergedEnd {
                    upstream: end.upstream.clone(),
                    service: end.service.clone(),
                    version: end.version.clone(),
                    at,
                    parts: end.parts.iter().copied().collect(),
                    tried: end.tried.iter().copied().collect(),
                    cut_off,
                    is_confirmed: end.is_confirmed,
                }),
            }
        }
        merged
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

/// Returns whether a response at `alive_at` shows that an engine has not ended at `ended_at`.
pub fn refutes(alive_at: TimeMs, ended_at: TimeMs) -> bool {
    alive_at > ended_at + MIN_REFUTATION_MS && alive_at <= ended_at + MAX_REFUTATION_MS
}

fn distance(a: TimeMs, b: TimeMs) -> DurationMs {
    a.since(b).max(b.since(a))
}
