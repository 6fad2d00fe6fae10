//! Exceptions: settings for one customer or upstream that override the regular configuration.
//!
//! Every exception has a written reason and may have an end time.

use compact_str::CompactString;

use crate::configuration::customer::CustomerLimits;
use crate::id::CustomerId;
use crate::id::ExceptionId;
use crate::id::UpstreamId;
use crate::quantity::Share;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// The setting that an exception overrides, and for whom.
#[derive(Clone, Debug, PartialEq)]
pub enum Override {
    /// Replaces all limits of a customer.
    CustomerLimits {
        /// Customer whose limits are replaced.
        customer: CustomerId,
        /// Limits that apply instead; an absent one means no limit.
        limits: CustomerLimits,
    },
    /// Replaces the default deadline of a customer's interactive requests.
    InteractiveDeadline {
        /// Customer whose requests get the deadline.
        customer: CustomerId,
        /// Deadline of requests that specify none, greater than 0.
        deadline_ms: DurationMs,
    },
    /// Replaces the default retry budget of a customer.
    RetryBudget {
        /// Customer whose requests are retried.
        customer: CustomerId,
        /// Share of the customer's requests that may be retried.
        share: Share,
    },
    /// Declares that an upstream does not check fencing numbers.
    IgnoresFencing {
        /// Upstream that ignores the numbers.
        upstream: UpstreamId,
    },
    /// Takes an upstream out of service, so that it gets no new work.
    UpstreamOut {
        /// Upstream that is taken out.
        upstream: UpstreamId,
    },
}

impl Override {
    /// Returns the customer that the override applies to; `None` if it applies to an upstream.
    pub const fn customer(&self) -> Option<&CustomerId> {
        match self {
            Self::CustomerLimits { customer, .. }
            | Self::InteractiveDeadline { customer, .. }
            | Self::RetryBudget { customer, .. } => Some(customer),
            Self::IgnoresFencing { .. } | Self::UpstreamOut { .. } => None,
        }
    }
}

/// An override with the reason for it and its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Exception {
    /// Unique id. Where several exceptions override the same setting, the one whose id sorts last
    /// takes precedence.
    pub id: ExceptionId,
    /// Why the exception was made; required by the checks of written configurations.
    pub reason: CompactString,
    /// Time from which it no longer applies; `None` means until it is removed.
    pub ends_at_ms: Option<TimeMs>,
    /// Setting that it overrides while it is in force.
    pub change: Override,
}

impl Exception {
    /// Returns true if the exception has not ended at `now`.
    pub fn is_in_force(&self, now: TimeMs) -> bool {
        self.ends_at_ms.is_none_or(|end| now < end)
    }
}
