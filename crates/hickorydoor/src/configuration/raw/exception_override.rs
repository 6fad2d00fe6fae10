//! What exceptions change, as operators write it.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::raw::customer_limits::RawCustomerLimits;
use crate::id::CustomerId;
use crate::id::UpstreamId;

/// What an exception changes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum RawOverride {
    /// Other limits for a customer.
    CustomerLimits {
        /// The customer.
        customer: CustomerId,
        /// The limits in force instead.
        limits: RawCustomerLimits,
    },
    /// Another deadline for a customer's interactive requests.
    InteractiveDeadline {
        /// The customer.
        customer: CustomerId,
        /// The deadline in force instead.
        deadline_ms: u64,
    },
    /// Another retry budget for a customer.
    RetryBudget {
        /// The customer.
        customer: CustomerId,
        /// The share in force instead, 0 to 1.
        share: f64,
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
