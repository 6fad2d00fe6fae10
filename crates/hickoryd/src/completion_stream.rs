//! Presents a whole answer as a stream.

use bytes::Bytes;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// The events of a stream that gives this answer, or nothing if it is no chat completion.
pub fn completion_to_stream(answer: &[u8], include_usage: bool) -> Option<Bytes> {
    let answer: Map<String, Value> = serde_json::from_slice(answer).ok()?;
    let choices = answer.get("choices")?.as_array()?;
    let mut events = String::new();
    let deltas: Vec<Value> = choices.iter().map(delta).collect();
    let endings: Vec<Value> = choices.iter().map(ending).collect();
    push(&mut events, &chunk(&answer, &deltas, None));
    push(&mut events, &chunk(&answer, &endings, None));
    if include_usage {
        push(&mut events, &chunk(&answer, &[], answer.get("usage")));
    }
    events.push_str("data: [DONE]\n\n");
    Some(events.into())
}

fn push(events: &mut String, chunk: &Value) {
    events.push_str("data: ");
    events.push_str(&chunk.to_string());
    events.push_str("\n\n");
}

fn delta(choice: &Value) -> Value {
    json!({ "index": choice["index"], "delta": choice["message"], "finish_reason": null })
}

fn ending(choice: &Value) -> Value {
    json!({ "index": choice["index"], "delta": {}, "finish_reason": choice["finish_reason"] })
}

fn chunk(answer: &Map<String, Value>, choices: &[Value], usage: Option<&Value>) -> Value {
    let mut chunk = json!({
        "id": answer.get("id"),
        "object": "chat.completion.chunk",
        "created": answer.get("created"),
        "model": answer.get("model"),
        "choices": choices,
    });
    if let Some(usage) = usage {
        chunk["usage"] = usage.clone();
    }
    chunk
}
