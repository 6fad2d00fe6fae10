//! Speed of an engine as its agent estimates it.
//!
//! A single report shows the last step, which depends on the batch and on the prompts that were
//! read in it. Entries that place work by such values all choose the engine that looked fast for
//! one step, so the agent smooths them and takes the batch out.

use crate::agent::event::UpstreamReport;

/// Relative growth of the token interval from an idle engine to one at its warm limit.
const INTERVAL_GROWTH: f64 = 1.0;
/// Weight of the newest report; at four reports a second the estimate averages over 5 s.
const NEWEST_WEIGHT: f64 = 0.05;

/// Smoothed speed of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedEstimate {
    idle_interval_ms: f64,
    prefill_tokens_per_s: f64,
}

impl SpeedEstimate {
    /// Takes over a report of the engine.
    pub fn observe(&mut self, report: &UpstreamReport, warm_limit: u32) {
        if report.running == 0 {
            return;
        }
        let idle_interval_ms =
            report.token_interval_ms / interval_growth(report.running, warm_limit);
        smooth(&mut self.idle_interval_ms, idle_interval_ms);
        smooth(&mut self.prefill_tokens_per_s, report.prefill_tokens_per_s);
    }

    /// Forgets the estimate, for an engine that restarted.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Expected token interval with `running` attempts.
    pub fn token_interval_ms(&self, running: u32, warm_limit: u32) -> f64 {
        self.idle_interval_ms * interval_growth(running, warm_limit)
    }

    /// Prompt tokens read a second.
    pub const fn prefill_tokens_per_s(&self) -> f64 {
        self.prefill_tokens_per_s
    }
}

/// How much longer the token interval is with `running` attempts than on an idle engine.
pub fn interval_growth(running: u32, warm_limit: u32) -> f64 {
    1.0 + INTERVAL_GROWTH * f64::from(running) / f64::from(warm_limit.max(1))
}

fn smooth(mean: &mut f64, sample: f64) {
    if *mean <= 0.0 {
        *mean = sample;
    } else {
        *mean += NEWEST_WEIGHT * (sample - *mean);
    }
}
