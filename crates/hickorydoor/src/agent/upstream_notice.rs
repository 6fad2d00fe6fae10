//! What the upstream says of itself in its answers: that it leaves, wants a pause, or has a limit.
//!
//! All calls go through the agent, so it issues all permits within a limit to itself.

use crate::agent::Agent;
use crate::agent::attempt::RETRY_AFTER_MS;
use crate::gateway::rate_limits::IssuedPart;
use crate::gateway::rate_limits::WantedPermit;
use crate::gateway::upstreams::Availability;
use crate::gateway::upstreams::UpstreamNotice;
use crate::gateway::upstreams::UpstreamRoom;
use crate::message::AgentMessage;
use crate::message::AgentRefusal;
use crate::observation::Observation;
use crate::time::DurationMs;
use crate::time::TimeMs;

impl Agent {
    /// Records what an answer says of the upstream. Entries are told at once that it leaves.
    pub(crate) fn on_upstream_noticed(&mut self, notice: UpstreamNotice, now: TimeMs) {
        let was_leaving = self.is_leaving();
        self.room.record_notice(notice, now);
        if let Some(statement) = notice.limit.statement(now)
            && let Some(previous) = self.room.record_limit(statement)
        {
            let limit = statement.rate;
            self.record(Observation::UpstreamLimitChanged { limit, previous });
        }
        if !self.is_leaving() || was_leaving {
            return;
        }
        self.record(Observation::UpstreamLeaves);
        for entry in self.connected_entries() {
            self.send(&entry, AgentMessage::Draining);
        }
    }

    /// Forgets what the upstream has said, since it has ended.
    pub(crate) fn forget_upstream_notices(&mut self) {
        self.room = UpstreamRoom::default();
    }

    /// Takes room for one call, as far as the upstream has said how much it takes.
    ///
    /// # Errors
    /// Returns the reason of the refusal and the time until there is room.
    pub(crate) fn take_room(&mut self, now: TimeMs) -> Result<(), (AgentRefusal, DurationMs)> {
        match self.room.availability(now) {
            Availability::Never => return Err((AgentRefusal::Draining, RETRY_AFTER_MS)),
            Availability::AfterPause(at) | Availability::AfterPermit(at) => {
                return Err((AgentRefusal::AtLimit, at.since(now)));
            }
            Availability::Now | Availability::WithPermit | Availability::PermitRequested => {}
        }
        let Some(rate) = self.room.limit() else {
            return Ok(());
        };
        self.last_permit.0 += 1;
        let wanted = WantedPermit {
            host: &self.settings.host,
            id: self.last_permit,
            upstream: &self.settings.upstream,
            started_unix_ms: 0,
            rate,
            max_wait_ms: DurationMs::new(0),
            part: IssuedPart::WHOLE,
        };
        let issued = self.permit_issuer.issue(&wanted, now);
        issued.map(drop).map_err(|after_ms| (AgentRefusal::AtLimit, after_ms))
    }
}
