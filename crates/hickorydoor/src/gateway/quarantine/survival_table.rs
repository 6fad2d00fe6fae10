//! Prompt parts that attempts have proven sound.

use std::collections::HashMap;

use crate::gateway::quarantine::decaying_count::DecayingCount;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_key::PartKey;
use crate::id::ServiceName;
use crate::time::TimeMs;

/// Maximum number of parts; those that were proven the longest time ago are dropped.
const MAX_PARTS: usize = 16_384;

#[derive(Clone, Copy, Debug, Default)]
struct Survivals {
    /// At this gateway.
    own_at: Option<TimeMs>,
    /// At another gateway.
    peer_at: Option<TimeMs>,
    /// At this gateway or another one.
    last_at: Option<TimeMs>,
    /// Attempts of this gateway.
    recent: DecayingCount,
}

/// Attempts that survived, by part and by service.
#[derive(Clone, Debug, Default)]
pub struct SurvivalTable {
    parts: HashMap<PartKey, Survivals>,
    services: HashMap<ServiceName, DecayingCount>,
}

impl SurvivalTable {
    /// Records that an attempt with these parts survived.
    pub fn record(&mut self, service: &ServiceName, parts: &[PartId], now: TimeMs) {
        self.services.entry(service.clone()).or_default().record(now);
        for part in parts {
            let known = self.entry(PartKey { service: service.clone(), part: *part });
            known.own_at = Some(now);
            known.last_at = Some(now);
            known.recent.record(now);
        }
    }

    /// Records when an attempt of another gateway survived.
    pub fn record_at_peer(&mut self, part: PartKey, at: TimeMs) {
        let known = self.entry(part);
        known.peer_at = known.peer_at.max(Some(at));
        known.last_at = known.last_at.max(Some(at));
    }

    /// Returns when the part was last proven sound; `None` if it was not, or long ago.
    pub fn last_at(&self, part: &PartKey) -> Option<TimeMs> {
        self.parts.get(part)?.last_at
    }

    /// Returns when an attempt of this gateway last proved the part sound.
    pub fn own_at(&self, part: &PartKey) -> Option<TimeMs> {
        self.parts.get(part)?.own_at
    }

    /// Returns when an attempt of another gateway last proved the part sound, as far as is known.
    pub fn peer_at(&self, part: &PartKey) -> Option<TimeMs> {
        self.parts.get(part)?.peer_at
    }

    /// Returns the number of recent attempts of this gateway with the part that survived.
    pub fn of_part(&self, part: &PartKey, now: TimeMs) -> f64 {
        self.parts.get(part).map_or(0.0, |known| known.recent.at(now))
    }

    /// Returns the number of recent attempts of this gateway that survived at the service.
    pub fn of_service(&self, service: &ServiceName, now: TimeMs) -> f64 {
        self.services.get(service).map_or(0.0, |known| known.at(now))
    }

    fn entry(&mut self, part: PartKey) -> &mut Survivals {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            self.drop_oldest_half();
        }
        self.parts.entry(part).or_default()
    }

    /// Drops half of the parts at once, so that a full table costs little for each new part.
    fn drop_oldest_half(&mut self) {
        let mut ages: Vec<Option<TimeMs>> =
            self.parts.values().map(|known| known.last_at).collect();
        let middle = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(middle);
        let median = *median;
        self.parts.retain(|_, known| known.last_at > median);
    }
}
