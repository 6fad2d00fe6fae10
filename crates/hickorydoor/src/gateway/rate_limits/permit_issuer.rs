//! Issues permits for requests to upstreams with a limit.

use std::collections::HashMap;

use crate::gateway::rate_limits::IssuedPart;
use crate::gateway::rate_limits::PermitId;
use crate::gateway::rate_limits::RequestRate;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::quantity::Share;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Share of a limit that is issued; the rest absorbs that some requests take longer to arrive than
/// others.
const ISSUED_SHARE: f64 = 0.97;
/// A permit that is requested up to this late does not delay the ones after it.
const MAX_DELAY_MS: DurationMs = DurationMs::new(100);
/// Longest time between two permits, so that it is learned when an upstream raises or drops a limit
/// near zero.
const MAX_INTERVAL_MS: DurationMs = DurationMs::from_secs(5);
/// Time after which an upstream without requests is forgotten.
const FORGET_AFTER_MS: DurationMs = DurationMs::from_secs(30);

/// Latest permits of one upstream.
#[derive(Clone, Debug)]
struct Issued {
    started_unix_ms: u64,
    rate: RequestRate,
    /// When the last permit was due.
    last_at: Option<TimeMs>,
    /// When the permit before the last one was due.
    previous_at: Option<TimeMs>,
    last_holder: Option<(HostId, PermitId)>,
    used_at: TimeMs,
    /// Share of the rate since it last fell to half or less.
    share: Share,
    /// From when permits are spaced since then.
    reduced_from: Option<TimeMs>,
}

/// A request for a permit.
#[derive(Clone, Debug)]
pub struct WantedPermit<'a> {
    /// Gateway that wants it.
    pub host: &'a HostId,
    /// Number that the gateway gave to the request.
    pub id: PermitId,
    /// Upstream that it is for.
    pub upstream: &'a UpstreamId,
    /// Start of the upstream process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Limit of the upstream.
    pub rate: RequestRate,
    /// Longest time until the permit becomes valid.
    pub max_wait_ms: DurationMs,
    /// Part of the rate that this gateway may issue.
    pub part: IssuedPart,
}

/// Permits of the upstreams for which this gateway issues them.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    issued: HashMap<UpstreamId, Issued>,
}

impl PermitIssuer {
    /// Issues a permit; returns the time until it becomes valid.
    ///
    /// # Errors
    /// Returns the time until the next permit if it is longer than wanted.
    pub fn issue(
        &mut self,
        wanted: &WantedPermit<'_>,
        now: TimeMs,
    ) -> Result<DurationMs, DurationMs> {
        let fresh = Issued {
            started_unix_ms: wanted.started_unix_ms,
            rate: wanted.rate,
            last_at: None,
            previous_at: None,
            last_holder: None,
            used_at: now,
            share: Share::ONE,
            reduced_from: None,
        };
        let issued = self.issued.entry(wanted.upstream.clone()).or_insert_with(|| fresh.clone());
        if issued.started_unix_ms < wanted.started_unix_ms {
            *issued = fresh;
        }
        issued.used_at = now;
        if wanted.rate < issued.rate {
            // Gateways drop the permits that were granted at a higher rate.
            issued.last_at = issued.last_at.map(|last_at| last_at.min(now));
            issued.last_holder = None;
        }
        issued.rate = wanted.rate;
        let IssuedPart { share, offset } = wanted.part;
        let holder = (wanted.host.clone(), wanted.id);
        if issued.last_holder.as_ref() == Some(&holder) {
            // The answer to the same request was lost.
            return Ok(issued.last_at.map_or(DurationMs::new(0), |at| at.since(now)));
        }
        if share == Share::ZERO {
            return Err(MAX_INTERVAL_MS.max(wanted.max_wait_ms + DurationMs::new(1)));
        }
        let interval_ms = interval_ms(wanted.rate, share);
        issued.set_share(
            share,
            now + DurationMs::new((interval_ms.as_f64() * offset.as_f64()) as u64),
        );
        let spaced_from = issued.last_at.max(issued.reduced_from);
        let due_at = spaced_from.map_or(now, |from| from + interval_ms);
        let next_at = due_at.max(now - MAX_DELAY_MS);
        let after_ms = next_at.since(now);
        if after_ms > wanted.max_wait_ms {
            return Err(after_ms);
        }
        issued.previous_at = issued.last_at.replace(next_at);
        issued.last_holder = Some(holder);
        Ok(after_ms)
    }

    /// Takes back a permit that was not used, if it is the last one; the time of an earlier one
    /// cannot be given to another gateway without two requests at once.
    pub fn take_back(&mut self, host: &HostId, id: PermitId, upstream: &UpstreamId) {
        let Some(issued) = self.issued.get_mut(upstream) else {
            return;
        };
        if issued.last_holder.take_if(|holder| holder.0 == *host && holder.1 == id).is_some() {
            issued.last_at = issued.previous_at;
        }
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.issued.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.issued.is_empty()
    }

    /// Forgets upstreams for which no permits are wanted any more.
    pub fn expire(&mut self, now: TimeMs) {
        self.issued.retain(|_, issued| now.since(issued.used_at) < FORGET_AFTER_MS);
    }
}

impl Issued {
    /// Changes the share of the rate. After it has fallen, permits are spaced from another time on, as
    /// many gateways may have a smaller share from the same moment on.
    fn set_share(&mut self, share: Share, spaced_from: TimeMs) {
        if share.ppm() <= self.share.ppm() / 2 {
            self.share = share;
            self.reduced_from = Some(spaced_from);
        } else if share > self.share {
            self.share = share;
            self.reduced_from = None;
        }
    }
}

/// Returns the time between two permits.
fn interval_ms(rate: RequestRate, share: Share) -> DurationMs {
    let interval_ms = rate.interval_ms().map_or(f64::INFINITY, |ms| ms / ISSUED_SHARE);
    let interval_ms = interval_ms.min(MAX_INTERVAL_MS.as_f64());
    DurationMs::new((interval_ms / share.as_f64()).ceil() as u64)
}
