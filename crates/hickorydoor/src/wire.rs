//! Encoded form of the messages between entries and agents.
//!
//! Each frame on a link holds one [`EntryFrame`] or [`AgentFrame`]. The structs derive their
//! codec from `prost`, so no generator is needed. `From` encodes domain messages and `TryFrom`
//! checks what arrives: a frame that fails the check is a protocol error of the peer.

use std::fmt;

use bytes::Bytes;
use compact_str::CompactString;

use crate::change::ChangeRecord;
use crate::class::Class;
use crate::configuration::Configuration;
use crate::evidence::Evidence;
use crate::id::AttemptId;
use crate::id::CustomerId;
use crate::id::IdError;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::Revision;
use crate::id::Serial;
use crate::id::VersionId;
use crate::load_report::LoadReport;
use crate::message::AgentHello;
use crate::message::AgentMessage;
use crate::message::AgentRefusal;
use crate::message::AttemptFault;
use crate::message::Call;
use crate::message::ConfigUpdate;
use crate::message::Dispatch;
use crate::message::EntryHello;
use crate::message::EntryMessage;
use crate::message::ModelCall;
use crate::message::Offer;
use crate::message::ServiceCall;
use crate::message::Settlement;
use crate::message::Verdict;
use crate::quantity::ByteCount;
use crate::quantity::Tokens;
use crate::raw_configuration::RawChangeRecord;
use crate::raw_configuration::RawConfiguration;
use crate::raw_configuration::RawConfigurationError;
use crate::time::DurationMs;
use crate::time::TimeMs;
use crate::usage::Usage;
use crate::wire_pin::WirePin;

/// Reasons why a frame is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum WireError {
    /// The frame is not a valid protobuf message.
    Decode(prost::DecodeError),
    /// A required part is absent.
    Missing {
        /// Name of the part.
        part: &'static str,
    },
    /// An id is not valid.
    Id(IdError),
    /// An enumerated value is not known.
    UnknownCode {
        /// Name of the enumeration.
        part: &'static str,
        /// The value.
        code: u32,
    },
    /// A configuration does not parse or does not pass its checks.
    Configuration(RawConfigurationError),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decode(error) => write!(f, "the frame cannot be decoded: {error}"),
            Self::Missing { part } => write!(f, "the frame lacks {part}"),
            Self::Id(error) => write!(f, "the frame holds a bad id: {error}"),
            Self::UnknownCode { part, code } => write!(f, "{code} is not a known {part}"),
            Self::Configuration(error) => write!(f, "the configuration is not valid: {error}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<prost::DecodeError> for WireError {
    fn from(error: prost::DecodeError) -> Self {
        Self::Decode(error)
    }
}

impl From<IdError> for WireError {
    fn from(error: IdError) -> Self {
        Self::Id(error)
    }
}

impl From<RawConfigurationError> for WireError {
    fn from(error: RawConfigurationError) -> Self {
        Self::Configuration(error)
    }
}

/// Encoded attempt id.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireAttempt {
    /// Host of the entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Life of the entry.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the request.
    #[prost(uint64, tag = "3")]
    pub serial: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "4")]
    pub ordinal: u32,
}

impl From<&AttemptId> for WireAttempt {
    fn from(id: &AttemptId) -> Self {
        Self {
            entry: id.request.entry.to_string(),
            incarnation: id.request.incarnation.get(),
            serial: id.request.serial.get(),
            ordinal: id.ordinal,
        }
    }
}

impl TryFrom<WireAttempt> for AttemptId {
    type Error = WireError;

    fn try_from(wire: WireAttempt) -> Result<Self, WireError> {
        let request = RequestId {
            entry: wire.entry.parse()?,
            incarnation: Incarnation::new(wire.incarnation),
            serial: Serial::new(wire.serial),
        };
        Ok(Self { request, ordinal: wire.ordinal })
    }
}

fn attempt(wire: Option<WireAttempt>) -> Result<AttemptId, WireError> {
    wire.ok_or(WireError::Missing { part: "attempt" })?.try_into()
}

/// Encoded usage.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireUsage {
    /// Tokens of the prompt.
    #[prost(uint64, tag = "1")]
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    #[prost(uint64, tag = "2")]
    pub answer_tokens: u64,
}

impl From<Usage> for WireUsage {
    fn from(usage: Usage) -> Self {
        Self { prompt_tokens: usage.prompt_tokens.get(), answer_tokens: usage.answer_tokens.get() }
    }
}

impl From<WireUsage> for Usage {
    fn from(wire: WireUsage) -> Self {
        Self {
            prompt_tokens: Tokens::new(wire.prompt_tokens),
            answer_tokens: Tokens::new(wire.answer_tokens),
        }
    }
}

/// Encoded [`ModelCall`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireModelCall {
    /// The version.
    #[prost(string, tag = "1")]
    pub version: String,
    /// Whether the answer is streamed.
    #[prost(bool, tag = "2")]
    pub stream: bool,
    /// Whether the caller asked for usage in the stream.
    #[prost(bool, tag = "3")]
    pub include_usage: bool,
    /// Estimated prompt tokens.
    #[prost(uint64, tag = "4")]
    pub prompt_tokens: u64,
    /// Expected answer tokens.
    #[prost(uint64, tag = "5")]
    pub answer_tokens: u64,
    /// Hash of the prompt's prefix.
    #[prost(fixed64, tag = "6")]
    pub prefix_hash: u64,
    /// The JSON body.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: Bytes,
}

/// Encoded [`ServiceCall`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireServiceCall {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// HTTP method.
    #[prost(string, tag = "2")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "3")]
    pub path: String,
    /// Content type.
    #[prost(string, optional, tag = "4")]
    pub content_type: Option<String>,
    /// Idempotency key.
    #[prost(string, optional, tag = "5")]
    pub idempotency_key: Option<String>,
    /// Whether the call may be repeated.
    #[prost(bool, tag = "6")]
    pub repeatable: bool,
    /// The body.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: Bytes,
}

/// Encoded [`Call`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Oneof)]
pub enum WireCall {
    /// A chat completion.
    #[prost(message, tag = "6")]
    Model(WireModelCall),
    /// A passed-through call.
    #[prost(message, tag = "7")]
    Service(WireServiceCall),
}

/// Encoded [`Dispatch`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireDispatch {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// The customer.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Code of the class.
    #[prost(uint32, tag = "3")]
    pub class: u32,
    /// The session.
    #[prost(string, optional, tag = "4")]
    pub session: Option<String>,
    /// Time left until the deadline.
    #[prost(uint64, tag = "5")]
    pub time_left_ms: u64,
    /// What to run.
    #[prost(oneof = "WireCall", tags = "6, 7")]
    pub call: Option<WireCall>,
}

const CLASS_INTERACTIVE: u32 = 0;
const CLASS_BATCH: u32 = 1;

fn class_code(class: Class) -> u32 {
    match class {
        Class::Interactive => CLASS_INTERACTIVE,
        Class::Batch => CLASS_BATCH,
    }
}

fn class_from_code(code: u32) -> Result<Class, WireError> {
    match code {
        CLASS_INTERACTIVE => Ok(Class::Interactive),
        CLASS_BATCH => Ok(Class::Batch),
        _ => Err(WireError::UnknownCode { part: "class", code }),
    }
}

impl From<ModelCall> for WireModelCall {
    fn from(call: ModelCall) -> Self {
        Self {
            version: call.version.to_string(),
            stream: call.stream,
            include_usage: call.include_usage,
            prompt_tokens: call.prompt_tokens.get(),
            answer_tokens: call.answer_tokens.get(),
            prefix_hash: call.prefix_hash,
            body: call.body,
        }
    }
}

impl TryFrom<WireModelCall> for ModelCall {
    type Error = WireError;

    fn try_from(wire: WireModelCall) -> Result<Self, WireError> {
        Ok(Self {
            version: wire.version.parse()?,
            stream: wire.stream,
            include_usage: wire.include_usage,
            prompt_tokens: Tokens::new(wire.prompt_tokens),
            answer_tokens: Tokens::new(wire.answer_tokens),
            prefix_hash: wire.prefix_hash,
            body: wire.body,
        })
    }
}

impl From<ServiceCall> for WireServiceCall {
    fn from(call: ServiceCall) -> Self {
        Self {
            service: call.service.to_string(),
            method: call.method.into(),
            path: call.path.into(),
            content_type: call.content_type.map(String::from),
            idempotency_key: call.idempotency_key.map(|key| key.to_string()),
            repeatable: call.repeatable,
            body: call.body,
        }
    }
}

impl TryFrom<WireServiceCall> for ServiceCall {
    type Error = WireError;

    fn try_from(wire: WireServiceCall) -> Result<Self, WireError> {
        Ok(Self {
            service: wire.service.parse()?,
            method: wire.method.into(),
            path: wire.path.into(),
            content_type: wire.content_type.map(CompactString::from),
            idempotency_key: wire.idempotency_key.map(|key| key.parse()).transpose()?,
            repeatable: wire.repeatable,
            body: wire.body,
        })
    }
}

impl From<Dispatch> for WireDispatch {
    fn from(dispatch: Dispatch) -> Self {
        let call = match dispatch.call {
            Call::Model(call) => WireCall::Model(call.into()),
            Call::Service(call) => WireCall::Service(call.into()),
        };
        Self {
            attempt: Some((&dispatch.attempt).into()),
            customer: dispatch.customer.to_string(),
            class: class_code(dispatch.class),
            session: dispatch.session.map(|session| session.to_string()),
            time_left_ms: dispatch.time_left_ms.get(),
            call: Some(call),
        }
    }
}

impl TryFrom<WireDispatch> for Dispatch {
    type Error = WireError;

    fn try_from(wire: WireDispatch) -> Result<Self, WireError> {
        let call = match wire.call {
            Some(WireCall::Model(call)) => Call::Model(call.try_into()?),
            Some(WireCall::Service(call)) => Call::Service(call.try_into()?),
            None => return Err(WireError::Missing { part: "call" }),
        };
        Ok(Self {
            attempt: attempt(wire.attempt)?,
            customer: CustomerId::try_from(wire.customer.as_str())?,
            class: class_from_code(wire.class)?,
            session: wire.session.map(|session| session.parse()).transpose()?,
            time_left_ms: DurationMs::new(wire.time_left_ms),
            call,
        })
    }
}

/// Encoded [`EntryHello`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireEntryHello {
    /// The entry's host.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// The entry's life.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The entry's data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// The revision in force.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Milliseconds between two heartbeats on an idle link.
    #[prost(uint64, tag = "5")]
    pub heartbeat_interval_ms: u64,
}

impl From<EntryHello> for WireEntryHello {
    fn from(hello: EntryHello) -> Self {
        Self {
            entry: hello.entry.to_string(),
            incarnation: hello.incarnation.get(),
            data_centre: hello.data_centre.to_string(),
            revision: hello.revision.get(),
            heartbeat_interval_ms: hello.heartbeat_interval_ms.get(),
        }
    }
}

impl TryFrom<WireEntryHello> for EntryHello {
    type Error = WireError;

    fn try_from(wire: WireEntryHello) -> Result<Self, WireError> {
        Ok(Self {
            entry: wire.entry.parse()?,
            incarnation: Incarnation::new(wire.incarnation),
            data_centre: wire.data_centre.parse()?,
            revision: Revision::new(wire.revision),
            heartbeat_interval_ms: DurationMs::new(wire.heartbeat_interval_ms),
        })
    }
}

/// Encoded [`AgentHello`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireAgentHello {
    /// The agent's host.
    #[prost(string, tag = "1")]
    pub agent: String,
    /// The upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// The agent's life.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The agent's data centre.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// The region.
    #[prost(string, tag = "5")]
    pub region: String,
    /// Versions, for engines.
    #[prost(string, repeated, tag = "6")]
    pub versions: Vec<String>,
    /// Service name, for plain services.
    #[prost(string, optional, tag = "7")]
    pub service: Option<String>,
    /// The revision in force.
    #[prost(uint64, tag = "8")]
    pub revision: u64,
    /// Whether the agent is draining.
    #[prost(bool, tag = "9")]
    pub draining: bool,
}

fn version_texts(versions: &[VersionId]) -> Vec<String> {
    versions.iter().map(ToString::to_string).collect()
}

fn version_ids(texts: Vec<String>) -> Result<Vec<VersionId>, WireError> {
    let ids: Result<Vec<VersionId>, IdError> = texts.into_iter().map(|text| text.parse()).collect();
    Ok(ids?)
}

impl From<AgentHello> for WireAgentHello {
    fn from(hello: AgentHello) -> Self {
        let (versions, service) = match &hello.offer {
            Offer::Engine { versions } => (version_texts(versions), None),
            Offer::Service { service } => (Vec::new(), Some(service.to_string())),
        };
        Self {
            agent: hello.agent.to_string(),
            upstream: hello.upstream.to_string(),
            incarnation: hello.incarnation.get(),
            data_centre: hello.data_centre.to_string(),
            region: hello.region.to_string(),
            versions,
            service,
            revision: hello.revision.get(),
            draining: hello.draining,
        }
    }
}

impl TryFrom<WireAgentHello> for AgentHello {
    type Error = WireError;

    fn try_from(wire: WireAgentHello) -> Result<Self, WireError> {
        let offer = match wire.service {
            Some(service) => Offer::Service { service: service.parse()? },
            None => Offer::Engine { versions: version_ids(wire.versions)? },
        };
        Ok(Self {
            agent: wire.agent.parse()?,
            upstream: wire.upstream.parse()?,
            incarnation: Incarnation::new(wire.incarnation),
            data_centre: wire.data_centre.parse()?,
            region: wire.region.parse()?,
            offer,
            revision: Revision::new(wire.revision),
            draining: wire.draining,
        })
    }
}

/// Encoded [`LoadReport`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WireLoad {
    /// When the report was made.
    #[prost(uint64, tag = "1")]
    pub observed_at_ms: u64,
    /// The revision in force.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Attempts that run.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Attempts in the engine's queue.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
    /// Admission limit.
    #[prost(uint32, tag = "5")]
    pub admission_limit: u32,
    /// Limit when warm.
    #[prost(uint32, tag = "6")]
    pub warm_limit: u32,
    /// Prompt tokens that wait.
    #[prost(uint64, tag = "7")]
    pub queued_prompt_tokens: u64,
    /// Prefill rate.
    #[prost(float, tag = "8")]
    pub prefill_tokens_per_s: f32,
    /// Time between tokens.
    #[prost(float, tag = "9")]
    pub token_interval_ms: f32,
    /// Recent time to the first token.
    #[prost(uint64, tag = "10")]
    pub first_token_ms: u64,
    /// Versions that are served.
    #[prost(string, repeated, tag = "11")]
    pub versions: Vec<String>,
    /// Attempts received from the addressed entry.
    #[prost(uint64, tag = "12")]
    pub received_from_entry: u64,
}

impl From<LoadReport> for WireLoad {
    fn from(report: LoadReport) -> Self {
        Self {
            observed_at_ms: report.observed_at_ms.get(),
            revision: report.revision.get(),
            running: report.running,
            queued: report.queued,
            admission_limit: report.admission_limit,
            warm_limit: report.warm_limit,
            queued_prompt_tokens: report.queued_prompt_tokens.get(),
            prefill_tokens_per_s: report.prefill_tokens_per_s as f32,
            token_interval_ms: report.token_interval_ms as f32,
            first_token_ms: report.first_token_ms.get(),
            versions: version_texts(&report.versions),
            received_from_entry: report.received_from_entry,
        }
    }
}

impl TryFrom<WireLoad> for LoadReport {
    type Error = WireError;

    fn try_from(wire: WireLoad) -> Result<Self, WireError> {
        Ok(Self {
            observed_at_ms: TimeMs::new(wire.observed_at_ms),
            revision: Revision::new(wire.revision),
            running: wire.running,
            queued: wire.queued,
            admission_limit: wire.admission_limit,
            warm_limit: wire.warm_limit,
            queued_prompt_tokens: Tokens::new(wire.queued_prompt_tokens),
            prefill_tokens_per_s: f64::from(wire.prefill_tokens_per_s),
            token_interval_ms: f64::from(wire.token_interval_ms),
            first_token_ms: DurationMs::new(wire.first_token_ms),
            versions: version_ids(wire.versions)?,
            received_from_entry: wire.received_from_entry,
        })
    }
}

/// Encoded [`Evidence`] of one version.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WireEvidence {
    /// The version.
    #[prost(string, tag = "1")]
    pub version: String,
    /// Attempts.
    #[prost(uint64, tag = "2")]
    pub attempts: u64,
    /// Errors.
    #[prost(uint64, tag = "3")]
    pub errors: u64,
    /// Slow first tokens.
    #[prost(uint64, tag = "4")]
    pub slow: u64,
    /// Ratings.
    #[prost(uint64, tag = "5")]
    pub ratings: u64,
    /// Sum of the ratings.
    #[prost(double, tag = "6")]
    pub rating_sum: f64,
    /// Sum of the squared ratings.
    #[prost(double, tag = "7")]
    pub rating_square_sum: f64,
    /// Sums of tilted losses.
    #[prost(double, repeated, tag = "8")]
    pub tilted_loss_sums: Vec<f64>,
    /// Revision from which on the agent counted.
    #[prost(uint64, tag = "9")]
    pub counted_from: u64,
}

impl From<(VersionId, Evidence)> for WireEvidence {
    fn from((version, evidence): (VersionId, Evidence)) -> Self {
        Self {
            version: version.to_string(),
            attempts: evidence.attempts,
            errors: evidence.errors,
            slow: evidence.slow,
            ratings: evidence.ratings,
            rating_sum: evidence.rating_sum,
            rating_square_sum: evidence.rating_square_sum,
            tilted_loss_sums: evidence.tilted_loss_sums.to_vec(),
            counted_from: evidence.counted_from.get(),
        }
    }
}

impl TryFrom<WireEvidence> for (VersionId, Evidence) {
    type Error = WireError;

    fn try_from(wire: WireEvidence) -> Result<Self, WireError> {
        let part = "tilted loss sums";
        let tilted_loss_sums =
            wire.tilted_loss_sums.try_into().map_err(|_sums| WireError::Missing { part })?;
        let evidence = Evidence {
            counted_from: Revision::new(wire.counted_from),
            attempts: wire.attempts,
            errors: wire.errors,
            slow: wire.slow,
            ratings: wire.ratings,
            rating_sum: wire.rating_sum,
            rating_square_sum: wire.rating_square_sum,
            tilted_loss_sums,
        };
        Ok((wire.version.parse()?, evidence))
    }
}

/// Encoded [`ConfigUpdate`]. Configurations travel as JSON, the form in which they are stored.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireConfigUpdate {
    /// Change records, each as JSON.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub deltas: Vec<Bytes>,
    /// A whole configuration as JSON.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub snapshot: Option<Bytes>,
}

fn json_fault(error: &serde_json::Error) -> WireError {
    WireError::Configuration(RawConfigurationError::Syntax {
        line: Some(error.line()),
        detail: error.to_string().into(),
    })
}

fn to_json<T: serde::Serialize>(value: &T) -> Bytes {
    // Serialising the raw types cannot fail: their keys are strings and their numbers are finite.
    serde_json::to_vec(value).unwrap_or_default().into()
}

impl From<ConfigUpdate> for WireConfigUpdate {
    fn from(update: ConfigUpdate) -> Self {
        match update {
            ConfigUpdate::Deltas(records) => Self {
                deltas: records.iter().map(|r| to_json(&RawChangeRecord::from(r))).collect(),
                snapshot: None,
            },
            ConfigUpdate::Snapshot(configuration) => Self {
                deltas: Vec::new(),
                snapshot: Some(to_json(&RawConfiguration::from(&*configuration))),
            },
        }
    }
}

impl TryFrom<WireConfigUpdate> for ConfigUpdate {
    type Error = WireError;

    fn try_from(wire: WireConfigUpdate) -> Result<Self, WireError> {
        if let Some(snapshot) = wire.snapshot {
            let raw: RawConfiguration =
                serde_json::from_slice(&snapshot).map_err(|error| json_fault(&error))?;
            return Ok(Self::Snapshot(Box::new(Configuration::try_from(raw)?)));
        }
        let record = |json: &Bytes| {
            let raw: RawChangeRecord =
                serde_json::from_slice(json).map_err(|error| json_fault(&error))?;
            Ok(ChangeRecord::try_from(raw)?)
        };
        let records: Result<Vec<ChangeRecord>, WireError> =
            wire.deltas.iter().map(record).collect();
        Ok(Self::Deltas(records?))
    }
}

/// An attempt id and a byte count.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WirePosition {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// Bytes.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
}

/// Requests whose bills are stored, all of one entry incarnation.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireSettled {
    /// Host of the entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Life of the entry.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Numbers of the requests.
    #[prost(uint64, repeated, tag = "3")]
    pub serials: Vec<u64>,
    /// Every request below this number is settled.
    #[prost(uint64, tag = "4")]
    pub below: u64,
}

/// Ratings of answers.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WireVerdicts {
    /// The rated versions.
    #[prost(string, repeated, tag = "1")]
    pub versions: Vec<String>,
    /// The ratings, in the same order.
    #[prost(double, repeated, tag = "2")]
    pub scores: Vec<f64>,
}

/// A message without content.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireEmpty {}

/// Content of an [`EntryFrame`].
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum EntryBody {
    /// [`EntryMessage::Hello`]
    #[prost(message, tag = "1")]
    Hello(WireEntryHello),
    /// [`EntryMessage::Dispatch`]
    #[prost(message, tag = "2")]
    Dispatch(Box<WireDispatch>),
    /// [`EntryMessage::Cancel`]
    #[prost(message, tag = "3")]
    Cancel(WireAttempt),
    /// [`EntryMessage::Credit`]
    #[prost(message, tag = "4")]
    Credit(WirePosition),
    /// [`EntryMessage::Resume`]
    #[prost(message, tag = "5")]
    Resume(WirePosition),
    /// [`EntryMessage::Settled`]
    #[prost(message, tag = "6")]
    Settled(WireSettled),
    /// [`EntryMessage::Verdicts`]
    #[prost(message, tag = "7")]
    Verdicts(WireVerdicts),
    /// [`EntryMessage::Heartbeat`]
    #[prost(uint64, tag = "8")]
    Heartbeat(u64),
    /// [`EntryMessage::ConfigNotice`]
    #[prost(uint64, tag = "9")]
    ConfigNotice(u64),
    /// [`EntryMessage::ConfigPull`]
    #[prost(uint64, tag = "10")]
    ConfigPull(u64),
    /// [`EntryMessage::ConfigUpdate`]
    #[prost(message, tag = "11")]
    ConfigUpdate(WireConfigUpdate),
    /// [`EntryMessage::LeaveNotice`]
    #[prost(message, tag = "12")]
    LeaveNotice(WireEmpty),
    /// [`EntryMessage::Pin`]
    #[prost(message, tag = "20")]
    Pin(WirePin),
}

/// A frame from an entry to an agent.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct EntryFrame {
    /// The message.
    #[prost(oneof = "EntryBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 20")]
    pub body: Option<EntryBody>,
}

fn position(attempt: &AttemptId, bytes: ByteCount) -> WirePosition {
    WirePosition { attempt: Some(attempt.into()), bytes: bytes.get() }
}

impl From<Settlement> for WireSettled {
    fn from(settlement: Settlement) -> Self {
        Self {
            entry: settlement.entry.to_string(),
            incarnation: settlement.incarnation.get(),
            serials: settlement.serials.iter().map(|serial| serial.get()).collect(),
            below: settlement.below.get(),
        }
    }
}

impl From<EntryMessage> for EntryFrame {
    fn from(message: EntryMessage) -> Self {
        let body = match message {
            EntryMessage::Hello(hello) => EntryBody::Hello(hello.into()),
            EntryMessage::Dispatch(dispatch) => EntryBody::Dispatch(Box::new((*dispatch).into())),
            EntryMessage::Cancel { attempt } => EntryBody::Cancel((&attempt).into()),
            EntryMessage::Credit { attempt, read_bytes } => {
                EntryBody::Credit(position(&attempt, read_bytes))
            }
            EntryMessage::Resume { attempt, offset } => {
                EntryBody::Resume(position(&attempt, offset))
            }
            EntryMessage::Settled(settlement) => EntryBody::Settled(settlement.into()),
            EntryMessage::Verdicts(verdicts) => EntryBody::Verdicts(WireVerdicts {
                versions: verdicts.iter().map(|verdict| verdict.version.to_string()).collect(),
                scores: verdicts.iter().map(|verdict| verdict.score).collect(),
            }),
            EntryMessage::Heartbeat { revision } => EntryBody::Heartbeat(revision.get()),
            EntryMessage::ConfigNotice { revision } => EntryBody::ConfigNotice(revision.get()),
            EntryMessage::ConfigPull { have } => EntryBody::ConfigPull(have.get()),
            EntryMessage::ConfigUpdate(update) => EntryBody::ConfigUpdate(update.into()),
            EntryMessage::LeaveNotice => EntryBody::LeaveNotice(WireEmpty {}),
            EntryMessage::Pin { key, pin, settled } => {
                EntryBody::Pin(WirePin::new(key, pin.as_ref(), settled))
            }
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<EntryFrame> for EntryMessage {
    type Error = WireError;

    fn try_from(frame: EntryFrame) -> Result<Self, WireError> {
        let body = frame.body.ok_or(WireError::Missing { part: "body" })?;
        Ok(match body {
            EntryBody::Hello(hello) => Self::Hello(hello.try_into()?),
            EntryBody::Dispatch(dispatch) => Self::Dispatch(Box::new((*dispatch).try_into()?)),
            EntryBody::Cancel(wire) => Self::Cancel { attempt: wire.try_into()? },
            EntryBody::Credit(wire) => Self::Credit {
                attempt: attempt(wire.attempt)?,
                read_bytes: ByteCount::new(wire.bytes),
            },
            EntryBody::Resume(wire) => {
                Self::Resume { attempt: attempt(wire.attempt)?, offset: ByteCount::new(wire.bytes) }
            }
            EntryBody::Settled(wire) => Self::Settled(wire.try_into()?),
            EntryBody::Verdicts(wire) => Self::Verdicts(wire.try_into()?),
            EntryBody::Heartbeat(revision) => Self::Heartbeat { revision: Revision::new(revision) },
            EntryBody::ConfigNotice(revision) => {
                Self::ConfigNotice { revision: Revision::new(revision) }
            }
            EntryBody::ConfigPull(have) => Self::ConfigPull { have: Revision::new(have) },
            EntryBody::ConfigUpdate(update) => Self::ConfigUpdate(update.try_into()?),
            EntryBody::LeaveNotice(WireEmpty {}) => Self::LeaveNotice,
            EntryBody::Pin(wire) => {
                let (key, pin, settled) = wire.try_into()?;
                Self::Pin { key, pin, settled }
            }
        })
    }
}

impl TryFrom<WireSettled> for Settlement {
    type Error = WireError;

    fn try_from(wire: WireSettled) -> Result<Self, WireError> {
        Ok(Self {
            entry: wire.entry.parse()?,
            incarnation: Incarnation::new(wire.incarnation),
            below: Serial::new(wire.below),
            serials: wire.serials.into_iter().map(Serial::new).collect(),
        })
    }
}

impl TryFrom<WireVerdicts> for Vec<Verdict> {
    type Error = WireError;

    fn try_from(wire: WireVerdicts) -> Result<Self, WireError> {
        let verdict =
            |(version, score): (String, f64)| Ok(Verdict { version: version.parse()?, score });
        wire.versions.into_iter().zip(wire.scores).map(verdict).collect()
    }
}

/// Encoded [`AgentMessage::Refused`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireRefused {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// Code of the reason.
    #[prost(uint32, tag = "2")]
    pub reason: u32,
    /// When to try again.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
}

/// Encoded [`AgentMessage::Started`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireStarted {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Content type.
    #[prost(string, tag = "3")]
    pub content_type: String,
}

/// Encoded [`AgentMessage::Chunk`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireChunk {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// Position of the first byte.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Tokens in this piece.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

/// Encoded [`AgentMessage::Ended`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireEnded {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// Length of the answer.
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// Tokens used.
    #[prost(message, optional, tag = "3")]
    pub usage: Option<WireUsage>,
}

/// Encoded [`AgentMessage::Failed`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireFailed {
    /// The attempt.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// Code of the fault.
    #[prost(uint32, tag = "2")]
    pub fault: u32,
    /// Tokens used.
    #[prost(message, optional, tag = "3")]
    pub usage: Option<WireUsage>,
}

/// Evidence of several versions.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WireEvidenceList {
    /// One digest for each version.
    #[prost(message, repeated, tag = "1")]
    pub digests: Vec<WireEvidence>,
}

/// Content of an [`AgentFrame`].
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum AgentBody {
    /// [`AgentMessage::Hello`]
    #[prost(message, tag = "1")]
    Hello(WireAgentHello),
    /// [`AgentMessage::Refused`]
    #[prost(message, tag = "2")]
    Refused(WireRefused),
    /// [`AgentMessage::Started`]
    #[prost(message, tag = "3")]
    Started(WireStarted),
    /// [`AgentMessage::Chunk`]
    #[prost(message, tag = "4")]
    Chunk(WireChunk),
    /// [`AgentMessage::Ended`]
    #[prost(message, tag = "5")]
    Ended(WireEnded),
    /// [`AgentMessage::Failed`]
    #[prost(message, tag = "6")]
    Failed(WireFailed),
    /// [`AgentMessage::Load`]
    #[prost(message, tag = "7")]
    Load(Box<WireLoad>),
    /// [`AgentMessage::Evidence`]
    #[prost(message, tag = "8")]
    Evidence(WireEvidenceList),
    /// [`AgentMessage::Draining`]
    #[prost(message, tag = "9")]
    Draining(WireEmpty),
    /// [`AgentMessage::IncarnationClosed`]
    #[prost(uint64, tag = "10")]
    IncarnationClosed(u64),
    /// [`AgentMessage::ConfigNotice`]
    #[prost(uint64, tag = "11")]
    ConfigNotice(u64),
    /// [`AgentMessage::ConfigPull`]
    #[prost(uint64, tag = "12")]
    ConfigPull(u64),
    /// [`AgentMessage::ConfigUpdate`]
    #[prost(message, tag = "13")]
    ConfigUpdate(WireConfigUpdate),
    /// [`AgentMessage::PinReply`]
    #[prost(message, tag = "20")]
    PinReply(WirePin),
}

/// A frame from an agent to an entry.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AgentFrame {
    /// The message.
    #[prost(oneof = "AgentBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 20")]
    pub body: Option<AgentBody>,
}

const REFUSALS: [AgentRefusal; 9] = [
    AgentRefusal::AtLimit,
    AgentRefusal::Draining,
    AgentRefusal::VersionNotServed,
    AgentRefusal::DataCentreOut,
    AgentRefusal::DeadlineExceeded,
    AgentRefusal::StoreUnavailable,
    AgentRefusal::IncarnationClosed,
    AgentRefusal::Fenced,
    AgentRefusal::UpstreamDown,
];

const FAULTS: [AttemptFault; 7] = [
    AttemptFault::UpstreamError,
    AttemptFault::ConnectionLost,
    AttemptFault::DeadlineExceeded,
    AttemptFault::NotResumable,
    AttemptFault::OutcomeUnknown,
    AttemptFault::DuplicateInProgress,
    AttemptFault::KeyReused,
];

fn code_of<T: PartialEq>(table: &[T], value: &T) -> u32 {
    let position = table.iter().position(|known| known == value);
    position.map_or(u32::MAX, |index| index as u32)
}

fn from_code<T: Copy>(table: &[T], code: u32, part: &'static str) -> Result<T, WireError> {
    table.get(code as usize).copied().ok_or(WireError::UnknownCode { part, code })
}

impl From<AgentMessage> for AgentFrame {
    fn from(message: AgentMessage) -> Self {
        let body = match message {
            AgentMessage::Hello(hello) => AgentBody::Hello(hello.into()),
            AgentMessage::Refused { attempt, reason, retry_after_ms } => {
                AgentBody::Refused(WireRefused {
                    attempt: Some((&attempt).into()),
                    reason: code_of(&REFUSALS, &reason),
                    retry_after_ms: retry_after_ms.get(),
                })
            }
            AgentMessage::Started { attempt, status, content_type } => {
                AgentBody::Started(WireStarted {
                    attempt: Some((&attempt).into()),
                    status: u32::from(status),
                    content_type: content_type.into(),
                })
            }
            AgentMessage::Chunk { attempt, offset, tokens, data } => AgentBody::Chunk(WireChunk {
                attempt: Some((&attempt).into()),
                offset: offset.get(),
                tokens: tokens.get(),
                data,
            }),
            AgentMessage::Ended { attempt, length, usage } => AgentBody::Ended(WireEnded {
                attempt: Some((&attempt).into()),
                length: length.get(),
                usage: Some(usage.into()),
            }),
            AgentMessage::Failed { attempt, fault, usage } => AgentBody::Failed(WireFailed {
                attempt: Some((&attempt).into()),
                fault: code_of(&FAULTS, &fault),
                usage: Some(usage.into()),
            }),
            AgentMessage::Load(report) => AgentBody::Load(Box::new((*report).into())),
            AgentMessage::Evidence(digests) => AgentBody::Evidence(WireEvidenceList {
                digests: digests.into_iter().map(WireEvidence::from).collect(),
            }),
            AgentMessage::Draining => AgentBody::Draining(WireEmpty {}),
            AgentMessage::IncarnationClosed { incarnation } => {
                AgentBody::IncarnationClosed(incarnation.get())
            }
            AgentMessage::ConfigNotice { revision } => AgentBody::ConfigNotice(revision.get()),
            AgentMessage::ConfigPull { have } => AgentBody::ConfigPull(have.get()),
            AgentMessage::ConfigUpdate(update) => AgentBody::ConfigUpdate(update.into()),
            AgentMessage::PinReply { key, pin, known } => {
                AgentBody::PinReply(WirePin::new(key, pin.as_ref(), known))
            }
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<AgentFrame> for AgentMessage {
    type Error = WireError;

    fn try_from(frame: AgentFrame) -> Result<Self, WireError> {
        let body = frame.body.ok_or(WireError::Missing { part: "body" })?;
        Ok(match body {
            AgentBody::Hello(hello) => Self::Hello(hello.try_into()?),
            AgentBody::Refused(wire) => Self::Refused {
                attempt: attempt(wire.attempt)?,
                reason: from_code(&REFUSALS, wire.reason, "refusal")?,
                retry_after_ms: DurationMs::new(wire.retry_after_ms),
            },
            AgentBody::Started(wire) => Self::Started {
                attempt: attempt(wire.attempt)?,
                status: u16::try_from(wire.status).map_err(|_error| WireError::UnknownCode {
                    part: "status",
                    code: wire.status,
                })?,
                content_type: wire.content_type.into(),
            },
            AgentBody::Chunk(wire) => Self::Chunk {
                attempt: attempt(wire.attempt)?,
                offset: ByteCount::new(wire.offset),
                tokens: Tokens::new(wire.tokens),
                data: wire.data,
            },
            AgentBody::Ended(wire) => Self::Ended {
                attempt: attempt(wire.attempt)?,
                length: ByteCount::new(wire.length),
                usage: wire.usage.unwrap_or_default().into(),
            },
            AgentBody::Failed(wire) => Self::Failed {
                attempt: attempt(wire.attempt)?,
                fault: from_code(&FAULTS, wire.fault, "fault")?,
                usage: wire.usage.unwrap_or_default().into(),
            },
            AgentBody::Load(report) => Self::Load(Box::new((*report).try_into()?)),
            AgentBody::Evidence(list) => {
                let digests: Result<Vec<_>, _> =
                    list.digests.into_iter().map(TryInto::try_into).collect();
                Self::Evidence(digests?)
            }
            AgentBody::Draining(WireEmpty {}) => Self::Draining,
            AgentBody::IncarnationClosed(incarnation) => {
                Self::IncarnationClosed { incarnation: Incarnation::new(incarnation) }
            }
            AgentBody::ConfigNotice(revision) => {
                Self::ConfigNotice { revision: Revision::new(revision) }
            }
            AgentBody::ConfigPull(have) => Self::ConfigPull { have: Revision::new(have) },
            AgentBody::ConfigUpdate(update) => Self::ConfigUpdate(update.try_into()?),
            AgentBody::PinReply(wire) => {
                let (key, pin, known) = wire.try_into()?;
                Self::PinReply { key, pin, known }
            }
        })
    }
}
