//! Expected lengths of answers, learned for each customer and class.

use std::collections::HashMap;

use crate::class::Class;
use crate::id::CustomerId;
use crate::quantity::Tokens;

/// Weight of the newest answer in the moving average.
const NEWEST_WEIGHT: f64 = 0.05;
/// Pairs of customer and class that are learned; others use the default.
const MAX_LEARNED: usize = 4_096;

/// Moving averages of answer lengths.
#[derive(Clone, Debug, Default)]
pub struct AnswerLengths {
    means: HashMap<(CustomerId, Class), f64>,
}

impl AnswerLengths {
    /// Learns from a complete answer.
    pub fn learn(&mut self, customer: &CustomerId, class: Class, answer: Tokens) {
        let answer = answer.get() as f64;
        let key = (customer.clone(), class);
        if let Some(mean) = self.means.get_mut(&key) {
            *mean += NEWEST_WEIGHT * (answer - *mean);
        } else if self.means.len() < MAX_LEARNED {
            self.means.insert(key, answer);
        }
    }

    /// The expected length, or `default` if nothing was learned.
    pub fn expected(&self, customer: &CustomerId, class: Class, default: Tokens) -> Tokens {
        let mean = self.means.get(&(customer.clone(), class));
        mean.map_or(default, |mean| Tokens::new(mean.round() as u64))
    }
}
