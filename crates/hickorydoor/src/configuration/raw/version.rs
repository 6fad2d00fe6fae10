//! Serialised form of model versions.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::model::VersionState;
use crate::id::VersionId;

/// Unvalidated [`Version`](crate::configuration::model::Version).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawVersion {
    /// Id, unique across all models.
    pub id: VersionId,
    /// Rollout state, in lower case.
    pub state: VersionState,
    /// Share of new sessions and requests, from 0 to 1; required for a canary, else not allowed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub canary_share: Option<f64>,
}
