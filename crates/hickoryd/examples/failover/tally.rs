//! Counts of request outcomes as clients observe them.

use std::fmt;

/// Counts of request outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests with a complete response.
    pub served: u64,
    /// Requests that were rejected as not run, and so are safe to retry.
    pub not_run: u64,
    /// Requests that were rejected with an unknown outcome.
    pub unknown: u64,
    /// Requests that were executed and failed with an error.
    pub failed: u64,
    /// Responses or connections that ended early without an error; the column `cut`.
    pub truncated: u64,
    /// Requests whose connection was refused.
    pub unreachable: u64,
    /// Tokens of the prompts and answers of completely delivered responses.
    pub delivered_tokens: u64,
    /// Longest time to a complete response.
    pub longest_ms: u64,
}

impl Tally {
    /// Heading for the columns of [`Tally::row`].
    pub const HEADER: &'static str = "phase                                  served  not-run  unknown  failed     cut  longest ms";

    pub fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.truncated += other.truncated;
        self.unreachable += other.unreachable;
        self.delivered_tokens += other.delivered_tokens;
        self.longest_ms = self.longest_ms.max(other.longest_ms);
    }

    /// Formats the counts as a row of the table.
    pub fn row(&self) -> String {
        format!(
            "{:>8} {:>8} {:>8} {:>7} {:>7} {:>11}",
            self.served, self.not_run, self.unknown, self.failed, self.truncated, self.longest_ms
        )
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} model requests, {} tokens", self.served, self.delivered_tokens)
    }
}
