//! Settings of the engine stand-in: timing, capacity and faults.

use std::time::Duration;

/// Reduced capacity of an engine that has just started and is not yet warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Number of concurrent requests up to which the engine runs at full speed.
    pub sustainable_concurrency: usize,
    /// Factor on token times while more than `sustainable_concurrency` requests execute; 1 has no
    /// effect.
    pub slowdown: f64,
}

/// Timing, capacity and faults of an engine; `Engine::update` changes them while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Versions that are loaded at the start; later changes have no effect.
    pub versions: Vec<String>,
    /// Time from the start of an execution to its first token, without the wait for a slot.
    pub first_token_delay: Duration,
    /// Time between two consecutive tokens.
    pub token_interval: Duration,
    /// Number of tokens in an answer, unless the request sets a lower limit.
    pub answer_tokens: u64,
    /// Number of requests that execute concurrently; further requests are queued.
    pub slots: usize,
    /// Probability from 0 to 1 that a request fails with status 500.
    pub error_rate: f64,
    /// Reduced capacity while the engine is cold; `None` for a warm engine.
    pub cold_start: Option<ColdStart>,
    /// Whether all executions are suspended before their next token.
    pub hang: bool,
    /// Number of tokens after which connections are closed without completing the response;
    /// `None` to complete all.
    pub abort_after_tokens: Option<u64>,
    /// Whether orders without a fencing number, or with one below the highest received, are
    /// rejected.
    pub checks_fencing: bool,
    /// Time between an order to load a version and its completion.
    pub load_time: Duration,
    /// Prefill rate that `GET /load` reports, before the slowdown of a cold start; it does not
    /// affect the timing of answers.
    pub prefill_tokens_per_s: f64,
}

impl EngineSettings {
    /// Creates settings without faults: 1 ms to the first token, no delay between tokens.
    pub fn new<T: Into<String>>(versions: impl IntoIterator<Item = T>) -> Self {
        Self {
            versions: versions.into_iter().map(Into::into).collect(),
            first_token_delay: Duration::from_millis(1),
            token_interval: Duration::ZERO,
            answer_tokens: 8,
            slots: 64,
            error_rate: 0.0,
            cold_start: None,
            hang: false,
            abort_after_tokens: None,
            checks_fencing: true,
            load_time: Duration::ZERO,
            prefill_tokens_per_s: 10_000.0,
        }
    }

    /// Factor on token times while `running` requests execute.
    pub fn slowdown(&self, running: usize) -> f64 {
        match self.cold_start {
            Some(cold) if running > cold.sustainable_concurrency => cold.slowdown,
            _ => 1.0,
        }
    }
}
