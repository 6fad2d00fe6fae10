//! How fast models read prompts, learned from the first events of streams, and their prices.

use std::collections::HashMap;

use crate::gateway::catalog::OfferedModel;
use crate::id::ModelId;

/// Time to the first event that does not depend on the prompt, before any was observed.
const FIRST_EVENT_MS: f64 = 60.0;
/// Time to read a token with the dearest model, before any was observed.
const TOKEN_MS: f64 = 0.07;
/// Tokens to which a price applies.
const PRICED_TOKENS: f64 = 1_000.0;
/// Price of reading a token beside that of generating one.
const READ_PRICE_SHARE: f64 = 0.25;
/// How the time grows with the price, before any was observed: models that cost less are faster,
/// by a little less than their price.
const PRICE_EXPONENT: f64 = 0.8;
/// Weight of a new observation of the pace.
const PACE_GAIN: f64 = 0.05;
/// Most growth of the pace that one observation stands for.
const MOST_PACE_GROWTH: f64 = 2.0;
/// Weight of a new observation.
const GAIN: f64 = 0.1;
/// Prompts shorter than this say little about the time for each token.
const MIN_TOKENS: f64 = 400.0;
/// Bounds of one observation of the time for each token.
const TOKEN_MS_RANGE: (f64, f64) = (0.002, 0.5);

/// Speeds and prices, one for each model.
#[derive(Clone, Debug, Default)]
pub struct ModelTable {
    token_ms: HashMap<ModelId, f64>,
    /// Times expected from prices, for models that were not observed.
    prior_ms: HashMap<ModelId, f64>,
    price: HashMap<ModelId, f64>,
    event_ms: HashMap<ModelId, f64>,
}

impl ModelTable {
    /// Expected time to read `tokens` on an idle engine, in ms.
    pub fn reading_ms(&self, model: &ModelId, tokens: f64) -> f64 {
        FIRST_EVENT_MS + tokens * self.token_ms(model)
    }

    /// Expected time for each token, in ms.
    pub fn token_ms(&self, model: &ModelId) -> f64 {
        let known = self.token_ms.get(model).or_else(|| self.prior_ms.get(model));
        known.copied().unwrap_or(TOKEN_MS)
    }

    /// Price of reading and generating this many tokens.
    pub fn price(&self, model: &ModelId, read_tokens: f64, answer_tokens: f64) -> f64 {
        let price = self.price.get(model).copied().unwrap_or_default();
        price * (read_tokens * READ_PRICE_SHARE + answer_tokens) / PRICED_TOKENS
    }

    /// Takes in the prices of the models of a service.
    pub fn set_prices(&mut self, models: &[OfferedModel]) {
        let dearest = models.iter().map(|offered| offered.cost).fold(0.0, f64::max);
        for offered in models.iter().filter(|offered| offered.cost > 0.0) {
            let share = (offered.cost / dearest).powf(PRICE_EXPONENT);
            self.prior_ms.insert(offered.model.clone(), TOKEN_MS * share);
            self.price.insert(offered.model.clone(), offered.cost);
        }
    }

    /// Takes in the time between events of a stream; returns what was usual before, in ms.
    pub fn observe_pace(&mut self, model: &ModelId, event_ms: f64) -> f64 {
        let known = self.event_ms.entry(model.clone()).or_insert(event_ms);
        let usual_ms = *known;
        // One stream that is held up says little about the others.
        *known += PACE_GAIN * (event_ms.min(usual_ms * MOST_PACE_GROWTH) - usual_ms);
        usual_ms
    }

    /// Takes in the time to the first event on an engine that had no other prompt to read.
    pub fn observe(&mut self, model: &ModelId, tokens: f64, first_event_ms: f64) {
        if tokens < MIN_TOKENS {
            return;
        }
        let (least, most) = TOKEN_MS_RANGE;
        let sample = ((first_event_ms - FIRST_EVENT_MS) / tokens).clamp(least, most);
        let known = self.token_ms.entry(model.clone()).or_insert(sample);
        *known += GAIN * (sample - *known);
    }
}
