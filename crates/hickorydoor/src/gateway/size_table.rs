//! How large a request is beside the others of its route.
//!
//! A longer request is worth more to its caller, so it may cost more time of an engine.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::gateway::call::Prompt;

/// Work of generating a token beside that of reading one.
const ANSWER_WEIGHT: f64 = 10.0;
/// Worth of a request that does not depend on its size.
const FIXED_WORTH: f64 = 0.3;
/// Largest weight.
const MAX_WEIGHT: f64 = 4.0;
/// Least mean size.
const LEAST_MEAN: f64 = 500.0;
/// Weight of a new observation.
const GAIN: f64 = 0.02;

/// Mean sizes, one for each route.
#[derive(Clone, Debug, Default)]
pub struct SizeTable {
    mean: HashMap<CompactString, f64>,
}

impl SizeTable {
    /// Takes in a request.
    pub fn observe(&mut self, route: &CompactString, prompt: &Prompt) {
        let size = size(prompt);
        let mean = self.mean.entry(route.clone()).or_insert(size);
        *mean += GAIN * (size - *mean);
    }

    /// Mean size of the requests of a route in tokens, of which generated ones count tenfold.
    pub fn mean(&self, route: &CompactString) -> f64 {
        self.mean.get(route).copied().unwrap_or_default().max(LEAST_MEAN)
    }

    /// What a request is worth beside the mean one of its route.
    pub fn weight(&self, route: &CompactString, prompt: &Prompt) -> f64 {
        let mean = self.mean.get(route).copied().unwrap_or_default();
        if mean <= 0.0 {
            return 1.0;
        }
        (FIXED_WORTH + (1.0 - FIXED_WORTH) * size(prompt) / mean).min(MAX_WEIGHT)
    }
}

fn size(prompt: &Prompt) -> f64 {
    f64::from(prompt.tokens) + ANSWER_WEIGHT * f64::from(prompt.max_answer_tokens)
}
