//! Detection of drift in the ratings of the rating service.
//!
//! The ratings of a cascade's most expensive step serve as the reference. A quick change of their
//! mean is more likely caused by the rating service than by the answers. Bias of the service
//! towards one model cannot be detected in this way.

/// Weight of the newest rating in the recent mean.
const RECENT_WEIGHT: f64 = 0.02;
/// Weight of the newest rating in the reference mean.
const REFERENCE_WEIGHT: f64 = 0.001;
/// Number of ratings that must be exceeded before the two means are compared.
const MIN_RATINGS: u32 = 100;
/// Difference of the means that is attributed to noise: three standard deviations of the recent
/// mean if single ratings have a standard deviation of 0.12.
const MAX_MEAN_DIFFERENCE: f64 = 0.04;

/// Recent and long-term mean of the ratings of a cascade's most expensive step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RatingDrift {
    ratings: u32,
    recent_mean: f64,
    reference_mean: f64,
}

impl RatingDrift {
    /// Records the rating of an answer of the most expensive step. The long-term mean stays fixed
    /// while the ratings are biased, so that it does not follow the drift.
    pub fn add(&mut self, score: f64) {
        self.ratings = self.ratings.saturating_add(1);
        // Until there are enough ratings, both means are plain averages.
        let plain_weight = 1.0 / f64::from(self.ratings);
        self.recent_mean += plain_weight.max(RECENT_WEIGHT) * (score - self.recent_mean);
        if !self.is_biased() {
            self.reference_mean +=
                plain_weight.max(REFERENCE_WEIGHT) * (score - self.reference_mean);
        }
    }

    /// Returns whether the ratings have drifted. Biased ratings neither release answers nor update
    /// pass rates.
    pub fn is_biased(&self) -> bool {
        self.ratings > MIN_RATINGS
            && (self.recent_mean - self.reference_mean).abs() > MAX_MEAN_DIFFERENCE
    }
}
