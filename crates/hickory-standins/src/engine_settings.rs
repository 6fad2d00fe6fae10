//! What an engine does with its requests.

use std::time::Duration;

/// A period in which an engine carries only a little load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Requests that may run at once without a slowdown.
    pub sustainable_concurrency: usize,
    /// Factor on all times while more requests run.
    pub slowdown: f64,
}

/// What an engine does with its requests; may be changed while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Versions that are loaded at the start.
    pub versions: Vec<String>,
    /// Time from the start of a run to its first token.
    pub first_token_delay: Duration,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// Tokens of an answer, unless the request asks for fewer.
    pub answer_tokens: u64,
    /// Requests that run at once; others wait in order.
    pub slots: usize,
    /// Share of requests that fail with status 500.
    pub error_rate: f64,
    /// Set while the engine is cold.
    pub cold_start: Option<ColdStart>,
    /// Whether new runs make no progress.
    pub hang: bool,
    /// Tokens after which the connections of runs are cut.
    pub abort_after_tokens: Option<u64>,
    /// Whether orders with a fencing number below the highest seen are refused.
    pub checks_fencing: bool,
    /// Time that loading a version takes.
    pub load_time: Duration,
    /// Prompt tokens a second that `GET /load` reports.
    pub prefill_tokens_per_s: f64,
}

impl EngineSettings {
    /// A fast engine without faults.
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

    /// Factor on all times while this many requests run.
    pub fn slowdown(&self, running: usize) -> f64 {
        match self.cold_start {
            Some(cold) if running > cold.sustainable_concurrency => cold.slowdown,
            _ => 1.0,
        }
    }
}
