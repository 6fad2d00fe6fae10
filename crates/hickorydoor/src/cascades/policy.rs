//! Learns which cascade steps are worth trying.
//!
//! For each customer, class, cascade, size of prompt and step the policy learns how often the
//! step's answer passes and how long the step takes. A step is skipped when trying it costs more
//! than it saves or could miss the deadline. A small share of the skipped steps is tried anyway, so
//! that a step that has become better is noticed. `docs/cascades.md` has the figures.

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

/// Steps that are learned at least: 100 customers, 2 classes, 4 sizes, 5 steps.
const KEPT_STEPS: usize = 4096;
/// Share of skipped steps that is tried anyway.
const EXPLORATION: f64 = 0.01;
/// Learned pass rate from which an answer is released without a rating.
const RELEASE_PASS_RATE: f64 = 0.9;
/// Ratings that such a rate must rest on.
const RELEASE_MIN_RATINGS: f64 = 30.0;
/// Share of requests that may miss their deadline because a step was tried.
const MAX_LATE: f64 = 0.03;
/// Prompt tokens at which sizes change.
const SIZES: [u64; 3] = [128, 512, 2048];

/// Names one step of a cascade for one customer, class and size of prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepKey(u64);

/// What a request is, as far as the policy tells requests apart.
#[derive(Clone, Copy, Debug)]
pub struct CascadeRequest<'a> {
    /// The customer.
    pub customer: &'a CustomerId,
    /// The class.
    pub class: Class,
    /// The cascade.
    pub cascade: &'a CascadeId,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: Tokens,
}

impl CascadeRequest<'_> {
    /// The key of a step.
    pub fn step(&self, step: usize) -> StepKey {
        let size = SIZES.iter().filter(|limit| self.prompt_tokens.get() >= **limit).count();
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
struct StepRecord {
    passes: PassRate,
    time: DurationStats,
}

/// The step that a request runs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepChoice {
    /// Index of the step.
    pub step: usize,
    /// Whether its answer is rated; otherwise the learned pass rate decides.
    pub rated: bool,
}

/// What cascades have learned.
#[derive(Clone, Debug)]
pub struct CascadePolicy {
    steps: LruMap<StepKey, StepRecord>,
    /// Availability of the rating service.
    pub ratings: RatingHealth,
    drifts: BTreeMap<CascadeId, RatingDrift>,
}

impl Default for CascadePolicy {
    fn default() -> Self {
        Self {
            steps: LruMap::new(KEPT_STEPS),
            ratings: RatingHealth::default(),
            drifts: BTreeMap::new(),
        }
    }
}

impl CascadePolicy {
    /// The step to run next, from `from` on. `costs` holds the expected price of every step of the
    /// cascade; the last step is always allowed.
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
        let plans = self.plans(request, from, costs, rated);
        for (step, plan) in (from..last).zip(plans) {
            let in_time = plan.time_ms <= time_left_ms.as_f64();
            let explores = rated && rng.random_bool(EXPLORATION);
            if in_time && (plan.tried < plan.skipped || explores) {
                return StepChoice { step, rated };
            }
        }
        StepChoice { step: last, rated }
    }

    /// Expected price and time of trying and of skipping each step, from the last one back.
    fn plans(
        &self,
        request: CascadeRequest<'_>,
        from: usize,
        costs: &[f64],
        rated: bool,
    ) -> SmallVec<[Plan; 4]> {
        let last = costs.len().saturating_sub(1);
        let record = |step: usize| self.steps.peek(request.step(step)).copied().unwrap_or_default();
        let mut best = costs.get(last).copied().unwrap_or_default();
        let mut time = record(last).time;
        let mut plans = SmallVec::new();
        for step in (from..last).rev() {
            let record = record(step);
            let passes = if rated {
                record.passes.mean()
            } else {
                f64::from(u8::from(is_trusted(&record.passes)))
            };
            let tried = costs[step] + (1.0 - passes) * best;
            let tried_time = time.plus(&record.time).plus(self.ratings.response_time());
            // Only answers that do not pass wait for the steps after this one.
            let late = (MAX_LATE / (1.0 - passes).max(MAX_LATE)).min(1.0);
            plans.push(Plan { tried, skipped: best, time_ms: tried_time.upper_bound_ms(late) });
            if tried < best {
                best = tried;
                time = tried_time;
            }
        }
        plans.reverse();
        plans
    }

    /// Takes in how long a step took until its answer was complete.
    pub fn record_step_time(&mut self, key: StepKey, time_ms: DurationMs) {
        self.record(key).time.add(time_ms);
    }

    /// Takes in a rating of a step's answer; returns whether the answer is released. Shifted ratings
    /// teach nothing and count as missing.
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
        self.record(key).passes.add(passed);
        passed
    }

    /// Takes in a rating of the dearest step's answer.
    pub fn add_reference_rating(&mut self, cascade: &CascadeId, score: f64) {
        self.drifts.entry(cascade.clone()).or_default().add(score);
    }

    /// Learns the reference ratings anew, after a change of versions.
    pub fn reset_reference_ratings(&mut self) {
        self.drifts.clear();
    }

    fn is_biased(&self, cascade: &CascadeId) -> bool {
        self.drifts.get(cascade).is_some_and(RatingDrift::is_biased)
    }

    /// Whether an answer is released without a rating; nothing is learned.
    pub fn releases_unrated(&self, key: StepKey) -> bool {
        self.steps.peek(key).is_some_and(|record| is_trusted(&record.passes))
    }

    fn record(&mut self, key: StepKey) -> &mut StepRecord {
        self.steps.get_or_default(key)
    }
}

fn is_trusted(passes: &PassRate) -> bool {
    passes.weight() >= RELEASE_MIN_RATINGS && passes.mean() >= RELEASE_PASS_RATE
}

/// Expected price of trying and of skipping a step, and the time of trying it.
struct Plan {
    tried: f64,
    skipped: f64,
    time_ms: f64,
}
