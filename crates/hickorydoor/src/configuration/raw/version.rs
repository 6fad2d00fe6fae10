//! Versions as operators write them.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::model::VersionState;
use crate::id::VersionId;

/// A version of a model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawVersion {
    /// The version's id.
    pub id: VersionId,
    /// Its state.
    pub state: VersionState,
    /// Share of new sessions that a canary gets, 0 to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub canary_share: Option<f64>,
}
