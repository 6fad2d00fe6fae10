//! Decision whether a request may be sent, and the order of trials.

use smallvec::SmallVec;

use crate::gateway::quarantine::departure::DEPARTURE_WINDOW_MS;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::part_selection::sorted;
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
/// Number of further parts up to which the wait grows. A long prompt may hold more of them than there
/// is time for.
const MAX_FURTHER_PARTS: u64 = 3;

impl QuarantineTable {
    /// Decides whether a request with these parts may be sent. `is_unproven` returns whether an own
    /// attempt in flight has not proven one of some parts sound, which are in order; `slot` is the turn
    /// of this gateway.
    pub fn verdict(
        &self,
        service: &ServiceName,
        parts: &[PartId],
        is_unproven: impl Fn(&[PartId]) -> bool,
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
            let further = (suspected.len() as u64 - 1).min(MAX_FURTHER_PARTS);
            let from = from + DurationMs::new(further * FURTHER_PART_MS);
            if now < from || !slot.is_own(now.since(from)) {
                return Verdict::Held;
            }
        }
        let suspected = sorted(&suspected.iter().map(|key| key.part).collect::<Vec<_>>());
        let rivals = self.rivals(service, &suspected);
        let is_tried = |parts: &[PartId]| {
            is_unproven(parts)
                || parts.iter().any(|part| {
                    let key = PartKey { service: service.clone(), part: *part };
                    self.peer_suspects.unproven(&key) > 0
                })
        };
        let is_held = self.has_departed_lately(service, &suspected, now)
            || is_tried(&suspected)
            || is_tried(&rivals);
        if is_held { Verdict::Held } else { Verdict::Trial }
    }

    /// Returns the other parts of the service, in order, under which as many engines ended that their
    /// trials are spaced out, if that holds for one of these. Trials of such parts at the same time
    /// could not tell them apart.
    fn rivals(&self, service: &ServiceName, suspected: &[PartId]) -> Vec<PartId> {
        let is_spaced = |suspect: &Suspect| suspect.ends >= SPACED_AFTER_ENDS;
        let has_rivals = suspected.iter().any(|part| {
            let key = PartKey { service: service.clone(), part: *part };
            self.suspects.get(&key).is_some_and(is_spaced)
        });
        if !has_rivals {
            return Vec::new();
        }
        let others = self.suspects.iter().filter(|(other, suspect)| {
            other.service == *service
                && is_spaced(suspect)
                && suspected.binary_search(&other.part).is_err()
        });
        others.map(|(other, _)| other.part).collect()
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

    /// Returns whether an attempt with one of some parts, which are in order, was closed so lately that
    /// its engine may still end.
    fn has_departed_lately(&self, service: &ServiceName, parts: &[PartId], now: TimeMs) -> bool {
        self.departures.iter().any(|departure| {
            now.since(departure.at) <= DEPARTURE_WINDOW_MS
                && departure.end.service == *service
                && departure.end.parts.iter().any(|part| parts.binary_search(part).is_ok())
        })
    }
}
