//! What the server-sent events of a model engine hold.

use std::borrow::Cow;

use hickorydoor::billing::usage::Usage;
use hickorydoor::quantity::Tokens;
use serde::Deserialize;

/// What an event of a chat stream holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventContent {
    /// Tokens of the answer.
    pub tokens: Tokens,
    /// Usage, if the engine reports it here.
    pub usage: Option<Usage>,
    /// Set if the event only reports usage.
    pub usage_only: bool,
    /// Set for the closing `[DONE]`.
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

/// Usage as engines report it.
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
struct RawAnswer {
    #[serde(default)]
    usage: Option<RawUsage>,
}

/// Usage in an answer that is not streamed.
pub fn response_usage(body: &[u8]) -> Option<Usage> {
    let answer: RawAnswer = serde_json::from_slice(body).ok()?;
    answer.usage.map(Usage::from)
}

/// Reads an event of a chat stream. Events that are not JSON count for nothing and pass through.
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
