//! Choice of the way in which a gateway learns the changes in the store.
//!
//! A watcher polls the store; while the store does not answer it, it follows another gateway. A
//! follower follows the first gateway of its list that is in sync. Once its view is too old, it tries
//! others, but not beyond the age at which it has to ask the store itself ([`ViewTiming`]).

use std::collections::BTreeMap;

use crate::gateway::view_role::FollowerPlace;
use crate::gateway::view_role::ViewRole;
use crate::gateway::view_timing::ViewTiming;
use crate::id::HostId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Maximum number of gateways that are tried before the store is asked.
const MAX_SOURCES_TRIED: usize = 3;
/// The same for a gateway that knows nothing yet, whose tries take longer.
const MAX_INITIAL_SOURCES_TRIED: usize = 2;
/// Maximum time until a gateway has sent its view that is tried because the store does not answer.
const FIRST_SYNC_TIMEOUT_MS: DurationMs = DurationMs::new(800);
/// The same for a gateway that knows nothing yet. All gateways may be starting at the same time, and
/// a watcher may not know this host yet.
const INITIAL_SYNC_TIMEOUT_MS: DurationMs = DurationMs::new(1_500);
/// Time below which a try is not worth it.
const MIN_SYNC_TIMEOUT_MS: DurationMs = DurationMs::new(20);
/// How long a gateway polls the store if it could not follow another one.
const POLLING_MS: DurationMs = DurationMs::from_secs(3);
/// How long a gateway that cannot be followed is not tried again. A host that accepts a connection
/// and sends nothing delays changes at each try.
const SOURCE_RETRY_DELAY_MS: DurationMs = DurationMs::from_secs(10);
/// How long a gateway that accepts no connection, such as one that starts, is not tried again.
const UNREACHABLE_RETRY_DELAY_MS: DurationMs = DurationMs::from_secs(1);

/// What a gateway does next to learn the changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewStep {
    /// It follows another gateway.
    Follow {
        /// The gateway.
        host: HostId,
        /// Maximum time until its view has arrived.
        first_sync_ms: DurationMs,
    },
    /// It asks the store.
    Poll {
        /// How long the store may hold back its answer if there are no changes.
        wait_ms: DurationMs,
    },
}

/// Why a gateway no longer follows another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    /// The changes are to be learned in another way.
    Left,
    /// No connection could be opened.
    Unreachable,
    /// The connection failed, or the view became too old.
    Failed,
}

/// What a gateway has learned about the ways to learn the changes.
#[derive(Clone, Debug)]
pub struct SourceChoice {
    timing: ViewTiming,
    /// When each gateway that could not be followed may be tried again.
    failed: BTreeMap<HostId, TimeMs>,
    /// Number of gateways tried since the last view.
    tried: usize,
    /// Until when a follower polls the store.
    follow_from: TimeMs,
    /// Whether the store did not answer the last call.
    is_store_silent: bool,
}

impl SourceChoice {
    /// Creates the choice of a gateway that has tried nothing yet.
    pub const fn new(timing: ViewTiming) -> Self {
        Self {
            timing,
            failed: BTreeMap::new(),
            tried: 0,
            follow_from: TimeMs::new(0),
            is_store_silent: false,
        }
    }

    /// Returns the next step. `view_age_ms` is `None` before the first synchronization.
    pub fn next(
        &mut self,
        role: &ViewRole,
        view_age_ms: Option<DurationMs>,
        now: TimeMs,
    ) -> ViewStep {
        self.failed.retain(|_, retry_at| now < *retry_at);
        if self.may_follow(role, now)
            && let Some(step) = self.try_source(role, view_age_ms)
        {
            return step;
        }
        if self.is_store_silent {
            // With no other way left, gateways that failed before are tried again.
            self.failed.clear();
        }
        self.tried = 0;
        // A follower polls until it can follow another gateway, and is to try that at once then.
        let wait_ms =
            if role.is_watcher() { self.timing.poll_wait_ms() } else { DurationMs::default() };
        ViewStep::Poll { wait_ms }
    }

    /// Returns whether the next step may be to follow another gateway.
    pub fn may_follow(&self, role: &ViewRole, now: TimeMs) -> bool {
        self.is_store_silent || !role.is_watcher() && now >= self.follow_from
    }

    /// Returns the step to take over the view of another gateway before the store is read; `None`
    /// if none is left to try.
    pub fn next_source(&mut self, role: &ViewRole, now: TimeMs) -> Option<ViewStep> {
        self.failed.retain(|_, retry_at| now < *retry_at);
        let step = self.try_source(role, None);
        if step.is_none() {
            self.failed.clear();
            self.tried = 0;
        }
        step
    }

    fn try_source(&mut self, role: &ViewRole, view_age_ms: Option<DurationMs>) -> Option<ViewStep> {
        let max_tried = match view_age_ms {
            Some(_known) => MAX_SOURCES_TRIED,
            None => MAX_INITIAL_SOURCES_TRIED,
        };
        if self.tried >= max_tried {
            return None;
        }
        let first_sync_ms = self.first_sync_ms(role.place(), view_age_ms)?;
        let host = self.preferred(role)?.clone();
        self.tried += 1;
        Some(ViewStep::Follow { host, first_sync_ms })
    }

    /// Returns how long a gateway may be tried. While the store answers, it is so long as to know as
    /// much as this one, or half of the time until the store has to be asked, so that a second one can
    /// be tried.
    fn first_sync_ms(
        &self,
        place: FollowerPlace,
        view_age_ms: Option<DurationMs>,
    ) -> Option<DurationMs> {
        let Some(age_ms) = view_age_ms else {
            return Some(INITIAL_SYNC_TIMEOUT_MS);
        };
        if self.is_store_silent {
            return Some(FIRST_SYNC_TIMEOUT_MS);
        }
        let left_ms = self.timing.store_after_ms(place).saturating_sub(age_ms);
        let catch_up_ms = self.timing.catch_up_ms();
        if left_ms >= catch_up_ms {
            return Some(catch_up_ms);
        }
        let half_ms = DurationMs::new(left_ms.get() / 2);
        (half_ms >= MIN_SYNC_TIMEOUT_MS).then_some(half_ms)
    }

    fn preferred<'a>(&self, role: &'a ViewRole) -> Option<&'a HostId> {
        role.sources().iter().find(|host| !self.failed.contains_key(*host))
    }

    /// Returns whether a gateway that took up following `followed` as a watcher or not goes on to
    /// do so. `is_answered` tells whether the store has answered it since.
    pub fn is_settled(
        &self,
        role: &ViewRole,
        was_watcher: bool,
        is_answered: bool,
        followed: &HostId,
    ) -> bool {
        if role.is_watcher() {
            was_watcher && !is_answered
        } else {
            !was_watcher && self.preferred(role) == Some(followed)
        }
    }

    /// Records that a gateway is no longer followed. `has_synced` tells whether its view arrived.
    pub fn record_followed(
        &mut self,
        host: &HostId,
        outcome: FollowOutcome,
        has_synced: bool,
        now: TimeMs,
    ) {
        let delay_ms = match outcome {
            FollowOutcome::Left => None,
            FollowOutcome::Unreachable => Some(UNREACHABLE_RETRY_DELAY_MS),
            FollowOutcome::Failed => Some(SOURCE_RETRY_DELAY_MS),
        };
        if let Some(delay_ms) = delay_ms {
            self.failed.insert(host.clone(), now + delay_ms);
        }
        if has_synced || outcome == FollowOutcome::Left {
            self.tried = 0;
            self.is_store_silent = false;
        }
    }

    /// Records that the store was asked, and whether it answered.
    pub fn record_polled(&mut self, is_answered: bool, now: TimeMs) {
        self.is_store_silent = !is_answered;
        if is_answered && now >= self.follow_from {
            self.follow_from = now + POLLING_MS;
        }
    }
}
