//! Serde functions for the base64 strings in which the JSON gateway carries keys and values.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;

pub fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(bytes))
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
    STANDARD.decode(text.as_bytes()).map(Bytes::from).map_err(D::Error::custom)
}
