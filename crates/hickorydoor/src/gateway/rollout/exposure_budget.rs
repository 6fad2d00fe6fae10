//! How many requests a version may get before it is known to be sound.

use crate::gateway::rollout::Sent;
use crate::quantity::Share;

/// Requests that are kept in reserve, since the counts of the other gateways are a little old.
const RESERVED_REQUESTS: f64 = 4.0;
/// The same as a share of the requests that are allowed.
const RESERVED_SHARE: f64 = 0.04;
/// Part of the allowed share that the new version gets in the canary phase.
const CANARY_PART: f64 = 0.5;
/// Part of what is left that the widened share is planned to use, since traffic is uneven.
const PLANNED_PART: f64 = 0.9;
/// Maximum share of the sessions on the new version before all move to it.
const MAX_WIDENED_SHARE: f64 = 0.4;

/// Requests that a faulty version may get until the deadline: a share of all requests of the
/// service since the order, and a number of requests beyond it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExposureBudget {
    /// Share of all requests.
    pub share: Share,
    /// Number of requests beyond the share.
    pub extra: u32,
}

/// Minimum number of upstreams of the new version that get requests, so that one of them does not
/// speak for the version.
const MIN_CANARY_UPSTREAMS: usize = 3;
/// Part of the later load of an upstream that tells whether its version bears it.
const TESTING_LOAD: f64 = 0.5;

/// Returns how many of the upstreams of a version get this share of the requests, so that each of
/// them carries about the load that it will have later.
pub fn canary_upstreams(share: Share, upstreams: usize) -> usize {
    ((share.as_f64() * upstreams as f64).ceil() as usize).max(MIN_CANARY_UPSTREAMS)
}

impl ExposureBudget {
    /// Returns whether the share of a version with this number of upstreams tests it under load.
    pub fn tests_load(self, upstreams: usize) -> bool {
        let used = canary_upstreams(self.share, upstreams).min(upstreams).max(1);
        self.share.as_f64() * upstreams as f64 / used as f64 >= TESTING_LOAD
    }

    /// Returns the share of the sessions on the new version in the canary phase.
    pub fn canary_share(self) -> Share {
        share(self.share.as_f64() * CANARY_PART)
    }

    /// Returns the share of the sessions from now on, for `partial` further requests, so that
    /// `full` requests may then all go to the new version. It is not below the canary share.
    pub fn widened_share(self, sent: Sent, partial: f64, full: f64) -> Share {
        let left = self.allowed(sent.all + partial + full) - sent.to_target - full;
        let widened = (left * PLANNED_PART / partial.max(1.0)).min(MAX_WIDENED_SHARE);
        share(widened.max(self.canary_share().as_f64()))
    }

    /// Returns whether `more` requests may all go to the new version.
    pub fn admits(self, sent: Sent, more: f64) -> bool {
        sent.to_target + more <= self.allowed(sent.all + more)
    }

    fn allowed(self, all: f64) -> f64 {
        let allowed = all * self.share.as_f64() + f64::from(self.extra);
        allowed * (1.0 - RESERVED_SHARE) - RESERVED_REQUESTS
    }
}

fn share(value: f64) -> Share {
    Share::try_from(value.clamp(0.0, 1.0)).unwrap_or(Share::ZERO)
}
