//! State of the engine stand-in: loaded versions, slots, queue and counters.
//!
//! An [`Execution`] occupies a slot and a [`QueuedRequest`] waits for one. Both update the counters
//! when they are dropped, so that a client that disconnects frees what its request held.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use crate::engine_settings::EngineSettings;

const RNG_SEED: u64 = 7;

/// Counters of an engine since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Executions that started.
    pub started: u64,
    /// Executions that produced their whole answer.
    pub completions: u64,
    /// Executions that ended early: the client disconnected, or the stand-in aborted the response.
    pub aborted: u64,
    /// Executions that failed because of `EngineSettings::error_rate`.
    pub errors: u64,
    /// Orders that were applied.
    pub orders: u64,
    /// Orders that were rejected because of a stale fencing number.
    pub stale_orders: u64,
    /// Highest number of concurrent executions so far.
    pub peak_running: usize,
}

#[derive(Debug)]
pub struct EngineState {
    pub settings: EngineSettings,
    pub versions: BTreeSet<String>,
    pub counts: EngineCounts,
    /// Number of executions by the text of the last message of the request.
    pub execution_counts: BTreeMap<String, u64>,
    pub running: usize,
    pub queued: usize,
    pub queued_prompt_tokens: u64,
    pub highest_fencing_number: u64,
    rng: Pcg64Mcg,
}

/// State shared by the engine handle and the request handlers.
#[derive(Debug)]
pub struct EngineShared {
    state: Mutex<EngineState>,
    /// Notified when a slot may be free or the settings have changed.
    pub state_changed: Notify,
}

impl EngineShared {
    pub fn new(settings: EngineSettings) -> Self {
        let state = EngineState {
            versions: settings.versions.iter().cloned().collect(),
            settings,
            counts: EngineCounts::default(),
            execution_counts: BTreeMap::new(),
            running: 0,
            queued: 0,
            queued_prompt_tokens: 0,
            highest_fencing_number: 0,
            rng: Pcg64Mcg::seed_from_u64(RNG_SEED),
        };
        Self { state: Mutex::new(state), state_changed: Notify::new() }
    }

    pub fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EngineState {
    fn sample_error(&mut self) -> bool {
        self.rng.random::<f64>() < self.settings.error_rate
    }
}

/// A request in the queue; it leaves the queue when dropped.
struct QueuedRequest {
    shared: Arc<EngineShared>,
    prompt_tokens: u64,
}

impl QueuedRequest {
    fn new(shared: &Arc<EngineShared>, prompt_tokens: u64) -> Self {
        let mut state = shared.lock();
        state.queued += 1;
        state.queued_prompt_tokens += prompt_tokens;
        Self { shared: Arc::clone(shared), prompt_tokens }
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.queued -= 1;
        state.queued_prompt_tokens -= self.prompt_tokens;
    }
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExecutionOutcome {
    Aborted,
    Completed,
    Failed,
}

/// Execution of a request, which holds a slot until it is dropped.
#[derive(Debug)]
pub struct Execution {
    shared: Arc<EngineShared>,
    outcome: ExecutionOutcome,
}

impl Execution {
    /// Waits for a slot and occupies it.
    pub async fn start(shared: &Arc<EngineShared>, prompt: &str, prompt_tokens: u64) -> Self {
        let queued = QueuedRequest::new(shared, prompt_tokens);
        loop {
            let state_changed = shared.state_changed.notified();
            if let Some(execution) = Self::try_start(shared, prompt) {
                drop(queued);
                return execution;
            }
            state_changed.await;
        }
    }

    fn try_start(shared: &Arc<EngineShared>, prompt: &str) -> Option<Self> {
        let mut state = shared.lock();
        if state.running >= state.settings.slots {
            return None;
        }
        state.running += 1;
        state.counts.started += 1;
        state.counts.peak_running = state.counts.peak_running.max(state.running);
        *state.execution_counts.entry(prompt.to_owned()).or_default() += 1;
        Some(Self { shared: Arc::clone(shared), outcome: ExecutionOutcome::Aborted })
    }

    /// Records that the whole answer was produced; without this call the execution counts as
    /// aborted.
    pub fn mark_completed(&mut self) {
        self.outcome = ExecutionOutcome::Completed;
    }

    /// Decides at random, with the configured error rate, whether the execution fails.
    pub fn inject_error(&mut self) -> bool {
        let failed = self.shared.lock().sample_error();
        if failed {
            self.outcome = ExecutionOutcome::Failed;
        }
        failed
    }

    pub fn shared(&self) -> &EngineShared {
        &self.shared
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.running -= 1;
        match self.outcome {
            ExecutionOutcome::Aborted => state.counts.aborted += 1,
            ExecutionOutcome::Completed => state.counts.completions += 1,
            ExecutionOutcome::Failed => state.counts.errors += 1,
        }
        drop(state);
        self.shared.state_changed.notify_waiters();
    }
}
