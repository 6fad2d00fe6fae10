//! Conversion of the body of a model call for the engine.

use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::CompactString;
use hickorydoor::message::ModelCall;
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;

/// Rewrites the body from the caller for the engine: `model` names the version, `stream` is set as
/// the entry requests it, and streams always report usage.
///
/// # Errors
/// Returns an error if the body is not a JSON object.
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

/// Returns the stream options from the caller with `include_usage` set.
fn stream_options(requested: Option<&RawValue>) -> Result<Box<RawValue>, serde_json::Error> {
    let mut options: serde_json::Map<String, serde_json::Value> =
        requested.and_then(|raw| serde_json::from_str(raw.get()).ok()).unwrap_or_default();
    options.insert("include_usage".to_owned(), true.into());
    to_raw_value(&options)
}
