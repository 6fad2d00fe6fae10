//! JSON encoding of the key-value stand-in, as in etcd's JSON gateway.
//!
//! Keys and values are base64 and 64-bit integers are strings. The parsing functions return `None`
//! for malformed input, and a missing field has its default value.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::kv_store::Condition;
use crate::kv_store::Event;
use crate::kv_store::Key;
use crate::kv_store::KeyRange;
use crate::kv_store::Operation;
use crate::kv_store::OperationResult;
use crate::kv_store::StoredValue;

pub fn response_header(revision: u64) -> Value {
    json!({"cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "1"})
}

pub fn bytes_field(value: &Value, field: &str) -> Option<Vec<u8>> {
    match value.get(field) {
        None => Some(Vec::new()),
        Some(text) => STANDARD.decode(text.as_str()?).ok(),
    }
}

pub fn int_field(value: &Value, field: &str) -> Option<u64> {
    match value.get(field) {
        None => Some(0),
        Some(Value::String(text)) => text.parse().ok(),
        Some(number) => number.as_u64(),
    }
}

fn array_field<'a>(value: &'a Value, field: &str) -> &'a [Value] {
    value.get(field).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

pub fn parse_conditions(request: &Value) -> Option<Vec<Condition>> {
    array_field(request, "compare").iter().map(parse_condition).collect()
}

fn parse_condition(value: &Value) -> Option<Condition> {
    let key = bytes_field(value, "key")?;
    let target = value.get("target").and_then(Value::as_str);
    let result = value.get("result").and_then(Value::as_str);
    match (target?, result?) {
        ("CREATE", "EQUAL") => {
            Some(Condition::CreateRevisionEquals(key, int_field(value, "create_revision")?))
        }
        ("CREATE", "GREATER") => {
            Some(Condition::CreateRevisionGreater(key, int_field(value, "create_revision")?))
        }
        ("MOD", "EQUAL") => {
            Some(Condition::ModRevisionEquals(key, int_field(value, "mod_revision")?))
        }
        _ => None,
    }
}

pub fn parse_operations(request: &Value, field: &str) -> Option<Vec<Operation>> {
    array_field(request, field).iter().map(parse_operation).collect()
}

fn parse_operation(value: &Value) -> Option<Operation> {
    if let Some(put) = value.get("request_put") {
        let key = bytes_field(put, "key")?;
        return Some(Operation::Put {
            key,
            value: bytes_field(put, "value")?,
            lease: int_field(put, "lease")?,
        });
    }
    if let Some(delete) = value.get("request_delete_range") {
        return Some(Operation::Delete(parse_range(delete)?));
    }
    let read = value.get("request_range")?;
    Some(Operation::Range { range: parse_range(read)?, limit: int_field(read, "limit")? as usize })
}

pub fn parse_range(value: &Value) -> Option<KeyRange> {
    Some(KeyRange { start: bytes_field(value, "key")?, end: bytes_field(value, "range_end")? })
}

pub fn encode_operation_result(result: &OperationResult, revision: u64) -> Value {
    match result {
        OperationResult::Put => json!({"response_put": {"header": response_header(revision)}}),
        OperationResult::Deleted(count) => json!({
            "response_delete_range": {
                "header": response_header(revision),
                "deleted": count.to_string(),
            },
        }),
        OperationResult::Range { .. } => {
            json!({"response_range": encode_range_result(result, revision)})
        }
    }
}

/// Encodes the result of a range read. Fields with default values are omitted, as the gateway does.
pub fn encode_range_result(result: &OperationResult, revision: u64) -> Value {
    let mut object = Map::new();
    object.insert("header".into(), response_header(revision));
    if let OperationResult::Range { pairs, count } = result
        && *count > 0
    {
        let kvs = pairs.iter().map(|(key, stored)| encode_pair(key, stored)).collect();
        object.insert("kvs".into(), Value::Array(kvs));
        object.insert("count".into(), count.to_string().into());
        if *count > pairs.len() {
            object.insert("more".into(), true.into());
        }
    }
    Value::Object(object)
}

fn encode_pair(key: &Key, stored: &StoredValue) -> Value {
    let mut object = Map::new();
    object.insert("key".into(), STANDARD.encode(key).into());
    object.insert("create_revision".into(), stored.create_revision.to_string().into());
    object.insert("mod_revision".into(), stored.mod_revision.to_string().into());
    object.insert("version".into(), stored.version.to_string().into());
    if !stored.value.is_empty() {
        object.insert("value".into(), STANDARD.encode(&stored.value).into());
    }
    if stored.lease != 0 {
        object.insert("lease".into(), stored.lease.to_string().into());
    }
    Value::Object(object)
}

pub fn encode_event(event: &Event) -> Value {
    match &event.stored {
        Some(stored) => json!({"kv": encode_pair(&event.key, stored)}),
        None => json!({
            "type": "DELETE",
            "kv": {
                "key": STANDARD.encode(&event.key),
                "mod_revision": event.revision.to_string(),
            },
        }),
    }
}
