//! Parses server-sent events and usage reports of model engines.

use std::borrow::Cow;

use hickorydoor::billing::usage::Usage;
use hickorydoor::quantity::Tokens;
use serde::Deserialize;

/// Content of a chat stream event, as needed to bill tokens and to detect the end of the stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventContent {
    /// Number of answer tokens in the event.
    pub tokens: Tokens,
    /// Usage that the event reports, if any.
    pub usage: Option<Usage>,
    /// Whether the event reports usage and nothing else.
    pub usage_only: bool,
    /// Whether the event is the final `[DONE]`.
    pub done: bool,
}

#[derive(Deserialize)]
struct RawEvent<'a> {
    #[serde(borrow, default)]
    choices: Vec<RawChoice<'a>>,
    #[serde(default)]
    usage: Option<RawUsage>,
}

#[derive(Deserialize)]
struct RawChoice<'a> {
    #[serde(borrow, default)]
    delta: Option<RawDelta<'a>>,
}

#[derive(Deserialize)]
struct RawDelta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

/// Usage in the format of the engines; missing counts are 0.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct RawUsage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

impl From<RawUsage> for Usage {
    fn from(raw: RawUsage) -> Self {
        Self {
            prompt_tokens: Tokens::new(raw.prompt_tokens),
            answer_tokens: Tokens::new(raw.completion_tokens),
        }
    }
}

#[derive(Deserialize)]
struct RawResponse {
    #[serde(default)]
    usage: Option<RawUsage>,
}

/// Returns the usage that a response without streaming reports, if any.
pub fn response_usage(body: &[u8]) -> Option<Usage> {
    let response: RawResponse = serde_json::from_slice(body).ok()?;
    response.usage.map(Usage::from)
}

/// Parses an event of a chat stream. An event that is not JSON has no content, but is forwarded.
pub fn parse_chat_event(event: &[u8]) -> EventContent {
    let Some(data) = data_line(event) else {
        return EventContent::default();
    };
    if data == b"[DONE]" {
        return EventContent { done: true, ..EventContent::default() };
    }
    let Ok(raw) = serde_json::from_slice::<RawEvent<'_>>(data) else {
        return EventContent::default();
    };
    let tokens = raw.choices.iter().filter(|choice| has_content(choice)).count();
    EventContent {
        tokens: Tokens::new(tokens as u64),
        usage: raw.usage.map(Usage::from),
        usage_only: raw.usage.is_some() && raw.choices.is_empty(),
        done: false,
    }
}

fn has_content(choice: &RawChoice<'_>) -> bool {
    let delta = choice.delta.as_ref();
    delta.and_then(|delta| delta.content.as_ref()).is_some_and(|content| !content.is_empty())
}

fn data_line(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}
