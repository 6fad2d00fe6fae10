//! Bills and the sums in which they are stored.

use serde::Deserialize;
use serde::Serialize;

use crate::billing::usage::Usage;
use crate::class::Class;
use crate::id::CustomerId;
use crate::id::Serial;
use crate::id::VersionId;
use crate::quantity::CostMicros;
use crate::quantity::Tokens;

/// Tokens and price that a request used on one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BillLine {
    /// The version; absent for plain services.
    pub version: Option<VersionId>,
    /// Tokens used.
    pub usage: Usage,
    /// Price of the tokens.
    pub cost_micros: CostMicros,
}

/// The bill of one request: the sum of its attempts and cascade steps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bill {
    /// The request within its entry incarnation.
    pub serial: Serial,
    /// The customer that pays.
    pub customer: CustomerId,
    /// The class.
    pub class: Class,
    /// One line for each version that was used.
    pub lines: Vec<BillLine>,
}

/// Sum of bills of one customer, version and class.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BillSum {
    /// The customer.
    pub customer: CustomerId,
    /// The version; absent for plain services.
    pub version: Option<VersionId>,
    /// The class.
    pub class: Class,
    /// Requests whose first line this is.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt_tokens: Tokens,
    /// Answer tokens.
    pub answer_tokens: Tokens,
    /// Price.
    pub cost_micros: CostMicros,
}
