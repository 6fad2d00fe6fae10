//! Positions in the store as messages between gateways.

use prost::Message;

use crate::gateway::store_position::StoreEra;
use crate::gateway::store_position::StorePosition;

/// A position in the store.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Message)]
pub struct WirePosition {
    #[prost(uint64, tag = "1")]
    era: u64,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

impl From<StorePosition> for WirePosition {
    fn from(position: StorePosition) -> Self {
        Self { era: position.era.get(), revision: position.revision }
    }
}

impl From<WirePosition> for StorePosition {
    fn from(wire: WirePosition) -> Self {
        Self::new(StoreEra::new(wire.era), wire.revision)
    }
}
