//! Decision whether a request may be sent, and the order of trials.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::quarantine::departure::DEPARTURE_WINDOW_MS;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::quarantine_table::QuarantineTable;
use crate::gateway::quarantine::suspect::SPACED_AFTER_ENDS;
use crate::gateway::quarantine::suspect::Suspect;
use crate::gateway::quarantine::suspect::TRIAL_SLOT_MS;
use crate::gateway::quarantine::verdict::Verdict;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Maximum number of slots until the first gateway has another one.
const MAX_TRIAL_SLOTS: u64 = 40;
/// How much longer a request waits for its trial for each further suspected part that it holds. Those
/// with fewer tell the parts apart.
const FURTHER_PART_MS: u64 = 1_000;

impl QuarantineTable {
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

    pub(super) fn is_suspected(&self, key: &PartKey, now: TimeMs) -> bool {
        let is_suspected = self.suspects.contains_key(key)
            || self.is_on_probation(key)
            || self.loads_at_peers(now).any(|load| load.part == *key);
        is_suspected && !self.allowed.contains(key)
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
