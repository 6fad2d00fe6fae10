//! Extraction of the generated text, which the rating service scores.

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

/// Returns the text of the first choice of a chat completion. The body may be a single JSON object
/// or a stream of server-sent events; a body of another kind is returned unchanged.
pub fn answer_text(body: &[u8]) -> String {
    if let Some(text) = completion_text(body) {
        return text;
    }
    let body = String::from_utf8_lossy(body);
    let events = body.lines().filter_map(|line| line.strip_prefix(EVENT_PREFIX));
    let deltas: Vec<String> =
        events.filter_map(|event| completion_text(event.trim().as_bytes())).collect();
    if deltas.is_empty() { body.into_owned() } else { deltas.concat() }
}

fn completion_text(json: &[u8]) -> Option<String> {
    let completion: Completion = serde_json::from_slice(json).ok()?;
    let Some(choice) = completion.choices.into_iter().next() else {
        return Some(String::new());
    };
    Some(choice.message.content.or(choice.delta.content).unwrap_or_default())
}
