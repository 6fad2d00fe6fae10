//! What a gateway believes about prompt parts under which engines end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use compact_str::CompactString;
use smallvec::SmallVec;
use smallvec::smallvec;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::quarantine::chance_model::ChanceModel;
use crate::gateway::quarantine::end_log::EndLog;
use crate::gateway::quarantine::end_log::MergedEnd;
use crate::gateway::quarantine::end_log::refutes;
use crate::gateway::quarantine::engine_end::EngineEnd;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::quarantine_change::QuarantineChange;
use crate::gateway::quarantine::quarantine_change::QuarantineStep;
use crate::gateway::quarantine::quarantine_record::QuarantineRecord;
use crate::gateway::quarantine::quarantine_record::QuarantineState;
use crate::gateway::quarantine::quarantine_report::QuarantineReport;
use crate::gateway::quarantine::quarantine_report::SuspectLoad;
use crate::gateway::quarantine::survival_table::SurvivalTable;
use crate::gateway::quarantine::verdict::Verdict;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time for which an attempt has to write before its parts count as sound.
pub const PROVEN_AFTER_MS: DurationMs = DurationMs::new(500);
/// How long before the end of an engine an attempt may have been closed that has caused it.
const DEPARTURE_WINDOW_MS: DurationMs = DurationMs::new(500);
/// The same if the end was only noticed by the next connection.
const LATE_DEPARTURE_WINDOW_MS: DurationMs = DurationMs::from_secs(2);
/// Maximum number of closed attempts that are remembered.
const MAX_DEPARTURES: usize = 256;
/// Ends closer together than this count once: engines also end together, with their host.
const JOINT_END_MS: DurationMs = DurationMs::new(50);
/// Time after a quarantine within which the gateway that decided it takes it back if ends turn out to
/// be none, because the engines respond or the parts are proven sound.
const REVIEW_MS: DurationMs = DurationMs::from_secs(5);
/// How long a response is remembered that another gateway had from an engine.
const ALIVE_TTL_MS: DurationMs = DurationMs::from_secs(3);
/// Minimum number of recent attempts without a part that survived, at all gateways, before the part
/// is quarantined. With fewer, nothing tells an end under the part from an end for another cause.
const MIN_OTHER_SURVIVALS: f64 = 5.0;
/// Time after an end under a part was noticed until what other gateways know of it has arrived. The
/// part is not quarantined before.
const SETTLED_AFTER_MS: DurationMs = DurationMs::new(200);
/// Additional ends before several parts are quarantined together that nothing tells apart. Until then
/// trials of requests with fewer of them may do so.
const JOINT_MARGIN_ENDS: usize = 2;
/// How long new requests wait after an end under a part of theirs.
const PAUSE_MS: DurationMs = DurationMs::new(600);
/// Time before an end within which a part must have been proven for new requests not to wait.
const PAUSE_EXEMPTION_MS: DurationMs = DurationMs::from_secs(10);
/// How long the report of another gateway about its attempts is used.
const PEER_SUSPECT_TTL_MS: DurationMs = DurationMs::from_secs(2);
/// Time from an end to the first trial, and length of the slots in which gateways may begin one by
/// turns.
const TRIAL_SLOT_MS: u64 = 200;
/// Maximum number of slots until the first gateway has another one.
const MAX_TRIAL_SLOTS: u64 = 40;
/// How much longer a request waits for its trial for each further suspected part that it holds. Those
/// with fewer tell the parts apart.
const FURTHER_PART_MS: u64 = 1_000;
/// Ends under a part after which its trials are spaced out, until there is enough evidence.
const SPACED_AFTER_ENDS: usize = 3;
/// Additional time before the next trial then, doubled with each further end.
const FIRST_SPACING_MS: u64 = 1_000;
/// Maximum additional time.
const MAX_SPACING_MS: u64 = 8_000;
/// Time of the first quarantine, doubled with each further one.
const FIRST_QUARANTINE_MS: u64 = 300_000;
/// Maximum time of a quarantine.
const MAX_QUARANTINE_MS: u64 = 3_600_000;
/// How long a released record is kept, so that all gateways learn of it.
const RELEASED_TTL_MS: DurationMs = DurationMs::from_secs(60);
/// How long a probation lasts without any request with the parts.
const PROBATION_MS: DurationMs = DurationMs::from_secs(3_600);
/// Maximum number of records; those with the least time left are dropped.
const MAX_RECORDS: usize = 64;
/// Maximum number of survivals, and of suspected parts, in a report.
const MAX_REPORTED_PARTS: usize = 128;

/// An attempt that the gateway closed before its answer was complete.
#[derive(Clone, Debug)]
struct Departure {
    at: TimeMs,
    end: EngineEnd,
}

/// A suspected part.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Suspect {
    last_end_at: TimeMs,
    ends: usize,
    /// Since when this number of ends is known.
    known_since: TimeMs,
}

impl Suspect {
    /// Returns when trials may begin.
    fn trials_from(&self) -> TimeMs {
        let further = self.ends.checked_sub(SPACED_AFTER_ENDS);
        let spacing_ms =
            further.map_or(0, |further| (FIRST_SPACING_MS << further.min(8)).min(MAX_SPACING_MS));
        self.last_end_at + DurationMs::new(TRIAL_SLOT_MS + spacing_ms)
    }
}

/// A record in force.
#[derive(Clone, Debug)]
struct HeldRecord {
    record: QuarantineRecord,
    changed_at: TimeMs,
    until: TimeMs,
    /// Number of ends on which this gateway decided; `None` if another one did.
    decided_on: Option<usize>,
}

/// Ends of engines under one part since it was last proven sound.
#[derive(Clone, Debug, Default)]
struct PartEnds {
    /// Positions in the list of merged ends.
    indices: BTreeSet<usize>,
    times: Vec<TimeMs>,
}

impl PartEnds {
    fn last_at(&self) -> TimeMs {
        self.times.iter().copied().max().unwrap_or_default()
    }
}

/// Evidence about prompt parts, and the records that follow from it.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    survivals: SurvivalTable,
    ends: EndLog,
    departures: VecDeque<Departure>,
    suspects: BTreeMap<PartKey, Suspect>,
    /// Until when new requests with a part wait.
    paused: BTreeMap<PartKey, TimeMs>,
    /// When engines whose end is reported last responded to other gateways.
    alive_at_peers: BTreeMap<UpstreamId, TimeMs>,
    peer_suspects: HashMap<HostId, (TimeMs, Vec<SuspectLoad>)>,
    records: Vec<HeldRecord>,
    /// Parts that the operator allows, whatever the evidence.
    allowed: BTreeSet<PartKey>,
    changes: Vec<QuarantineChange>,
    /// Whether evidence has arrived since the last assessment.
    is_stale: bool,
    /// Whether the other gateways have to learn something soon.
    is_urgent: bool,
}

impl QuarantineTable {
    /// Records that an attempt with these parts was answered, or has written for
    /// [`PROVEN_AFTER_MS`].
    pub fn record_survival(&mut self, service: &ServiceName, parts: &[PartId], now: TimeMs) {
        self.survivals.record(service, parts, now);
        let mut keys = parts.iter().map(|part| PartKey { service: service.clone(), part: *part });
        if !self.suspects.is_empty() && keys.any(|key| self.suspects.contains_key(&key)) {
            self.is_stale = true;
            self.is_urgent = true;
        }
    }

    /// Records that an engine has begun a response. If its end is not certain, the evidence is
    /// assessed again before the response goes on, since the engine may end under it.
    pub fn record_response(&mut self, upstream: &UpstreamId, now: TimeMs) {
        if self.ends.undecided(now).any(|(end, _)| end.upstream == *upstream) {
            self.is_stale = true;
            self.is_urgent = true;
        }
    }

    /// Returns the engines whose end under one of these parts is not certain, with its time.
    pub fn undecided_engines(
        &self,
        service: &ServiceName,
        parts: &[PartId],
        now: TimeMs,
    ) -> impl Iterator<Item = (&UpstreamId, TimeMs)> {
        let holds = |end: &EngineEnd| {
            end.service == *service && end.parts.iter().any(|part| parts.contains(part))
        };
        let undecided = self.ends.undecided(now).filter(move |(end, _)| holds(end));
        undecided.map(|(end, at)| (&end.upstream, at))
    }

    /// Records that the gateway has closed an attempt, whose parts `closed` names with its engine.
    /// The engine may have begun to write its answer.
    pub fn record_departure(&mut self, closed: EngineEnd, now: TimeMs) {
        if closed.parts.is_empty() {
            return;
        }
        if self.departures.len() >= MAX_DEPARTURES {
            self.departures.pop_front();
        }
        self.departures.push_back(Departure { at: now, end: closed });
    }

    /// Records that an engine has ended and cut off an attempt, whose parts `seen` names unless
    /// they were proven sound.
    pub fn record_cut_off(&mut self, seen: EngineEnd, now: TimeMs) {
        self.add_departures(&seen, now);
        let is_unproven = !seen.parts.is_empty();
        self.ends.record(seen, is_unproven, now);
        self.is_stale = true;
        self.is_urgent |= is_unproven;
    }

    /// Records that an engine accepts no connections, so that it has ended some time before.
    pub fn record_unreachable(&mut self, seen: EngineEnd, now: TimeMs) {
        self.add_departures(&seen, now);
        self.ends.confirm(seen, now);
        self.is_stale = true;
    }

    /// Adds the parts of attempts that were closed shortly before an engine ended, which was noticed
    /// at `noticed_at`.
    fn add_departures(&mut self, seen: &EngineEnd, noticed_at: TimeMs) {
        let mut remaining = VecDeque::with_capacity(self.departures.len());
        let mut has_found = false;
        for departure in std::mem::take(&mut self.departures) {
            let before_ms = noticed_at.since(departure.at);
            let is_recent = before_ms <= DEPARTURE_WINDOW_MS;
            let is_of_engine = departure.end.upstream == seen.upstream;
            if is_of_engine && (is_recent || seen.is_confirmed) {
                // An end that is noticed late came soon after the departure.
                let at = if is_recent { noticed_at } else { departure.at };
                let end = EngineEnd { is_confirmed: seen.is_confirmed, ..departure.end };
                self.ends.record(end, false, at);
                has_found = true;
            } else if before_ms <= LATE_DEPARTURE_WINDOW_MS {
                remaining.push_back(departure);
            }
        }
        self.departures = remaining;
        self.is_stale |= has_found;
        self.is_urgent |= has_found;
    }

    /// Applies the report of another gateway.
    pub fn apply_report(
        &mut self,
        host: &HostId,
        incarnation: u64,
        report: QuarantineReport,
        now: TimeMs,
    ) {
        let ends: Vec<(EngineEnd, TimeMs)> =
            report.ends.into_iter().map(|(end, age_ms)| (end, now - age_ms)).collect();
        for (end, at) in &ends {
            if now.since(*at) <= LATE_DEPARTURE_WINDOW_MS {
                self.add_departures(end, *at);
            }
        }
        self.is_stale |= self.ends.set_peer((host.clone(), incarnation), ends);
        self.alive_at_peers.retain(|_, at| now.since(*at) <= ALIVE_TTL_MS);
        for (upstream, age_ms) in report.alive {
            let known = self.alive_at_peers.entry(upstream).or_default();
            *known = (*known).max(now - age_ms);
            self.is_stale = true;
        }
        for (part, age_ms) in report.survivals {
            self.survivals.record_at_peer(part, now - age_ms);
        }
        for load in &report.suspects {
            let part = &load.part;
            if !self.is_suspected(part, now) && !self.is_allowed(part) {
                self.push_change(QuarantineStep::Suspected, &part.service, &[part.part]);
            }
        }
        if report.suspects.is_empty() {
            self.peer_suspects.remove(host);
        } else {
            self.peer_suspects.insert(host.clone(), (now, report.suspects));
        }
        for (record, left_ms) in report.records {
            self.adopt(record, now + left_ms, now);
        }
    }

    /// Builds the report for the other gateways. `unproven` returns the number of own attempts in
    /// flight that have not proven a part sound, `alive_at` when an engine last responded here.
    pub fn report(
        &self,
        unproven: impl Fn(&PartKey) -> u32,
        alive_at: impl Fn(&UpstreamId) -> Option<TimeMs>,
        now: TimeMs,
    ) -> QuarantineReport {
        let ends = self.ends.reportable(now).map(|(end, at)| (end.clone(), now.since(at)));
        let mut survivals = BTreeMap::new();
        for (end, _) in self.ends.of_peers() {
            for part in &end.parts {
                let key = PartKey { service: end.service.clone(), part: *part };
                if let Some(own_at) = self.survivals.own_at(&key) {
                    survivals.insert(key, now.since(own_at));
                }
            }
        }
        let mut alive = BTreeMap::new();
        for (upstream, ended_at) in self.ends.engines() {
            if let Some(at) = alive_at(upstream).filter(|at| refutes(*at, ended_at)) {
                alive.insert(upstream.clone(), now.since(at));
            }
        }
        let suspects = self.suspected_parts().take(MAX_REPORTED_PARTS);
        let records = self.records.iter();
        QuarantineReport {
            ends: ends.collect(),
            alive: alive.into_iter().collect(),
            survivals: survivals.into_iter().take(MAX_REPORTED_PARTS).collect(),
            suspects: suspects
                .map(|part| SuspectLoad {
                    unproven: unproven(&part),
                    survived_without: self.survived_without(&part, now) as u32,
                    part,
                })
                .collect(),
            records: records.map(|held| (held.record.clone(), held.until.since(now))).collect(),
        }
    }

    /// Decides whether a request with these parts may be sent. `unproven` returns the number of own
    /// attempts in flight that have not proven a part sound; `gateways` are the live ones.
    pub fn verdict(
        &self,
        service: &ServiceName,
        parts: &[PartId],
        unproven: impl Fn(&PartKey) -> u32,
        own: &HostId,
        gateways: &[HostId],
        now: TimeMs,
    ) -> Verdict {
        if let Some(held) = self.quarantine_of(service, parts) {
            return Verdict::Refused { retry_after_ms: held.until.since(now) };
        }
        let suspected = self.suspected_among(service, parts, now);
        if suspected.is_empty() {
            return Verdict::Allowed;
        }
        let suspects = suspected.iter().filter_map(|key| self.suspects.get(key));
        if let Some(from) = suspects.map(Suspect::trials_from).max() {
            let further_ms = (suspected.len() as u64 - 1) * FURTHER_PART_MS;
            let from = from + DurationMs::new(further_ms);
            if now < from || !is_own_slot(service, own, gateways, now.since(from)) {
                return Verdict::Held;
            }
        }
        let is_tried = |key: &PartKey| unproven(key) + self.unproven_at_peers(key, now) > 0;
        let is_held = suspected.iter().any(|key| {
            let mut rivals = self.rivals(key);
            self.has_departed_lately(key, now) || is_tried(key) || rivals.any(is_tried)
        });
        if is_held { Verdict::Held } else { Verdict::Trial }
    }

    /// Returns the other parts of the service under which as many engines ended that their trials are
    /// spaced out. Trials of such parts at the same time could not tell them apart.
    fn rivals(&self, key: &PartKey) -> impl Iterator<Item = &PartKey> {
        let is_spaced = |suspect: &Suspect| suspect.ends >= SPACED_AFTER_ENDS;
        let has_rivals = self.suspects.get(key).is_some_and(is_spaced);
        let others = self.suspects.iter().filter(move |(other, suspect)| {
            has_rivals && other.service == key.service && *other != key && is_spaced(suspect)
        });
        others.map(|(other, _)| other)
    }

    /// Returns the suspected ones of a request's parts.
    pub fn suspected_among(
        &self,
        service: &ServiceName,
        parts: &[PartId],
        now: TimeMs,
    ) -> SmallVec<[PartKey; 2]> {
        let keys = parts.iter().map(|part| PartKey { service: service.clone(), part: *part });
        keys.filter(|key| self.is_suspected(key, now)).collect()
    }

    /// Returns whether a new request with these parts has to wait for the attempts in flight.
    pub fn is_paused(&self, service: &ServiceName, parts: &[PartId], now: TimeMs) -> bool {
        let until =
            |part: &PartId| self.paused.get(&PartKey { service: service.clone(), part: *part });
        parts.iter().filter_map(until).any(|until| now < *until)
    }

    /// Returns whether requests with these parts are refused.
    pub fn is_quarantined(&self, service: &ServiceName, parts: &[PartId]) -> bool {
        self.quarantine_of(service, parts).is_some()
    }

    /// Returns whether engines have ended under one of these parts so that it is suspected.
    pub fn is_any_suspected(&self, service: &ServiceName, parts: &[PartId], now: TimeMs) -> bool {
        parts
            .iter()
            .any(|part| self.is_suspected(&PartKey { service: service.clone(), part: *part }, now))
    }

    /// Returns whether no part is suspected or quarantined.
    pub fn is_clear(&self) -> bool {
        self.suspects.is_empty()
            && self.paused.is_empty()
            && self.records.is_empty()
            && self.peer_suspects.is_empty()
    }

    /// Returns whether evidence has arrived since the last assessment.
    pub const fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Returns whether the other gateways have to learn something soon, once for each time.
    pub fn take_urgency(&mut self) -> bool {
        std::mem::take(&mut self.is_urgent)
    }

    /// Allows a part by order of the operator, whatever the evidence.
    pub fn allow(&mut self, part: PartKey, now: TimeMs) {
        let held = self.records.iter().map(|held| &held.record);
        let lifted: Vec<QuarantineRecord> = held
            .filter(|record| record.service == part.service && record.parts.contains(&part.part))
            .cloned()
            .collect();
        for record in lifted {
            self.release(record, now);
        }
        self.suspects.remove(&part);
        self.paused.remove(&part);
        self.push_change(QuarantineStep::Released, &part.service, &[part.part]);
        self.allowed.insert(part);
    }

    /// Ends an order of the operator to allow a part.
    pub fn disallow(&mut self, part: &PartKey) {
        self.allowed.remove(part);
    }

    /// Keeps only the orders that a complete read of the store found.
    pub fn retain_allowed(&mut self, listed: &BTreeSet<PartKey>) {
        self.allowed.retain(|part| listed.contains(part));
    }

    /// Returns whether the operator allows a part, whatever the evidence.
    pub fn is_allowed(&self, part: &PartKey) -> bool {
        self.allowed.contains(part)
    }

    /// Iterates over the parts that the operator allows.
    pub fn allowed_parts(&self) -> impl Iterator<Item = &PartKey> {
        self.allowed.iter()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Assesses evidence that has arrived, and ends states that have expired. `versions` returns
    /// the versions of the upstreams of a service, `alive_at` when an engine last responded here.
    pub fn assess(
        &mut self,
        versions: impl Fn(&ServiceName) -> BTreeSet<CompactString>,
        alive_at: impl Fn(&UpstreamId) -> Option<TimeMs>,
        now: TimeMs,
    ) {
        self.expire_records(versions, now);
        let at_peers = &self.alive_at_peers;
        self.ends
            .remove_refuted(|upstream| alive_at(upstream).max(at_peers.get(upstream).copied()));
        let is_reviewing = self
            .records
            .iter()
            .any(|held| held.decided_on.is_some() && now.since(held.changed_at) <= REVIEW_MS);
        if !self.is_stale && !is_reviewing && self.suspects.is_empty() && self.paused.is_empty() {
            return;
        }
        self.is_stale = false;
        self.ends.expire(&self.survivals, now);
        let merged = self.ends.merged();
        self.review_decisions(&merged, now);
        self.release_refuted(&merged, now);
        let by_part = self.ends_by_part(&merged);
        let mut suspects = BTreeMap::new();
        self.paused.clear();
        for (key, ends) in &by_part {
            let count = joint_count(&ends.times);
            let model = self.chance_model(key, ends, &merged, now);
            let is_on_probation = self.is_on_probation(key);
            let quarantine_ends = if is_on_probation { 1 } else { model.quarantine_ends() };
            let survived = model.survived + self.survived_without_at_peers(key, now);
            let known = self.suspects.get(key).filter(|suspect| suspect.ends == count);
            let known_since = known.map_or(now, |suspect| suspect.known_since);
            let is_settled = now.since(known_since) >= SETTLED_AFTER_MS;
            let is_told_apart = survived >= MIN_OTHER_SURVIVALS && is_settled;
            if (is_told_apart || is_on_probation)
                && count >= quarantine_ends
                && !is_dominated(key, ends, &by_part)
            {
                self.quarantine(key, ends, &by_part, &merged, quarantine_ends, now);
            }
            let paused_until = ends.last_at() + PAUSE_MS;
            let proven_at = self.survivals.last_at(key);
            if now < paused_until
                && proven_at.is_none_or(|at| ends.last_at().since(at) > PAUSE_EXEMPTION_MS)
            {
                self.paused.insert(key.clone(), paused_until);
            }
            if count >= model.suspicion_ends() {
                let suspect = Suspect { last_end_at: ends.last_at(), ends: count, known_since };
                if !self.suspects.contains_key(key) {
                    self.changes.push(QuarantineChange {
                        step: QuarantineStep::Suspected,
                        service: key.service.clone(),
                        parts: smallvec![key.part],
                        engines: engines_of(ends, &merged),
                        quarantine_ends,
                    });
                }
                suspects.insert(key.clone(), suspect);
            }
        }
        let cleared = self.suspects.keys().filter(|key| !suspects.contains_key(key));
        let cleared: Vec<PartKey> = cleared.cloned().collect();
        self.suspects = suspects;
        for key in cleared {
            if !self.records.iter().any(|held| held.record.parts.contains(&key.part)) {
                self.push_change(QuarantineStep::Released, &key.service, &[key.part]);
            }
        }
    }

    /// Releases parts that this gateway has quarantined on ends that turned out to be none.
    fn review_decisions(&mut self, merged: &[MergedEnd], now: TimeMs) {
        let has_too_few = |held: &&HeldRecord| {
            let ends = merged.iter().filter(|end| {
                let parts: Vec<PartId> = end.parts.iter().copied().collect();
                held.record.concerns(&end.service, &parts)
            });
            let count = ends.count();
            held.record.state == QuarantineState::Quarantined
                && now.since(held.changed_at) <= REVIEW_MS
                && held.decided_on.is_some_and(|needed| count < needed)
        };
        let mistaken = self.records.iter().filter(has_too_few).map(|held| held.record.clone());
        for record in mistaken.collect::<Vec<_>>() {
            self.release(record, now);
        }
    }

    fn release(&mut self, record: QuarantineRecord, now: TimeMs) {
        self.push_change(QuarantineStep::Released, &record.service, &record.parts);
        let state = QuarantineState::Released;
        let released = QuarantineRecord { state, change: record.change + 1, ..record };
        self.hold(released, now + RELEASED_TTL_MS, None, now);
    }

    /// Releases parts whose ends all have other quarantined parts in common that are the better
    /// explanation: they were present at further ends, or were never proven sound as these were.
    fn release_refuted(&mut self, merged: &[MergedEnd], now: TimeMs) {
        let ends_of = |record: &QuarantineRecord| -> BTreeSet<usize> {
            let holds = |end: &MergedEnd| {
                let parts: Vec<PartId> = end.parts.iter().copied().collect();
                record.concerns(&end.service, &parts)
            };
            (0..merged.len()).filter(|index| holds(&merged[*index])).collect()
        };
        let is_quarantined = |held: &&HeldRecord| held.record.state == QuarantineState::Quarantined;
        let quarantined: Vec<(QuarantineRecord, BTreeSet<usize>)> = self
            .records
            .iter()
            .filter(is_quarantined)
            .map(|held| (held.record.clone(), ends_of(&held.record)))
            .collect();
        let was_proven = |record: &QuarantineRecord| {
            record.parts.iter().all(|part| {
                let key = PartKey { service: record.service.clone(), part: *part };
                self.survivals.last_at(&key).is_some()
            })
        };
        let is_better = |other: &QuarantineRecord, record: &QuarantineRecord| {
            was_proven(record) && !was_proven(other)
        };
        let refuted = quarantined.iter().filter(|(record, ends)| {
            !ends.is_empty()
                && quarantined.iter().any(|(other, known)| {
                    other.service == record.service
                        && known.is_superset(ends)
                        && (known.len() > ends.len() || is_better(other, record))
                })
        });
        let refuted: Vec<QuarantineRecord> = refuted.map(|(record, _)| record.clone()).collect();
        for record in refuted {
            self.release(record, now);
        }
    }

    /// Groups the ends by the parts that may have caused them.
    fn ends_by_part(&self, merged: &[MergedEnd]) -> BTreeMap<PartKey, PartEnds> {
        let mut by_part: BTreeMap<PartKey, PartEnds> = BTreeMap::new();
        for (index, end) in merged.iter().enumerate() {
            for part in self.blamed_parts(end) {
                let key = PartKey { service: end.service.clone(), part };
                let ends = by_part.entry(key).or_default();
                ends.indices.insert(index);
                ends.times.push(end.at);
            }
        }
        by_part
    }

    /// Returns the parts that may have caused an end. One that is known to end engines, or that was on
    /// trial, explains it better than what ran beside it; one that the operator allows does so too, and
    /// is not blamed itself.
    fn blamed_parts(&self, end: &MergedEnd) -> Vec<PartId> {
        let key = |part: &PartId| PartKey { service: end.service.clone(), part: *part };
        if end.parts.iter().any(|part| self.allowed.contains(&key(part))) {
            return Vec::new();
        }
        let counts =
            |part: &&PartId| self.counts_since(&key(part)).is_none_or(|since| since < end.at);
        let parts = end.parts.iter().filter(counts);
        if let Some(culprit) = self.culprit(end) {
            return parts.filter(|part| culprit.parts.contains(part)).copied().collect();
        }
        let tried: Vec<PartId> = end.tried.iter().filter(counts).copied().collect();
        if tried.is_empty() { parts.copied().collect() } else { tried }
    }

    /// Returns the record of parts that are known to end engines and were present at an end.
    fn culprit(&self, end: &MergedEnd) -> Option<&QuarantineRecord> {
        self.records.iter().map(|held| &held.record).find(|record| {
            record.state != QuarantineState::Released
                && record.service == end.service
                && record.parts.iter().all(|part| end.parts.contains(part))
        })
    }

    /// Returns the time since which ends count against a part.
    fn counts_since(&self, key: &PartKey) -> Option<TimeMs> {
        let held = self.records.iter().filter(|held| {
            held.record.service == key.service && held.record.parts[..] == [key.part]
        });
        let changed_at = held
            .filter(|held| held.record.state != QuarantineState::Quarantined)
            .map(|held| held.changed_at)
            .max();
        self.survivals.last_at(key).max(changed_at)
    }

    fn chance_model(
        &self,
        key: &PartKey,
        ends: &PartEnds,
        merged: &[MergedEnd],
        now: TimeMs,
    ) -> ChanceModel {
        let others = merged
            .iter()
            .enumerate()
            .filter(|(index, end)| end.service == key.service && !ends.indices.contains(index))
            .filter(|(_, end)| end.tried.is_empty() && self.culprit(end).is_none());
        ChanceModel {
            cut_off: others.map(|(_, end)| f64::from(end.cut_off)).sum(),
            survived: self.survived_without(key, now),
            proven: self.survivals.of_part(key, now),
        }
    }

    /// Returns the recent attempts of this gateway without a part that survived.
    fn survived_without(&self, key: &PartKey, now: TimeMs) -> f64 {
        self.survivals.of_service(&key.service, now) - self.survivals.of_part(key, now)
    }

    fn survived_without_at_peers(&self, key: &PartKey, now: TimeMs) -> f64 {
        let loads = self.loads_at_peers(now).filter(|load| load.part == *key);
        loads.map(|load| f64::from(load.survived_without)).sum()
    }

    /// Quarantines a part, together with those that were present at exactly the same ends. Of
    /// these, parts that were ever proven sound are left out if there are others. Nothing is
    /// quarantined before nothing else can have caused one of the ends.
    fn quarantine(
        &mut self,
        key: &PartKey,
        ends: &PartEnds,
        by_part: &BTreeMap<PartKey, PartEnds>,
        merged: &[MergedEnd],
        quarantine_ends: usize,
        now: TimeMs,
    ) {
        let is_together = |(other, known): &(&PartKey, &PartEnds)| {
            other.service == key.service && known.indices == ends.indices
        };
        let together = by_part.iter().filter(is_together).map(|(other, _)| other);
        let (proven, unproven): (Vec<&PartKey>, Vec<&PartKey>) =
            together.partition(|other| self.survivals.last_at(other).is_some());
        let culprits = if unproven.is_empty() { proven } else { unproven };
        let is_explained =
            |index: &usize| self.blamed_parts(&merged[*index]).len() <= culprits.len();
        let is_singled_out = ends.indices.iter().any(is_explained);
        let is_joint = culprits.len() > 1;
        if !is_singled_out || is_joint && ends.times.len() < quarantine_ends + JOINT_MARGIN_ENDS {
            return;
        }
        let parts: SmallVec<[PartId; 2]> = culprits.iter().map(|other| other.part).collect();
        let known = self.records.iter().map(|held| &held.record);
        let known = known.filter(|known| known.service == key.service && known.parts == parts);
        let known = known.max_by_key(|known| known.change);
        if known.is_some_and(|known| known.state == QuarantineState::Quarantined) {
            return;
        }
        let change = known.map_or(0, |known| known.change) + 1;
        let quarantines = match known {
            Some(known) if known.state == QuarantineState::Probation => known.quarantines + 1,
            _ => 1,
        };
        let versions: BTreeSet<CompactString> =
            ends.indices.iter().map(|index| merged[*index].version.clone()).collect();
        self.changes.push(QuarantineChange {
            step: QuarantineStep::Quarantined,
            service: key.service.clone(),
            parts: parts.clone(),
            engines: engines_of(ends, merged),
            quarantine_ends,
        });
        let state = QuarantineState::Quarantined;
        let record = QuarantineRecord {
            service: key.service.clone(),
            parts,
            state,
            change,
            quarantines,
            versions: versions.into_iter().collect(),
        };
        self.hold(record, now + quarantine_ms(quarantines), Some(quarantine_ends), now);
    }

    /// Adopts a record of another gateway if it is newer than the known one.
    fn adopt(&mut self, record: QuarantineRecord, until: TimeMs, now: TimeMs) {
        let known = self.records.iter().find(|held| held.record.is_same_subject(&record));
        if known.is_some_and(|held| !record.replaces(&held.record)) {
            return;
        }
        if known.is_none() && record.state == QuarantineState::Released {
            return;
        }
        let step = match record.state {
            QuarantineState::Released => QuarantineStep::Released,
            QuarantineState::Probation => QuarantineStep::Probation,
            QuarantineState::Quarantined => QuarantineStep::Quarantined,
        };
        self.push_change(step, &record.service, &record.parts);
        self.hold(record, until, None, now);
    }

    fn hold(
        &mut self,
        record: QuarantineRecord,
        until: TimeMs,
        decided_on: Option<usize>,
        now: TimeMs,
    ) {
        self.records.retain(|held| !held.record.is_same_subject(&record));
        if self.records.len() >= MAX_RECORDS
            && let Some(least) = self.records.iter().map(|held| held.until).min()
        {
            self.records.retain(|held| held.until > least);
        }
        self.records.push(HeldRecord { record, changed_at: now, until, decided_on });
        self.is_stale = true;
        self.is_urgent = true;
    }

    /// Ends states whose time is over, and those that engines of another version or a survived
    /// request have made needless.
    fn expire_records(
        &mut self,
        versions: impl Fn(&ServiceName) -> BTreeSet<CompactString>,
        now: TimeMs,
    ) {
        self.records
            .retain(|held| now < held.until || held.record.state == QuarantineState::Quarantined);
        for index in 0..self.records.len() {
            let HeldRecord { record, changed_at, until, .. } = &self.records[index];
            let is_proven = record.parts.iter().all(|part| {
                let key = PartKey { service: record.service.clone(), part: *part };
                self.survivals.last_at(&key).is_some_and(|at| at > *changed_at)
            });
            let (state, left_ms) = match record.state {
                QuarantineState::Probation if is_proven => {
                    (QuarantineState::Released, RELEASED_TTL_MS)
                }
                QuarantineState::Quarantined
                    if now >= *until || are_replaced(record, &versions(&record.service)) =>
                {
                    (QuarantineState::Probation, PROBATION_MS)
                }
                _ => continue,
            };
            let held = &mut self.records[index];
            held.record.state = state;
            held.record.change += 1;
            held.changed_at = now;
            held.until = now + left_ms;
            let step = match state {
                QuarantineState::Probation => QuarantineStep::Probation,
                _ => QuarantineStep::Released,
            };
            let QuarantineRecord { service, parts, .. } = held.record.clone();
            self.push_change(step, &service, &parts);
        }
    }

    fn push_change(&mut self, step: QuarantineStep, service: &ServiceName, parts: &[PartId]) {
        self.changes.push(QuarantineChange {
            step,
            service: service.clone(),
            parts: parts.iter().copied().collect(),
            engines: Vec::new(),
            quarantine_ends: 0,
        });
    }

    fn quarantine_of(&self, service: &ServiceName, parts: &[PartId]) -> Option<&HeldRecord> {
        let is_allowed = |part: &PartId| {
            self.allowed.contains(&PartKey { service: service.clone(), part: *part })
        };
        let is_refused = |held: &&HeldRecord| {
            held.record.state == QuarantineState::Quarantined
                && held.record.concerns(service, parts)
                && !held.record.parts.iter().any(is_allowed)
        };
        self.records.iter().find(is_refused)
    }

    fn is_on_probation(&self, key: &PartKey) -> bool {
        self.records.iter().any(|held| {
            held.record.state == QuarantineState::Probation
                && held.record.service == key.service
                && held.record.parts.contains(&key.part)
        })
    }

    fn is_suspected(&self, key: &PartKey, now: TimeMs) -> bool {
        let is_suspected = self.suspects.contains_key(key)
            || self.is_on_probation(key)
            || self.loads_at_peers(now).any(|load| load.part == *key);
        is_suspected && !self.allowed.contains(key)
    }

    fn suspected_parts(&self) -> impl Iterator<Item = PartKey> {
        let on_probation =
            self.records.iter().filter(|held| held.record.state == QuarantineState::Probation);
        let on_probation = on_probation.flat_map(|held| {
            let service = &held.record.service;
            held.record.parts.iter().map(|part| PartKey { service: service.clone(), part: *part })
        });
        self.suspects.keys().cloned().chain(on_probation)
    }

    fn loads_at_peers(&self, now: TimeMs) -> impl Iterator<Item = &SuspectLoad> {
        let reports = self.peer_suspects.values();
        let current = reports.filter(move |(at, _)| now.since(*at) <= PEER_SUSPECT_TTL_MS);
        current.flat_map(|(_, loads)| loads)
    }

    /// Returns whether an attempt with a part was closed so lately that its engine may still end.
    fn has_departed_lately(&self, key: &PartKey, now: TimeMs) -> bool {
        self.departures.iter().any(|departure| {
            now.since(departure.at) <= DEPARTURE_WINDOW_MS
                && departure.end.service == key.service
                && departure.end.parts.contains(&key.part)
        })
    }

    fn unproven_at_peers(&self, key: &PartKey, now: TimeMs) -> u32 {
        let loads = self.loads_at_peers(now).filter(|load| load.part == *key);
        loads.map(|load| load.unproven).sum()
    }
}

/// Returns the number of ends, where those of engines that ended together count once.
fn joint_count(times: &[TimeMs]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let mut counted: Option<TimeMs> = None;
    let mut count = 0;
    for at in times {
        if counted.is_none_or(|last| at.since(last) > JOINT_END_MS) {
            counted = Some(at);
            count += 1;
        }
    }
    count
}

/// Returns whether another part was present at all ends of this one and at others too, so that it
/// is the better explanation.
fn is_dominated(key: &PartKey, ends: &PartEnds, by_part: &BTreeMap<PartKey, PartEnds>) -> bool {
    by_part.iter().any(|(other, known)| {
        other.service == key.service
            && known.indices.len() > ends.indices.len()
            && known.indices.is_superset(&ends.indices)
    })
}

fn engines_of(ends: &PartEnds, merged: &[MergedEnd]) -> Vec<UpstreamId> {
    ends.indices.iter().map(|index| merged[*index].upstream.clone()).collect()
}

/// Returns whether the service has upstreams, none of which has a version that ended.
fn are_replaced(record: &QuarantineRecord, versions: &BTreeSet<CompactString>) -> bool {
    !versions.is_empty() && !record.versions.iter().any(|version| versions.contains(version))
}

fn quarantine_ms(quarantines: u32) -> DurationMs {
    let doubled = FIRST_QUARANTINE_MS << quarantines.saturating_sub(1).min(8);
    DurationMs::new(doubled.min(MAX_QUARANTINE_MS))
}

/// Returns whether the gateway may begin a trial a time after the first slot has begun. All gateways
/// know their order without messages.
fn is_own_slot(
    service: &ServiceName,
    own: &HostId,
    gateways: &[HostId],
    after_ms: DurationMs,
) -> bool {
    let hash = |host: &HostId| xxh3_64(format!("{service}/{host}").as_bytes());
    let own_hash = hash(own);
    let others = gateways.iter().filter(|host| *host != own);
    let before = others.clone().filter(|host| hash(host) < own_hash).count() as u64;
    let slots = (1 + others.count() as u64).min(MAX_TRIAL_SLOTS);
    after_ms.get() / TRIAL_SLOT_MS % slots == before % slots
}
