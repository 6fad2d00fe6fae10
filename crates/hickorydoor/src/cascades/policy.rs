//! Decides which steps of a cascade are run.
//!
//! The policy estimates how often the answer of a step passes and how long the step takes, for each
//! customer, class, cascade, prompt size and step. A step is skipped if running it is expected to
//! cost more than it saves, or could miss the deadline. A small share of the skipped steps is run
//! all the same, so that the policy notices when a step has improved. `docs/cascades.md` lists
//! measurements.

use std::collections::BTreeMap;

use rand::Rng;
use rand::RngExt;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::cascades::pass_rate::PassRate;
use crate::cascades::rating_drift::RatingDrift;
use crate::cascades::rating_health::RatingHealth;
use crate::class::Class;
use crate::duration_stats::DurationStats;
use crate::id::CascadeId;
use crate::id::CustomerId;
use crate::lru_map::LruMap;
use crate::quantity::Tokens;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Minimum number of steps with statistics: 100 customers, 2 classes, 4 prompt sizes and 5 steps
/// are 4,000 combinations.
const MIN_TRACKED_STEPS: usize = 4096;
/// Probability that a step is run although skipping it is expected to be cheaper.
const EXPLORATION_PROBABILITY: f64 = 0.01;
/// Pass rate from which an answer is released without a rating.
const RELEASE_PASS_RATE: f64 = 0.9;
/// Weighted number of ratings that a pass rate needs before answers are released without a rating.
const RELEASE_MIN_RATINGS: f64 = 30.0;
/// Maximum probability that a request misses its deadline because a step was run.
const MAX_LATE_PROBABILITY: f64 = 0.03;
/// Lower bounds of the second to fourth prompt size, in tokens.
const PROMPT_SIZE_BOUNDS_TOKENS: [u64; 3] = [128, 512, 2048];

/// Identifies a step of a cascade for one customer, class and prompt size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepKey(u64);

/// Properties of a request by which the policy keeps its statistics.
#[derive(Clone, Copy, Debug)]
pub struct CascadeRequest<'a> {
    /// Customer that sent the request.
    pub customer: &'a CustomerId,
    /// Urgency class of the request.
    pub class: Class,
    /// The requested cascade.
    pub cascade: &'a CascadeId,
    /// Estimated number of tokens in the prompt, from which the prompt size follows.
    pub prompt_tokens: Tokens,
}

impl CascadeRequest<'_> {
    /// Returns the key of the step with this index.
    pub fn step(&self, step: usize) -> StepKey {
        let size = PROMPT_SIZE_BOUNDS_TOKENS
            .iter()
            .filter(|limit| self.prompt_tokens.get() >= **limit)
            .count();
        let mut hasher = Xxh3::new();
        for part in [self.customer.as_str(), self.cascade.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let class = u8::from(self.class == Class::Batch);
        hasher.update(&[class, size as u8, step as u8]);
        StepKey(hasher.digest())
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct StepStats {
    pass_rate: PassRate,
    step_time: DurationStats,
}

/// The step that a request runs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepChoice {
    /// Index of the step in the cascade.
    pub step: usize,
    /// Whether the answer is rated before it is released. Otherwise the pass rate decides.
    pub rated: bool,
}

/// Statistics of cascade steps, and the state of the rating service.
#[derive(Clone, Debug)]
pub struct CascadePolicy {
    steps: LruMap<StepKey, StepStats>,
    /// Availability and response times of the rating service.
    pub ratings: RatingHealth,
    rating_drifts: BTreeMap<CascadeId, RatingDrift>,
}

impl Default for CascadePolicy {
    fn default() -> Self {
        Self {
            steps: LruMap::new(MIN_TRACKED_STEPS),
            ratings: RatingHealth::default(),
            rating_drifts: BTreeMap::new(),
        }
    }
}

impl CascadePolicy {
    /// Chooses the step to run next, starting at index `from`. `costs` contains the expected price
    /// of every step of the cascade. If no other step qualifies, the last one is chosen.
    pub fn choose_step<R: Rng>(
        &mut self,
        request: CascadeRequest<'_>,
        from: usize,
        costs: &[f64],
        time_left_ms: DurationMs,
        now: TimeMs,
        rng: &mut R,
    ) -> StepChoice {
        let last = costs.len().saturating_sub(1);
        let rated = !self.is_biased(request.cascade) && self.ratings.is_available(now);
        let estimates = self.estimates(request, from, costs, rated);
        for (step, estimate) in (from..last).zip(estimates) {
            let meets_deadline = estimate.time_if_run_ms <= time_left_ms.as_f64();
            let explores = rated && rng.random_bool(EXPLORATION_PROBABILITY);
            if meets_deadline && (estimate.cost_if_run < estimate.cost_if_skipped || explores) {
                return StepChoice { step, rated };
            }
        }
        StepChoice { step: last, rated }
    }

    /// Estimates the price and time of running and of skipping each step, working backwards from
    /// the last step.
    fn estimates(
        &self,
        request: CascadeRequest<'_>,
        from: usize,
        costs: &[f64],
        rated: bool,
    ) -> SmallVec<[StepEstimate; 4]> {
        let last = costs.len().saturating_sub(1);
        let stats = |step: usize| self.steps.peek(request.step(step)).copied().unwrap_or_default();
        let mut remaining_cost = costs.get(last).copied().unwrap_or_default();
        let mut remaining_time = stats(last).step_time;
        let mut estimates = SmallVec::new();
        for step in (from..last).rev() {
            let stats = stats(step);
            let pass_probability = if rated {
                stats.pass_rate.mean()
            } else {
                f64::from(u8::from(is_reliable(&stats.pass_rate)))
            };
            let cost_if_run = costs[step] + (1.0 - pass_probability) * remaining_cost;
            let time_if_run =
                remaining_time.plus(&stats.step_time).plus(self.ratings.response_time());
            // Only requests whose answer does not pass have to wait for the following steps.
            let late_probability = (MAX_LATE_PROBABILITY
                / (1.0 - pass_probability).max(MAX_LATE_PROBABILITY))
            .min(1.0);
            estimates.push(StepEstimate {
                cost_if_run,
                cost_if_skipped: remaining_cost,
                time_if_run_ms: time_if_run.upper_bound_ms(late_probability),
            });
            if cost_if_run < remaining_cost {
                remaining_cost = cost_if_run;
                remaining_time = time_if_run;
            }
        }
        estimates.reverse();
        estimates
    }

    /// Records the time that a step took until its answer was complete.
    pub fn record_step_time(&mut self, key: StepKey, time_ms: DurationMs) {
        self.stats_mut(key).step_time.add(time_ms);
    }

    /// Records the rating of a step's answer and returns whether the answer is released. While the
    /// ratings of the cascade are biased, the rating is ignored as if there were none.
    pub fn on_rating(
        &mut self,
        key: StepKey,
        cascade: &CascadeId,
        score: f64,
        release_score: f64,
    ) -> bool {
        if self.is_biased(cascade) {
            return self.releases_unrated(key);
        }
        let passed = score >= release_score;
        self.stats_mut(key).pass_rate.add(passed);
        passed
    }

    /// Records the rating of an answer of the most expensive step.
    pub fn add_reference_rating(&mut self, cascade: &CascadeId, score: f64) {
        self.rating_drifts.entry(cascade.clone()).or_default().add(score);
    }

    /// Discards the reference ratings, after a change of versions.
    pub fn reset_reference_ratings(&mut self) {
        self.rating_drifts.clear();
    }

    fn is_biased(&self, cascade: &CascadeId) -> bool {
        self.rating_drifts.get(cascade).is_some_and(RatingDrift::is_biased)
    }

    /// Returns whether an answer of the step is released without a rating. The statistics do not
    /// change.
    pub fn releases_unrated(&self, key: StepKey) -> bool {
        self.steps.peek(key).is_some_and(|stats| is_reliable(&stats.pass_rate))
    }

    fn stats_mut(&mut self, key: StepKey) -> &mut StepStats {
        self.steps.get_or_default(key)
    }
}

fn is_reliable(pass_rate: &PassRate) -> bool {
    pass_rate.sample_weight() >= RELEASE_MIN_RATINGS && pass_rate.mean() >= RELEASE_PASS_RATE
}

/// Expected price of running and of skipping a step, and the time if it is run.
struct StepEstimate {
    cost_if_run: f64,
    cost_if_skipped: f64,
    time_if_run_ms: f64,
}
