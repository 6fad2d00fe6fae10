//! Wire types of the demand in a digest.

use prost::Message;

use crate::gateway::headroom::RankDemand;
use crate::gateway::headroom::ServiceDemand;
use crate::id::IdError;
use crate::time::DurationMs;

/// Wire type of [`RankDemand`].
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct WireRankDemand {
    /// Priority of the requests.
    #[prost(uint32, tag = "1")]
    pub rank: u32,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prefill time of their prompts.
    #[prost(uint32, tag = "3")]
    pub prefill_ms: u32,
    /// How long the oldest has waited.
    #[prost(uint32, tag = "4")]
    pub waited_ms: u32,
}

/// Wire type of [`ServiceDemand`].
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct WireServiceDemand {
    /// Service that the requests are for.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests in flight at its upstreams.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Waiting requests by rank.
    #[prost(message, repeated, tag = "3")]
    pub ranks: Vec<WireRankDemand>,
}

impl From<&ServiceDemand> for WireServiceDemand {
    fn from(demand: &ServiceDemand) -> Self {
        Self {
            service: demand.service.to_string(),
            in_flight: demand.in_flight,
            ranks: demand.ranks.iter().map(WireRankDemand::from).collect(),
        }
    }
}

impl TryFrom<WireServiceDemand> for ServiceDemand {
    type Error = IdError;

    fn try_from(wire: WireServiceDemand) -> Result<Self, IdError> {
        Ok(Self {
            service: wire.service.parse()?,
            in_flight: wire.in_flight,
            ranks: wire.ranks.iter().map(WireRankDemand::to_demand).collect(),
        })
    }
}

impl From<&RankDemand> for WireRankDemand {
    fn from(demand: &RankDemand) -> Self {
        Self {
            rank: u32::from(demand.rank),
            requests: demand.requests,
            prefill_ms: demand.prefill_ms.max(0.0) as u32,
            waited_ms: u32::try_from(demand.waited_ms.get()).unwrap_or(u32::MAX),
        }
    }
}

impl WireRankDemand {
    fn to_demand(&self) -> RankDemand {
        RankDemand {
            rank: u8::try_from(self.rank).unwrap_or(u8::MAX),
            requests: self.requests,
            prefill_ms: f64::from(self.prefill_ms),
            waited_ms: DurationMs::new(u64::from(self.waited_ms)),
        }
    }
}
