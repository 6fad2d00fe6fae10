//! Serialised form of cascades.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::cascade::Cascade;
use crate::configuration::raw::error::RawConfigurationError;
use crate::id::CascadeId;
use crate::id::ModelId;

/// Unvalidated [`Cascade`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCascade {
    /// Unique id, which must differ from every model id.
    pub id: CascadeId,
    /// Models in the order in which they are tried; at least one.
    pub steps: Vec<ModelId>,
    /// Lowest rating, from 0 to 1, at which an answer is returned to the client.
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
