//! Permits that a gateway holds for requests to one upstream.

use std::collections::VecDeque;

use crate::gateway::rate_limits::PermitId;
use crate::id::HostId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long a permit can be used after it has become valid.
const VALID_MS: DurationMs = DurationMs::new(150);
/// How long requests that could go elsewhere wait for a permit.
const PATIENCE_MS: DurationMs = DurationMs::new(20);
/// Time after which a request for a permit is repeated.
const REPLY_TIMEOUT_MS: DurationMs = DurationMs::new(45);
/// How often a request for a permit is sent to the same gateway.
const MAX_TRIES: u32 = 3;
/// Time after a denial before a permit is wanted for a request that waits.
const DENIED_MS: DurationMs = DurationMs::new(100);

/// A permit that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldPermit {
    /// Request for the permit.
    pub id: PermitId,
    /// Gateway that issued it.
    pub issuer: HostId,
    /// When it becomes valid.
    pub valid_from: TimeMs,
}

/// A request for a permit that has not been answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingPermit {
    /// Number of the request.
    pub id: PermitId,
    /// Gateway that it was sent to.
    pub issuer: HostId,
    /// Longest time until the permit becomes valid.
    pub max_wait_ms: DurationMs,
    /// When it was first sent.
    pub requested_at: TimeMs,
    /// When it was last sent.
    pub sent_at: TimeMs,
    /// How often it was sent.
    pub tries: u32,
}

/// Whether a request may be sent to an upstream with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitAccess {
    /// A permit is held and valid.
    Held,
    /// A permit may be requested.
    Requestable,
    /// A permit was requested a moment ago.
    Pending,
    /// There is no permit before this time.
    NoneBefore(TimeMs),
}

/// What to do about a request for a permit that was not answered in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// It is to be sent again.
    Repeat(PendingPermit),
    /// The gateway does not answer.
    Unanswered(HostId),
}

/// Permits for requests to one upstream.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    held: VecDeque<HeldPermit>,
    pending: Option<PendingPermit>,
    none_before: Option<TimeMs>,
    denied_at: Option<TimeMs>,
}

impl Permits {
    /// Returns whether a request may be sent.
    pub fn access(&self, now: TimeMs) -> PermitAccess {
        if self.held.iter().any(|permit| is_valid(permit, now)) {
            return PermitAccess::Held;
        }
        if let Some(pending) = &self.pending {
            return if now.since(pending.requested_at) < PATIENCE_MS {
                PermitAccess::Pending
            } else {
                PermitAccess::NoneBefore(now + REPLY_TIMEOUT_MS)
            };
        }
        match self.none_before.filter(|at| now < *at) {
            Some(at) => PermitAccess::NoneBefore(at),
            None => PermitAccess::Requestable,
        }
    }

    /// Uses a valid permit; returns whether there was one.
    pub fn take(&mut self, now: TimeMs) -> bool {
        let position = self.held.iter().position(|permit| is_valid(permit, now));
        position.and_then(|position| self.held.remove(position)).is_some()
    }

    /// Returns the number of permits that requests may wait for, including a requested one.
    pub fn awaited(&self) -> usize {
        self.held.len() + usize::from(self.pending.is_some())
    }

    /// Returns whether a permit may be requested for a request that can wait until `wait_until`.
    pub fn can_reserve(&self, wait_until: TimeMs, now: TimeMs) -> bool {
        self.pending.is_none()
            && self.none_before.is_none_or(|at| at <= wait_until)
            && self.denied_at.is_none_or(|at| now.since(at) >= DENIED_MS)
    }

    /// Records that a permit was requested.
    pub fn record_request(&mut self, pending: PendingPermit) {
        self.pending = Some(pending);
    }

    /// Records a permit that becomes valid after a time. Returns false if it was not wanted any
    /// more.
    pub fn record_granted(&mut self, id: PermitId, after_ms: DurationMs, now: TimeMs) -> bool {
        let Some(pending) = self.pending.take_if(|pending| pending.id == id) else {
            return false;
        };
        self.denied_at = None;
        self.held.push_back(HeldPermit { id, issuer: pending.issuer, valid_from: now + after_ms });
        true
    }

    /// Records that there is no permit within the wanted time.
    pub fn record_denied(&mut self, id: PermitId, after_ms: DurationMs, now: TimeMs) {
        let Some(pending) = self.pending.take_if(|pending| pending.id == id) else {
            return;
        };
        self.none_before = Some(now + after_ms);
        if pending.max_wait_ms.get() > 0 {
            self.denied_at = Some(now);
        }
    }

    /// Drops the permits that are no longer valid, and returns them.
    pub fn expire(&mut self, now: TimeMs) -> Vec<HeldPermit> {
        let (kept, expired): (Vec<_>, Vec<_>) =
            self.held.drain(..).partition(|permit| now <= permit.valid_from + VALID_MS);
        self.held = kept.into();
        expired
    }

    /// Drops the permits that were granted at a higher rate.
    pub fn on_lowered(&mut self) {
        self.held.clear();
        self.none_before = None;
    }

    /// Returns what to do about a request for a permit that was not answered in time.
    pub fn overdue(&mut self, now: TimeMs) -> Option<Overdue> {
        let pending = self.pending.as_mut()?;
        if now.since(pending.sent_at) < REPLY_TIMEOUT_MS {
            return None;
        }
        if pending.tries < MAX_TRIES {
            pending.tries += 1;
            pending.sent_at = now;
            return Some(Overdue::Repeat(pending.clone()));
        }
        self.pending.take().map(|pending| Overdue::Unanswered(pending.issuer))
    }
}

fn is_valid(permit: &HeldPermit, now: TimeMs) -> bool {
    permit.valid_from <= now && now <= permit.valid_from + VALID_MS
}
