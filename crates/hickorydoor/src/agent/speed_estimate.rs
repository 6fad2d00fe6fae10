//! Smoothed estimate of an engine's speed, which load reports carry to the entries.
//!
//! A single engine report describes the last step, whose duration depends on the batch size and on
//! the prefill work in it. If entries placed work by raw reports, they would all choose the engine
//! that happened to be fast for one step. The agent therefore averages the reports and scales the
//! token interval to an idle engine.

use crate::agent::event::UpstreamReport;

/// Relative increase of the token interval from an idle engine to one at its warm limit.
const WARM_LIMIT_INTERVAL_GROWTH: f64 = 1.0;
/// Weight of a new report in the exponential moving average; at four reports per second the average
/// covers about 5 s.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Moving averages of an engine's token interval and prefill rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedEstimate {
    idle_interval_ms: f64,
    prefill_tokens_per_s: f64,
}

impl SpeedEstimate {
    /// Updates the estimate from a report. Reports of an engine without running requests are
    /// ignored.
    pub fn observe(&mut self, report: &UpstreamReport, warm_limit: u32) {
        if report.running == 0 {
            return;
        }
        let idle_interval_ms =
            report.token_interval_ms / interval_growth(report.running, warm_limit);
        update_average(&mut self.idle_interval_ms, idle_interval_ms);
        update_average(&mut self.prefill_tokens_per_s, report.prefill_tokens_per_s);
    }

    /// Discards the estimate, because the engine restarted or slowed down.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Expected token interval with `running` concurrent attempts; 0 before the first report.
    pub fn token_interval_ms(&self, running: u32, warm_limit: u32) -> f64 {
        self.idle_interval_ms * interval_growth(running, warm_limit)
    }

    /// Prefill throughput; 0 before the first report.
    pub const fn prefill_tokens_per_s(&self) -> f64 {
        self.prefill_tokens_per_s
    }
}

/// Factor by which the token interval with `running` concurrent attempts exceeds that of an idle
/// engine. It grows linearly from 1 and reaches 2 at the warm limit.
pub fn interval_growth(running: u32, warm_limit: u32) -> f64 {
    1.0 + WARM_LIMIT_INTERVAL_GROWTH * f64::from(running) / f64::from(warm_limit.max(1))
}

fn update_average(average: &mut f64, sample: f64) {
    if *average <= 0.0 {
        *average = sample;
    } else {
        *average += SAMPLE_WEIGHT * (sample - *average);
    }
}
