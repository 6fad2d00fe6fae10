//! Phases of a rollout.

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutPhase {
    /// A small share of the sessions uses the new version.
    Canary,
    /// A larger share of the sessions uses the new version.
    Widened,
    /// All new requests go to the new version.
    Full,
    /// Only the new version is in use.
    Completed,
    /// The new version was worse; only the old version is in use.
    RolledBack,
}

impl RolloutPhase {
    /// Returns whether the new version gets a share of the requests.
    pub const fn is_partial(self) -> bool {
        matches!(self, Self::Canary | Self::Widened)
    }

    /// Returns whether the rollout has ended.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}
