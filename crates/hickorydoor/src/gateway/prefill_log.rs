//! Prompts that were sent to engines a moment ago, which digests tell the other gateways.

use std::collections::VecDeque;

use crate::gateway::peer_digest::Prefill;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long a sent prompt is repeated in digests.
const REPORT_MS: DurationMs = DurationMs::new(1_000);
/// Maximum number of prompts; the latest ones are kept.
const MAX_PROMPTS: usize = 1_024;

/// Recently sent prompts with their times.
#[derive(Clone, Debug, Default)]
pub struct PrefillLog {
    sent: VecDeque<(TimeMs, Prefill)>,
}

impl PrefillLog {
    /// Records a sent prompt.
    pub fn record(&mut self, prefill: Prefill, now: TimeMs) {
        if self.sent.len() >= MAX_PROMPTS {
            self.sent.pop_front();
        }
        self.sent.push_back((now, prefill));
    }

    /// Drops the prompts that are not repeated any more.
    pub fn expire(&mut self, now: TimeMs) {
        self.sent.retain(|(sent_at, _)| now.since(*sent_at) <= REPORT_MS);
    }

    /// Iterates over the prompts, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Prefill> {
        self.sent.iter().map(|(_, prefill)| prefill)
    }

    /// Returns the number of prompts.
    pub fn len(&self) -> usize {
        self.sent.len()
    }
}
