//! Turns in which gateways may begin the trial of a suspected part.

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::quarantine::suspect::TRIAL_SLOT_MS;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::time::DurationMs;

/// Maximum number of slots until the first gateway has another one.
const MAX_TRIAL_SLOTS: u64 = 40;

/// The turn of a gateway for one service. All gateways know their order without messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialSlot {
    position: u64,
    slots: u64,
}

impl TrialSlot {
    /// Returns the turn of `own` among the live `gateways`.
    pub fn new(service: &ServiceName, own: &HostId, gateways: &[HostId]) -> Self {
        let hash = |host: &HostId| xxh3_64(format!("{service}/{host}").as_bytes());
        let own_hash = hash(own);
        let others = gateways.iter().filter(|host| *host != own);
        let before = others.clone().filter(|host| hash(host) < own_hash).count() as u64;
        let slots = (1 + others.count() as u64).min(MAX_TRIAL_SLOTS);
        Self { position: before % slots, slots }
    }

    /// Returns whether the gateway may begin a trial a time after the first slot has begun.
    pub const fn is_own(&self, after_ms: DurationMs) -> bool {
        after_ms.get() / TRIAL_SLOT_MS % self.slots == self.position
    }
}
