//! The request body as the engine gets it.

use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::CompactString;
use hickorydoor::message::ModelCall;
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;

/// Rewrites the caller's body for the engine: the version stands in `model`, `stream` says what
/// the entry asked for, and streams always report usage.
///
/// # Errors
/// Fails if the body is not a JSON object.
pub fn rewrite(call: &ModelCall) -> Result<Bytes, serde_json::Error> {
    let mut fields: BTreeMap<CompactString, &RawValue> = serde_json::from_slice(&call.body)?;
    let version = to_raw_value(call.version.as_str())?;
    let stream = to_raw_value(&call.stream)?;
    let options = stream_options(fields.get("stream_options").copied())?;
    fields.insert("model".into(), &version);
    fields.insert("stream".into(), &stream);
    if call.stream {
        fields.insert("stream_options".into(), &options);
    } else {
        fields.remove("stream_options");
    }
    serde_json::to_vec(&fields).map(Bytes::from)
}

/// The caller's stream options with usage switched on.
fn stream_options(sent: Option<&RawValue>) -> Result<Box<RawValue>, serde_json::Error> {
    let mut options: serde_json::Map<String, serde_json::Value> =
        sent.and_then(|raw| serde_json::from_str(raw.get()).ok()).unwrap_or_default();
    options.insert("include_usage".to_owned(), true.into());
    to_raw_value(&options)
}
