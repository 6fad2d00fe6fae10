//! What callers saw.

use std::fmt;

/// Counts of what callers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests answered whole.
    pub served: u64,
    /// Requests refused as not run, which the caller sent again.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests that were run and failed with a clear error.
    pub failed: u64,
    /// Answers or connections that broke off without an error.
    pub cut: u64,
    /// Connections that no entry accepted.
    pub unreachable: u64,
    /// Tokens of the answers that were delivered whole, with their prompts.
    pub delivered_tokens: u64,
    /// Longest time of a served request, in milliseconds.
    pub longest_ms: u64,
}

impl Tally {
    /// Heads the columns of [`Tally::row`].
    pub const HEADER: &'static str = "phase                                  served  not-run  unknown  failed     cut  longest ms";

    /// Adds another tally.
    pub fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.cut += other.cut;
        self.unreachable += other.unreachable;
        self.delivered_tokens += other.delivered_tokens;
        self.longest_ms = self.longest_ms.max(other.longest_ms);
    }

    /// One line of the table.
    pub fn row(&self) -> String {
        format!(
            "{:>8} {:>8} {:>8} {:>7} {:>7} {:>11}",
            self.served, self.not_run, self.unknown, self.failed, self.cut, self.longest_ms
        )
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} model requests, {} tokens", self.served, self.delivered_tokens)
    }
}
