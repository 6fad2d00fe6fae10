//! A request that has not ended.

use std::sync::Arc;

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::gateway::call::Call;
use crate::gateway::catalog::Account;
use crate::gateway::route::Route;
use crate::id::ModelId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Least time left that is worth an attempt.
const LEAST_ATTEMPT_MS: DurationMs = DurationMs::new(20);

/// The attempt that is under way.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Start of the upstream to which it was sent.
    pub started_unix_ms: u64,
    /// Version of the upstream.
    pub version: CompactString,
    /// The model that answers.
    pub model: Option<ModelId>,
    /// When it was sent.
    pub sent_at: TimeMs,
    /// Time for the unread part of the prompt, in ms; zero once it was read.
    pub reading_ms: f64,
    /// Tokens of that part.
    pub uncached_tokens: f64,
    /// Prompts that the engine had to read before, in ms.
    pub backlog_ms: f64,
    /// Requests that the engine worked on.
    pub in_flight: u32,
    /// Expected time to the first event, in ms.
    pub expected_ms: f64,
    /// Whether the first event came much later than expected.
    pub slow: bool,
    /// When the first event came.
    pub begun_at: Option<TimeMs>,
    /// Last event that the caller had when it was sent.
    pub events_before: u64,
    /// Whether it was abandoned.
    pub abandoned: bool,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub struct ActiveCall {
    /// The request.
    pub call: Call,
    /// Its route.
    pub route: Arc<Route>,
    /// Who sent it.
    pub account: Option<Arc<Account>>,
    /// The service that runs it.
    pub service: ServiceName,
    /// When it arrived.
    pub arrived_at: TimeMs,
    /// When it has to be answered.
    pub deadline_at: TimeMs,
    /// Until when it waits for an upstream.
    pub wait_until: TimeMs,
    /// The attempt under way; `None` while it waits.
    pub attempt: Option<Attempt>,
    /// Attempts so far.
    pub attempts: u32,
    /// Attempts that may have run.
    pub runs: u32,
    /// Upstreams on which it was tried.
    pub tried: SmallVec<[UpstreamId; 4]>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Whether the caller has got a part of the answer.
    pub delivered: bool,
}

impl ActiveCall {
    /// Rank; 0 is the most urgent. The customer's rank replaces that of the route.
    pub fn priority(&self) -> u8 {
        let own = self.account.as_ref().and_then(|account| account.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Whether the time left is worth an attempt.
    pub fn has_time(&self, now: TimeMs) -> bool {
        self.remaining_ms(now) >= LEAST_ATTEMPT_MS
    }

    /// Time left.
    pub const fn remaining_ms(&self, now: TimeMs) -> DurationMs {
        self.deadline_at.since(now)
    }
}
