//! Settings of the agent reducer.

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RegionId;
use crate::id::UpstreamId;
use crate::message::Offer;
use crate::quantity::ByteCount;
use crate::time::DurationMs;

/// Settings of one agent, fixed for the lifetime of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// Host that the agent runs on, by which entries identify the agent.
    pub host: HostId,
    /// Upstream that the agent runs next to.
    pub upstream: UpstreamId,
    /// Incarnation of this process; a restarted agent must have a higher number.
    pub incarnation: Incarnation,
    /// Data centre of the host. The agent refuses work while the configuration takes it out of
    /// service.
    pub data_centre: DataCentreId,
    /// Region of the data centre, announced to entries.
    pub region: RegionId,
    /// Service or assigned versions of the upstream. An engine's own reports take precedence over
    /// the assigned versions.
    pub offer: Offer,
    /// Concurrency limit of the warm upstream.
    pub warm_limit: u32,
    /// Concurrency limit of the upstream right after a cold start; capped at the warm limit.
    pub cold_limit: u32,
    /// Expected token interval of the warm engine with a single stream. The agent replaces it by
    /// the engine's own best interval over time.
    pub warm_token_interval_ms: DurationMs,
    /// Shortest interval of load reports on an idle link, and longest time without a message on a
    /// link with attempts in progress.
    pub report_interval_ms: DurationMs,
    /// How long an attempt stays resumable after its link was lost.
    pub resume_window_ms: DurationMs,
    /// Flow-control window: response bytes that may be sent before the entry credits them.
    pub window_bytes: ByteCount,
}

impl AgentSettings {
    /// Creates settings with default limits and intervals.
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
