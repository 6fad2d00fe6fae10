//! Requests that wait at a gateway for upstreams of one service.

use smallvec::SmallVec;

use crate::id::ServiceName;
use crate::time::DurationMs;

/// Requests of one rank that wait.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankDemand {
    /// Priority of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Number of requests.
    pub requests: u32,
    /// Prefill time of their prompts if nothing is cached, in ms.
    pub prefill_ms: f64,
    /// How long the oldest of them has waited.
    pub waited_ms: DurationMs,
}

/// Requests of one service that wait at a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceDemand {
    /// Service that they are for.
    pub service: ServiceName,
    /// Requests of the gateway in flight at upstreams of the service.
    pub in_flight: u32,
    /// Waiting requests by rank, each rank once.
    pub ranks: SmallVec<[RankDemand; 3]>,
}

impl ServiceDemand {
    /// Creates a demand without waiting requests.
    pub fn new(service: ServiceName, in_flight: u32) -> Self {
        Self { service, in_flight, ranks: SmallVec::new() }
    }

    /// Adds a waiting request.
    pub fn add(&mut self, rank: u8, prefill_ms: f64, waited_ms: DurationMs) {
        let known = self.ranks.iter().position(|demand| demand.rank == rank);
        let index = known.unwrap_or_else(|| {
            self.ranks.push(RankDemand { rank, ..RankDemand::default() });
            self.ranks.len() - 1
        });
        let demand = &mut self.ranks[index];
        demand.requests += 1;
        demand.prefill_ms += prefill_ms;
        demand.waited_ms = demand.waited_ms.max(waited_ms);
    }
}
