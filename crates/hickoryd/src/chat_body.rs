//! Parser for the body of a chat completion request.
//!
//! Only the fields that routing needs are read. The body itself is forwarded to the agent as
//! received.

use std::borrow::Cow;
use std::fmt;

use bytes::Bytes;
use compact_str::CompactString;
use hickorydoor::entry::caller_request::ChatRequest;
use hickorydoor::id::SessionId;
use hickorydoor::quantity::Tokens;
use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::Xxh3Default;

/// Bytes of JSON text for each token. Tokenizers for European languages yield 3.5 to 4.5.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens that the chat template adds to each message.
const TOKENS_PER_MESSAGE: usize = 4;
/// Bytes of the conversation that the prefix hash covers. With a longer prefix, requests that share
/// a system prompt would get different hashes.
const PREFIX_BYTES: usize = 1024;

/// Reason why a body is not a chat completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChatBodyError {
    /// The body is not JSON or a field has the wrong type.
    Malformed {
        /// Message of the JSON parser, with line and column.
        detail: CompactString,
    },
    /// The list of messages is empty.
    NoMessages,
}

impl ChatBodyError {
    /// Returns the name of the invalid field, if it is known.
    pub const fn param(&self) -> Option<&'static str> {
        match self {
            Self::Malformed { .. } => None,
            Self::NoMessages => Some("messages"),
        }
    }
}

impl fmt::Display for ChatBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed { detail } => write!(f, "the body is not a chat completion: {detail}"),
            Self::NoMessages => f.write_str("messages must hold at least one message"),
        }
    }
}

impl std::error::Error for ChatBodyError {}

#[derive(Deserialize)]
struct RawChat<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(borrow)]
    messages: Vec<RawMessage<'a>>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<RawStreamOptions>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(borrow, default)]
    user: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct RawMessage<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(borrow, default)]
    content: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct RawStreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Parsed chat completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatBody {
    /// Fields that the reducer needs, with the body as received.
    pub request: ChatRequest,
    /// Session from the `user` field; `None` if the field is absent or no valid session id.
    pub session: Option<SessionId>,
}

impl TryFrom<Bytes> for ChatBody {
    type Error = ChatBodyError;

    fn try_from(body: Bytes) -> Result<Self, ChatBodyError> {
        let raw: RawChat<'_> = serde_json::from_slice(&body).map_err(|error| {
            ChatBodyError::Malformed { detail: compact_str::format_compact!("{error}") }
        })?;
        if raw.messages.is_empty() {
            return Err(ChatBodyError::NoMessages);
        }
        let max_tokens = raw.max_completion_tokens.or(raw.max_tokens).map(Tokens::new);
        // The API allows any text in `user`, so an invalid session id is not an error.
        let session = raw.user.as_deref().and_then(|user| SessionId::try_from(user).ok());
        let request = ChatRequest {
            model: raw.model.as_ref().into(),
            stream: raw.stream.unwrap_or(false),
            include_usage: raw.stream_options.is_some_and(|options| options.include_usage),
            prompt_tokens: estimate_tokens(&raw.messages),
            max_tokens,
            prefix_hash: prefix_hash(&raw.messages),
            body: body.clone(),
        };
        Ok(Self { request, session })
    }
}

fn estimate_tokens(messages: &[RawMessage<'_>]) -> Tokens {
    let bytes: usize = messages.iter().map(|message| content(message).len()).sum();
    let tokens = bytes / BYTES_PER_TOKEN + messages.len() * TOKENS_PER_MESSAGE;
    Tokens::new(tokens as u64)
}

fn prefix_hash(messages: &[RawMessage<'_>]) -> u64 {
    let mut hasher = Xxh3Default::new();
    let mut remaining_bytes = PREFIX_BYTES;
    for message in messages {
        for part in [message.role.as_bytes(), content(message).as_bytes()] {
            let length = part.len().min(remaining_bytes);
            hasher.update(&part[..length]);
            remaining_bytes -= length;
        }
        if remaining_bytes == 0 {
            break;
        }
    }
    hasher.digest()
}

fn content<'a>(message: &'a RawMessage<'_>) -> &'a str {
    message.content.map_or("", RawValue::get)
}
