//! Reports of an upstream's load and health, sent by its agent.

use crate::id::Revision;
use crate::id::VersionId;
use crate::quantity::Tokens;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Load of one upstream as counted by its agent, including the attempts of all entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Time of the report on the agent's clock.
    pub observed_at_ms: TimeMs,
    /// Configuration revision in force at the agent.
    pub revision: Revision,
    /// Whether the agent accepts no new attempts, because it is shutting down, its host is leaving
    /// or its upstream is out of service.
    pub leaving: bool,
    /// Attempts that the agent has admitted and that have not ended.
    pub running: u32,
    /// Attempts in the engine's own queue.
    pub queued: u32,
    /// Current limit on concurrent attempts.
    pub admission_limit: u32,
    /// Limit on concurrent attempts that applies once the engine is warm.
    pub warm_limit: u32,
    /// Prompt tokens of queued attempts, not yet prefilled.
    pub queued_prompt_tokens: Tokens,
    /// Prefill rate of the engine, in prompt tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Time between two consecutive tokens of one stream.
    pub token_interval_ms: f64,
    /// Recent time to the first token.
    pub first_token_ms: DurationMs,
    /// Versions that the engine has loaded; empty for plain services.
    pub versions: Vec<VersionId>,
    /// Total number of attempts that the agent has received from the entry to which the report is
    /// addressed. The entry compares it with the number that it has sent to find the attempts that
    /// the report does not yet include.
    pub received_from_entry: u64,
}
