//! Bills of requests, and the sums in which bills are stored.

use serde::Deserialize;
use serde::Serialize;

use crate::billing::usage::Usage;
use crate::class::Class;
use crate::id::CustomerId;
use crate::id::Serial;
use crate::id::VersionId;
use crate::quantity::CostMicros;
use crate::quantity::Tokens;

/// Usage and price of one request on one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BillLine {
    /// The version that was used; `None` for plain services.
    pub version: Option<VersionId>,
    /// Tokens used on this version.
    pub usage: Usage,
    /// Price of this usage.
    pub cost_micros: CostMicros,
}

/// Bill of one request, covering all of its attempts and cascade steps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bill {
    /// Number of the request within its entry's incarnation.
    pub serial: Serial,
    /// Customer that is charged.
    pub customer: CustomerId,
    /// Urgency class of the request.
    pub class: Class,
    /// One line for each version that was used; empty if there is nothing to charge.
    pub lines: Vec<BillLine>,
}

/// Sum of the bill lines of one customer, version and class.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BillSum {
    /// Customer that is charged.
    pub customer: CustomerId,
    /// The version that was used; `None` for plain services.
    pub version: Option<VersionId>,
    /// Urgency class of the requests.
    pub class: Class,
    /// Number of requests whose first bill line is part of this sum, so that each request is
    /// counted once.
    pub requests: u64,
    /// Total tokens in prompts.
    pub prompt_tokens: Tokens,
    /// Total tokens in answers.
    pub answer_tokens: Tokens,
    /// Total price.
    pub cost_micros: CostMicros,
}
