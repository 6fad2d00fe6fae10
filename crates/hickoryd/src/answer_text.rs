//! The text of an answer, as the rating service judges it.

use serde::Deserialize;

const EVENT_PREFIX: &str = "data:";

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Message {
    content: Option<String>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Choice {
    message: Message,
    delta: Message,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Completion {
    choices: Vec<Choice>,
}

/// The text of a whole answer or of a stream of server-sent events. A body of another kind is
/// returned as it is.
pub fn answer_text(body: &[u8]) -> String {
    if let Some(text) = completion_text(body) {
        return text;
    }
    let body = String::from_utf8_lossy(body);
    let events = body.lines().filter_map(|line| line.strip_prefix(EVENT_PREFIX));
    let pieces: Vec<String> =
        events.filter_map(|event| completion_text(event.trim().as_bytes())).collect();
    if pieces.is_empty() { body.into_owned() } else { pieces.concat() }
}

fn completion_text(json: &[u8]) -> Option<String> {
    let completion: Completion = serde_json::from_slice(json).ok()?;
    let Some(choice) = completion.choices.into_iter().next() else {
        return Some(String::new());
    };
    Some(choice.message.content.or(choice.delta.content).unwrap_or_default())
}
