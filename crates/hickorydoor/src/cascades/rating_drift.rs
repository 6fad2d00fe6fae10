//! Notices shifted ratings.
//!
//! The ratings of a cascade's dearest step are the reference: a quick change of their mean is more
//! likely a change of the rating service than of the answers. A service that favours one model
//! cannot be noticed this way.

/// Weights of the newest rating in the recent mean and in the reference mean.
const RECENT_WEIGHT: f64 = 0.02;
const REFERENCE_WEIGHT: f64 = 0.001;
/// Ratings before the two means are compared.
const MIN_RATINGS: u32 = 100;
/// Difference that is noise: three deviations of the recent mean at a rating deviation of 0.12.
const TOLERANCE: f64 = 0.04;

/// Recent and long-term mean of the reference ratings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RatingDrift {
    ratings: u32,
    recent: f64,
    reference: f64,
}

impl RatingDrift {
    /// Takes in a rating of a dearest step's answer.
    pub fn add(&mut self, score: f64) {
        self.ratings = self.ratings.saturating_add(1);
        // Until there are enough ratings both means are plain averages.
        let start = 1.0 / f64::from(self.ratings);
        self.recent += start.max(RECENT_WEIGHT) * (score - self.recent);
        if !self.is_biased() {
            self.reference += start.max(REFERENCE_WEIGHT) * (score - self.reference);
        }
    }

    /// Whether ratings have shifted, so that they neither judge nor teach.
    pub fn is_biased(&self) -> bool {
        self.ratings > MIN_RATINGS && (self.recent - self.reference).abs() > TOLERANCE
    }
}
