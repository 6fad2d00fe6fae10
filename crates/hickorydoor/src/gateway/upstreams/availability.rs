//! When an upstream takes a new request.

use crate::time::TimeMs;

/// When an upstream takes a new request of this gateway, as far as its answers say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It takes one now.
    Now,
    /// It takes one if a permit is granted, which has to be requested.
    WithPermit,
    /// It takes one if the permit that was requested a moment ago is granted.
    PermitRequested,
    /// There is no permit before this time.
    AfterPermit(TimeMs),
    /// It wants none before this time.
    AfterPause(TimeMs),
    /// It is leaving.
    Never,
}

impl Availability {
    /// Returns whether a request may be placed on the upstream now, perhaps after a permit.
    pub const fn is_candidate(self) -> bool {
        matches!(self, Self::Now | Self::WithPermit | Self::PermitRequested)
    }
}
