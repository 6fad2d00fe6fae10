//! Serialised form of customer limits.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::customer::CustomerLimits;
use crate::configuration::raw::error::RawConfigurationError;

/// Unvalidated [`CustomerLimits`]; a field that is left out means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawCustomerLimits {
    /// Requests per second, greater than 0.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Requests in flight at the same time, greater than 0.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
    /// Prompt and answer tokens together, per second, greater than 0.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<f64>,
}

impl From<&CustomerLimits> for RawCustomerLimits {
    fn from(limits: &CustomerLimits) -> Self {
        Self {
            requests_per_s: limits.requests_per_s,
            concurrent_requests: limits.concurrent_requests,
            tokens_per_s: limits.tokens_per_s,
        }
    }
}

/// Validates limits; errors name fields relative to `path`.
pub fn check_limits(
    path: &str,
    raw: RawCustomerLimits,
) -> Result<CustomerLimits, RawConfigurationError> {
    let check_rate = |name: &str, value: Option<f64>| match value {
        Some(rate) if !(rate.is_finite() && rate > 0.0) => {
            Err(RawConfigurationError::field(format!("{path}.{name}"), "greater than 0"))
        }
        _ => Ok(value),
    };
    if raw.concurrent_requests == Some(0) {
        let field = format!("{path}.concurrent_requests");
        return Err(RawConfigurationError::field(field, "greater than 0"));
    }
    Ok(CustomerLimits {
        requests_per_s: check_rate("requests_per_s", raw.requests_per_s)?,
        concurrent_requests: raw.concurrent_requests,
        tokens_per_s: check_rate("tokens_per_s", raw.tokens_per_s)?,
    })
}
