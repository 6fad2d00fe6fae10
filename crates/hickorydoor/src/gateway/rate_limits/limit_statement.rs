//! What an upstream says about the rate of its requests.

use crate::gateway::rate_limits::RequestRate;
use crate::time::TimeMs;

/// What one answer says about a limit on the requests of its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// Nothing, such as an answer of another instance or one with an unreadable limit.
    #[default]
    Silent,
    /// The upstream has no limit.
    Unlimited,
    /// The upstream takes requests from all gateways together at this rate.
    Limited(RequestRate),
}

/// Latest known statement of an upstream about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Limit for all gateways together; `None` if the upstream has none any more.
    pub rate: Option<RequestRate>,
    /// When a gateway received the answer, on the clock of this gateway.
    pub stated_at: TimeMs,
}

impl LimitNotice {
    /// Returns the statement of an answer that was received at `now`; `None` if it says nothing.
    pub const fn statement(self, now: TimeMs) -> Option<LimitStatement> {
        match self {
            Self::Silent => None,
            Self::Unlimited => Some(LimitStatement { rate: None, stated_at: now }),
            Self::Limited(rate) => Some(LimitStatement { rate: Some(rate), stated_at: now }),
        }
    }
}
