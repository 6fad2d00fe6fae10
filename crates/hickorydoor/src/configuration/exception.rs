//! Exceptions to the fleet-wide defaults.
//!
//! Every exception carries a written reason, and may end by itself.

use compact_str::CompactString;

use crate::configuration::customer::CustomerLimits;
use crate::id::CustomerId;
use crate::id::ExceptionId;
use crate::id::UpstreamId;
use crate::quantity::Share;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// What an exception changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Override {
    /// Other limits for a customer.
    CustomerLimits {
        /// The customer.
        customer: CustomerId,
        /// The limits in force instead.
        limits: CustomerLimits,
    },
    /// Another deadline for a customer's interactive requests.
    InteractiveDeadline {
        /// The customer.
        customer: CustomerId,
        /// The deadline in force instead.
        deadline_ms: DurationMs,
    },
    /// Another retry budget for a customer.
    RetryBudget {
        /// The customer.
        customer: CustomerId,
        /// The share in force instead.
        share: Share,
    },
    /// The upstream does not check fencing numbers.
    IgnoresFencing {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The upstream gets no new work.
    UpstreamOut {
        /// The upstream.
        upstream: UpstreamId,
    },
}

impl Override {
    /// The customer that it is for, if it is for one.
    pub const fn customer(&self) -> Option<&CustomerId> {
        match self {
            Self::CustomerLimits { customer, .. }
            | Self::InteractiveDeadline { customer, .. }
            | Self::RetryBudget { customer, .. } => Some(customer),
            Self::IgnoresFencing { .. } | Self::UpstreamOut { .. } => None,
        }
    }
}

/// An exception to the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Exception {
    /// The exception's id.
    pub id: ExceptionId,
    /// Why it exists.
    pub reason: CompactString,
    /// When it ends by itself.
    pub ends_at_ms: Option<TimeMs>,
    /// What it changes.
    pub change: Override,
}

impl Exception {
    /// Whether the exception is in force at `now`.
    pub fn is_in_force(&self, now: TimeMs) -> bool {
        self.ends_at_ms.is_none_or(|end| now < end)
    }
}
