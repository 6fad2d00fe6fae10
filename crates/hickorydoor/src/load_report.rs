//! Load and health of an upstream as its agent reports it.

use crate::id::Revision;
use crate::id::VersionId;
use crate::quantity::Tokens;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Load of one upstream, counted by its agent across all entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// When the agent made the report, on the agent's clock.
    pub observed_at_ms: TimeMs,
    /// The configuration in force at the agent.
    pub revision: Revision,
    /// Whether the agent is leaving and takes no new work.
    pub leaving: bool,
    /// Attempts admitted and not yet ended.
    pub running: u32,
    /// Attempts that wait in the engine's queue.
    pub queued: u32,
    /// Attempts that the agent admits at once now.
    pub admission_limit: u32,
    /// Attempts that a warm engine bears.
    pub warm_limit: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_prompt_tokens: Tokens,
    /// Prompt tokens that the engine reads a second.
    pub prefill_tokens_per_s: f64,
    /// Time between two tokens of one stream.
    pub token_interval_ms: f64,
    /// Recent time to the first token.
    pub first_token_ms: DurationMs,
    /// Versions that the engine serves now.
    pub versions: Vec<VersionId>,
    /// Cumulative count of attempts that this agent has received from the addressed entry; lets
    /// the entry subtract what the report already includes from what it has sent.
    pub received_from_entry: u64,
}
