//! Estimates how long an upstream would take for a request.
//!
//! The estimate is based on the upstream's last load report and on what this entry has sent there
//! since.

use crate::agent::speed_estimate::interval_growth;
use crate::class::Class;
use crate::entry::member_table::Member;
use crate::quantity::Tokens;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Share of the prompt's prefill that a cached prefix saves; see `docs/placement.md`.
const CACHED_PREFIX_SHARE: f64 = 0.7;
/// Prefill rate assumed until the engine reports one.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 4_000.0;
/// Time between two tokens assumed until the engine reports one.
const DEFAULT_TOKEN_INTERVAL_MS: f64 = 30.0;
/// Weight of the completion time relative to the time to the first token, for interactive requests.
const INTERACTIVE_COMPLETION_WEIGHT: f64 = 0.1;
/// Weight of the completion time relative to the time to the first token, for batch requests.
const BATCH_COMPLETION_WEIGHT: f64 = 0.2;
/// Time constant with which a report about other entries' requests loses its weight. It is about
/// as long as a response takes, after which most of the reported requests have ended.
const REPORT_DECAY_MS: f64 = 1_000.0;
/// Expected extra latency of an upstream in another data centre of the region.
const OTHER_DATA_CENTRE_MS: f64 = 3.0;
/// Expected extra latency of an upstream in another region.
const OTHER_REGION_MS: f64 = 60.0;

/// Network distance between the entry and an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// Both are in the same data centre.
    SameDataCentre,
    /// They are in different data centres of the same region.
    SameRegion,
    /// They are in different regions, or the upstream's location is not known yet.
    OtherRegion,
}

/// Class and expected size of a request.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Class, which decides the weight of the completion time.
    pub class: Class,
    /// Estimated length of the prompt; 0 for plain services.
    pub prompt_tokens: Tokens,
    /// Expected length of the answer; 0 for plain services.
    pub answer_tokens: Tokens,
}

/// Expected times of a request on one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamScore {
    /// Expected time to the first token, including waiting, prefill and network latency.
    pub first_token_ms: f64,
    /// Expected time from the first token to the last one.
    pub completion_ms: f64,
}

impl UpstreamScore {
    /// Estimates the times of `work` on the upstream of `member`, which has the prefix cached with
    /// probability `hit_probability`. `mean_others_running` is the mean number of requests of other
    /// entries on each usable upstream.
    pub fn estimate(
        member: &Member,
        work: Work,
        hit_probability: f64,
        distance: Distance,
        mean_others_running: f64,
        now: TimeMs,
    ) -> Self {
        let load = &member.load;
        let prefill_per_ms =
            positive_or(load.prefill_tokens_per_s, DEFAULT_PREFILL_TOKENS_PER_S) / 1_000.0;
        let interval_ms = positive_or(load.token_interval_ms, DEFAULT_TOKEN_INTERVAL_MS);
        let age_ms = now.since(member.load_received_at_ms).as_f64();
        let reported_tokens = load.queued_prompt_tokens.get() as f64;
        let sent_tokens = member.sent_tokens_since_report().get() as f64;
        let queued_tokens = (reported_tokens + sent_tokens - prefill_per_ms * age_ms).max(0.0);
        let prefill_tokens =
            work.prompt_tokens.get() as f64 * (1.0 - CACHED_PREFIX_SHARE * hit_probability);
        // Requests of other entries are known only from the load report. As the report ages, their
        // estimate approaches the mean of all usable upstreams.
        let others_running = f64::from(member.others_running);
        let report_weight = (-age_ms / REPORT_DECAY_MS).exp();
        let running = f64::from(member.in_flight)
            + mean_others_running
            + (others_running - mean_others_running) * report_weight;
        // The reported interval includes the slowdown by the batch size at the report. Remove it,
        // then apply the slowdown for the batch size estimated above.
        let idle_interval_ms = interval_ms / interval_growth(load.running, load.warm_limit);
        let loaded_interval_ms =
            idle_interval_ms * interval_growth(running.round() as u32, load.warm_limit);
        let distance_ms = distance_ms(distance);
        Self {
            first_token_ms: (queued_tokens + prefill_tokens) / prefill_per_ms
                + loaded_interval_ms
                + distance_ms,
            completion_ms: work.answer_tokens.get() as f64 * loaded_interval_ms,
        }
    }

    /// Returns the weighted cost of placing a request of this class on the upstream, in
    /// milliseconds; lower is better.
    pub fn cost(&self, class: Class) -> f64 {
        let weight = match class {
            Class::Interactive => INTERACTIVE_COMPLETION_WEIGHT,
            Class::Batch => BATCH_COMPLETION_WEIGHT,
        };
        self.first_token_ms + weight * self.completion_ms
    }

    /// Returns the expected time to the first token, truncated to whole milliseconds.
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
