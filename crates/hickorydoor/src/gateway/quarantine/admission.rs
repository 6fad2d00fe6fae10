//! Decision whether a request may be sent, and the order of trials.

use smallvec::SmallVec;

use crate::gateway::quarantine::departure::DEPARTURE_WINDOW_MS;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::quarantine_table::QuarantineTable;
use crate::gateway::quarantine::suspect::SPACED_AFTER_ENDS;
use crate::gateway::quarantine::suspect::Suspect;
use crate::gateway::quarantine::trial_slot::TrialSlot;
use crate::gateway::quarantine::verdict::Verdict;
use crate::id::ServiceName;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How much longer a request waits for its trial for each further suspected part that it holds. Those
/// with fewer tell the parts apart.
const FURTHER_PART_MS: u64 = 1_000;

impl QuarantineTable {
    /// Decides whether a request with these parts may be sent. `unproven` returns the number of own
    /// attempts in flight that have not proven a part sound; `slot` is the turn of this gateway.
    pub fn verdict(
        &self,
        service: &ServiceName,
        parts: &[PartId],
        unproven: impl Fn(&PartKey) -> u32,
        slot: TrialSlot,
        now: TimeMs,
    ) -> Verdict {
        if let Some(held) = self.quarantine_of(service, parts) {
            return Verdict::Refused { retry_after_ms: held.until.since(now) };
        }
        let suspected = self.suspected_among(service, parts);
        if suspected.is_empty() {
            return Verdict::Allowed;
        }
        let suspects = suspected.iter().filter_map(|key| self.suspects.get(key));
        if let Some(from) = suspects.map(Suspect::trials_from).max() {
            let further_ms = (suspected.len() as u64 - 1) * FURTHER_PART_MS;
            let from = from + DurationMs::new(further_ms);
            if now < from || !slot.is_own(now.since(from)) {
                return Verdict::Held;
            }
        }
        let is_tried = |key: &PartKey| unproven(key) + self.peer_suspects.unproven(key) > 0;
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
    ) -> SmallVec<[PartKey; 2]> {
        let keys = parts.iter().map(|part| PartKey { service: service.clone(), part: *part });
        keys.filter(|key| self.is_suspected(key)).collect()
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
    pub fn is_any_suspected(&self, service: &ServiceName, parts: &[PartId]) -> bool {
        parts
            .iter()
            .any(|part| self.is_suspected(&PartKey { service: service.clone(), part: *part }))
    }

    pub(super) fn is_suspected(&self, key: &PartKey) -> bool {
        let is_suspected = self.suspects.contains_key(key)
            || self.is_on_probation(key)
            || self.peer_suspects.contains(key);
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
}
