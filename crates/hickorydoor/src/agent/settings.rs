//! Settings of the agent reducer.

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RegionId;
use crate::id::UpstreamId;
use crate::message::Offer;
use crate::quantity::ByteCount;
use crate::time::DurationMs;

/// Settings of one agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// The agent's host.
    pub host: HostId,
    /// The upstream beside the agent.
    pub upstream: UpstreamId,
    /// This incarnation of the agent; later incarnations have higher numbers.
    pub incarnation: Incarnation,
    /// The agent's data centre.
    pub data_centre: DataCentreId,
    /// The region of that data centre.
    pub region: RegionId,
    /// What the upstream serves.
    pub offer: Offer,
    /// Attempts that the warm upstream bears at the same time.
    pub warm_limit: u32,
    /// Attempts that the upstream bears right after a cold start.
    pub cold_limit: u32,
    /// Time between two tokens on the warm engine without other work, as far as it is known.
    pub warm_token_interval_ms: DurationMs,
    /// Time between two load reports on a link.
    pub report_interval_ms: DurationMs,
    /// How long an attempt survives the loss of its link.
    pub resume_window_ms: DurationMs,
    /// Bytes of an answer that may be sent without credit.
    pub window_bytes: ByteCount,
}

impl AgentSettings {
    /// Settings with the default limits.
    pub fn new(
        host: HostId,
        upstream: UpstreamId,
        incarnation: Incarnation,
        data_centre: DataCentreId,
        region: RegionId,
        offer: Offer,
    ) -> Self {
        Self {
            host,
            upstream,
            incarnation,
            data_centre,
            region,
            offer,
            warm_limit: 64,
            cold_limit: 4,
            warm_token_interval_ms: DurationMs::new(20),
            report_interval_ms: DurationMs::from_secs(1),
            resume_window_ms: DurationMs::from_secs(10),
            window_bytes: ByteCount::new(64 << 10),
        }
    }
}
