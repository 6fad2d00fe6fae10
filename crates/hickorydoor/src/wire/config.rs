//! Encoding of configuration updates.

use bytes::Bytes;

use crate::configuration::Configuration;
use crate::configuration::change::ChangeRecord;
use crate::configuration::raw::RawChangeRecord;
use crate::configuration::raw::RawConfiguration;
use crate::configuration::raw::RawConfigurationError;
use crate::message::ConfigUpdate;
use crate::wire::error::WireError;

/// Encoded [`ConfigUpdate`]. Changes and configurations are sent as JSON, the form in which they
/// are stored.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireConfigUpdate {
    /// Consecutive change records, each as JSON; ignored if there is a snapshot.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub deltas: Vec<Bytes>,
    /// A whole configuration as JSON.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub snapshot: Option<Bytes>,
}

fn syntax_error(error: &serde_json::Error) -> WireError {
    WireError::Configuration(RawConfigurationError::Syntax {
        line: Some(error.line()),
        detail: error.to_string().into(),
    })
}

fn to_json<T: serde::Serialize>(value: &T) -> Bytes {
    // Serialising the raw types cannot fail: their keys are strings and their numbers are finite.
    serde_json::to_vec(value).unwrap_or_default().into()
}

impl From<ConfigUpdate> for WireConfigUpdate {
    fn from(update: ConfigUpdate) -> Self {
        match update {
            ConfigUpdate::Deltas(records) => Self {
                deltas: records.iter().map(|r| to_json(&RawChangeRecord::from(r))).collect(),
                snapshot: None,
            },
            ConfigUpdate::Snapshot(configuration) => Self {
                deltas: Vec::new(),
                snapshot: Some(to_json(&RawConfiguration::from(&*configuration))),
            },
        }
    }
}

impl TryFrom<WireConfigUpdate> for ConfigUpdate {
    type Error = WireError;

    fn try_from(wire: WireConfigUpdate) -> Result<Self, WireError> {
        if let Some(snapshot) = wire.snapshot {
            let raw: RawConfiguration =
                serde_json::from_slice(&snapshot).map_err(|error| syntax_error(&error))?;
            return Ok(Self::Snapshot(Box::new(Configuration::try_from(raw)?)));
        }
        let record = |json: &Bytes| {
            let raw: RawChangeRecord =
                serde_json::from_slice(json).map_err(|error| syntax_error(&error))?;
            Ok(ChangeRecord::try_from(raw)?)
        };
        let records: Result<Vec<ChangeRecord>, WireError> =
            wire.deltas.iter().map(record).collect();
        Ok(Self::Deltas(records?))
    }
}
