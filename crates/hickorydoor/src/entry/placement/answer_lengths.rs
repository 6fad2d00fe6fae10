//! Expected answer lengths, estimated for each customer and class from past answers.

use std::collections::HashMap;

use crate::class::Class;
use crate::id::CustomerId;
use crate::quantity::Tokens;

/// Weight of the newest answer in the exponential moving average.
const NEWEST_WEIGHT: f64 = 0.05;
/// Maximum number of pairs of customer and class with an average of their own, which bounds memory
/// use. Other pairs use the default.
const MAX_TRACKED: usize = 4_096;

/// Moving averages of answer lengths in tokens, by customer and class.
#[derive(Clone, Debug, Default)]
pub struct AnswerLengths {
    means: HashMap<(CustomerId, Class), f64>,
}

impl AnswerLengths {
    /// Updates the average from a complete answer of `answer` tokens.
    pub fn record(&mut self, customer: &CustomerId, class: Class, answer: Tokens) {
        let answer = answer.get() as f64;
        let key = (customer.clone(), class);
        if let Some(mean) = self.means.get_mut(&key) {
            *mean += NEWEST_WEIGHT * (answer - *mean);
        } else if self.means.len() < MAX_TRACKED {
            self.means.insert(key, answer);
        }
    }

    /// Returns the expected length, or `default` if there is no average for the pair.
    pub fn expected(&self, customer: &CustomerId, class: Class, default: Tokens) -> Tokens {
        let mean = self.means.get(&(customer.clone(), class));
        mean.map_or(default, |mean| Tokens::new(mean.round() as u64))
    }
}
