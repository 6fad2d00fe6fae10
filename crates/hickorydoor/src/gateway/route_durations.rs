//! How long the requests of each route usually take.

use std::collections::HashMap;

use compact_str::CompactString;
use hdrhistogram::Histogram;

use crate::time::DurationMs;

/// Longest duration that is told apart.
const MAX_MS: u64 = 600_000;
/// Precision of the durations, which bounds the memory of a route.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Quantile up to which durations count as usual.
const USUAL_QUANTILE: f64 = 0.99;
/// Requests after which the counts are halved, so that the latest ones weigh most.
const MAX_COUNT: u64 = 2_000;

/// Durations of complete requests, by route.
#[derive(Clone, Debug, Default)]
pub struct RouteDurations {
    routes: HashMap<CompactString, Histogram<u32>>,
}

impl RouteDurations {
    /// Records how long a request took from its arrival to the end of its response.
    pub fn observe(&mut self, route: &CompactString, took_ms: DurationMs) {
        let Some(known) = self.histogram(route) else {
            return;
        };
        if known.len() >= MAX_COUNT {
            halve(known);
        }
        known.saturating_record(took_ms.get().max(1));
    }

    /// Forgets the routes that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&CompactString) -> bool) {
        self.routes.retain(|route, _| known(route));
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns the longest usual duration; `None` if no request of the route has ended.
    pub fn longest_usual_ms(&self, route: &CompactString) -> Option<DurationMs> {
        let known = self.routes.get(route).filter(|known| !known.is_empty())?;
        Some(DurationMs::new(known.value_at_quantile(USUAL_QUANTILE)))
    }

    fn histogram(&mut self, route: &CompactString) -> Option<&mut Histogram<u32>> {
        if !self.routes.contains_key(route) {
            // The bounds are valid, so this does not fail.
            let empty = Histogram::new_with_bounds(1, MAX_MS, SIGNIFICANT_DIGITS).ok()?;
            self.routes.insert(route.clone(), empty);
        }
        self.routes.get_mut(route)
    }
}

fn halve(histogram: &mut Histogram<u32>) {
    let counts: Vec<(u64, u32)> = histogram
        .iter_recorded()
        .map(|step| (step.value_iterated_to(), step.count_at_value() / 2))
        .collect();
    histogram.reset();
    for (value, count) in counts {
        histogram.saturating_record_n(value, count);
    }
}
