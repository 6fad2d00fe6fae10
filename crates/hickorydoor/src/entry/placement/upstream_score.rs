//! Expected times of a request on one upstream.

use crate::agent::speed_estimate::interval_growth;
use crate::class::Class;
use crate::entry::member_table::Member;
use crate::quantity::Tokens;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Share of a prompt that a cached prefix saves; see `docs/placement.md`.
const CACHED_SHARE: f64 = 0.7;
/// Prefill rate and token interval assumed until the engine reports them.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 4_000.0;
const DEFAULT_TOKEN_INTERVAL_MS: f64 = 30.0;
/// Weight of the time to completion against the time to the first token.
const INTERACTIVE_COMPLETION_WEIGHT: f64 = 0.1;
const BATCH_COMPLETION_WEIGHT: f64 = 0.2;
/// Age at which a report about other entries' work has lost most of its worth; about the time that
/// an answer takes.
const REPORT_DECAY_MS: f64 = 1_000.0;
/// Expected extra time for work in another data centre of the region and in another region.
const OTHER_DATA_CENTRE_MS: f64 = 3.0;
const OTHER_REGION_MS: f64 = 60.0;

/// Where an upstream is, seen from the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// The work to place.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Class of the request.
    pub class: Class,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Expected tokens of the answer.
    pub answer_tokens: Tokens,
}

/// Expected times of some work on one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamScore {
    /// Expected time to the first token.
    pub first_token_ms: f64,
    /// Expected time from the first token to the end.
    pub completion_ms: f64,
}

impl UpstreamScore {
    /// Estimates the times of `work` on `member`, whose cache holds the prefix with probability
    /// `cached`.
    pub fn estimate(
        member: &Member,
        work: Work,
        cached: f64,
        distance: Distance,
        mean_others: f64,
        now: TimeMs,
    ) -> Self {
        let load = &member.load;
        let prefill_per_ms =
            positive_or(load.prefill_tokens_per_s, DEFAULT_PREFILL_TOKENS_PER_S) / 1_000.0;
        let interval_ms = positive_or(load.token_interval_ms, DEFAULT_TOKEN_INTERVAL_MS);
        let age_ms = now.since(member.load_received_at_ms).as_f64();
        let reported = load.queued_prompt_tokens.get() as f64;
        let sent = member.sent_tokens_since_report().get() as f64;
        let waiting = (reported + sent - prefill_per_ms * age_ms).max(0.0);
        let own = work.prompt_tokens.get() as f64 * (1.0 - CACHED_SHARE * cached);
        // Work of other entries is only known from the report and tends to the mean as it ages.
        let others = f64::from(member.others_running);
        let kept = (-age_ms / REPORT_DECAY_MS).exp();
        let running = f64::from(member.in_flight) + mean_others + (others - mean_others) * kept;
        // Without the batch at the report, so that only the estimate above counts.
        let idle_interval_ms = interval_ms / interval_growth(load.running, load.warm_limit);
        let loaded_interval_ms =
            idle_interval_ms * interval_growth(running.round() as u32, load.warm_limit);
        let distance_ms = distance_ms(distance);
        Self {
            first_token_ms: (waiting + own) / prefill_per_ms + loaded_interval_ms + distance_ms,
            completion_ms: work.answer_tokens.get() as f64 * loaded_interval_ms,
        }
    }

    /// Cost of placing the work there; the smallest wins.
    pub fn cost(&self, class: Class) -> f64 {
        let weight = match class {
            Class::Interactive => INTERACTIVE_COMPLETION_WEIGHT,
            Class::Batch => BATCH_COMPLETION_WEIGHT,
        };
        self.first_token_ms + weight * self.completion_ms
    }

    /// The expected time to the first token in whole milliseconds.
    pub const fn first_token(&self) -> DurationMs {
        DurationMs::new(self.first_token_ms as u64)
    }
}

const fn distance_ms(distance: Distance) -> f64 {
    match distance {
        Distance::SameDataCentre => 0.0,
        Distance::SameRegion => OTHER_DATA_CENTRE_MS,
        Distance::OtherRegion => OTHER_REGION_MS,
    }
}

const fn positive_or(value: f64, default: f64) -> f64 {
    if value > 0.0 { value } else { default }
}
