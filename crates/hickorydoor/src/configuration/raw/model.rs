//! Serialised form of models.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::model::Model;
use crate::configuration::model::Version;
use crate::configuration::model::VersionState;
use crate::configuration::raw::error::RawConfigurationError;
use crate::configuration::raw::share::check_share;
use crate::configuration::raw::version::RawVersion;
use crate::id::ModelId;
use crate::quantity::CostMicros;
use crate::quantity::Share;

/// Unvalidated [`Model`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawModel {
    /// Unique id, which must differ from every cascade id.
    pub id: ModelId,
    /// Price per 1,000 prompt tokens.
    pub prompt_cost_micros_per_1k_tokens: u64,
    /// Price per 1,000 answer tokens.
    pub answer_cost_micros_per_1k_tokens: u64,
    /// Declared versions, oldest first; at least one.
    pub versions: Vec<RawVersion>,
}

impl From<&Model> for RawModel {
    fn from(model: &Model) -> Self {
        let versions = model.versions.iter().map(|version| RawVersion {
            id: version.id.clone(),
            state: version.state,
            canary_share: (version.state == VersionState::Canary)
                .then(|| version.canary_share.as_f64()),
        });
        Self {
            id: model.id.clone(),
            prompt_cost_micros_per_1k_tokens: model.prompt_cost_micros_per_1k_tokens.get(),
            answer_cost_micros_per_1k_tokens: model.answer_cost_micros_per_1k_tokens.get(),
            versions: versions.collect(),
        }
    }
}

impl TryFrom<RawModel> for Model {
    type Error = RawConfigurationError;

    fn try_from(raw: RawModel) -> Result<Self, RawConfigurationError> {
        let path = format!("models.{}", raw.id);
        if raw.versions.is_empty() {
            return Err(RawConfigurationError::field(
                format!("{path}.versions"),
                "a list of at least one version",
            ));
        }
        let version = |raw: RawVersion| {
            let field = format!("{path}.versions.{}.canary_share", raw.id);
            let canary_share = match (raw.state, raw.canary_share) {
                (VersionState::Canary, Some(value)) => check_share(&field, value)?,
                (VersionState::Canary, None) => {
                    return Err(RawConfigurationError::field(field, "given for a canary"));
                }
                (_, Some(_)) => {
                    return Err(RawConfigurationError::field(
                        field,
                        "left out unless state is canary",
                    ));
                }
                (_, None) => Share::ZERO,
            };
            Ok(Version { id: raw.id, state: raw.state, canary_share })
        };
        Ok(Self {
            id: raw.id,
            prompt_cost_micros_per_1k_tokens: CostMicros::new(raw.prompt_cost_micros_per_1k_tokens),
            answer_cost_micros_per_1k_tokens: CostMicros::new(raw.answer_cost_micros_per_1k_tokens),
            versions: raw.versions.into_iter().map(version).collect::<Result<_, _>>()?,
        })
    }
}
