//! Usual answer times of plain services, by route.

use std::collections::HashMap;

use compact_str::CompactString;

/// Minimum weight of a new observation in the average.
const MIN_GAIN: f64 = 0.05;

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    /// Mean of the binary logarithms of the times in ms.
    log_ms: f64,
    observations: u32,
}

/// Geometric means of the answer times of routes.
#[derive(Clone, Debug, Default)]
pub struct TypicalTimes {
    routes: HashMap<CompactString, Average>,
}

impl TypicalTimes {
    /// Forgets the routes that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&CompactString) -> bool) {
        self.routes.retain(|route, _| known(route));
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Records an answer time and returns the previous mean; the time itself if there is none. Both
    /// are in ms.
    pub fn observe(&mut self, route: &CompactString, took_ms: f64) -> f64 {
        let log_ms = took_ms.max(1.0).log2();
        let known = self.routes.entry(route.clone()).or_insert(Average { log_ms, observations: 0 });
        let typical_ms = known.log_ms.exp2();
        known.observations = known.observations.saturating_add(1);
        let gain = (1.0 / f64::from(known.observations)).max(MIN_GAIN);
        known.log_ms += gain * (log_ms - known.log_ms);
        typical_ms
    }
}
