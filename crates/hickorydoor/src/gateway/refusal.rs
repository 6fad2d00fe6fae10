//! Refusals: responses that a gateway gives without an upstream.

use std::fmt;

use crate::time::DurationMs;

/// Retry hint for requests that did not execute.
const RETRY_AFTER_MS: DurationMs = DurationMs::new(400);

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration has been read yet.
    NoConfiguration,
    /// The configuration may be out of date.
    StaleConfiguration,
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or not valid.
    UnknownKey,
    /// Engines have ended under a part of the prompt.
    QuarantinedPrompt,
    /// All upstreams that could serve the request have asked for a pause.
    UpstreamsPaused,
    /// All upstreams that could serve the request take no more requests for a while.
    UpstreamsLimited,
    /// The process had no memory for the body of the request.
    NoMemory,
    /// The process is stopping.
    Stopping,
    /// No upstream was available in time.
    NoUpstream,
    /// The request could not start within the objective of its route.
    NoRoomInTime,
    /// The wait time or the deadline passed before the request was sent.
    TimedOutWaiting,
    /// The deadline passed while an upstream processed the request.
    TimedOutRunning,
    /// An attempt failed without a complete response, and the request may have executed.
    OutcomeUnknown,
}

/// A response without an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Determines the status and the error code of the response.
    pub reason: RefusalReason,
    /// Retry hint; `None` if the request may have executed or would be rejected again.
    pub retry_after_ms: Option<DurationMs>,
    /// Estimate because of which it is rejected; `None` for other reasons.
    pub estimate: Option<RoomEstimate>,
}

/// Estimate because of which a request is rejected for lack of room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomEstimate {
    /// Expected time to the first event; at most the time until the deadline.
    pub expected_ms: DurationMs,
    /// Objective of the route.
    pub objective_ms: DurationMs,
    /// Queued prefill time at the chosen upstream that is as urgent or more; zero if none took the
    /// request.
    pub backlog_ms: DurationMs,
    /// Work queued at the gateway that would be served before.
    pub work_ahead_ms: DurationMs,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Whether the request was rejected on arrival, or later, after it had waited.
    pub on_arrival: bool,
}

impl From<RefusalReason> for CallRefusal {
    fn from(reason: RefusalReason) -> Self {
        let retry_after_ms = (reason.status() == 503).then_some(RETRY_AFTER_MS);
        Self { reason, retry_after_ms, estimate: None }
    }
}

impl CallRefusal {
    const fn after(reason: RefusalReason, retry_after_ms: DurationMs) -> Self {
        Self { reason, retry_after_ms: Some(retry_after_ms), estimate: None }
    }

    /// Refuses a request that cannot start in time; there is room after about `retry_after_ms`.
    pub const fn no_room_in_time(retry_after_ms: DurationMs, estimate: RoomEstimate) -> Self {
        let refusal = Self::after(RefusalReason::NoRoomInTime, retry_after_ms);
        Self { estimate: Some(estimate), ..refusal }
    }

    /// Refuses a request for which all upstreams have asked for a pause of this length.
    pub const fn paused(retry_after_ms: DurationMs) -> Self {
        Self::after(RefusalReason::UpstreamsPaused, retry_after_ms)
    }

    /// Refuses a request for which no upstream has room within its limit for this long.
    pub const fn limited(retry_after_ms: DurationMs) -> Self {
        Self::after(RefusalReason::UpstreamsLimited, retry_after_ms)
    }

    /// Refuses a request with quarantined parts, which are tried again after `retry_after_ms`.
    pub const fn quarantined(retry_after_ms: DurationMs) -> Self {
        Self::after(RefusalReason::QuarantinedPrompt, retry_after_ms)
    }
}

impl RefusalReason {
    /// Returns the HTTP status of the response. 503 guarantees that the request did not execute.
    pub const fn status(self) -> u16 {
        match self {
            Self::NoConfiguration
            | Self::StaleConfiguration
            | Self::QuarantinedPrompt
            | Self::UpstreamsPaused
            | Self::UpstreamsLimited
            | Self::NoMemory
            | Self::Stopping
            | Self::NoUpstream
            | Self::NoRoomInTime
            | Self::TimedOutWaiting => 503,
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::TimedOutRunning => 504,
            Self::OutcomeUnknown => 502,
        }
    }

    /// Returns the code for logs and error bodies.
    pub const fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::StaleConfiguration => "stale_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::QuarantinedPrompt => "quarantined_prompt",
            Self::UpstreamsPaused => "upstreams_paused",
            Self::UpstreamsLimited => "upstreams_limited",
            Self::NoMemory => "no_memory",
            Self::Stopping => "stopping",
            Self::NoUpstream => "no_upstream",
            Self::NoRoomInTime => "no_room_in_time",
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
