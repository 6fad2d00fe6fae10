//! Models and their versions.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::billing::usage::Usage;
use crate::id::ModelId;
use crate::id::VersionId;
use crate::quantity::CostMicros;
use crate::quantity::Share;

/// State of a version in its rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VersionState {
    /// Serves new sessions and requests.
    Active,
    /// Serves a bounded share of new sessions and requests.
    Canary,
    /// Keeps its sessions and takes no new ones.
    Draining,
    /// Stopped because evidence shows that it is bad; takes no new work.
    Halted,
    /// Taken out by operators; takes no new work.
    Withdrawn,
}

impl VersionState {
    /// Whether the version may serve requests of sessions that are pinned to it.
    pub const fn serves_sessions(self) -> bool {
        matches!(self, Self::Active | Self::Canary | Self::Draining)
    }

    /// Whether the version may serve new sessions and requests without a session.
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

/// A text that names no version state.
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

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The version's id, unique across models.
    pub id: VersionId,
    /// Its state.
    pub state: VersionState,
    /// Share of new sessions and requests that a canary gets.
    pub canary_share: Share,
}

/// A model with its price and versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The model's id.
    pub id: ModelId,
    /// Price of a thousand prompt tokens.
    pub prompt_cost_micros_per_1k_tokens: CostMicros,
    /// Price of a thousand answer tokens.
    pub answer_cost_micros_per_1k_tokens: CostMicros,
    /// The versions, oldest first.
    pub versions: Vec<Version>,
}

const PRICE_UNIT_TOKENS: u64 = 1000;

impl Model {
    /// The price of `usage`, rounded up.
    pub fn cost(&self, usage: &Usage) -> CostMicros {
        let prompt = usage.prompt_tokens.get() * self.prompt_cost_micros_per_1k_tokens.get();
        let answer = usage.answer_tokens.get() * self.answer_cost_micros_per_1k_tokens.get();
        CostMicros::new((prompt + answer).div_ceil(PRICE_UNIT_TOKENS))
    }

    /// The version with this id.
    pub fn version(&self, id: &VersionId) -> Option<&Version> {
        self.versions.iter().find(|version| version.id == *id)
    }
}
