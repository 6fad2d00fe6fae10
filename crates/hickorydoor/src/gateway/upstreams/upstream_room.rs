//! What an upstream has said of itself in its answers: that it leaves, wants a pause, or has a limit.
//!
//! It answers one question: may a request be sent now, and if not, when. A new incarnation of the
//! upstream starts with a new value; nothing else does.

use crate::gateway::rate_limits::AgedLimit;
use crate::gateway::rate_limits::LimitStatement;
use crate::gateway::rate_limits::PermitAccess;
use crate::gateway::rate_limits::Permits;
use crate::gateway::rate_limits::RequestRate;
use crate::gateway::upstreams::Availability;
use crate::gateway::upstreams::UpstreamNotice;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long an upstream that leaves may get new requests if there is no other; shorter than the time
/// for which it serves after its notice.
const LEAVING_GRACE_MS: DurationMs = DurationMs::new(1_000);

/// How long an upstream that leaves is spared on the word of another gateway; its registration says
/// the same within this time.
const REPORTED_LEAVING_MS: DurationMs = DurationMs::from_secs(10);

/// What one incarnation of an upstream has said of itself.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRoom {
    /// When an answer first said that the upstream is about to leave.
    leaving_since: Option<TimeMs>,
    /// Until when the upstream is spared because of what another gateway has reported.
    reported_leaving_until: Option<TimeMs>,
    /// Until when the upstream wants no requests of this gateway.
    paused_until: Option<TimeMs>,
    /// What the upstream last said about its limit.
    limit: Option<LimitStatement>,
    /// Permits to send requests within the limit.
    pub permits: Permits,
}

impl UpstreamRoom {
    /// Records what an answer of the upstream says of it.
    pub fn record_notice(&mut self, notice: UpstreamNotice, now: TimeMs) {
        if notice.is_leaving {
            self.leaving_since.get_or_insert(now);
        }
        if let Some(pause_ms) = notice.pause_ms {
            self.paused_until = self.paused_until.max(Some(now + pause_ms));
        }
    }

    /// Records what the upstream has said about its limit, unless something later is known. Returns
    /// the limit before if this changes it.
    pub fn record_limit(&mut self, statement: LimitStatement) -> Option<Option<RequestRate>> {
        if self.limit.is_some_and(|known| known.stated_at > statement.stated_at) {
            return None;
        }
        let previous = self.limit();
        self.limit = Some(statement);
        match (previous, statement.rate) {
            (Some(previous), Some(rate)) if rate < previous => self.permits.on_lowered(),
            (_, None) => self.permits = Permits::default(),
            _ => {}
        }
        (previous != statement.rate).then_some(previous)
    }

    /// Drops the permits, which expire while the upstream is not registered.
    pub fn drop_permits(&mut self) {
        self.permits = Permits::default();
    }

    /// Returns whether the upstream has said how much it takes: that it has a limit, or wants a
    /// pause now.
    pub fn states_room(&self, now: TimeMs) -> bool {
        self.limit().is_some() || self.is_paused(now)
    }

    /// Returns whether the upstream wants no requests of this gateway now.
    pub fn is_paused(&self, now: TimeMs) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns what the upstream last said about its limit, if it ever named one.
    pub fn aged_limit(&self, now: TimeMs) -> Option<AgedLimit> {
        let statement = self.limit?;
        Some(AgedLimit { rate: statement.rate, age_ms: now.since(statement.stated_at) })
    }

    /// Returns the requests per second that the upstream takes from all gateways together; `None`
    /// if it has no limit.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.and_then(|statement| statement.rate)
    }

    /// Records that the upstream has said to another gateway that it is about to leave.
    pub fn record_reported_leaving(&mut self, now: TimeMs) {
        self.reported_leaving_until = Some(now + REPORTED_LEAVING_MS);
    }

    /// Returns whether the upstream has said to this gateway that it is about to leave.
    pub const fn has_said_it_leaves(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Returns whether the upstream has said to any gateway that it is about to leave, so that
    /// another is better.
    pub fn is_leaving(&self, now: TimeMs) -> bool {
        self.leaving_since.is_some() || self.reported_leaving_until.is_some_and(|until| now < until)
    }

    /// Returns when the upstream takes a new request, as far as its answers say. One that leaves
    /// still does so for a while, for lack of another.
    pub fn availability(&self, now: TimeMs) -> Availability {
        if self.leaving_since.is_some_and(|since| now.since(since) >= LEAVING_GRACE_MS) {
            return Availability::Never;
        }
        if let Some(until) = self.paused_until.filter(|until| now < *until) {
            return Availability::AfterPause(until);
        }
        if self.limit().is_none() {
            return Availability::Now;
        }
        match self.permits.access(now) {
            PermitAccess::Held => Availability::Now,
            PermitAccess::Requestable => Availability::WithPermit,
            PermitAccess::Pending => Availability::PermitRequested,
            PermitAccess::NoneBefore(at) => Availability::AfterPermit(at),
        }
    }
}
