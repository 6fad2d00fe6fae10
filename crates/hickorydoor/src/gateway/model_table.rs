//! Prefill speed, event pace and price of models. Speeds are estimated from the first events of
//! streams.

use std::collections::HashMap;

use crate::gateway::catalog::OfferedModel;
use crate::gateway::first_event_model::EngineLoad;
use crate::gateway::first_event_model::FirstEventModel;
use crate::id::ModelId;

/// Prompt-independent part of the time to the first event, in ms.
const BASE_FIRST_EVENT_MS: f64 = 60.0;
/// Prefill time per token of the most expensive model before any observation, in ms.
const DEFAULT_TOKEN_MS: f64 = 0.07;
/// Number of tokens that a price applies to.
const PRICED_TOKENS: f64 = 1_000.0;
/// Price of a prompt token relative to that of a generated token.
const PROMPT_PRICE_SHARE: f64 = 0.25;
/// Exponent of the prefill time over the price before any observation: cheaper models are faster,
/// slightly less than in proportion to their price.
const PRICE_EXPONENT: f64 = 0.8;
/// Quantile of the times between events that is taken for the full pace of a model.
const FULL_PACE_QUANTILE: f64 = 0.2;
/// Part by which one observation may change it.
const FULL_PACE_GAIN: f64 = 0.03;
/// Factor up to which a stream counts as one at full pace.
const FULL_PACE_MARGIN: f64 = 1.1;
/// Weight of a new observation in the average prefill time per token.
const GAIN: f64 = 0.1;
/// Shorter prompts are ignored, since the fixed part dominates their time to the first event.
const MIN_TOKENS: f64 = 400.0;
/// Bounds of one observed prefill time per token, in ms.
const TOKEN_MS_RANGE: (f64, f64) = (0.002, 0.5);

/// Speeds and prices by model.
#[derive(Clone, Debug, Default)]
pub struct ModelTable {
    token_ms: HashMap<ModelId, f64>,
    /// Prefill times per token derived from prices, for models without observations.
    prior_token_ms: HashMap<ModelId, f64>,
    price: HashMap<ModelId, f64>,
    full_gap_ms: HashMap<ModelId, f64>,
    first_events: FirstEventModel,
}

impl ModelTable {
    /// Returns the expected time to the first event for `tokens` uncached tokens on an idle engine,
    /// in ms.
    pub fn first_event_ms(&self, model: &ModelId, tokens: f64) -> f64 {
        BASE_FIRST_EVENT_MS + tokens * self.token_ms(model)
    }

    /// Returns the expected time to the first event at an engine with this load, in ms.
    pub fn expected_first_event_ms(&self, load: &EngineLoad) -> f64 {
        self.first_events.expected_ms(load)
    }

    /// Returns the time by which this backlog delays the first event of a prompt behind it, in ms.
    pub fn delay_ms(&self, backlog_ms: f64) -> f64 {
        self.first_events.delay_ms(backlog_ms)
    }

    /// Records the time to a first event, in ms, and the load that its prompt met.
    pub fn observe_load(&mut self, load: &EngineLoad, first_event_ms: f64) {
        self.first_events.observe(load, first_event_ms);
    }

    /// Returns the expected prefill time per token, in ms.
    pub fn token_ms(&self, model: &ModelId) -> f64 {
        let known = self.token_ms.get(model).or_else(|| self.prior_token_ms.get(model));
        known.copied().unwrap_or(DEFAULT_TOKEN_MS)
    }

    /// Returns the price of prefilling `prompt_tokens` and generating `answer_tokens`, in the unit
    /// of [`OfferedModel::cost`]; 0 for unknown models.
    pub fn price(&self, model: &ModelId, prompt_tokens: f64, answer_tokens: f64) -> f64 {
        let price = self.price.get(model).copied().unwrap_or_default();
        price * (prompt_tokens * PROMPT_PRICE_SHARE + answer_tokens) / PRICED_TOKENS
    }

    /// Sets the prices of the models of a service and derives prefill times of unobserved models.
    pub fn set_prices(&mut self, models: &[OfferedModel]) {
        let highest_cost = models.iter().map(|offered| offered.cost).fold(0.0, f64::max);
        for offered in models.iter().filter(|offered| offered.cost > 0.0) {
            let share = (offered.cost / highest_cost).powf(PRICE_EXPONENT);
            self.prior_token_ms.insert(offered.model.clone(), DEFAULT_TOKEN_MS * share);
            self.price.insert(offered.model.clone(), offered.cost);
        }
    }

    /// Forgets the models that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&ModelId) -> bool) {
        for models in
            [&mut self.token_ms, &mut self.prior_token_ms, &mut self.price, &mut self.full_gap_ms]
        {
            models.retain(|model, _| known(model));
        }
    }

    /// Returns the number of models.
    pub fn len(&self) -> usize {
        self.price.len().max(self.token_ms.len()).max(self.full_gap_ms.len())
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records the usual time between events of a stream, in ms; returns whether the stream ran at
    /// the full pace of the model.
    pub fn observe_gap(&mut self, model: &ModelId, gap_ms: f64) -> bool {
        let full_ms = self.full_gap_ms.entry(model.clone()).or_insert(gap_ms);
        let is_full = gap_ms <= *full_ms * FULL_PACE_MARGIN;
        // Moves up and down in proportion to the quantile, so that it stays there.
        let change = if gap_ms < *full_ms { FULL_PACE_QUANTILE - 1.0 } else { FULL_PACE_QUANTILE };
        *full_ms *= 1.0 + change * FULL_PACE_GAIN;
        is_full
    }

    /// Records the time to the first event, in ms, on an engine without a significant backlog.
    pub fn observe_first_event(&mut self, model: &ModelId, tokens: f64, first_event_ms: f64) {
        if tokens < MIN_TOKENS {
            return;
        }
        let (min_ms, max_ms) = TOKEN_MS_RANGE;
        let sample = ((first_event_ms - BASE_FIRST_EVENT_MS) / tokens).clamp(min_ms, max_ms);
        let known = self.token_ms.entry(model.clone()).or_insert(sample);
        *known += GAIN * (sample - *known);
    }
}
