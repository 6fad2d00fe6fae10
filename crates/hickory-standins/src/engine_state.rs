//! State of the engine stand-in: loaded versions, runs and counters.

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

const SEED: u64 = 7;

/// What an engine has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Runs that have started.
    pub started: u64,
    /// Runs whose whole answer was produced.
    pub completions: u64,
    /// Runs whose caller went away first, and runs that were cut.
    pub interrupted: u64,
    /// Requests that failed by the error rate.
    pub errors: u64,
    /// Orders that were carried out.
    pub orders: u64,
    /// Orders that were refused for a stale fencing number.
    pub stale_orders: u64,
    /// Most requests that ran at once.
    pub peak_running: usize,
}

#[derive(Debug)]
pub struct EngineState {
    pub settings: EngineSettings,
    pub versions: BTreeSet<String>,
    pub counts: EngineCounts,
    /// Runs by the text of the request's last message.
    pub runs: BTreeMap<String, u64>,
    pub running: usize,
    pub queued: usize,
    pub queued_prompt_tokens: u64,
    pub highest_fencing_number: u64,
    random: Pcg64Mcg,
}

/// State shared by the engine's handle and its requests.
#[derive(Debug)]
pub struct EngineShared {
    state: Mutex<EngineState>,
    /// Wakes waiting requests when a slot may be free or the settings have changed.
    pub changed: Notify,
}

impl EngineShared {
    pub fn new(settings: EngineSettings) -> Self {
        let state = EngineState {
            versions: settings.versions.iter().cloned().collect(),
            settings,
            counts: EngineCounts::default(),
            runs: BTreeMap::new(),
            running: 0,
            queued: 0,
            queued_prompt_tokens: 0,
            highest_fencing_number: 0,
            random: Pcg64Mcg::seed_from_u64(SEED),
        };
        Self { state: Mutex::new(state), changed: Notify::new() }
    }

    pub fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EngineState {
    fn draw_error(&mut self) -> bool {
        self.random.random::<f64>() < self.settings.error_rate
    }
}

/// A request that waits for a slot.
struct Queued {
    shared: Arc<EngineShared>,
    prompt_tokens: u64,
}

impl Queued {
    fn new(shared: &Arc<EngineShared>, prompt_tokens: u64) -> Self {
        let mut state = shared.lock();
        state.queued += 1;
        state.queued_prompt_tokens += prompt_tokens;
        Self { shared: Arc::clone(shared), prompt_tokens }
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.queued -= 1;
        state.queued_prompt_tokens -= self.prompt_tokens;
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    Interrupted,
    Completed,
    Failed,
}

/// A run that holds a slot until it is dropped.
#[derive(Debug)]
pub struct Run {
    shared: Arc<EngineShared>,
    end: RunEnd,
}

impl Run {
    /// Waits for a slot and starts a run.
    pub async fn start(shared: &Arc<EngineShared>, prompt: &str, prompt_tokens: u64) -> Self {
        let queued = Queued::new(shared, prompt_tokens);
        loop {
            let changed = shared.changed.notified();
            if let Some(run) = Self::try_start(shared, prompt) {
                drop(queued);
                return run;
            }
            changed.await;
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
        *state.runs.entry(prompt.to_owned()).or_default() += 1;
        Some(Self { shared: Arc::clone(shared), end: RunEnd::Interrupted })
    }

    /// Notes that the whole answer was produced.
    pub fn finish(&mut self) {
        self.end = RunEnd::Completed;
    }

    /// Draws whether the run fails by the error rate.
    pub fn fails(&mut self) -> bool {
        let failed = self.shared.lock().draw_error();
        if failed {
            self.end = RunEnd::Failed;
        }
        failed
    }

    pub fn shared(&self) -> &EngineShared {
        &self.shared
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.running -= 1;
        match self.end {
            RunEnd::Interrupted => state.counts.interrupted += 1,
            RunEnd::Completed => state.counts.completions += 1,
            RunEnd::Failed => state.counts.errors += 1,
        }
        drop(state);
        self.shared.changed.notify_waiters();
    }
}
