//! Counters of the outcomes of a version.
//!
//! Counters restart when the versions of the model change, so that all versions are counted over
//! the same period. Otherwise they only grow within one incarnation of an agent, so the counters
//! that arrive from an agent replace its earlier ones, and only the difference is added to the
//! sums.

use crate::id::Revision;

/// Exponential tilts at which losses are summed for the sequential test. The best tilt to detect a
/// drop of the mean rating is about the drop divided by the variance: 1 to 8 for a drop of 5% at
/// standard deviations of 0.2 to 0.08.
pub const TILTS: [f64; 4] = [0.7, 1.6, 3.5, 8.0];

/// Outcomes of one version that an agent has counted since the model's versions last changed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Revision of the configuration change at which the counters restarted.
    pub counted_from: Revision,
    /// Attempts that have ended, successfully or not.
    pub attempts: u64,
    /// Attempts that failed because of an error or a lost connection of the upstream.
    pub errors: u64,
    /// Interactive attempts whose first token came later than the target, or whose deadline passed.
    pub slow: u64,
    /// Answers that were rated.
    pub ratings: u64,
    /// Sum of the ratings, each from 0 to 1.
    pub rating_sum: f64,
    /// Sum of the squared ratings.
    pub rating_square_sum: f64,
    /// Sums of `exp(tilt * (1 - rating))`, one for each of [`TILTS`].
    pub tilted_loss_sums: [f64; TILTS.len()],
}

impl Evidence {
    /// Adds the counters of another agent or period; `counted_from` does not change.
    pub fn merge(&mut self, other: &Self) {
        self.attempts += other.attempts;
        self.errors += other.errors;
        self.slow += other.slow;
        self.ratings += other.ratings;
        self.rating_sum += other.rating_sum;
        self.rating_square_sum += other.rating_square_sum;
        for (sum, other) in self.tilted_loss_sums.iter_mut().zip(other.tilted_loss_sums) {
            *sum += other;
        }
    }

    /// Counts one rating, clamped to the range from 0 to 1.
    pub fn add_rating(&mut self, score: f64) {
        let score = score.clamp(0.0, 1.0);
        self.ratings += 1;
        self.rating_sum += score;
        self.rating_square_sum += score * score;
        for (sum, tilt) in self.tilted_loss_sums.iter_mut().zip(TILTS) {
            *sum += (tilt * (1.0 - score)).exp();
        }
    }

    /// Returns the counters of attempts and errors alone, with all others set to zero.
    #[must_use]
    pub const fn errors_only(&self) -> Self {
        Self {
            counted_from: self.counted_from,
            attempts: self.attempts,
            errors: self.errors,
            slow: 0,
            ratings: 0,
            rating_sum: 0.0,
            rating_square_sum: 0.0,
            tilted_loss_sums: [0.0; TILTS.len()],
        }
    }

    /// Returns the mean of the ratings; `None` if there are none.
    pub fn mean_rating(&self) -> Option<f64> {
        (self.ratings > 0).then(|| self.rating_sum / self.ratings as f64)
    }

    /// Returns what was counted since `earlier` counters of the same agent, or all if the counters
    /// restarted in between.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let restarted = self.attempts < earlier.attempts || self.ratings < earlier.ratings;
        if restarted || self.counted_from != earlier.counted_from {
            return *self;
        }
        let mut tilted_loss_sums = self.tilted_loss_sums;
        for (sum, earlier) in tilted_loss_sums.iter_mut().zip(earlier.tilted_loss_sums) {
            *sum -= earlier;
        }
        Self {
            counted_from: self.counted_from,
            attempts: self.attempts - earlier.attempts,
            errors: self.errors.saturating_sub(earlier.errors),
            slow: self.slow.saturating_sub(earlier.slow),
            ratings: self.ratings - earlier.ratings,
            rating_sum: self.rating_sum - earlier.rating_sum,
            rating_square_sum: self.rating_square_sum - earlier.rating_square_sum,
            tilted_loss_sums,
        }
    }
}
