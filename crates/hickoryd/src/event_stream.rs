//! Server-sent events of a model engine.
//!
//! The stream is cut at event boundaries, so that an entry can end an answer with an error event
//! and never has to send half an event.

use std::borrow::Cow;

use bytes::Bytes;
use bytes::BytesMut;
use hickorydoor::billing::usage::Usage;
use hickorydoor::quantity::Tokens;
use serde::Deserialize;

/// Longest event; engines send a few hundred bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event that is longer than any engine sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes from the engine.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// The next whole event with its closing blank line.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, EventTooLong> {
        if let Some(end) = event_end(&self.buffer, self.searched) {
            self.searched = 0;
            return Ok(Some(self.buffer.split_to(end).freeze()));
        }
        // The blank line may begin in the last bytes that were searched.
        self.searched = self.buffer.len().saturating_sub(3);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(None)
    }

    /// Whether no part of an event is left.
    pub fn is_empty(&self) -> bool {
        self.buffer.iter().all(u8::is_ascii_whitespace)
    }
}

fn event_end(buffer: &[u8], from: usize) -> Option<usize> {
    for (index, byte) in buffer.iter().enumerate().skip(from) {
        if *byte != b'\n' {
            continue;
        }
        if buffer.get(index + 1) == Some(&b'\n') {
            return Some(index + 2);
        }
        if buffer.get(index + 1..index + 3) == Some(b"\r\n") {
            return Some(index + 3);
        }
    }
    None
}

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
pub fn usage_of_answer(body: &[u8]) -> Option<Usage> {
    let answer: RawAnswer = serde_json::from_slice(body).ok()?;
    answer.usage.map(Usage::from)
}

/// Reads an event of a chat stream. Events that are not JSON count for nothing and pass through.
pub fn inspect(event: &[u8]) -> EventContent {
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
