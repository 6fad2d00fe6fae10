//! Cascades as operators write them.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::cascade::Cascade;
use crate::configuration::raw::error::RawConfigurationError;
use crate::id::CascadeId;
use crate::id::ModelId;

/// A cascade.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCascade {
    /// The cascade's id.
    pub id: CascadeId,
    /// Models in the order in which they are tried.
    pub steps: Vec<ModelId>,
    /// Lowest rating with which an answer is released, 0 to 1.
    pub release_score: f64,
}

impl From<&Cascade> for RawCascade {
    fn from(cascade: &Cascade) -> Self {
        Self {
            id: cascade.id.clone(),
            steps: cascade.steps.clone(),
            release_score: cascade.release_score,
        }
    }
}

impl TryFrom<RawCascade> for Cascade {
    type Error = RawConfigurationError;

    fn try_from(raw: RawCascade) -> Result<Self, RawConfigurationError> {
        let path = format!("cascades.{}", raw.id);
        if raw.steps.is_empty() {
            return Err(RawConfigurationError::field(
                format!("{path}.steps"),
                "a list of at least one model",
            ));
        }
        if !(0.0..=1.0).contains(&raw.release_score) {
            return Err(RawConfigurationError::field(
                format!("{path}.release_score"),
                "between 0 and 1",
            ));
        }
        Ok(Self { id: raw.id, steps: raw.steps, release_score: raw.release_score })
    }
}
