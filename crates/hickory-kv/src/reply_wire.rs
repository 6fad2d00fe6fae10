//! Decodes responses of the JSON gateway into [`KvReply`] and [`KvOutcome`].
//!
//! The gateway omits fields that have their default value; parsing restores them.

use bytes::Bytes;
use compact_str::CompactString;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvOutcome;
use hickorydoor::store::kv_call::KvPair;
use hickorydoor::store::kv_call::KvReply;
use hickorydoor::time::DurationMs;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::base64_text;
use crate::call_error::CallError;
use crate::int_text;

#[derive(Default, Deserialize)]
#[serde(default)]
struct Header {
    #[serde(with = "int_text")]
    revision: u64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct KeyValue {
    #[serde(with = "base64_text")]
    key: Bytes,
    #[serde(with = "base64_text")]
    value: Bytes,
    #[serde(with = "int_text")]
    create_revision: u64,
    #[serde(with = "int_text")]
    mod_revision: u64,
}

impl TryFrom<KeyValue> for KvPair {
    type Error = CallError;

    fn try_from(raw: KeyValue) -> Result<Self, CallError> {
        Ok(Self {
            key: decode_key(&raw.key)?,
            value: raw.value,
            create_revision: raw.create_revision,
            modify_revision: raw.mod_revision,
        })
    }
}

fn decode_key(key: &[u8]) -> Result<CompactString, CallError> {
    let malformed =
        |_error| CallError::MalformedResponse { detail: "a key is not valid UTF-8".into() };
    CompactString::from_utf8(key).map_err(malformed)
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RangeResponse {
    header: Header,
    kvs: Vec<KeyValue>,
}

impl RangeResponse {
    fn into_pairs(self) -> Result<Vec<KvPair>, CallError> {
        self.kvs.into_iter().map(KvPair::try_from).collect()
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct OperationResponse {
    response_range: Option<RangeResponse>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct TransactionResponse {
    header: Header,
    succeeded: bool,
    responses: Vec<OperationResponse>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct LeaseResponse {
    #[serde(rename = "ID", with = "int_text")]
    id: u64,
    #[serde(rename = "TTL", with = "int_text")]
    ttl_s: u64,
}

#[derive(Deserialize)]
struct StreamMessage<T> {
    result: T,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WatchResponse {
    header: Header,
    canceled: bool,
    events: Vec<WatchEvent>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WatchEvent {
    #[serde(rename = "type")]
    kind: EventKind,
    kv: KeyValue,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ErrorResponse {
    message: CompactString,
}

/// Decodes the response to `call`; `path` is the one to which `call` was sent.
pub fn decode(call: &KvCall, path: &str, body: &[u8]) -> Result<KvReply, CallError> {
    match call {
        KvCall::Transaction { .. } if path == "/v3/kv/range" => {
            let raw: RangeResponse = parse(body)?;
            let store_revision = raw.header.revision;
            let results = vec![raw.into_pairs()?];
            Ok(KvReply::Transaction { succeeded: true, store_revision, results })
        }
        KvCall::Transaction { .. } => transaction_reply(parse(body)?),
        KvCall::Grant { .. } => Ok(lease_reply(&parse(body)?)),
        KvCall::KeepAlive { lease: id } => {
            let mut raw = parse::<StreamMessage<LeaseResponse>>(body)?.result;
            raw.id = *id;
            Ok(lease_reply(&raw))
        }
        KvCall::Revoke { .. } | KvCall::Watch { .. } | KvCall::Unwatch => Ok(KvReply::Done),
    }
}

/// Decodes the response to a request to `/v3/kv/range`.
pub fn decode_range(body: &[u8]) -> Result<Vec<KvPair>, CallError> {
    parse::<RangeResponse>(body)?.into_pairs()
}

fn transaction_reply(raw: TransactionResponse) -> Result<KvReply, CallError> {
    let pairs = |response: OperationResponse| match response.response_range {
        Some(range) => range.into_pairs(),
        None => Ok(Vec::new()),
    };
    Ok(KvReply::Transaction {
        succeeded: raw.succeeded,
        store_revision: raw.header.revision,
        results: raw.responses.into_iter().map(pairs).collect::<Result<_, _>>()?,
    })
}

fn lease_reply(raw: &LeaseResponse) -> KvReply {
    KvReply::Lease { lease: raw.id, ttl_ms: DurationMs::from_secs(raw.ttl_s) }
}

/// Decodes one message of a watch; `None` if it has no events.
pub fn decode_watch(message: &[u8]) -> Result<Option<KvOutcome>, CallError> {
    let raw = parse::<StreamMessage<WatchResponse>>(message)?.result;
    if raw.canceled {
        return Err(CallError::ResponseLost { detail: "the service canceled the watch".into() });
    }
    if raw.events.is_empty() {
        return Ok(None);
    }
    let mut written = Vec::new();
    let mut deleted = Vec::new();
    for event in raw.events {
        match event.kind {
            EventKind::Put => written.push(event.kv.try_into()?),
            EventKind::Delete => deleted.push(decode_key(&event.kv.key)?),
        }
    }
    Ok(Some(KvOutcome::Watched { store_revision: raw.header.revision, written, deleted }))
}

/// Returns the message of an error response, or the start of the body if it has none.
pub fn decode_error(body: &[u8]) -> CompactString {
    const MAX_DETAIL_CHARS: usize = 200;
    match serde_json::from_slice::<ErrorResponse>(body) {
        Ok(error) if !error.message.is_empty() => error.message,
        _ => String::from_utf8_lossy(body).chars().take(MAX_DETAIL_CHARS).collect(),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body)
        .map_err(|error| CallError::MalformedResponse { detail: error.to_string().into() })
}
