//! Serialised form of the fleet-wide defaults.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::defaults::Defaults;
use crate::configuration::raw::error::RawConfigurationError;
use crate::configuration::raw::share::check_share;
use crate::quantity::ByteCount;
use crate::time::DurationMs;

/// Unvalidated [`Defaults`]; a field that is left out has the value of `Defaults::default()`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawDefaults {
    /// Maximum size of a request body, greater than 0.
    pub request_body_limit_bytes: u64,
    /// Deadline of interactive requests that specify none, greater than 0.
    pub interactive_deadline_ms: u64,
    /// Deadline of batch requests that specify none, greater than 0.
    pub batch_deadline_ms: u64,
    /// Share of a customer's requests that may be retried, from 0 to 1.
    pub retry_budget: f64,
    /// Target for the time to first token (TTFT), greater than 0.
    pub first_token_target_ms: u64,
    /// Number of answer tokens assumed for requests that specify no maximum, greater than 0.
    pub expected_answer_tokens: u64,
}

impl Default for RawDefaults {
    fn default() -> Self {
        Self::from(&Defaults::default())
    }
}

impl From<&Defaults> for RawDefaults {
    fn from(defaults: &Defaults) -> Self {
        Self {
            request_body_limit_bytes: defaults.request_body_limit_bytes.get(),
            interactive_deadline_ms: defaults.interactive_deadline_ms.get(),
            batch_deadline_ms: defaults.batch_deadline_ms.get(),
            retry_budget: defaults.retry_budget.as_f64(),
            first_token_target_ms: defaults.first_token_target_ms.get(),
            expected_answer_tokens: defaults.expected_answer_tokens,
        }
    }
}

impl TryFrom<RawDefaults> for Defaults {
    type Error = RawConfigurationError;

    fn try_from(raw: RawDefaults) -> Result<Self, RawConfigurationError> {
        let check_positive = |field: &'static str, value: u64| match value {
            0 => Err(RawConfigurationError::field(field, "greater than 0")),
            _ => Ok(value),
        };
        Ok(Self {
            request_body_limit_bytes: ByteCount::new(check_positive(
                "defaults.request_body_limit_bytes",
                raw.request_body_limit_bytes,
            )?),
            interactive_deadline_ms: DurationMs::new(check_positive(
                "defaults.interactive_deadline_ms",
                raw.interactive_deadline_ms,
            )?),
            batch_deadline_ms: DurationMs::new(check_positive(
                "defaults.batch_deadline_ms",
                raw.batch_deadline_ms,
            )?),
            retry_budget: check_share("defaults.retry_budget", raw.retry_budget)?,
            first_token_target_ms: DurationMs::new(check_positive(
                "defaults.first_token_target_ms",
                raw.first_token_target_ms,
            )?),
            expected_answer_tokens: check_positive(
                "defaults.expected_answer_tokens",
                raw.expected_answer_tokens,
            )?,
        })
    }
}
