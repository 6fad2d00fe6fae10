//! Which services have no upstream with enough room, for logs and metrics.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::gateway::call::CallId;
use crate::id::ServiceName;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time without scarcity after which it is reported to have ended, so that a load at the threshold is
/// not reported at each change.
const QUIET_MS: DurationMs = DurationMs::from_secs(2);

/// A service whose upstreams have all become scarce, or are not any more.
#[derive(Clone, Debug, PartialEq)]
pub struct ScarcityChange {
    /// Service.
    pub service: ServiceName,
    /// Whether room is scarce from now on.
    pub is_scarce: bool,
    /// Requests in flight of all gateways.
    pub in_flight: u32,
    /// Slots of its upstreams that get new requests.
    pub slots: u32,
    /// Prefill time queued at its upstreams, in ms.
    pub backlog_ms: f64,
    /// Other gateways with waiting requests.
    pub waiting_gateways: usize,
}

/// Services that are scarce and requests that wait for a share.
#[derive(Clone, Debug, Default)]
pub struct ScarcityLog {
    scarce: BTreeMap<ServiceName, (TimeMs, ScarcityChange)>,
    withheld: BTreeSet<CallId>,
}

impl ScarcityLog {
    /// Records that a service is scarce; returns whether it was not before.
    pub fn record_scarce(&mut self, change: &ScarcityChange, now: TimeMs) -> bool {
        self.scarce.insert(change.service.clone(), (now, change.clone())).is_none()
    }

    /// Returns the services that are not scarce any more.
    pub fn take_ended(&mut self, now: TimeMs) -> Vec<ScarcityChange> {
        let mut ended = Vec::new();
        self.scarce.retain(|_, (scarce_at, change)| {
            let is_over = now.since(*scarce_at) > QUIET_MS;
            if is_over {
                ended.push(ScarcityChange { is_scarce: false, ..change.clone() });
            }
            !is_over
        });
        ended
    }

    /// Records that a request waits for a share.
    pub fn record_withheld(&mut self, call: CallId) {
        self.withheld.insert(call);
    }

    /// Returns whether a request was recorded to wait for a share.
    pub fn is_withheld(&self, call: CallId) -> bool {
        self.withheld.contains(&call)
    }

    /// Forgets the requests that do not wait any more.
    pub fn retain_withheld(&mut self, is_waiting: impl Fn(CallId) -> bool) {
        self.withheld.retain(|call| is_waiting(*call));
    }

    /// Returns the number of services and of requests.
    pub fn entries(&self) -> usize {
        self.scarce.len() + self.withheld.len()
    }
}
