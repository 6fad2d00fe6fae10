//! Counters about the behaviour of a version.
//!
//! Counters only grow within one agent incarnation, so a digest that arrives twice or out of order
//! is merged by taking the newer one per agent.

/// What one agent has seen of one version since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Attempts that ended, well or badly.
    pub attempts: u64,
    /// Attempts that failed with an error of the version.
    pub errors: u64,
    /// Attempts whose first token came later than the target.
    pub slow: u64,
    /// Answers that were rated.
    pub ratings: u64,
    /// Sum of the ratings, each between 0 and 1.
    pub rating_sum: f64,
    /// Sum of the squared ratings.
    pub rating_square_sum: f64,
}

impl Evidence {
    /// Adds another agent's counters.
    pub fn merge(&mut self, other: &Self) {
        self.attempts += other.attempts;
        self.errors += other.errors;
        self.slow += other.slow;
        self.ratings += other.ratings;
        self.rating_sum += other.rating_sum;
        self.rating_square_sum += other.rating_square_sum;
    }

    /// Counts one rating between 0 and 1.
    pub fn add_rating(&mut self, score: f64) {
        self.ratings += 1;
        self.rating_sum += score;
        self.rating_square_sum += score * score;
    }
}
