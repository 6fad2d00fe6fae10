//! Serialised form of the overrides in exceptions.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::raw::customer_limits::RawCustomerLimits;
use crate::id::CustomerId;
use crate::id::UpstreamId;

/// Unvalidated [`Override`](crate::configuration::exception::Override); `kind` names the variant.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum RawOverride {
    /// Replaces all limits of a customer.
    CustomerLimits {
        /// Customer whose limits are replaced.
        customer: CustomerId,
        /// Limits that apply instead; one that is left out means no limit.
        limits: RawCustomerLimits,
    },
    /// Replaces the default deadline of a customer's interactive requests.
    InteractiveDeadline {
        /// Customer whose requests get the deadline.
        customer: CustomerId,
        /// Deadline of requests that specify none, greater than 0.
        deadline_ms: u64,
    },
    /// Replaces the default retry budget of a customer.
    RetryBudget {
        /// Customer whose requests are retried.
        customer: CustomerId,
        /// Share of the customer's requests that may be retried, from 0 to 1.
        share: f64,
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
