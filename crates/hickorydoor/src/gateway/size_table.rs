//! Size of a request relative to the others of its route.
//!
//! A larger request has a higher value for its caller, so it may use more engine time.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::gateway::call::Prompt;

/// Work to generate a token relative to that to prefill one.
const ANSWER_WEIGHT: f64 = 10.0;
/// Size-independent part of the relative value of a request.
const FIXED_VALUE: f64 = 0.3;
/// Upper bound of the relative value of a request.
const MAX_WEIGHT: f64 = 4.0;
/// Lower bound of the mean size of the requests of a route, in tokens.
const MIN_MEAN_TOKENS: f64 = 500.0;
/// Weight of a new observation in the mean size.
const GAIN: f64 = 0.02;

/// Mean request sizes by route.
#[derive(Clone, Debug, Default)]
pub struct SizeTable {
    mean: HashMap<CompactString, f64>,
}

impl SizeTable {
    /// Records the size of a request; returns whether it is the first of its route.
    pub fn observe(&mut self, route: &CompactString, prompt: &Prompt) -> bool {
        let size = size(prompt);
        let is_new = !self.mean.contains_key(route);
        let mean = self.mean.entry(route.clone()).or_insert(size);
        *mean += GAIN * (size - *mean);
        is_new
    }

    /// Returns whether any request of a route was recorded.
    pub fn is_known(&self, route: &CompactString) -> bool {
        self.mean.contains_key(route)
    }

    /// Forgets the routes that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&CompactString) -> bool) {
        self.mean.retain(|route, _| known(route));
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.mean.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.mean.is_empty()
    }

    /// Returns the mean size of the requests of a route, in tokens; a generated token counts as
    /// ten.
    pub fn mean(&self, route: &CompactString) -> f64 {
        self.mean.get(route).copied().unwrap_or_default().max(MIN_MEAN_TOKENS)
    }

    /// Returns the value of a request relative to the mean request of its route.
    pub fn weight(&self, route: &CompactString, prompt: &Prompt) -> f64 {
        let mean = self.mean.get(route).copied().unwrap_or_default();
        if mean <= 0.0 {
            return 1.0;
        }
        (FIXED_VALUE + (1.0 - FIXED_VALUE) * size(prompt) / mean).min(MAX_WEIGHT)
    }
}

fn size(prompt: &Prompt) -> f64 {
    f64::from(prompt.tokens) + ANSWER_WEIGHT * f64::from(prompt.max_answer_tokens)
}
