//! What gateways tell each other of upstreams: that they leave, their limits, and the permits to send
//! requests within those.

use crate::gateway::effect::GatewayEffect;
use crate::gateway::rate_limits::HeldPermit;
use crate::gateway::rate_limits::IssuedPart;
use crate::gateway::rate_limits::LimitChange;
use crate::gateway::rate_limits::LimitStatement;
use crate::gateway::rate_limits::Overdue;
use crate::gateway::rate_limits::PendingPermit;
use crate::gateway::rate_limits::PermitId;
use crate::gateway::rate_limits::PermitMessage;
use crate::gateway::rate_limits::PermitStep;
use crate::gateway::rate_limits::RequestRate;
use crate::gateway::rate_limits::WantedPermit;
use crate::gateway::reducer::Gateway;
use crate::gateway::upstreams::PeerNotice;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

impl Gateway {
    /// Records what an upstream has said about its limit to this gateway or to `source`.
    pub(super) fn learn_limit(
        &mut self,
        id: &UpstreamId,
        started_unix_ms: u64,
        statement: LimitStatement,
        source: &HostId,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let room = self.pool.room_mut(id, started_unix_ms);
        let Some(previous) = room.and_then(|room| room.record_limit(statement)) else {
            return;
        };
        effects.push(GatewayEffect::LimitChanged(Box::new(LimitChange {
            upstream: id.clone(),
            rate: statement.rate,
            previous,
            source: source.clone(),
            age_ms: now.since(statement.stated_at),
        })));
        if *source == self.settings.host {
            self.upstream_news.add(id.clone());
            effects.push(GatewayEffect::SendDigest);
        }
    }

    /// Records what an upstream has said to another gateway.
    pub(super) fn on_peer_notice(
        &mut self,
        host: &HostId,
        notice: &PeerNotice,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let PeerNotice { upstream: id, started_unix_ms, is_leaving, limit } = notice;
        if let Some(limit) = limit {
            let statement = LimitStatement { rate: limit.rate, stated_at: now - limit.age_ms };
            self.learn_limit(id, *started_unix_ms, statement, host, now, effects);
        }
        if *is_leaving && let Some(room) = self.pool.room_mut(id, *started_unix_ms) {
            room.record_reported_leaving(now);
            self.room_log.notice(id, host, now);
        }
    }

    /// Returns what the next digest tells of upstreams.
    pub(super) fn notices_to_tell(&mut self, now: TimeMs) -> Vec<PeerNotice> {
        let told = self.upstream_news.take_next();
        let known = told.into_iter().filter_map(|upstream| {
            let (started_unix_ms, room) = self.pool.room(&upstream)?;
            let is_leaving = room.has_said_it_leaves();
            let limit = room.aged_limit(now);
            Some(PeerNotice { upstream, started_unix_ms, is_leaving, limit })
        });
        known.collect()
    }

    /// Requests a permit that becomes valid within `max_wait_ms`. Returns whether it is already
    /// granted or denied, as this gateway itself issues the permits of the upstream.
    pub(super) fn request_permit(
        &mut self,
        id: &UpstreamId,
        max_wait_ms: DurationMs,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        let own = &self.settings.host;
        let is_heard = |host: &HostId| self.contact.is_heard(host, self.gateways.len(), now);
        let issuer = self.silent_issuers.issuer(id, own, &self.gateways, is_heard, now);
        let part = self.issued_part(id, now);
        let Some(upstream) = self.pool.get_mut(id) else {
            return true;
        };
        let Some(rate) = upstream.room.limit() else {
            return true;
        };
        self.last_permit.0 += 1;
        let pending = PendingPermit {
            id: self.last_permit,
            issuer,
            max_wait_ms,
            requested_at: now,
            sent_at: now,
            tries: 1,
        };
        upstream.room.permits.record_request(pending.clone());
        if pending.issuer != *own {
            effects.extend(self.permit_request(id, pending, now));
            return false;
        }
        let wanted = WantedPermit {
            host: own,
            id: pending.id,
            upstream: id,
            started_unix_ms: upstream.registration.started_unix_ms,
            rate,
            max_wait_ms,
            part,
        };
        match self.permit_issuer.issue(&wanted, now) {
            Ok(after_ms) => {
                upstream.room.permits.record_granted(pending.id, after_ms, now);
            }
            Err(after_ms) => upstream.room.permits.record_denied(pending.id, after_ms, now),
        }
        true
    }

    /// Handles a message of another gateway about a permit.
    pub(super) fn on_permit(
        &mut self,
        host: &HostId,
        message: &PermitMessage,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.contact.record(host, now);
        let PermitMessage { id, upstream, started_unix_ms, limit, step } = message;
        if let Some(limit) = limit {
            let statement = LimitStatement { rate: limit.rate, stated_at: now - limit.age_ms };
            self.learn_limit(upstream, *started_unix_ms, statement, host, now, effects);
        }
        match *step {
            PermitStep::Request { max_wait_ms } => {
                let Some(rate) = self.rate_to_issue(message) else {
                    let step = PermitStep::Granted { after_ms: DurationMs::new(0) };
                    effects.extend(self.permit_message(host, *id, upstream, step, now));
                    return;
                };
                let wanted = WantedPermit {
                    host,
                    id: *id,
                    upstream,
                    started_unix_ms: *started_unix_ms,
                    rate,
                    max_wait_ms,
                    part: self.issued_part(upstream, now),
                };
                let step = match self.permit_issuer.issue(&wanted, now) {
                    Ok(after_ms) => PermitStep::Granted { after_ms },
                    Err(after_ms) => PermitStep::Denied { after_ms },
                };
                effects.extend(self.permit_message(host, *id, upstream, step, now));
            }
            PermitStep::Return => self.permit_issuer.take_back(host, *id, upstream),
            PermitStep::Granted { after_ms } => {
                self.silent_issuers.record_answer(host);
                let known = self.pool.get_mut(upstream);
                let is_wanted = known
                    .is_some_and(|known| known.room.permits.record_granted(*id, after_ms, now));
                if !is_wanted {
                    let step = PermitStep::Return;
                    effects.extend(self.permit_message(host, *id, upstream, step, now));
                }
            }
            PermitStep::Denied { after_ms } => {
                self.silent_issuers.record_answer(host);
                if let Some(known) = self.pool.get_mut(upstream) {
                    known.room.permits.record_denied(*id, after_ms, now);
                }
            }
        }
    }

    /// Returns the part of an upstream's rate that this gateway may issue.
    fn issued_part(&self, upstream: &UpstreamId, now: TimeMs) -> IssuedPart {
        let is_heard = |host: &HostId| self.contact.is_heard(host, self.gateways.len(), now);
        IssuedPart::of(upstream, &self.settings.host, &self.gateways, is_heard)
    }

    /// Returns the rate at which permits are issued for the upstream of a request; `None` if it is
    /// known to have no limit any more.
    fn rate_to_issue(&self, message: &PermitMessage) -> Option<RequestRate> {
        let stated = message.limit.and_then(|limit| limit.rate);
        let known = self.pool.get(&message.upstream);
        match known.filter(|known| known.registration.started_unix_ms == message.started_unix_ms) {
            Some(known) => known.room.limit(),
            None => stated,
        }
    }

    /// Returns unused permits, and repeats requests that were not answered.
    pub(super) fn expire_permits(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        let mut returned: Vec<(UpstreamId, HeldPermit)> = Vec::new();
        let mut repeated: Vec<(UpstreamId, PendingPermit)> = Vec::new();
        for upstream in self.pool.iter_mut().filter(|upstream| upstream.room.limit().is_some()) {
            let id = &upstream.registration.upstream;
            let expired = upstream.room.permits.expire(now).into_iter();
            returned.extend(expired.map(|permit| (id.clone(), permit)));
            match upstream.room.permits.overdue(now) {
                Some(Overdue::Repeat(pending)) => repeated.push((id.clone(), pending)),
                Some(Overdue::Unanswered(host)) => self.silent_issuers.record_silence(host, now),
                None => {}
            }
        }
        for (id, permit) in returned {
            if permit.issuer == self.settings.host {
                self.permit_issuer.take_back(&permit.issuer, permit.id, &id);
                continue;
            }
            let step = PermitStep::Return;
            effects.extend(self.permit_message(&permit.issuer, permit.id, &id, step, now));
        }
        for (id, pending) in repeated {
            effects.extend(self.permit_request(&id, pending, now));
        }
        self.permit_issuer.expire(now);
    }

    fn permit_request(
        &self,
        upstream: &UpstreamId,
        pending: PendingPermit,
        now: TimeMs,
    ) -> Option<GatewayEffect> {
        let PendingPermit { id, issuer, max_wait_ms, .. } = pending;
        let step = PermitStep::Request { max_wait_ms };
        self.permit_message(&issuer, id, upstream, step, now)
    }

    /// Builds a message about a permit; `None` if the upstream is not known any more.
    fn permit_message(
        &self,
        host: &HostId,
        id: PermitId,
        upstream: &UpstreamId,
        step: PermitStep,
        now: TimeMs,
    ) -> Option<GatewayEffect> {
        let known = self.pool.get(upstream)?;
        let message = PermitMessage {
            id,
            upstream: upstream.clone(),
            started_unix_ms: known.registration.started_unix_ms,
            limit: known.room.aged_limit(now),
            step,
        };
        Some(GatewayEffect::SendPermit { host: host.clone(), message: Box::new(message) })
    }
}
