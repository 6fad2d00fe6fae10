//! Age of the gateway's copy of the configuration.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time after a restore of the store within which the operator and the upstreams write again what
/// the copy lacks.
pub const RESTORE_WINDOW_MS: DurationMs = DurationMs::new(4_000);

/// Time without any event after which the process must have been paused or badly delayed. It has an
/// event every 50 ms otherwise.
const MAX_DELAY_MS: DurationMs = DurationMs::new(1_000);
/// How long a process that was paused waits for a synchronization before it goes on without one.
const RESUME_TIMEOUT_MS: DurationMs = DurationMs::new(1_500);

/// Longest time between two answers of the store that counts as unbroken. A store that is away for
/// less ends no registration, since an upstream renews its own several times before it lapses.
const MAX_ANSWER_GAP_MS: DurationMs = DurationMs::from_secs(2);

/// Tracks the time up to which all changes acknowledged by the store are known.
///
/// Timestamps must come from a clock that keeps running while the host is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    synced_at: Option<TimeMs>,
    /// Time up to which the changes in the store are known, whatever a restore may have lost.
    view_synced_at: Option<TimeMs>,
    answered_at: Option<TimeMs>,
    /// Since when the store has answered without a break.
    answered_since: Option<TimeMs>,
    unreachable_since: Option<TimeMs>,
    /// When the store had last answered before the last call that failed.
    lost_at: Option<TimeMs>,
    recovered_at: Option<TimeMs>,
    restored_at: Option<TimeMs>,
    last_run_at: Option<TimeMs>,
    /// When the process went on after a pause; `None` once it is in sync again.
    resumed_at: Option<TimeMs>,
    /// Whether the store may still lack acknowledged changes of the configuration.
    may_lack_configuration: bool,
    /// Whether nothing is known from before a restore that the store may just have had.
    is_unproven: bool,
}

impl Freshness {
    /// Records that the process runs, and notices if it was paused before.
    pub fn record_run(&mut self, now: TimeMs) {
        if self.last_run_at.is_some_and(|at| now.since(at) > MAX_DELAY_MS) {
            self.resumed_at = Some(now);
        }
        self.last_run_at = Some(now);
    }

    /// Returns whether the process was paused and may not know yet what has been revoked or taken
    /// out meanwhile.
    pub fn is_resuming(&self, now: TimeMs) -> bool {
        self.resumed_at.is_some_and(|at| now.since(at) < RESUME_TIMEOUT_MS)
    }

    /// Records that all changes acknowledged before `synced_at` are known.
    ///
    /// Shortly after a restore, the store may lack a revocation that it had acknowledged, so what
    /// it says then proves nothing. A gateway that learns of the restore from another one, and knows
    /// nothing else, takes over what that one says.
    pub fn record_sync(&mut self, synced_at: TimeMs, now: TimeMs) {
        if self.unreachable_since.take().is_some() {
            self.recovered_at = Some(now);
        }
        if self.resumed_at.is_some_and(|at| synced_at >= at) {
            self.resumed_at = None;
        }
        self.view_synced_at = self.view_synced_at.max(Some(synced_at));
        self.may_lack_configuration &= self.is_restoring(now);
        let is_first = self.synced_at.is_none() && !self.is_unproven;
        if !self.may_lack_configuration || is_first {
            self.synced_at = self.synced_at.max(Some(synced_at));
            self.is_unproven = false;
        }
    }

    /// Records that the store answered a call of this host directly.
    pub fn record_answer(&mut self, now: TimeMs) {
        if !self.is_answered_within(MAX_ANSWER_GAP_MS, now) {
            self.answered_since = None;
        }
        self.answered_since.get_or_insert(now);
        self.answered_at = self.answered_at.max(Some(now));
    }

    /// Returns when the store last answered a call of this host directly.
    pub const fn answered_at(&self) -> Option<TimeMs> {
        self.answered_at
    }

    /// Records that a call to the store failed.
    pub fn record_unreachable(&mut self, now: TimeMs) {
        self.answered_since = None;
        if self.unreachable_since.is_none() {
            self.unreachable_since = Some(now);
            self.lost_at = self.answered_at;
        }
    }

    /// Returns how long the store has answered this host without a break; `None` if it does not.
    pub fn answering_ms(&self, now: TimeMs) -> Option<DurationMs> {
        let since = self.answered_since?;
        self.is_answered_within(MAX_ANSWER_GAP_MS, now).then(|| now.since(since))
    }

    /// Records that the store has answered another gateway without a break for `answering_ms`. If that
    /// covers the time in which it did not answer this one, the store itself was not away.
    pub fn record_peer_answers(&mut self, answering_ms: DurationMs, now: TimeMs) {
        let was_available = self.lost_at.is_some_and(|lost_at| now.since(lost_at) <= answering_ms);
        if was_available && !self.is_unreachable() && !self.is_restoring(now) {
            self.recovered_at = None;
        }
    }

    /// Records that the store has come back from an older copy.
    pub fn record_restore(&mut self, now: TimeMs) {
        self.restored_at = Some(now);
        self.recovered_at = Some(now);
        self.may_lack_configuration = true;
    }

    /// Records that nothing proves how old the store's copy is that is about to be read.
    pub fn record_unproven(&mut self, now: TimeMs) {
        self.record_restore(now);
        self.is_unproven = self.synced_at.is_none();
    }

    /// Returns whether the store may lack acknowledged changes, and nothing is known from before.
    pub const fn is_unproven(&self) -> bool {
        self.is_unproven
    }

    /// Records a configuration that is newer than all earlier ones: after a restore, the operator
    /// has written it.
    pub const fn record_new_configuration(&mut self) {
        self.may_lack_configuration = false;
    }

    /// Returns the age of the configuration; `None` before the first synchronization.
    pub fn age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        self.synced_at.map(|synced_at| now.since(synced_at))
    }

    /// Returns the time since the store was last asked for the changes that are known; `None` before
    /// the first synchronization.
    pub fn view_age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        self.view_synced_at.map(|synced_at| now.since(synced_at))
    }

    /// Returns whether the configuration is at most `limit_ms` old.
    pub fn is_within(&self, limit_ms: DurationMs, now: TimeMs) -> bool {
        self.age_ms(now).is_some_and(|age_ms| age_ms <= limit_ms)
    }

    /// Returns whether the store has answered this host directly within the last `limit_ms`.
    pub fn is_answered_within(&self, limit_ms: DurationMs, now: TimeMs) -> bool {
        self.answered_at.is_some_and(|answered_at| now.since(answered_at) <= limit_ms)
    }

    /// Returns whether the last call to the store failed.
    pub const fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// Returns whether the store is unreachable, or recovered or was restored less than `grace_ms`
    /// ago.
    pub fn is_unstable(&self, grace_ms: DurationMs, now: TimeMs) -> bool {
        self.unreachable_since.is_some()
            || self.recovered_at.is_some_and(|at| now.since(at) < grace_ms)
    }

    /// Returns whether the store was restored so recently that it may lack acknowledged changes.
    pub fn is_restoring(&self, now: TimeMs) -> bool {
        self.restored_at.is_some_and(|at| now.since(at) < RESTORE_WINDOW_MS)
    }
}
