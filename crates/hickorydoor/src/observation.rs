//! What the reducers report to logs, metrics and histograms.
//!
//! Observations hold ids and figures only, never prompts, answers or keys.

use crate::billing::usage::Usage;
use crate::class::Class;
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
    /// The whole answer was delivered.
    Served,
    /// The request was refused; the code says why.
    Refused(&'static str),
    /// The answer was cut after it began.
    Aborted(&'static str),
    /// The caller hung up.
    CallerGone,
}

/// A finished request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// The request.
    pub request: RequestId,
    /// The customer.
    pub customer: CustomerId,
    /// The class.
    pub class: Class,
    /// The version that answered last.
    pub version: Option<VersionId>,
    /// The agent that was used last.
    pub agent: Option<HostId>,
    /// Attempts made.
    pub attempts: u32,
    /// Time until the first attempt was sent.
    pub queue_ms: DurationMs,
    /// Time until the first token.
    pub first_token_ms: Option<DurationMs>,
    /// Time until the end.
    pub total_ms: DurationMs,
    /// Tokens billed.
    pub usage: Usage,
    /// Price billed.
    pub cost_micros: CostMicros,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// A cascade's answer and its price.
#[derive(Clone, Debug, PartialEq)]
pub struct CascadeRecord {
    /// The request.
    pub request: RequestId,
    /// The cascade.
    pub cascade: CascadeId,
    /// Index of the step whose answer was released.
    pub step: usize,
    /// The rating that released the answer, if there was one.
    pub rating: Option<f64>,
    /// The cascade's release score.
    pub release_score: f64,
    /// Price of all steps that ran.
    pub cost_micros: CostMicros,
    /// Price of the same tokens on the dearest step alone.
    pub dearest_cost_micros: CostMicros,
}

/// Something worth a log line or a metric.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A request ended.
    Request(Box<RequestRecord>),
    /// A cascade answered.
    Cascade(Box<CascadeRecord>),
    /// An attempt was handed to an agent.
    Dispatched {
        /// The attempt.
        attempt: AttemptId,
        /// The agent.
        agent: HostId,
        /// The version.
        version: Option<VersionId>,
        /// Expected time to the first token.
        expected_first_token_ms: DurationMs,
    },
    /// An agent refused an attempt.
    AttemptRefused {
        /// The attempt.
        attempt: AttemptId,
        /// The agent.
        agent: HostId,
        /// Why.
        reason: AgentRefusal,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptId,
        /// The agent.
        agent: HostId,
        /// What is known.
        fault: AttemptFault,
    },
    /// A configuration came into force.
    RevisionInForce {
        /// The revision.
        revision: Revision,
    },
    /// A configuration update was refused.
    ConfigurationRefused {
        /// The revision in force.
        revision: Revision,
    },
    /// An agent became usable or stopped being usable.
    AgentUsable {
        /// The agent.
        agent: HostId,
        /// Whether it is usable now.
        usable: bool,
    },
    /// A billing batch is stored.
    BatchStored {
        /// The batch.
        sequence: Sequence,
        /// Requests in it.
        requests: u64,
    },
    /// The ledger of this incarnation was closed by an agent.
    LedgerClosed,
    /// A session had to leave its version.
    SessionMoved {
        /// The request with which it moved.
        request: RequestId,
    },
    /// This entry stopped sending to a version.
    VersionStopped {
        /// The version.
        version: VersionId,
        /// Natural logarithm of the evidence against it; 0 if it has no upstream.
        log_evidence: f64,
    },
    /// The halt of a version is stored.
    VersionHalted {
        /// The version.
        version: VersionId,
    },
    /// Exposure and evidence of a version under rollout, from the holder of its lease.
    VersionEvidence {
        /// The version.
        version: VersionId,
        /// Natural logarithm of the evidence that it is worse than its baseline.
        log_evidence: f64,
        /// Everything counted about it; `attempts` is its exposure.
        total: Box<Evidence>,
    },
    /// The settled requests of a closed ledger cannot be read, so its copies are kept.
    LedgerUnreadable {
        /// The entry whose ledger it is.
        entry: HostId,
    },
    /// The key-value service did not answer a call.
    KvUnavailable,
}
