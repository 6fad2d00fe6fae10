//! Totals of the bills in the key-value service.

use std::fmt;

use hickory_standins::Kv;
use hickorydoor::store::keys;
use serde_json::Value;

use crate::tally::Tally;

/// Total of all stored bills of model requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct BillTotal {
    /// Number of billed requests.
    pub requests: u64,
    /// Billed tokens of prompts and answers.
    pub tokens: u64,
}

impl BillTotal {
    /// Adds up all stored batches.
    pub fn read(kv: &Kv) -> Self {
        let mut total = Self::default();
        for key in kv.keys().iter().filter(|key| key.starts_with(keys::BILLS_PREFIX)) {
            let Some(value) = kv.get(key) else {
                continue;
            };
            let batch: Value = serde_json::from_slice(&value).unwrap_or_default();
            for sum in batch["sums"].as_array().into_iter().flatten() {
                total.add(sum);
            }
        }
        total
    }

    fn add(&mut self, sum: &Value) {
        if sum["version"].is_null() {
            return;
        }
        let count = |field: &str| sum[field].as_u64().unwrap_or_default();
        self.requests += count("requests");
        self.tokens += count("prompt_tokens") + count("answer_tokens");
    }

    /// Returns the tokens billed beyond those of completely delivered responses.
    pub fn undelivered_tokens(&self, tally: &Tally) -> u64 {
        self.tokens.saturating_sub(tally.delivered_tokens)
    }
}

impl fmt::Display for BillTotal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} model requests, {} tokens", self.requests, self.tokens)
    }
}
