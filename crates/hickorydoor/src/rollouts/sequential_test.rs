//! Sequential test of whether a version is worse than its baseline.
//!
//! The test stays valid when it is evaluated after every batch: if the version is as good as its
//! baseline, the probability that [`SequentialTest::log_evidence`] ever reaches `ln(1 / a)` is at
//! most `a` (Ville's inequality). Each batch multiplies the evidence by a factor whose mean is at
//! most 1 if the outcomes of version and baseline in that batch are exchangeable. The bound holds
//! for every number of samples. It does not assume that error rates or ratings stay constant,
//! because version and baseline are only compared within a batch:
//!
//! - Errors and slow first tokens: given the total in a batch, the version's part is a sample
//!   without replacement. It is smaller in convex order than a binomial sample (Hoeffding), so the
//!   likelihood ratio of two binomial samples has a mean of at most 1.
//! - Ratings: the version's losses are a sample without replacement from the pooled losses. By the
//!   same argument the moment generating function of their sum is at most that of a sample with
//!   replacement, which follows exactly from the agents' sums of tilted losses.
//!
//! The evidence is averaged over effect sizes, over the three signals and over the batch at which
//! the version became worse, so that a regression late in service is detected as well.

use crate::rollouts::evidence::Evidence;
use crate::rollouts::evidence::TILTS;

/// Odds ratios between the version and its baseline, of errors or of slow first tokens, over which
/// the evidence is averaged.
const ODDS_RATIOS: [f64; 5] = [1.5, 2.5, 4.5, 10.0, 30.0];
/// Prior probability that a bad version is bad from its first batch on.
const FIRST_BATCH_WEIGHT: f64 = 0.9;
const RATING_WEIGHT: f64 = 0.5;
const ERROR_WEIGHT: f64 = 0.25;
const SLOW_WEIGHT: f64 = 0.25;

/// Evidence against a version, from batches of outcomes of the version and its baseline.
#[derive(Clone, Debug, PartialEq)]
pub struct SequentialTest {
    batches: u64,
    ratings: [f64; TILTS.len()],
    errors: [f64; ODDS_RATIOS.len()],
    slow: [f64; ODDS_RATIOS.len()],
}

impl Default for SequentialTest {
    fn default() -> Self {
        Self {
            batches: 0,
            ratings: [f64::NEG_INFINITY; TILTS.len()],
            errors: [f64::NEG_INFINITY; ODDS_RATIOS.len()],
            slow: [f64::NEG_INFINITY; ODDS_RATIOS.len()],
        }
    }
}

impl SequentialTest {
    /// Creates a test without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one batch of outcomes of the version and of its baseline. The end of a batch must not
    /// be chosen depending on the outcomes in it.
    pub fn add_batch(&mut self, version: &Evidence, baseline: &Evidence) {
        self.batches += 1;
        let start = onset_weight(self.batches).ln();
        for (index, value) in self.ratings.iter_mut().enumerate() {
            *value = log_add_exp(*value, start) + rating_log_factor(version, baseline, index);
        }
        let attempts = (version.attempts, baseline.attempts);
        for (value, odds) in self.errors.iter_mut().zip(ODDS_RATIOS) {
            let factor = count_log_factor(attempts, (version.errors, baseline.errors), odds);
            *value = log_add_exp(*value, start) + factor;
        }
        for (value, odds) in self.slow.iter_mut().zip(ODDS_RATIOS) {
            let factor = count_log_factor(attempts, (version.slow, baseline.slow), odds);
            *value = log_add_exp(*value, start) + factor;
        }
    }

    /// Returns the natural logarithm of the evidence that the version is worse than its baseline; 0
    /// without evidence.
    pub fn log_evidence(&self) -> f64 {
        let rest = later_onset_weight(self.batches).ln();
        let ratings = log_mean_exp(&self.ratings, rest) + RATING_WEIGHT.ln();
        let errors = log_mean_exp(&self.errors, rest) + ERROR_WEIGHT.ln();
        let slow = log_mean_exp(&self.slow, rest) + SLOW_WEIGHT.ln();
        log_add_exp(ratings, log_add_exp(errors, slow))
    }

    /// Returns whether the evidence is conclusive at the given false-alarm rate.
    pub fn is_worse(&self, false_alarm_rate: f64) -> bool {
        self.log_evidence() >= -false_alarm_rate.ln()
    }
}

/// Prior probability that a bad version becomes bad at this batch; these sum to 1 over all batches.
fn onset_weight(batch: u64) -> f64 {
    match batch {
        1 => FIRST_BATCH_WEIGHT,
        _ => later_onset_weight(batch - 1) - later_onset_weight(batch),
    }
}

/// Prior probability that a bad version becomes bad after this batch. It declines with the
/// logarithm of the batch number, so that a regression after a day of batches needs 16 nats more
/// evidence than one in the first batch. A decline with the batch number itself would cost 20 nats.
fn later_onset_weight(batch: u64) -> f64 {
    match batch {
        0 => 1.0,
        _ => (1.0 - FIRST_BATCH_WEIGHT) / ((batch + 1) as f64).log2(),
    }
}

/// Returns the logarithm of the sum of two numbers given by their logarithms.
fn log_add_exp(a: f64, b: f64) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    if low == f64::NEG_INFINITY { high } else { high + (low - high).exp().ln_1p() }
}

/// Returns the logarithm of the mean of numbers given by their logarithms, plus a remainder.
fn log_mean_exp(values: &[f64], rest: f64) -> f64 {
    let sum = values.iter().fold(f64::NEG_INFINITY, |sum, value| log_add_exp(sum, *value));
    log_add_exp(sum - (values.len() as f64).ln(), rest)
}

/// Logarithm of the factor by which the ratings of one batch change the evidence at one of
/// [`TILTS`].
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

/// Log-likelihood ratio of the version's part of the counted outcomes, between the odds ratio
/// `odds` and an odds ratio of 1. The pairs are for the version and its baseline.
fn count_log_factor(attempts: (u64, u64), counted: (u64, u64), odds: f64) -> f64 {
    let (version, baseline) = (attempts.0 as f64, attempts.1 as f64);
    if attempts.0 == 0 || attempts.1 == 0 {
        return 0.0;
    }
    let null_share = version / (version + baseline);
    let shifted_share = odds * version / (odds * version + baseline);
    let version_part = counted.0 as f64 * (shifted_share / null_share).ln();
    version_part + counted.1 as f64 * ((1.0 - shifted_share) / (1.0 - null_share)).ln()
}
