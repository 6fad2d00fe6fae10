//! Messages between entries and agents.
//!
//! These are the domain types that the reducers exchange. [`crate::wire`] holds their encoded
//! form. Attempt ids name the entry, its incarnation and the request, so a message that arrives
//! late or twice can never be taken for another caller's.

use bytes::Bytes;
use compact_str::CompactString;

use crate::billing::usage::Usage;
use crate::class::Class;
use crate::configuration::Configuration;
use crate::configuration::change::ChangeRecord;
use crate::id::AttemptId;
use crate::id::CustomerId;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::IdempotencyKey;
use crate::id::Incarnation;
use crate::id::RegionId;
use crate::id::Revision;
use crate::id::Serial;
use crate::id::ServiceName;
use crate::id::SessionId;
use crate::id::UpstreamId;
use crate::id::VersionId;
use crate::load_report::LoadReport;
use crate::quantity::ByteCount;
use crate::quantity::Tokens;
use crate::rollouts::evidence::Evidence;
use crate::rollouts::session_pin::Pin;
use crate::rollouts::session_pin::PinKey;
use crate::time::DurationMs;

/// First message of an entry on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryHello {
    /// The entry's host.
    pub entry: HostId,
    /// The entry's current incarnation.
    pub incarnation: Incarnation,
    /// The entry's data centre.
    pub data_centre: DataCentreId,
    /// The configuration in force at the entry.
    pub revision: Revision,
    /// Time between two heartbeats on an idle link, in both directions; 0 for the default.
    pub heartbeat_interval_ms: DurationMs,
}

/// What an upstream offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// A model engine with these versions loaded.
    Engine {
        /// The versions that the engine serves now.
        versions: Vec<VersionId>,
    },
    /// An instance of a plain service.
    Service {
        /// The service's name.
        service: ServiceName,
    },
}

/// First message of an agent on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentHello {
    /// The agent's host.
    pub agent: HostId,
    /// The upstream beside the agent.
    pub upstream: UpstreamId,
    /// The agent's current incarnation.
    pub incarnation: Incarnation,
    /// The agent's data centre.
    pub data_centre: DataCentreId,
    /// The region of that data centre.
    pub region: RegionId,
    /// What the upstream serves.
    pub offer: Offer,
    /// The configuration in force at the agent.
    pub revision: Revision,
    /// Set while the agent is shutting down.
    pub draining: bool,
}

/// A call to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelCall {
    /// The version to run.
    pub version: VersionId,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the caller asked for usage in the stream.
    pub include_usage: bool,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Expected or allowed tokens of the answer.
    pub answer_tokens: Tokens,
    /// Hash of the prompt's prefix.
    pub prefix_hash: u64,
    /// The JSON body as the caller sent it.
    pub body: Bytes,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// The service to call.
    pub service: ServiceName,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query below the service's root.
    pub path: CompactString,
    /// Content type of the body.
    pub content_type: Option<CompactString>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the call may be repeated when its outcome is not known.
    pub repeatable: bool,
    /// The request body.
    pub body: Bytes,
}

/// What an attempt asks of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// A chat completion.
    Model(ModelCall),
    /// A call that is passed through.
    Service(ServiceCall),
}

/// An attempt that an entry hands to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// The customer that is billed.
    pub customer: CustomerId,
    /// The request's class.
    pub class: Class,
    /// The caller's session.
    pub session: Option<SessionId>,
    /// Time left until the request's deadline.
    pub time_left_ms: DurationMs,
    /// What to run.
    pub call: Call,
}

/// A rating of an answer, reported back to the agent that produced it.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionRating {
    /// The version that answered.
    pub version: VersionId,
    /// The rating between 0 (bad) and 1 (good).
    pub score: f64,
}

/// Deltas or a snapshot of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigUpdate {
    /// Consecutive changes, in order.
    Deltas(Vec<ChangeRecord>),
    /// The whole configuration, for peers that lag behind the delta log.
    Snapshot(Box<Configuration>),
}

/// Requests of one entry incarnation that are settled: their bills are stored, or there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// The entry.
    pub entry: HostId,
    /// The incarnation of the entry.
    pub incarnation: Incarnation,
    /// Every request below this number is settled; makes up for messages that were lost.
    pub settled_below: Serial,
    /// Other settled requests that the agent took part in.
    pub serials: Vec<Serial>,
}

/// Messages from an entry to an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryMessage {
    /// Opens a link.
    Hello(EntryHello),
    /// Hands over an attempt.
    Dispatch(Box<Dispatch>),
    /// Cancels an attempt.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// Allows the agent to send more bytes of an answer.
    Credit {
        /// The attempt.
        attempt: AttemptId,
        /// Bytes that the caller has read since the start of the answer. A total is not changed
        /// by a credit that is lost or arrives twice.
        read_bytes: ByteCount,
    },
    /// Asks the agent to send an answer again from an offset after a link was lost.
    Resume {
        /// The attempt.
        attempt: AttemptId,
        /// The first byte that the entry lacks.
        offset: ByteCount,
    },
    /// Tells that bills are stored, so usage copies may be dropped.
    Settled(Settlement),
    /// Reports ratings of the agent's answers.
    Ratings(Vec<VersionRating>),
    /// Keeps the link alive and carries the revision in force.
    Heartbeat {
        /// The configuration in force at the entry.
        revision: Revision,
    },
    /// Announces a revision.
    ConfigNotice {
        /// The configuration in force at the sender.
        revision: Revision,
    },
    /// Asks for the changes after a revision.
    ConfigPull {
        /// The configuration in force at the sender.
        current_revision: Revision,
    },
    /// Answers a pull.
    ConfigUpdate(ConfigUpdate),
    /// Tells the agent that the platform lists its host as leaving.
    LeaveNotice,
    /// Proposes the pin of a session to a home agent.
    Pin {
        /// The session.
        key: PinKey,
        /// The proposed pin; absent if the model takes no new sessions.
        pin: Option<Pin>,
        /// Set when the homes have replied and this pin was chosen; not replied to.
        confirmed: bool,
    },
}

/// Why an agent did not pass an attempt on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AgentRefusal {
    /// The admission limit is reached.
    AtLimit,
    /// The agent is shutting down.
    Draining,
    /// The version is not loaded, withdrawn or not allowed to the customer.
    VersionNotServed,
    /// The data centre is taken out.
    DataCentreOut,
    /// The deadline passed or cannot be met.
    DeadlineExceeded,
    /// The claim of the idempotency key could not be stored.
    StoreUnavailable,
    /// The entry's incarnation is closed.
    IncarnationClosed,
    /// The attempt was seen before and was not passed on.
    Fenced,
    /// The upstream refused the connection.
    UpstreamDown,
}

/// What is known about an attempt that failed after it was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptFault {
    /// The upstream answered with an error before any output.
    UpstreamError,
    /// The connection to the upstream broke.
    ConnectionLost,
    /// The deadline passed while it ran.
    DeadlineExceeded,
    /// The attempt is not known, so it cannot be resumed.
    NotResumable,
    /// A claim of the same idempotency key has no stored answer.
    OutcomeUnknown,
    /// A call with the same idempotency key is running.
    DuplicateInProgress,
    /// The idempotency key was used with another request.
    KeyReused,
}

/// Messages from an agent to an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentMessage {
    /// Opens a link.
    Hello(AgentHello),
    /// The attempt was not passed on to the upstream.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why it was refused.
        reason: AgentRefusal,
        /// When the agent expects to have room.
        retry_after_ms: DurationMs,
    },
    /// The upstream began to answer.
    Started {
        /// The attempt.
        attempt: AttemptId,
        /// HTTP status of the upstream.
        status: u16,
        /// Content type of the answer.
        content_type: CompactString,
    },
    /// A piece of the answer.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// Position of the first byte in the answer.
        offset: ByteCount,
        /// Tokens in this piece.
        tokens: Tokens,
        /// The bytes.
        data: Bytes,
    },
    /// The answer is complete.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// Length of the whole answer.
        length: ByteCount,
        /// Tokens used.
        usage: Usage,
    },
    /// The attempt was passed on and failed.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// What is known about the failure.
        fault: AttemptFault,
        /// Tokens used before the failure.
        usage: Usage,
    },
    /// Load and health of the upstream, also the agent's heartbeat.
    Load(Box<LoadReport>),
    /// Evidence about versions under roll-out.
    Evidence(Vec<(VersionId, Evidence)>),
    /// The agent is shutting down and refuses new work.
    Draining,
    /// The agent has closed the ledger of this entry incarnation.
    IncarnationClosed {
        /// The closed incarnation of the entry.
        incarnation: Incarnation,
    },
    /// Announces a revision.
    ConfigNotice {
        /// The configuration in force at the sender.
        revision: Revision,
    },
    /// Asks for the changes after a revision.
    ConfigPull {
        /// The configuration in force at the sender.
        current_revision: Revision,
    },
    /// Answers a pull.
    ConfigUpdate(ConfigUpdate),
    /// Tells what a home agent holds for a session after a proposal.
    PinReply {
        /// The session.
        key: PinKey,
        /// The pin that is held now.
        pin: Option<Pin>,
        /// Whether the pin was held before the proposal.
        known: bool,
    },
}
