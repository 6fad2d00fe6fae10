//! Carries out the decisions of a memory budget for tasks.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hickorydoor::TimeMs;
use hickorydoor::memory::HolderId;
use hickorydoor::memory::MemoryBudget;
use hickorydoor::memory::MemoryCounts;
use hickorydoor::memory::MemoryDecision;
use hickorydoor::memory::MemoryKind;
use hickorydoor::quantity::ByteCount;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::memory_hold::MemoryHold;

/// Shared handle of a memory budget.
#[derive(Clone, Debug)]
pub struct MemoryPool(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    started_at: Instant,
    state: Mutex<State>,
    evicted: Notify,
}

#[derive(Debug)]
struct State {
    budget: MemoryBudget,
    waiting: HashMap<HolderId, oneshot::Sender<bool>>,
    evicted: HashSet<HolderId>,
}

impl MemoryPool {
    /// Creates a pool with a budget.
    pub fn new(budget: MemoryBudget) -> Self {
        let state = State { budget, waiting: HashMap::new(), evicted: HashSet::new() };
        let (started_at, evicted) = (Instant::now(), Notify::new());
        Self(Arc::new(Shared { started_at, state: Mutex::new(state), evicted }))
    }

    /// Adds a holder of nothing.
    pub fn hold(&self, kind: MemoryKind) -> MemoryHold {
        let id = self.lock().budget.add(kind);
        MemoryHold::new(self.clone(), id)
    }

    /// Refuses and evicts those whose time has come. To be called at short intervals.
    pub fn expire(&self) {
        let now = self.now();
        let mut state = self.lock();
        if state.budget.is_contended() {
            state.budget.expire(now);
            self.carry_out(state);
        }
    }

    /// Returns whether a holder waits.
    pub fn is_contended(&self) -> bool {
        self.lock().budget.is_contended()
    }

    /// Returns the bytes that holders of a kind have.
    pub fn used_bytes(&self, kind: MemoryKind) -> ByteCount {
        self.lock().budget.used_bytes(kind)
    }

    /// Returns how often holders of a kind had to wait or to give way since the start.
    pub fn counts(&self, kind: MemoryKind) -> MemoryCounts {
        self.lock().budget.counts(kind)
    }

    /// Takes bytes if they are granted at once; otherwise returns the receiver of the answer.
    pub(crate) fn ask(
        &self,
        id: HolderId,
        bytes: ByteCount,
        within: Duration,
    ) -> Option<oneshot::Receiver<bool>> {
        let within_ms = u64::try_from(within.as_millis()).unwrap_or(u64::MAX);
        let deadline = TimeMs::new(self.now().get().saturating_add(within_ms));
        let mut state = self.lock();
        if state.budget.ask(id, bytes, deadline) {
            return None;
        }
        let (answer, receiver) = oneshot::channel();
        state.waiting.insert(id, answer);
        Some(receiver)
    }

    pub(crate) fn change(&self, change: impl FnOnce(&mut MemoryBudget, TimeMs)) {
        let now = self.now();
        let mut state = self.lock();
        change(&mut state.budget, now);
        self.carry_out(state);
    }

    pub(crate) fn remove(&self, id: HolderId) {
        let mut state = self.lock();
        state.waiting.remove(&id);
        state.evicted.remove(&id);
        state.budget.remove(id);
        self.carry_out(state);
    }

    /// Waits until a holder is told to give its memory up.
    pub(crate) async fn evicted(&self, id: HolderId) {
        loop {
            let notified = self.0.evicted.notified();
            if self.lock().evicted.contains(&id) {
                return;
            }
            notified.await;
        }
    }

    fn carry_out(&self, mut state: MutexGuard<'_, State>) {
        let mut has_evicted = false;
        for decision in state.budget.take_decisions() {
            let (id, is_granted) = match decision {
                MemoryDecision::Granted(id) => (id, true),
                MemoryDecision::Refused(id) => (id, false),
                MemoryDecision::Evicted(id) => {
                    has_evicted = true;
                    state.evicted.insert(id);
                    continue;
                }
            };
            if let Some(answer) = state.waiting.remove(&id) {
                // Sending fails only if the holder no longer waits; it is then removed.
                let _unheard = answer.send(is_granted);
            }
        }
        drop(state);
        if has_evicted {
            self.0.evicted.notify_waiters();
        }
    }

    fn now(&self) -> TimeMs {
        TimeMs::new(self.0.started_at.elapsed().as_millis() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
