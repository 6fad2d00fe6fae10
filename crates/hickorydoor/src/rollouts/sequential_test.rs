//! Sequential test of whether a version is worse than its baseline.
//!
//! The test may be read after every batch and stays valid: if the version is as good as its
//! baseline, the chance that [`SequentialTest::log_evidence`] ever reaches `ln(1 / a)` is at most
//! `a` (Ville's inequality). Each batch multiplies an evidence value whose mean is at most 1 when
//! the outcomes of version and baseline in that batch are exchangeable. The bound holds for every
//! number of samples and does not assume that error rates or ratings stay constant, because each
//! batch is compared within itself:
//!
//! - Errors and slow first tokens: given the total in a batch, the version's part is a sample
//!   without replacement. Its convex order is below that of a binomial sample (Hoeffding), so the
//!   likelihood ratio of two binomial samples has a mean of at most 1.
//! - Ratings: the version's sum of losses is a sample without replacement from the pooled losses.
//!   By the same argument its moment generating function is at most that of a sample with
//!   replacement, which the agents' sums of tilted losses give exactly.
//!
//! The values are averaged over effect sizes, over the three signals and over the batch at which
//! the version turned bad, so that a regression late in service is found as well.

use crate::rollouts::evidence::Evidence;
use crate::rollouts::evidence::TILTS;

/// Odds of the version's errors or slow answers against the baseline's that are looked for.
const ODDS: [f64; 5] = [1.5, 2.5, 4.5, 10.0, 30.0];
/// Weight of a version that is bad from its first batch on.
const FIRST_BATCH_WEIGHT: f64 = 0.9;
const RATING_WEIGHT: f64 = 0.5;
const ERROR_WEIGHT: f64 = 0.25;
const SLOW_WEIGHT: f64 = 0.25;

/// Evidence against a version, from batches of outcomes of the version and its baseline.
#[derive(Clone, Debug, PartialEq)]
pub struct SequentialTest {
    batches: u64,
    ratings: [f64; TILTS.len()],
    errors: [f64; ODDS.len()],
    slow: [f64; ODDS.len()],
}

impl Default for SequentialTest {
    fn default() -> Self {
        Self {
            batches: 0,
            ratings: [f64::NEG_INFINITY; TILTS.len()],
            errors: [f64::NEG_INFINITY; ODDS.len()],
            slow: [f64::NEG_INFINITY; ODDS.len()],
        }
    }
}

impl SequentialTest {
    /// A test without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in one batch of outcomes of the version and of its baseline. When a batch ends must
    /// not depend on the outcomes in it.
    pub fn add_batch(&mut self, version: &Evidence, baseline: &Evidence) {
        self.batches += 1;
        let start = start_weight(self.batches).ln();
        for (index, value) in self.ratings.iter_mut().enumerate() {
            *value = log_add(*value, start) + rating_log_factor(version, baseline, index);
        }
        let attempts = (version.attempts, baseline.attempts);
        for (value, odds) in self.errors.iter_mut().zip(ODDS) {
            let factor = count_log_factor(attempts, (version.errors, baseline.errors), odds);
            *value = log_add(*value, start) + factor;
        }
        for (value, odds) in self.slow.iter_mut().zip(ODDS) {
            let factor = count_log_factor(attempts, (version.slow, baseline.slow), odds);
            *value = log_add(*value, start) + factor;
        }
    }

    /// Natural logarithm of the evidence that the version is worse, 0 without evidence.
    pub fn log_evidence(&self) -> f64 {
        let rest = rest_weight(self.batches).ln();
        let ratings = log_mean(&self.ratings, rest) + RATING_WEIGHT.ln();
        let errors = log_mean(&self.errors, rest) + ERROR_WEIGHT.ln();
        let slow = log_mean(&self.slow, rest) + SLOW_WEIGHT.ln();
        log_add(ratings, log_add(errors, slow))
    }

    /// Whether the evidence is conclusive at this false-alarm rate.
    pub fn is_worse(&self, false_alarm_rate: f64) -> bool {
        self.log_evidence() >= -false_alarm_rate.ln()
    }
}

/// Prior weight of a version that turns bad at this batch; the weights of all batches sum to 1.
fn start_weight(batch: u64) -> f64 {
    match batch {
        1 => FIRST_BATCH_WEIGHT,
        _ => rest_weight(batch - 1) - rest_weight(batch),
    }
}

/// Prior weight of a version that turns bad after this batch. It falls with the logarithm, so that
/// a regression after a day of batches needs 16 nats more than one in the first batch; a fall with
/// the number of batches would cost 20.
fn rest_weight(batch: u64) -> f64 {
    match batch {
        0 => 1.0,
        _ => (1.0 - FIRST_BATCH_WEIGHT) / ((batch + 1) as f64).log2(),
    }
}

fn log_add(a: f64, b: f64) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    if low == f64::NEG_INFINITY { high } else { high + (low - high).exp().ln_1p() }
}

fn log_mean(values: &[f64], rest: f64) -> f64 {
    let sum = values.iter().fold(f64::NEG_INFINITY, |sum, value| log_add(sum, *value));
    log_add(sum - (values.len() as f64).ln(), rest)
}

/// Log factor of one batch of ratings for one of [`TILTS`].
fn rating_log_factor(version: &Evidence, baseline: &Evidence, index: usize) -> f64 {
    if version.ratings == 0 || baseline.ratings == 0 {
        return 0.0;
    }
    let count = version.ratings as f64;
    let loss = count - version.rating_sum;
    let pooled = version.tilted_loss_sums[index] + baseline.tilted_loss_sums[index];
    let pooled_mean = pooled / (version.ratings + baseline.ratings) as f64;
    TILTS[index] * loss - count * pooled_mean.ln()
}

/// Log likelihood ratio of the version's part of all counted outcomes, `odds` against 1.
fn count_log_factor(attempts: (u64, u64), counted: (u64, u64), odds: f64) -> f64 {
    let (version, baseline) = (attempts.0 as f64, attempts.1 as f64);
    if attempts.0 == 0 || attempts.1 == 0 {
        return 0.0;
    }
    let even = version / (version + baseline);
    let tilted = odds * version / (odds * version + baseline);
    let version_part = counted.0 as f64 * (tilted / even).ln();
    version_part + counted.1 as f64 * ((1.0 - tilted) / (1.0 - even)).ln()
}
