//! Learned share of a cascade step's answers that pass.

/// Weight that each answer takes from the earlier ones; about the newest 200 answers count.
const DECAY: f64 = 0.995;
/// Answers that the prior is worth; half of them pass, so that a new step is tried.
const PRIOR: f64 = 2.0;

/// Passes and answers, with older ones weighing less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PassRate {
    passed: f64,
    rated: f64,
}

impl PassRate {
    /// Counts a judged answer.
    pub fn add(&mut self, passed: bool) {
        self.passed = self.passed * DECAY + f64::from(u8::from(passed));
        self.rated = self.rated * DECAY + 1.0;
    }

    /// Expected share of answers that pass.
    pub fn mean(&self) -> f64 {
        (self.passed + PRIOR / 2.0) / (self.rated + PRIOR)
    }

    /// Answers that the rate rests on.
    pub const fn weight(&self) -> f64 {
        self.rated
    }
}
