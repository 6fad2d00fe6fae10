//! Messages between entries and agents.
//!
//! The reducers exchange these domain types; [`crate::wire`] defines their encoding. An attempt id
//! contains the entry, its incarnation and the request, so a message that arrives late or twice
//! cannot be attributed to the request of another caller.

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

/// First message of an entry on a link; identifies the entry to the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryHello {
    /// Host of the entry.
    pub entry: HostId,
    /// Current incarnation of the entry.
    pub incarnation: Incarnation,
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Configuration revision in force at the entry.
    pub revision: Revision,
    /// Interval at which the entry sends heartbeats. On a link without attempts in progress, the
    /// agent sends load reports at this interval or at its own report interval, whichever is
    /// longer; with 0, the agent's own report interval applies.
    pub heartbeat_interval_ms: DurationMs,
}

/// Requests that an upstream can serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Model calls, served by an engine.
    Engine {
        /// Versions that the engine has loaded.
        versions: Vec<VersionId>,
    },
    /// Calls to a plain service, served by one of its instances.
    Service {
        /// Name of the service.
        service: ServiceName,
    },
}

/// First message of an agent on a link; identifies the agent and its upstream to the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentHello {
    /// Host of the agent.
    pub agent: HostId,
    /// The upstream that the agent runs next to.
    pub upstream: UpstreamId,
    /// Current incarnation of the agent.
    pub incarnation: Incarnation,
    /// Data centre of the agent.
    pub data_centre: DataCentreId,
    /// The region of that data centre.
    pub region: RegionId,
    /// Requests that the upstream can serve.
    pub offer: Offer,
    /// Configuration revision in force at the agent.
    pub revision: Revision,
    /// Whether the agent accepts no new attempts, because it is shutting down, its host is leaving
    /// or its upstream is out of service.
    pub draining: bool,
}

/// A call to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelCall {
    /// Version of the model that runs the call.
    pub version: VersionId,
    /// Whether the caller requested a streamed response.
    pub stream: bool,
    /// Whether the caller requested the usage at the end of the stream.
    pub include_usage: bool,
    /// Estimated number of tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Expected number of tokens in the answer, or the limit that the caller set.
    pub answer_tokens: Tokens,
    /// Hash of the prompt's prefix, which lets placement prefer engines that have it cached.
    pub prefix_hash: u64,
    /// JSON body as received from the caller.
    pub body: Bytes,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// Name of the service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query relative to the root of the service.
    pub path: CompactString,
    /// Content type of the request body, if the caller stated one.
    pub content_type: Option<CompactString>,
    /// Idempotency key; calls with the same key are executed at most once.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the call may be retried if its outcome is unknown.
    pub repeatable: bool,
    /// Request body as received from the caller.
    pub body: Bytes,
}

/// The call that an attempt makes to the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// A chat completion by a model engine.
    Model(ModelCall),
    /// A call that is forwarded unchanged to a plain service.
    Service(ServiceCall),
}

/// An attempt that an entry sends to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Identifies the attempt in all later messages.
    pub attempt: AttemptId,
    /// The customer that is billed.
    pub customer: CustomerId,
    /// Urgency class of the request.
    pub class: Class,
    /// Session of the request, if the caller named one.
    pub session: Option<SessionId>,
    /// Time remaining until the deadline of the request.
    pub time_left_ms: DurationMs,
    /// The call to make.
    pub call: Call,
}

/// Rating of an answer, sent to the agent whose upstream produced it.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionRating {
    /// The version that produced the answer.
    pub version: VersionId,
    /// Rating from 0 (bad) to 1 (good).
    pub score: f64,
}

/// Configuration changes, or a snapshot of the whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigUpdate {
    /// Consecutive changes in the order of their revisions.
    Deltas(Vec<ChangeRecord>),
    /// The whole configuration, for peers whose revision is older than the retained changes.
    Snapshot(Box<Configuration>),
}

/// Requests of one entry incarnation that are settled: their bills are stored, or they have none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// Host of the entry.
    pub entry: HostId,
    /// Incarnation of the entry that the requests belong to.
    pub incarnation: Incarnation,
    /// Every request with a lower number is settled. This bound makes up for earlier settlements
    /// that were lost.
    pub settled_below: Serial,
    /// Further settled requests of which the agent may hold copies of the usage.
    pub serials: Vec<Serial>,
}

/// Messages from an entry to an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryMessage {
    /// Opens the link.
    Hello(EntryHello),
    /// Sends an attempt to be executed.
    Dispatch(Box<Dispatch>),
    /// Cancels an attempt.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// Grants flow-control credit, so that the agent may send more bytes of a response.
    Credit {
        /// The attempt whose response the caller reads.
        attempt: AttemptId,
        /// Bytes of the response that the caller has read so far. Because this is a total, credits
        /// that are lost or arrive twice do no harm.
        read_bytes: ByteCount,
    },
    /// Requests the rest of a response from an offset after the link was lost.
    Resume {
        /// The attempt whose response is incomplete.
        attempt: AttemptId,
        /// Position of the first byte that the entry has not received.
        offset: ByteCount,
    },
    /// Reports settled requests, so that the agent may drop its copies of their usage.
    Settled(Settlement),
    /// Reports ratings of answers that the agent's upstream produced.
    Ratings(Vec<VersionRating>),
    /// Keeps the link alive.
    Heartbeat {
        /// Configuration revision in force at the entry.
        revision: Revision,
    },
    /// Announces the configuration revision of the sender.
    ConfigNotice {
        /// Configuration revision in force at the sender.
        revision: Revision,
    },
    /// Requests the configuration changes after the revision of the sender.
    ConfigPull {
        /// Configuration revision in force at the sender.
        current: Revision,
    },
    /// Replies to a `ConfigPull`.
    ConfigUpdate(ConfigUpdate),
    /// Notifies the agent that the platform lists its host as leaving.
    LeaveNotice,
    /// Proposes or confirms the pin of a session to one of its owner agents.
    Pin {
        /// Identifies the session.
        key: PinKey,
        /// The proposed or confirmed pin; `None` if the model accepts no new sessions.
        pin: Option<Pin>,
        /// Whether the entry has chosen this pin from the replies of the owners. The agent does not
        /// reply to a confirmed pin.
        confirmed: bool,
    },
}

/// Why an agent refused an attempt without forwarding it to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AgentRefusal {
    /// The agent is at its limit on concurrent attempts, or it has resumed from a pause and waits
    /// for the configuration changes that it missed.
    AtLimit,
    /// The agent accepts no new attempts: it is shutting down, its host is leaving or its upstream
    /// is out of service.
    Draining,
    /// The version is not loaded, is withdrawn, or the customer may not use it.
    VersionNotServed,
    /// Operators have taken the data centre out of service.
    DataCentreOut,
    /// The deadline has passed or cannot be met.
    DeadlineExceeded,
    /// The claim of the idempotency key could not be stored.
    StoreUnavailable,
    /// The ledger of the entry's incarnation is closed, so the attempt could not be billed.
    IncarnationClosed,
    /// The attempt was not forwarded and will not be, even if its dispatch arrives later.
    Fenced,
    /// The upstream is down, or it did not accept the connection.
    UpstreamDown,
}

/// How an attempt failed after it was forwarded to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptFault {
    /// The upstream responded with an error before any output.
    UpstreamError,
    /// The connection to the upstream was lost.
    ConnectionLost,
    /// The deadline passed during execution.
    DeadlineExceeded,
    /// The response cannot be resumed: the agent does not know the attempt, or has cancelled it
    /// because the link to the entry was lost for too long.
    NotResumable,
    /// The idempotency key is claimed by an earlier call that has no stored response.
    OutcomeUnknown,
    /// A call with the same idempotency key is still running.
    DuplicateInProgress,
    /// The idempotency key was already used with a different request.
    KeyReused,
}

/// Messages from an agent to an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentMessage {
    /// Opens the link.
    Hello(AgentHello),
    /// The attempt was refused and not forwarded to the upstream.
    Refused {
        /// The refused attempt.
        attempt: AttemptId,
        /// Why the attempt was refused.
        reason: AgentRefusal,
        /// Time after which the agent expects to have capacity.
        retry_after_ms: DurationMs,
    },
    /// The upstream started to respond.
    Started {
        /// The attempt that the upstream responds to.
        attempt: AttemptId,
        /// HTTP status code of the upstream's response.
        status: u16,
        /// Content type of the response.
        content_type: CompactString,
    },
    /// A chunk of the response.
    Chunk {
        /// The attempt that the chunk belongs to.
        attempt: AttemptId,
        /// Position of the chunk's first byte in the response.
        offset: ByteCount,
        /// Number of tokens in the chunk.
        tokens: Tokens,
        /// Content of the chunk.
        data: Bytes,
    },
    /// The response is complete.
    Ended {
        /// The attempt whose response is complete.
        attempt: AttemptId,
        /// Length of the whole response in bytes.
        length: ByteCount,
        /// Tokens that the attempt used.
        usage: Usage,
    },
    /// The attempt was forwarded to the upstream and failed.
    Failed {
        /// The failed attempt.
        attempt: AttemptId,
        /// How the attempt failed.
        fault: AttemptFault,
        /// Tokens that the attempt used before it failed.
        usage: Usage,
    },
    /// Load and health of the upstream; also serves as the agent's heartbeat.
    Load(Box<LoadReport>),
    /// Counters of versions that are compared with a baseline.
    Evidence(Vec<(VersionId, Evidence)>),
    /// The agent accepts no new attempts, because it is shutting down or its host is leaving.
    Draining,
    /// The agent has closed the billing ledger of an incarnation of the entry.
    IncarnationClosed {
        /// The closed incarnation.
        incarnation: Incarnation,
    },
    /// Announces the configuration revision of the sender.
    ConfigNotice {
        /// Configuration revision in force at the sender.
        revision: Revision,
    },
    /// Requests the configuration changes after the revision of the sender.
    ConfigPull {
        /// Configuration revision in force at the sender.
        current: Revision,
    },
    /// Replies to a `ConfigPull`.
    ConfigUpdate(ConfigUpdate),
    /// Replies to a proposed pin with the pin that the agent holds.
    PinReply {
        /// Identifies the session.
        key: PinKey,
        /// The pin that the agent holds after the proposal.
        pin: Option<Pin>,
        /// Whether the agent held that pin before the proposal.
        known: bool,
    },
}
