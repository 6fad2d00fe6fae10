//! Encoding of load reports and of evidence about versions.

use crate::id::Revision;
use crate::id::VersionId;
use crate::load_report::LoadReport;
use crate::quantity::Tokens;
use crate::rollouts::evidence::Evidence;
use crate::time::DurationMs;
use crate::time::TimeMs;
use crate::wire::error::WireError;
use crate::wire::hello::decode_versions;
use crate::wire::hello::encode_versions;

/// Encoded [`LoadReport`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WireLoad {
    /// Time of the report on the agent's clock.
    #[prost(uint64, tag = "1")]
    pub observed_at_ms: u64,
    /// Configuration revision in force at the agent.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Attempts that the agent has admitted and that have not ended.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Attempts in the engine's own queue.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
    /// Current limit on concurrent attempts.
    #[prost(uint32, tag = "5")]
    pub admission_limit: u32,
    /// Limit on concurrent attempts that applies once the engine is warm.
    #[prost(uint32, tag = "6")]
    pub warm_limit: u32,
    /// Prompt tokens of queued attempts, not yet prefilled.
    #[prost(uint64, tag = "7")]
    pub queued_prompt_tokens: u64,
    /// Prefill rate of the engine, in prompt tokens per second.
    #[prost(float, tag = "8")]
    pub prefill_tokens_per_s: f32,
    /// Time between two consecutive tokens of one stream.
    #[prost(float, tag = "9")]
    pub token_interval_ms: f32,
    /// Recent time to the first token.
    #[prost(uint64, tag = "10")]
    pub first_token_ms: u64,
    /// Versions that the engine has loaded; empty for plain services.
    #[prost(string, repeated, tag = "11")]
    pub versions: Vec<String>,
    /// Total number of attempts received from the entry to which the report is addressed.
    #[prost(uint64, tag = "12")]
    pub received_from_entry: u64,
    /// Whether the agent accepts no new attempts.
    #[prost(bool, tag = "13")]
    pub leaving: bool,
}

impl From<LoadReport> for WireLoad {
    fn from(report: LoadReport) -> Self {
        Self {
            observed_at_ms: report.observed_at_ms.get(),
            revision: report.revision.get(),
            running: report.running,
            queued: report.queued,
            admission_limit: report.admission_limit,
            warm_limit: report.warm_limit,
            queued_prompt_tokens: report.queued_prompt_tokens.get(),
            prefill_tokens_per_s: report.prefill_tokens_per_s as f32,
            token_interval_ms: report.token_interval_ms as f32,
            first_token_ms: report.first_token_ms.get(),
            versions: encode_versions(&report.versions),
            received_from_entry: report.received_from_entry,
            leaving: report.leaving,
        }
    }
}

impl TryFrom<WireLoad> for LoadReport {
    type Error = WireError;

    fn try_from(wire: WireLoad) -> Result<Self, WireError> {
        Ok(Self {
            observed_at_ms: TimeMs::new(wire.observed_at_ms),
            revision: Revision::new(wire.revision),
            running: wire.running,
            queued: wire.queued,
            admission_limit: wire.admission_limit,
            warm_limit: wire.warm_limit,
            queued_prompt_tokens: Tokens::new(wire.queued_prompt_tokens),
            prefill_tokens_per_s: f64::from(wire.prefill_tokens_per_s),
            token_interval_ms: f64::from(wire.token_interval_ms),
            first_token_ms: DurationMs::new(wire.first_token_ms),
            versions: decode_versions(wire.versions)?,
            received_from_entry: wire.received_from_entry,
            leaving: wire.leaving,
        })
    }
}

/// Encoded [`Evidence`] about one version.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WireEvidence {
    /// Id of the version.
    #[prost(string, tag = "1")]
    pub version: String,
    /// Attempts that have ended, successfully or not.
    #[prost(uint64, tag = "2")]
    pub attempts: u64,
    /// Attempts that failed because of an error or a lost connection of the upstream.
    #[prost(uint64, tag = "3")]
    pub errors: u64,
    /// Interactive attempts with a late first token or a passed deadline.
    #[prost(uint64, tag = "4")]
    pub slow: u64,
    /// Answers that were rated.
    #[prost(uint64, tag = "5")]
    pub ratings: u64,
    /// Sum of the ratings, each from 0 to 1.
    #[prost(double, tag = "6")]
    pub rating_sum: f64,
    /// Sum of the squared ratings.
    #[prost(double, tag = "7")]
    pub rating_square_sum: f64,
    /// Sums of tilted losses; must have the length of [`Evidence::tilted_loss_sums`].
    #[prost(double, repeated, tag = "8")]
    pub tilted_loss_sums: Vec<f64>,
    /// Revision of the configuration change at which the counters restarted.
    #[prost(uint64, tag = "9")]
    pub counted_from: u64,
}

impl From<(VersionId, Evidence)> for WireEvidence {
    fn from((version, evidence): (VersionId, Evidence)) -> Self {
        Self {
            version: version.to_string(),
            attempts: evidence.attempts,
            errors: evidence.errors,
            slow: evidence.slow,
            ratings: evidence.ratings,
            rating_sum: evidence.rating_sum,
            rating_square_sum: evidence.rating_square_sum,
            tilted_loss_sums: evidence.tilted_loss_sums.to_vec(),
            counted_from: evidence.counted_from.get(),
        }
    }
}

impl TryFrom<WireEvidence> for (VersionId, Evidence) {
    type Error = WireError;

    fn try_from(wire: WireEvidence) -> Result<Self, WireError> {
        let part = "tilted loss sums";
        let tilted_loss_sums =
            wire.tilted_loss_sums.try_into().map_err(|_sums| WireError::Missing { part })?;
        let evidence = Evidence {
            counted_from: Revision::new(wire.counted_from),
            attempts: wire.attempts,
            errors: wire.errors,
            slow: wire.slow,
            ratings: wire.ratings,
            rating_sum: wire.rating_sum,
            rating_square_sum: wire.rating_square_sum,
            tilted_loss_sums,
        };
        Ok((wire.version.parse()?, evidence))
    }
}

/// Encoded `AgentMessage::Evidence`.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WireEvidenceList {
    /// Counters of each version.
    #[prost(message, repeated, tag = "1")]
    pub counters: Vec<WireEvidence>,
}
