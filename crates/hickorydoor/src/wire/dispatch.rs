//! Encoding of the attempts that entries send to agents.

use bytes::Bytes;
use compact_str::CompactString;

use crate::class::Class;
use crate::id::CustomerId;
use crate::message::Call;
use crate::message::Dispatch;
use crate::message::ModelCall;
use crate::message::ServiceCall;
use crate::quantity::Tokens;
use crate::time::DurationMs;
use crate::wire::attempt::WireAttempt;
use crate::wire::attempt::decode_attempt;
use crate::wire::error::WireError;

/// Encoded [`ModelCall`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireModelCall {
    /// Id of the version to run.
    #[prost(string, tag = "1")]
    pub version: String,
    /// Whether the caller requested a streamed response.
    #[prost(bool, tag = "2")]
    pub stream: bool,
    /// Whether the caller requested the usage at the end of the stream.
    #[prost(bool, tag = "3")]
    pub include_usage: bool,
    /// Estimated number of tokens in the prompt.
    #[prost(uint64, tag = "4")]
    pub prompt_tokens: u64,
    /// Expected number of tokens in the answer, or the limit that the caller set.
    #[prost(uint64, tag = "5")]
    pub answer_tokens: u64,
    /// Hash of the prompt's prefix.
    #[prost(fixed64, tag = "6")]
    pub prefix_hash: u64,
    /// JSON body as received from the caller.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: Bytes,
}

/// Encoded [`ServiceCall`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireServiceCall {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// HTTP method.
    #[prost(string, tag = "2")]
    pub method: String,
    /// Path and query relative to the root of the service.
    #[prost(string, tag = "3")]
    pub path: String,
    /// Content type of the request body, if the caller stated one.
    #[prost(string, optional, tag = "4")]
    pub content_type: Option<String>,
    /// Idempotency key, if the caller sent one.
    #[prost(string, optional, tag = "5")]
    pub idempotency_key: Option<String>,
    /// Whether the call may be retried if its outcome is unknown.
    #[prost(bool, tag = "6")]
    pub repeatable: bool,
    /// Request body as received from the caller.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: Bytes,
}

/// Encoded [`Call`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Oneof)]
pub enum WireCall {
    /// A chat completion by a model engine.
    #[prost(message, tag = "6")]
    Model(WireModelCall),
    /// A call that is forwarded unchanged to a plain service.
    #[prost(message, tag = "7")]
    Service(WireServiceCall),
}

/// Encoded [`Dispatch`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireDispatch {
    /// Id of the attempt; required.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<WireAttempt>,
    /// Id of the customer that is billed.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Urgency class: 0 is interactive, 1 is batch.
    #[prost(uint32, tag = "3")]
    pub class: u32,
    /// Session of the request, if the caller named one.
    #[prost(string, optional, tag = "4")]
    pub session: Option<String>,
    /// Milliseconds remaining until the deadline of the request.
    #[prost(uint64, tag = "5")]
    pub time_left_ms: u64,
    /// The call to make; required.
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
            attempt: decode_attempt(wire.attempt)?,
            customer: CustomerId::try_from(wire.customer.as_str())?,
            class: class_from_code(wire.class)?,
            session: wire.session.map(|session| session.parse()).transpose()?,
            time_left_ms: DurationMs::new(wire.time_left_ms),
            call,
        })
    }
}
