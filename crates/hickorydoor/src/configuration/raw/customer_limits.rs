//! Limits of customers as operators write them.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::customer::CustomerLimits;
use crate::configuration::raw::error::RawConfigurationError;

/// Limits of a customer; a field that is left out means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawCustomerLimits {
    /// Requests a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Requests at the same time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
    /// Tokens a second.
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

/// Checks limits; `path` names them in errors.
pub fn checked_limits(
    path: &str,
    raw: RawCustomerLimits,
) -> Result<CustomerLimits, RawConfigurationError> {
    let rate = |name: &str, value: Option<f64>| match value {
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
        requests_per_s: rate("requests_per_s", raw.requests_per_s)?,
        concurrent_requests: raw.concurrent_requests,
        tokens_per_s: rate("tokens_per_s", raw.tokens_per_s)?,
    })
}
