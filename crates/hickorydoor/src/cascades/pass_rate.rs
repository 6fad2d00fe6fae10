//! Estimated share of a cascade step's answers that reach the release score.

/// Factor by which each rated answer reduces the weight of the earlier ones; the estimate covers
/// about the newest 200 answers.
const DECAY: f64 = 0.995;
/// Weight of the prior, in answers. Half of them pass, so that a step without statistics is run.
const PRIOR_WEIGHT: f64 = 2.0;

/// Exponentially weighted counts of passed and of rated answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PassRate {
    passed: f64,
    rated: f64,
}

impl PassRate {
    /// Records a rated answer.
    pub fn add(&mut self, passed: bool) {
        self.passed = self.passed * DECAY + f64::from(u8::from(passed));
        self.rated = self.rated * DECAY + 1.0;
    }

    /// Returns the estimated share of answers that pass, between 0 and 1.
    pub fn mean(&self) -> f64 {
        (self.passed + PRIOR_WEIGHT / 2.0) / (self.rated + PRIOR_WEIGHT)
    }

    /// Returns the weighted number of rated answers behind the estimate, without the prior.
    pub const fn sample_weight(&self) -> f64 {
        self.rated
    }
}
