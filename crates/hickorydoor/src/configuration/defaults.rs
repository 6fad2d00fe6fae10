//! Fleet-wide defaults. Exceptions override some of them for single customers.

use crate::quantity::ByteCount;
use crate::quantity::Share;
use crate::time::DurationMs;

/// Fleet-wide defaults for requests; there is one set for the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Defaults {
    /// Maximum size of a request body.
    pub request_body_limit_bytes: ByteCount,
    /// Deadline of interactive requests that specify none.
    pub interactive_deadline_ms: DurationMs,
    /// Deadline of batch requests that specify none.
    pub batch_deadline_ms: DurationMs,
    /// Share of a customer's requests that may be retried.
    pub retry_budget: Share,
    /// Target for the time to first token (TTFT).
    pub first_token_target_ms: DurationMs,
    /// Number of answer tokens assumed for requests that specify no maximum.
    pub expected_answer_tokens: u64,
}

impl Default for Defaults {
    fn default() -> Self {
        Self {
            request_body_limit_bytes: ByteCount::new(1 << 20),
            interactive_deadline_ms: DurationMs::from_secs(30),
            batch_deadline_ms: DurationMs::from_secs(600),
            retry_budget: Share::from_percent(10),
            first_token_target_ms: DurationMs::new(730),
            expected_answer_tokens: 256,
        }
    }
}
