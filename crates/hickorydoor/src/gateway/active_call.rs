//! Requests in progress and their attempts.

use std::collections::HashSet;
use std::sync::Arc;

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::gateway::call::Call;
use crate::gateway::call::Prompt;
use crate::gateway::catalog::Account;
use crate::gateway::effect::MIN_ATTEMPT_MS;
use crate::gateway::quarantine::PartId;
use crate::gateway::route::Route;
use crate::gateway::start_check::LateStart;
use crate::id::ModelId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Priorities of routes that are told apart within one priority of a customer.
const ROUTE_PRIORITIES: u8 = 3;
/// Least urgent value that upstreams know.
const MAX_URGENCY: u8 = 9;

/// Why a gateway has cancelled an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// Its upstream was unresponsive.
    Unresponsive,
    /// Engines have ended under a part of its prompt.
    PromptPart,
    /// The process stops.
    Stop,
}

/// The current attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub upstream: UpstreamId,
    /// Start of the upstream process in Unix milliseconds. If the upstream has restarted since, its
    /// state does not change when the attempt ends.
    pub started_unix_ms: u64,
    pub version: CompactString,
    /// Model that answers; `None` for plain services.
    pub model: Option<ModelId>,
    pub sent_at: TimeMs,
    /// Estimated prefill time of the uncached tokens, in ms; zero once the first event has arrived.
    pub prefill_ms: f64,
    /// Prompt tokens that the engine has to prefill.
    pub uncached_tokens: f64,
    /// Prefill time queued at the engine when the attempt was sent, in ms.
    pub backlog_ms: f64,
    /// Whether the engine fetches cached parts of the prompt first.
    pub has_fetched: bool,
    /// Requests in flight at the engine when the attempt was sent.
    pub in_flight: u32,
    /// Expected time from dispatch to the first event, in ms.
    pub expected_ms: f64,
    /// The same, counting only work that the engine serves before this request.
    pub expected_start_ms: f64,
    /// Time without a first event after which the expected start counts as wrong, in ms.
    pub overdue_ms: f64,
    /// What it says about the version of the upstream.
    pub trial: VersionTrial,
    pub first_event_at: Option<TimeMs>,
    /// Whether the stream has paused for longer than its pause timeout.
    pub stalled: bool,
    /// Why the gateway has cancelled the attempt; `None` unless it has.
    pub cancelled: Option<Cancellation>,
    /// Whether the stream has gone on for long enough to prove the parts of its prompt sound.
    pub proven: bool,
    /// Parts of its prompt that were suspected when it was sent.
    pub tried_parts: SmallVec<[PartId; 2]>,
}

/// What an attempt says about the version of its upstream during a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionTrial {
    /// Whether its times can be compared with those of the other version.
    pub compares_times: bool,
    /// Whether it has been counted as answered.
    pub is_counted: bool,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub struct ActiveCall {
    pub call: Call,
    pub route: Arc<Route>,
    /// Account of the API key; `None` for requests that need no key.
    pub account: Option<Arc<Account>>,
    /// Service chosen among the backends of the route.
    pub service: ServiceName,
    pub arrived_at: TimeMs,
    pub deadline_at: TimeMs,
    /// When the request is rejected if no upstream has become available.
    pub wait_until: TimeMs,
    /// Current attempt; `None` while the request is queued.
    pub attempt: Option<Attempt>,
    /// Number of attempts sent, including those that did not execute.
    pub attempts: u32,
    /// Number of attempts that executed or may have executed.
    pub executed_attempts: u32,
    /// Error answer to the previous attempt, until the next attempt shows whether it was the fault
    /// of the version or of the request.
    pub unexplained_failure: Option<Attempt>,
    /// Upstreams to which the request was sent.
    pub attempted_upstreams: SmallVec<[UpstreamId; 4]>,
    /// Number of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Expected start at the upstream that was chosen last, if that was too late; `None` once it
    /// has been acted upon.
    pub late_start: Option<LateStart>,
    /// Whether the caller has received part of the response.
    pub delivered: bool,
    /// Parts of the prompt that other requests may share, each once.
    pub shared_parts: Arc<[PartId]>,
}

/// Returns the parts of a prompt that other requests may share, each once, in their order.
pub fn distinct_shared_parts(prompt: &Prompt) -> Arc<[PartId]> {
    let mut known = HashSet::with_capacity(prompt.shared_parts().len());
    let parts = prompt.shared_parts().iter().map(|part| PartId::new(part.id));
    parts.filter(|part| known.insert(*part)).collect()
}

impl ActiveCall {
    /// Returns the priority; 0 is the most urgent. The customer's priority overrides that of the
    /// route.
    pub fn priority(&self) -> u8 {
        let customer_priority = self.account.as_ref().and_then(|account| account.priority);
        customer_priority.unwrap_or(self.route.priority)
    }

    /// Returns the rank of the request as one number, as upstreams know it; 0 is the most urgent.
    /// Requests of one priority are ordered by the priorities of their routes.
    pub fn urgency(&self) -> u8 {
        let route = self.route.priority.min(ROUTE_PRIORITIES - 1);
        self.priority().saturating_mul(ROUTE_PRIORITIES).saturating_add(route).min(MAX_URGENCY)
    }

    /// Returns the parts of the prompt that other requests may share, each once.
    pub fn shared_parts(&self) -> Arc<[PartId]> {
        Arc::clone(&self.shared_parts)
    }

    /// Returns whether enough time is left for an attempt.
    pub fn has_time(&self, now: TimeMs) -> bool {
        self.remaining_ms(now) >= MIN_ATTEMPT_MS
    }

    /// Returns the time left until the deadline.
    pub const fn remaining_ms(&self, now: TimeMs) -> DurationMs {
        self.deadline_at.since(now)
    }
}
