//! What a gateway believes about prompt parts under which engines end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::gateway::quarantine::departure::DEPARTURE_WINDOW_MS;
use crate::gateway::quarantine::departure::Departure;
use crate::gateway::quarantine::departure::LATE_DEPARTURE_WINDOW_MS;
use crate::gateway::quarantine::end_log::EndLog;
use crate::gateway::quarantine::end_log::MAX_SILENCE_MS;
use crate::gateway::quarantine::engine_end::EngineEnd;
use crate::gateway::quarantine::held_record::HeldRecord;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::part_selection::FEW_PARTS;
use crate::gateway::quarantine::part_selection::drop_proven;
use crate::gateway::quarantine::part_selection::sorted;
use crate::gateway::quarantine::peer_suspects::PeerSuspects;
use crate::gateway::quarantine::quarantine_change::QuarantineChange;
use crate::gateway::quarantine::stored_items::StoredItems;
use crate::gateway::quarantine::survival_table::SurvivalTable;
use crate::gateway::quarantine::suspect::Suspect;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time for which an attempt has to write before its parts count as sound.
pub const PROVEN_AFTER_MS: DurationMs = DurationMs::new(500);
/// Minimum time from an end until what all gateways know of it has arrived.
const MIN_SETTLED_AFTER_MS: DurationMs = DurationMs::new(200);
/// Time from when a gateway sends a report until the others have applied it.
const REPORT_TRANSFER_MS: DurationMs = DurationMs::new(50);
/// Maximum number of closed attempts that are remembered.
const MAX_DEPARTURES: usize = 256;
/// Number of their parts from which on the oldest are dropped. Each counts for two seconds.
const MAX_DEPARTED_PARTS: usize = 32_768;

/// Evidence about prompt parts, and the records that follow from it.
#[derive(Clone, Debug)]
pub struct QuarantineTable {
    pub(super) survivals: SurvivalTable,
    pub(super) ends: EndLog,
    pub(super) departures: VecDeque<Departure>,
    pub(super) suspects: BTreeMap<PartKey, Suspect>,
    /// Until when new requests with a part wait.
    pub(super) paused: BTreeMap<PartKey, TimeMs>,
    /// When engines whose end is reported last responded to other gateways.
    pub(super) alive_at_peers: BTreeMap<UpstreamId, TimeMs>,
    pub(super) peer_suspects: PeerSuspects,
    pub(super) records: Vec<HeldRecord>,
    pub(super) stored: StoredItems,
    /// Parts that the operator allows, whatever the evidence.
    pub(super) allowed: BTreeSet<PartKey>,
    pub(super) changes: Vec<QuarantineChange>,
    /// Whether this gateway has seen evidence since the last assessment.
    pub(super) is_stale: bool,
    /// Whether other gateways have reported evidence since the last assessment.
    pub(super) has_news: bool,
    /// Time after an end under a part was noticed until what other gateways know of it has arrived.
    /// The part is not quarantined before.
    pub(super) settled_after_ms: DurationMs,
    /// Time after an engine has fallen silent until a response to any gateway is known here.
    pub(super) silence_settled_after_ms: DurationMs,
    /// Number of assessments since the start.
    pub(super) assessments: u64,
    /// Whether the other gateways have to learn something soon.
    pub(super) is_urgent: bool,
}

impl Default for QuarantineTable {
    fn default() -> Self {
        Self {
            survivals: SurvivalTable::default(),
            ends: EndLog::default(),
            departures: VecDeque::new(),
            suspects: BTreeMap::new(),
            paused: BTreeMap::new(),
            alive_at_peers: BTreeMap::new(),
            peer_suspects: PeerSuspects::default(),
            records: Vec::new(),
            stored: StoredItems::default(),
            allowed: BTreeSet::new(),
            changes: Vec::new(),
            is_stale: false,
            has_news: false,
            is_urgent: false,
            settled_after_ms: MIN_SETTLED_AFTER_MS,
            silence_settled_after_ms: MAX_SILENCE_MS + MIN_SETTLED_AFTER_MS,
            assessments: 0,
        }
    }
}

impl QuarantineTable {
    /// Sets how long evidence takes to reach all gateways: `urgent_ms` if they have to learn it soon,
    /// `regular_ms` otherwise, as for responses of engines.
    pub fn set_report_delay(&mut self, urgent_ms: DurationMs, regular_ms: DurationMs) {
        let settled_after =
            |delay_ms: DurationMs| (delay_ms + REPORT_TRANSFER_MS).max(MIN_SETTLED_AFTER_MS);
        self.settled_after_ms = settled_after(urgent_ms);
        self.silence_settled_after_ms = MAX_SILENCE_MS + settled_after(regular_ms);
    }

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
        let parts = sorted(parts);
        let holds = move |end: &EngineEnd| {
            end.service == *service
                && end.parts.iter().any(|part| parts.binary_search(part).is_ok())
        };
        let undecided = self.ends.undecided(now).filter(move |(end, _)| holds(end));
        undecided.map(|(end, at)| (&end.upstream, at))
    }

    /// Records that the gateway has closed an attempt, whose parts `closed` names with its engine.
    /// The engine may have begun to write its answer.
    pub fn record_departure(&mut self, closed: EngineEnd, now: TimeMs) {
        let closed = self.open_parts_of(closed, now);
        if closed.parts.is_empty() {
            return;
        }
        let mut parts: usize = self.departures.iter().map(|known| known.end.parts.len()).sum();
        while self.departures.len() >= MAX_DEPARTURES || parts > MAX_DEPARTED_PARTS {
            let Some(oldest) = self.departures.pop_front() else {
                break;
            };
            parts -= oldest.end.parts.len();
        }
        self.departures.push_back(Departure { at: now, end: closed });
    }

    /// Records that an engine has ended and cut off an attempt, whose parts `seen` names unless
    /// they were proven sound.
    pub fn record_cut_off(&mut self, seen: EngineEnd, now: TimeMs) {
        let seen = self.open_parts_of(seen, now);
        self.add_departures(&seen, now);
        let is_unproven = !seen.parts.is_empty();
        self.ends.record(seen, is_unproven, &self.survivals, now);
        self.is_stale = true;
        self.is_urgent |= is_unproven;
    }

    /// Records that an engine accepts no connections, so that it has ended some time before.
    pub fn record_unreachable(&mut self, seen: EngineEnd, now: TimeMs) {
        self.add_departures(&seen, now);
        self.ends.confirm(seen, &self.survivals, now);
        self.is_stale = true;
    }

    /// Leaves out parts of a long prompt that were proven sound lately.
    fn open_parts_of(&self, end: EngineEnd, now: TimeMs) -> EngineEnd {
        if end.parts.len() <= FEW_PARTS {
            return end;
        }
        let proven_at = |part: &PartId| {
            self.survivals.last_at(&PartKey { service: end.service.clone(), part: *part })
        };
        let parts = drop_proven(&end.parts, proven_at, now);
        EngineEnd { parts: parts.into(), ..end }
    }

    /// Returns the number of parts that are held as evidence, which is bounded.
    pub fn held_parts(&self) -> usize {
        let of_departures = self.departures.iter().map(|known| known.end.parts.len());
        self.ends.held_parts() + of_departures.sum::<usize>()
    }

    /// Adds the parts of attempts that were closed shortly before an engine ended, which was noticed
    /// at `noticed_at`.
    pub(super) fn add_departures(&mut self, seen: &EngineEnd, noticed_at: TimeMs) {
        if !self.departures.iter().any(|known| known.end.upstream == seen.upstream) {
            return;
        }
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
                self.ends.record(end, false, &self.survivals, at);
                has_found = true;
            } else if before_ms <= LATE_DEPARTURE_WINDOW_MS {
                remaining.push_back(departure);
            }
        }
        self.departures = remaining;
        self.is_stale |= has_found;
        self.is_urgent |= has_found;
    }

    /// Returns whether no part is suspected or quarantined.
    pub fn is_clear(&self) -> bool {
        self.suspects.is_empty()
            && self.paused.is_empty()
            && self.records.is_empty()
            && self.peer_suspects.is_empty()
    }

    /// Returns whether this gateway has seen evidence since the last assessment.
    pub const fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Returns whether other gateways have reported evidence since the last assessment.
    pub const fn has_news(&self) -> bool {
        self.has_news
    }

    /// Returns the number of assessments since the start.
    pub const fn assessments(&self) -> u64 {
        self.assessments
    }

    /// Returns whether the other gateways have to learn something soon, once for each time.
    pub fn take_urgency(&mut self) -> bool {
        std::mem::take(&mut self.is_urgent)
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
}
