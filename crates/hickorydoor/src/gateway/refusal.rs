//! Answers that a gateway gives without an upstream.

use std::fmt;

use crate::time::DurationMs;

/// Time to come back when no upstream is known to free up earlier.
const RETRY_AFTER_MS: DurationMs = DurationMs::new(400);

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration may be out of date.
    StaleConfiguration,
    /// No route leads there.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The process is about to stop.
    Stopping,
    /// No upstream can take it in time.
    NoUpstream,
    /// Its time was over before it was sent.
    TimedOutWaiting,
    /// Its time was over while an upstream worked on it.
    TimedOutRunning,
    /// An upstream broke off, and the request may have run.
    OutcomeUnknown,
}

/// An answer without an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back, if the request did not run.
    pub retry_after_ms: Option<DurationMs>,
}

impl From<RefusalReason> for CallRefusal {
    fn from(reason: RefusalReason) -> Self {
        Self { reason, retry_after_ms: (reason.status() == 503).then_some(RETRY_AFTER_MS) }
    }
}

impl RefusalReason {
    /// Status code of the answer. 503 states that the request did not run.
    pub const fn status(self) -> u16 {
        match self {
            Self::NoConfiguration
            | Self::StaleConfiguration
            | Self::Stopping
            | Self::NoUpstream
            | Self::TimedOutWaiting => 503,
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::TimedOutRunning => 504,
            Self::OutcomeUnknown => 502,
        }
    }

    /// Code for logs and error bodies.
    pub const fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::StaleConfiguration => "stale_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::Stopping => "stopping",
            Self::NoUpstream => "no_upstream",
            Self::TimedOutWaiting => "timed_out_waiting",
            Self::TimedOutRunning => "timed_out_running",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}
