//! Conversion of a complete chat completion into a stream of server-sent events.

use bytes::Bytes;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// Returns the events of a stream with the same content, or `None` if the body is not a chat
/// completion.
pub fn completion_to_stream(body: &[u8], include_usage: bool) -> Option<Bytes> {
    let completion: Map<String, Value> = serde_json::from_slice(body).ok()?;
    let choices = completion.get("choices")?.as_array()?;
    let mut events = String::new();
    let contents: Vec<Value> = choices.iter().map(content_choice).collect();
    let finishes: Vec<Value> = choices.iter().map(finish_choice).collect();
    push_event(&mut events, &chunk(&completion, &contents, None));
    push_event(&mut events, &chunk(&completion, &finishes, None));
    if include_usage {
        push_event(&mut events, &chunk(&completion, &[], completion.get("usage")));
    }
    events.push_str("data: [DONE]\n\n");
    Some(events.into())
}

fn push_event(events: &mut String, chunk: &Value) {
    events.push_str("data: ");
    events.push_str(&chunk.to_string());
    events.push_str("\n\n");
}

fn content_choice(choice: &Value) -> Value {
    json!({ "index": choice["index"], "delta": choice["message"], "finish_reason": null })
}

fn finish_choice(choice: &Value) -> Value {
    json!({ "index": choice["index"], "delta": {}, "finish_reason": choice["finish_reason"] })
}

fn chunk(completion: &Map<String, Value>, choices: &[Value], usage: Option<&Value>) -> Value {
    let mut chunk = json!({
        "id": completion.get("id"),
        "object": "chat.completion.chunk",
        "created": completion.get("created"),
        "model": completion.get("model"),
        "choices": choices,
    });
    if let Some(usage) = usage {
        chunk["usage"] = usage.clone();
    }
    chunk
}
