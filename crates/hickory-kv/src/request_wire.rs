//! Encodes calls as requests to the JSON gateway.

use bytes::Bytes;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvCompare;
use hickorydoor::store::kv_call::KvOperation;
use serde::Serialize;

use crate::base64_text;
use crate::int_text;

const MS_PER_S: u64 = 1000;

#[derive(Serialize)]
pub struct TransactionRequest {
    compare: Vec<Compare>,
    success: Vec<RequestOperation>,
    failure: Vec<RequestOperation>,
}

impl TransactionRequest {
    pub fn new(compares: &[KvCompare], then: &[KvOperation], otherwise: &[KvOperation]) -> Self {
        Self {
            compare: compares.iter().map(Compare::from).collect(),
            success: then.iter().map(RequestOperation::from).collect(),
            failure: otherwise.iter().map(RequestOperation::from).collect(),
        }
    }
}

#[derive(Serialize)]
struct Compare {
    #[serde(with = "base64_text")]
    key: Bytes,
    result: &'static str,
    target: &'static str,
    #[serde(flatten)]
    operand: CompareOperand,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum CompareOperand {
    CreateRevision(#[serde(with = "int_text")] u64),
    ModRevision(#[serde(with = "int_text")] u64),
}

impl From<&KvCompare> for Compare {
    fn from(compare: &KvCompare) -> Self {
        // A key that does not exist has create revision 0.
        let (key, result, target, operand) = match compare {
            KvCompare::Absent { key } => {
                (key, "EQUAL", "CREATE", CompareOperand::CreateRevision(0))
            }
            KvCompare::Present { key } => {
                (key, "GREATER", "CREATE", CompareOperand::CreateRevision(0))
            }
            KvCompare::ModifiedAt { key, store_revision } => {
                (key, "EQUAL", "MOD", CompareOperand::ModRevision(*store_revision))
            }
        };
        Self { key: key_bytes(key), result, target, operand }
    }
}

#[derive(Serialize)]
enum RequestOperation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    DeleteRange(DeleteRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
}

#[derive(Serialize)]
struct PutRequest {
    #[serde(with = "base64_text")]
    key: Bytes,
    #[serde(with = "base64_text")]
    value: Bytes,
    #[serde(with = "int_text")]
    lease: u64,
}

#[derive(Serialize)]
struct DeleteRequest {
    #[serde(with = "base64_text")]
    key: Bytes,
}

#[derive(Serialize)]
pub struct RangeRequest {
    #[serde(with = "base64_text")]
    key: Bytes,
    #[serde(with = "base64_text")]
    range_end: Bytes,
    #[serde(with = "int_text")]
    limit: u64,
}

impl RangeRequest {
    pub fn key(key: &str) -> Self {
        Self { key: key_bytes(key), range_end: Bytes::new(), limit: 0 }
    }

    pub fn prefix(prefix: &str, limit: u32) -> Self {
        Self { key: key_bytes(prefix), range_end: prefix_end(prefix), limit: limit.into() }
    }
}

impl RangeRequest {
    /// Creates a request for the keys with a prefix that follow `after` in key order.
    pub fn prefix_after(prefix: &str, after: Option<&str>, limit: u32) -> Self {
        let mut request = Self::prefix(prefix, limit);
        if let Some(after) = after {
            // The smallest key greater than `after` is `after` with a zero byte appended.
            let mut key = after.as_bytes().to_vec();
            key.push(0);
            request.key = key.into();
        }
        request
    }
}

impl From<&KvOperation> for RequestOperation {
    fn from(operation: &KvOperation) -> Self {
        match operation {
            KvOperation::Put { key, value, lease } => Self::Put(PutRequest {
                key: key_bytes(key),
                value: value.clone(),
                lease: lease.unwrap_or(0),
            }),
            KvOperation::Delete { key } => Self::DeleteRange(DeleteRequest { key: key_bytes(key) }),
            KvOperation::Get { key } => Self::Range(RangeRequest::key(key)),
            KvOperation::List { prefix, limit } => {
                Self::Range(RangeRequest::prefix(prefix, *limit))
            }
        }
    }
}

#[derive(Serialize)]
pub struct GrantRequest {
    #[serde(rename = "TTL", with = "int_text")]
    ttl_s: u64,
    #[serde(rename = "ID", with = "int_text")]
    id: u64,
}

#[derive(Serialize)]
pub struct LeaseRequest {
    #[serde(rename = "ID", with = "int_text")]
    id: u64,
}

#[derive(Serialize)]
pub struct WatchRequest {
    create_request: WatchCreate,
}

#[derive(Serialize)]
struct WatchCreate {
    #[serde(with = "base64_text")]
    key: Bytes,
    #[serde(with = "base64_text")]
    range_end: Bytes,
    #[serde(with = "int_text")]
    start_revision: u64,
}

impl WatchRequest {
    pub fn new(prefix: &str, from_store_revision: u64) -> Self {
        Self {
            create_request: WatchCreate {
                key: key_bytes(prefix),
                range_end: prefix_end(prefix),
                start_revision: from_store_revision,
            },
        }
    }
}

/// Returns the path and body of a call; `None` for [`KvCall::Watch`] and [`KvCall::Unwatch`].
pub fn encode(call: &KvCall) -> Option<(&'static str, Bytes)> {
    Some(match call {
        KvCall::Transaction { compares, then, otherwise } => {
            if let (true, [operation], true) =
                (compares.is_empty(), then.as_slice(), otherwise.is_empty())
                && let Some(range) = single_read(operation)
            {
                ("/v3/kv/range", to_json(&range))
            } else {
                ("/v3/kv/txn", to_json(&TransactionRequest::new(compares, then, otherwise)))
            }
        }
        KvCall::Grant { ttl_ms } => {
            // The gateway takes whole seconds; rounding up never shortens the requested lease.
            let ttl_s = ttl_ms.get().div_ceil(MS_PER_S);
            ("/v3/lease/grant", to_json(&GrantRequest { ttl_s, id: 0 }))
        }
        KvCall::KeepAlive { lease } => {
            ("/v3/lease/keepalive", to_json(&LeaseRequest { id: *lease }))
        }
        KvCall::Revoke { lease } => ("/v3/lease/revoke", to_json(&LeaseRequest { id: *lease })),
        KvCall::Watch { .. } | KvCall::Unwatch => return None,
    })
}

/// Returns the request for an operation that only reads, which needs no transaction when it has no
/// conditions.
fn single_read(operation: &KvOperation) -> Option<RangeRequest> {
    match operation {
        KvOperation::Get { key } => Some(RangeRequest::key(key)),
        KvOperation::List { prefix, limit } => Some(RangeRequest::prefix(prefix, *limit)),
        KvOperation::Put { .. } | KvOperation::Delete { .. } => None,
    }
}

pub fn to_json(request: &impl Serialize) -> Bytes {
    // Serializing structs with string keys to JSON cannot fail.
    serde_json::to_vec(request).unwrap_or_default().into()
}

fn key_bytes(key: &str) -> Bytes {
    Bytes::copy_from_slice(key.as_bytes())
}

/// Returns the exclusive end of the range of keys with this prefix.
fn prefix_end(prefix: &str) -> Bytes {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end.into();
        }
    }
    // No key follows those with this prefix; etcd takes a single zero byte as the end of all keys.
    Bytes::from_static(&[0])
}
