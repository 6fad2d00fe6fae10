//! Models with their prices and versions, and the rollout states of versions.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::billing::usage::Usage;
use crate::id::ModelId;
use crate::id::VersionId;
use crate::quantity::CostMicros;
use crate::quantity::Share;

/// Rollout state of a version; determines which sessions and requests it may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VersionState {
    /// Serves its sessions, and new sessions and requests without a limit on their share.
    Active,
    /// Serves its sessions and a limited share of new sessions and requests.
    Canary,
    /// Serves its sessions but accepts no new ones.
    Draining,
    /// Stopped automatically because of errors, latency or ratings; accepts no work.
    Halted,
    /// Withdrawn by operators; accepts no work.
    Withdrawn,
}

impl VersionState {
    /// Returns whether the version may serve requests of sessions that are pinned to it.
    pub const fn serves_sessions(self) -> bool {
        matches!(self, Self::Active | Self::Canary | Self::Draining)
    }

    /// Returns whether the version may serve new sessions and requests without a session.
    pub const fn accepts_new_sessions(self) -> bool {
        matches!(self, Self::Active | Self::Canary)
    }
}

impl fmt::Display for VersionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Active => "active",
            Self::Canary => "canary",
            Self::Draining => "draining",
            Self::Halted => "halted",
            Self::Withdrawn => "withdrawn",
        })
    }
}

/// Error returned when a string is not the name of a version state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownVersionState;

impl fmt::Display for UnknownVersionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the state must be active, canary, draining, halted or withdrawn")
    }
}

impl std::error::Error for UnknownVersionState {}

impl FromStr for VersionState {
    type Err = UnknownVersionState;

    fn from_str(text: &str) -> Result<Self, UnknownVersionState> {
        match text {
            "active" => Ok(Self::Active),
            "canary" => Ok(Self::Canary),
            "draining" => Ok(Self::Draining),
            "halted" => Ok(Self::Halted),
            "withdrawn" => Ok(Self::Withdrawn),
            _ => Err(UnknownVersionState),
        }
    }
}

/// A version of a model with its rollout state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Id, unique across all models.
    pub id: VersionId,
    /// Current rollout state, set by operators or by the automatic halt.
    pub state: VersionState,
    /// Share of new sessions and requests that it gets as a canary; 0 in all other states.
    pub canary_share: Share,
}

/// A model with its prices and versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Unique id, which requests give as the model name.
    pub id: ModelId,
    /// Price per 1,000 prompt tokens.
    pub prompt_cost_micros_per_1k_tokens: CostMicros,
    /// Price per 1,000 answer tokens.
    pub answer_cost_micros_per_1k_tokens: CostMicros,
    /// Declared versions in all states, oldest first.
    pub versions: Vec<Version>,
}

const PRICE_UNIT_TOKENS: u64 = 1000;

impl Model {
    /// Computes the price of `usage`, rounded up to whole micros.
    pub fn cost(&self, usage: &Usage) -> CostMicros {
        let prompt = usage.prompt_tokens.get() * self.prompt_cost_micros_per_1k_tokens.get();
        let answer = usage.answer_tokens.get() * self.answer_cost_micros_per_1k_tokens.get();
        CostMicros::new((prompt + answer).div_ceil(PRICE_UNIT_TOKENS))
    }

    /// Finds a version of this model by its id.
    pub fn version(&self, id: &VersionId) -> Option<&Version> {
        self.versions.iter().find(|version| version.id == *id)
    }
}
