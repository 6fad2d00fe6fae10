//! Serialised form of exceptions.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::exception::Exception;
use crate::configuration::exception::Override;
use crate::configuration::raw::customer_limits::RawCustomerLimits;
use crate::configuration::raw::customer_limits::check_limits;
use crate::configuration::raw::error::RawConfigurationError;
use crate::configuration::raw::exception_override::RawOverride;
use crate::configuration::raw::share::check_share;
use crate::id::ExceptionId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Unvalidated [`Exception`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawException {
    /// Unique id.
    pub id: ExceptionId,
    /// Why the exception was made; must not be blank.
    pub reason: CompactString,
    /// End in milliseconds since the Unix epoch; in force until removed if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ends_at_ms: Option<TimeMs>,
    /// Setting that it overrides while it is in force.
    pub change: RawOverride,
}

impl From<&Exception> for RawException {
    fn from(exception: &Exception) -> Self {
        let change = match &exception.change {
            Override::CustomerLimits { customer, limits } => RawOverride::CustomerLimits {
                customer: customer.clone(),
                limits: RawCustomerLimits::from(limits),
            },
            Override::InteractiveDeadline { customer, deadline_ms } => {
                RawOverride::InteractiveDeadline {
                    customer: customer.clone(),
                    deadline_ms: deadline_ms.get(),
                }
            }
            Override::RetryBudget { customer, share } => {
                RawOverride::RetryBudget { customer: customer.clone(), share: share.as_f64() }
            }
            Override::IgnoresFencing { upstream } => {
                RawOverride::IgnoresFencing { upstream: upstream.clone() }
            }
            Override::UpstreamOut { upstream } => {
                RawOverride::UpstreamOut { upstream: upstream.clone() }
            }
        };
        Self {
            id: exception.id.clone(),
            reason: exception.reason.clone(),
            ends_at_ms: exception.ends_at_ms,
            change,
        }
    }
}

impl TryFrom<RawException> for Exception {
    type Error = RawConfigurationError;

    fn try_from(raw: RawException) -> Result<Self, RawConfigurationError> {
        let path = format!("exceptions.{}", raw.id);
        if raw.reason.trim().is_empty() {
            return Err(RawConfigurationError::field(format!("{path}.reason"), "a written reason"));
        }
        let change = match raw.change {
            RawOverride::CustomerLimits { customer, limits } => Override::CustomerLimits {
                customer,
                limits: check_limits(&format!("{path}.change.limits"), limits)?,
            },
            RawOverride::InteractiveDeadline { customer, deadline_ms } => {
                if deadline_ms == 0 {
                    let field = format!("{path}.change.deadline_ms");
                    return Err(RawConfigurationError::field(field, "greater than 0"));
                }
                Override::InteractiveDeadline {
                    customer,
                    deadline_ms: DurationMs::new(deadline_ms),
                }
            }
            RawOverride::RetryBudget { customer, share: value } => Override::RetryBudget {
                customer,
                share: check_share(&format!("{path}.change.share"), value)?,
            },
            RawOverride::IgnoresFencing { upstream } => Override::IgnoresFencing { upstream },
            RawOverride::UpstreamOut { upstream } => Override::UpstreamOut { upstream },
        };
        Ok(Self { id: raw.id, reason: raw.reason, ends_at_ms: raw.ends_at_ms, change })
    }
}
