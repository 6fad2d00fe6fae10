//! Records of rollouts as messages between gateways.

use prost::Message;

use crate::gateway::feed_wire::FeedError;
use crate::gateway::feed_wire::position::WirePosition;
use crate::gateway::rollout::RolloutPhase;
use crate::gateway::rollout::RolloutRecord;
use crate::quantity::Share;
use crate::time::DurationMs;

/// A record of a rollout.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct WireRecord {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    target: String,
    #[prost(message, optional, tag = "3")]
    order: Option<WirePosition>,
    #[prost(uint32, tag = "4")]
    phase: u32,
    #[prost(message, optional, tag = "5")]
    position: Option<WirePosition>,
    #[prost(double, tag = "6")]
    share: f64,
    #[prost(uint64, optional, tag = "7")]
    order_age_ms: Option<u64>,
}

impl From<&RolloutRecord> for WireRecord {
    fn from(record: &RolloutRecord) -> Self {
        Self {
            service: record.service.to_string(),
            target: record.target.to_string(),
            order: Some(record.order.into()),
            phase: match record.phase {
                RolloutPhase::Canary => 1,
                RolloutPhase::Full => 2,
                RolloutPhase::Completed => 3,
                RolloutPhase::RolledBack => 4,
                RolloutPhase::Widened => 5,
            },
            position: Some(record.position.into()),
            share: record.share.as_f64(),
            order_age_ms: record.order_age_ms.map(DurationMs::get),
        }
    }
}

impl TryFrom<WireRecord> for RolloutRecord {
    type Error = FeedError;

    fn try_from(wire: WireRecord) -> Result<Self, FeedError> {
        Ok(Self {
            service: wire.service.parse()?,
            target: wire.target.into(),
            order: wire.order.ok_or(FeedError::Incomplete)?.into(),
            phase: match wire.phase {
                1 => RolloutPhase::Canary,
                2 => RolloutPhase::Full,
                3 => RolloutPhase::Completed,
                4 => RolloutPhase::RolledBack,
                5 => RolloutPhase::Widened,
                _ => return Err(FeedError::Incomplete),
            },
            share: Share::try_from(wire.share)?,
            order_age_ms: wire.order_age_ms.map(DurationMs::new),
            position: wire.position.ok_or(FeedError::Incomplete)?.into(),
        })
    }
}
