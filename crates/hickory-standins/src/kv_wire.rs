//! The gateway's JSON as the stand-in reads and writes it.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::kv_store::Condition;
use crate::kv_store::Event;
use crate::kv_store::Key;
use crate::kv_store::KeyRange;
use crate::kv_store::Step;
use crate::kv_store::StepResult;
use crate::kv_store::Stored;

pub fn header(revision: u64) -> Value {
    json!({"cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "1"})
}

pub fn bytes(value: &Value, field: &str) -> Option<Vec<u8>> {
    match value.get(field) {
        None => Some(Vec::new()),
        Some(text) => STANDARD.decode(text.as_str()?).ok(),
    }
}

pub fn int(value: &Value, field: &str) -> Option<u64> {
    match value.get(field) {
        None => Some(0),
        Some(Value::String(text)) => text.parse().ok(),
        Some(number) => number.as_u64(),
    }
}

fn list<'a>(value: &'a Value, field: &str) -> &'a [Value] {
    value.get(field).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

pub fn conditions(request: &Value) -> Option<Vec<Condition>> {
    list(request, "compare").iter().map(condition).collect()
}

fn condition(value: &Value) -> Option<Condition> {
    let key = bytes(value, "key")?;
    let target = value.get("target").and_then(Value::as_str);
    let result = value.get("result").and_then(Value::as_str);
    match (target?, result?) {
        ("CREATE", "EQUAL") => {
            Some(Condition::CreateRevisionIs(key, int(value, "create_revision")?))
        }
        ("CREATE", "GREATER") => {
            Some(Condition::CreateRevisionAbove(key, int(value, "create_revision")?))
        }
        ("MOD", "EQUAL") => Some(Condition::ModifyRevisionIs(key, int(value, "mod_revision")?)),
        _ => None,
    }
}

pub fn steps(request: &Value, field: &str) -> Option<Vec<Step>> {
    list(request, field).iter().map(step).collect()
}

fn step(value: &Value) -> Option<Step> {
    if let Some(put) = value.get("request_put") {
        let key = bytes(put, "key")?;
        return Some(Step::Put { key, value: bytes(put, "value")?, lease: int(put, "lease")? });
    }
    if let Some(delete) = value.get("request_delete_range") {
        return Some(Step::Delete(range(delete)?));
    }
    let read = value.get("request_range")?;
    Some(Step::Range { range: range(read)?, limit: int(read, "limit")? as usize })
}

pub fn range(value: &Value) -> Option<KeyRange> {
    Some(KeyRange { start: bytes(value, "key")?, end: bytes(value, "range_end")? })
}

pub fn step_result(result: &StepResult, revision: u64) -> Value {
    match result {
        StepResult::Put => json!({"response_put": {"header": header(revision)}}),
        StepResult::Deleted(count) => json!({
            "response_delete_range": {"header": header(revision), "deleted": count.to_string()},
        }),
        StepResult::Range { .. } => json!({"response_range": range_result(result, revision)}),
    }
}

/// Fields with default values are left out, as the gateway does.
pub fn range_result(result: &StepResult, revision: u64) -> Value {
    let mut object = Map::new();
    object.insert("header".into(), header(revision));
    if let StepResult::Range { pairs, count } = result
        && *count > 0
    {
        let kvs = pairs.iter().map(|(key, stored)| pair(key, stored)).collect();
        object.insert("kvs".into(), Value::Array(kvs));
        object.insert("count".into(), count.to_string().into());
        if *count > pairs.len() {
            object.insert("more".into(), true.into());
        }
    }
    Value::Object(object)
}

fn pair(key: &Key, stored: &Stored) -> Value {
    let mut object = Map::new();
    object.insert("key".into(), STANDARD.encode(key).into());
    object.insert("create_revision".into(), stored.create_revision.to_string().into());
    object.insert("mod_revision".into(), stored.modify_revision.to_string().into());
    object.insert("version".into(), stored.version.to_string().into());
    if !stored.value.is_empty() {
        object.insert("value".into(), STANDARD.encode(&stored.value).into());
    }
    if stored.lease != 0 {
        object.insert("lease".into(), stored.lease.to_string().into());
    }
    Value::Object(object)
}

pub fn event(event: &Event) -> Value {
    match &event.stored {
        Some(stored) => json!({"kv": pair(&event.key, stored)}),
        None => json!({
            "type": "DELETE",
            "kv": {
                "key": STANDARD.encode(&event.key),
                "mod_revision": event.revision.to_string(),
            },
        }),
    }
}
