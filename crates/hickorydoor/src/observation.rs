//! Events that the reducers report for logs, metrics and histograms.
//!
//! Observations contain ids and measurements only, never prompts, answers or keys.

use crate::billing::usage::Usage;
use crate::class::Class;
use crate::gateway::rate_limits::RequestRate;
use crate::id::AttemptId;
use crate::id::CascadeId;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::Revision;
use crate::id::Sequence;
use crate::id::VersionId;
use crate::message::AgentRefusal;
use crate::message::AttemptFault;
use crate::quantity::CostMicros;
use crate::rollouts::evidence::Evidence;
use crate::time::DurationMs;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The complete response was delivered.
    Served,
    /// The request was refused with this [`RefusalReason::code`].
    ///
    /// [`RefusalReason::code`]: crate::refusal::RefusalReason::code
    Refused(&'static str),
    /// The response was aborted after its head had been sent, with a code as for `Refused`.
    Aborted(&'static str),
    /// The caller closed its connection before the response was complete.
    CallerGone,
}

/// Measurements of a request that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// Id of the request.
    pub request: RequestId,
    /// The customer that is billed.
    pub customer: CustomerId,
    /// Urgency class of the request.
    pub class: Class,
    /// Version of the last billed attempt; `None` for plain services and if nothing was billed.
    pub version: Option<VersionId>,
    /// Agent of the last attempt; `None` if none was sent.
    pub agent: Option<HostId>,
    /// Number of attempts that were sent to agents.
    pub attempts: u32,
    /// Time from arrival until the first attempt was sent, or until the end if none was sent.
    pub queue_ms: DurationMs,
    /// Time from arrival until the first token; `None` if there was none.
    pub first_token_ms: Option<DurationMs>,
    /// Time from arrival until the request ended.
    pub total_ms: DurationMs,
    /// Tokens billed for all attempts.
    pub usage: Usage,
    /// Price billed for all attempts.
    pub cost_micros: CostMicros,
    /// How the request ended.
    pub outcome: RequestOutcome,
}

/// The answer that a cascade released, and its price.
#[derive(Clone, Debug, PartialEq)]
pub struct CascadeRecord {
    /// Id of the request that the cascade answered.
    pub request: RequestId,
    /// The cascade that was requested.
    pub cascade: CascadeId,
    /// Index of the step whose answer was released.
    pub step: usize,
    /// Rating of the released answer; `None` if it was released without one.
    pub rating: Option<f64>,
    /// Lowest rating at which the cascade releases an answer.
    pub release_score: f64,
    /// Price of all executed steps.
    pub cost_micros: CostMicros,
    /// Price of the same tokens if only the most expensive step had been executed.
    pub dearest_cost_micros: CostMicros,
}

/// An event that is logged or counted in a metric.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A request ended.
    Request(Box<RequestRecord>),
    /// The upstream has said that it leaves.
    UpstreamLeaves,
    /// The upstream has named, changed or dropped a limit on its requests.
    UpstreamLimitChanged {
        /// Limit in force; `None` if there is none any more.
        limit: Option<RequestRate>,
        /// Limit before.
        previous: Option<RequestRate>,
    },
    /// A cascade released an answer.
    Cascade(Box<CascadeRecord>),
    /// An attempt was sent to an agent.
    Dispatched {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Host of the agent that receives the attempt.
        agent: HostId,
        /// The version to run; `None` for plain services.
        version: Option<VersionId>,
        /// Time to the first token that placement predicted.
        expected_first_token_ms: DurationMs,
    },
    /// An agent refused an attempt without forwarding it to its upstream.
    AttemptRefused {
        /// Id of the refused attempt.
        attempt: AttemptId,
        /// Host of the agent that refused the attempt.
        agent: HostId,
        /// Why the agent refused the attempt.
        reason: AgentRefusal,
    },
    /// An attempt failed after its agent had forwarded it.
    AttemptFailed {
        /// Id of the failed attempt.
        attempt: AttemptId,
        /// Host of the agent that ran the attempt.
        agent: HostId,
        /// Kind of failure.
        fault: AttemptFault,
    },
    /// A configuration revision came into force.
    RevisionInForce {
        /// The new revision.
        revision: Revision,
    },
    /// A configuration update was rejected; the configuration in force stays.
    ConfigurationRefused {
        /// The revision in force.
        revision: Revision,
    },
    /// An agent became usable or unusable for new attempts.
    AgentUsable {
        /// Host of the agent.
        agent: HostId,
        /// Whether the agent became usable.
        usable: bool,
    },
    /// A billing batch was stored.
    BatchStored {
        /// Sequence number of the batch.
        sequence: Sequence,
        /// Number of requests in the batch.
        requests: u64,
    },
    /// An agent closed the ledger of this entry's incarnation, which makes the entry start a new
    /// incarnation.
    LedgerClosed,
    /// A session moved to another version because its own no longer serves it.
    SessionMoved {
        /// The request of the session that triggered the move.
        request: RequestId,
    },
    /// This entry stopped dispatching requests to a version.
    VersionStopped {
        /// Id of the stopped version.
        version: VersionId,
        /// Natural logarithm of the evidence that the version is worse than its baseline; 0 if it
        /// was stopped because no usable agent serves it.
        log_evidence: f64,
    },
    /// The halt of a version was stored in the configuration.
    VersionHalted {
        /// Id of the halted version.
        version: VersionId,
    },
    /// Exposure and evidence of a version under rollout, reported by the entry that holds the lease
    /// of the rollout.
    VersionEvidence {
        /// Id of the version under rollout.
        version: VersionId,
        /// Natural logarithm of the evidence that the version is worse than its baseline.
        log_evidence: f64,
        /// Counters since the state of the version changed; `attempts` is its exposure.
        total: Box<Evidence>,
    },
    /// The settled requests of a closed ledger cannot be read, so the agent keeps its copies of the
    /// usage instead of billing or dropping them.
    LedgerUnreadable {
        /// The entry that owns the ledger.
        entry: HostId,
    },
    /// A call to the key-value service got no usable reply.
    KvUnavailable,
}
