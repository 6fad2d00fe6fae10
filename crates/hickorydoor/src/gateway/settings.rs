//! Settings of the gateway's reducer.

use crate::gateway::placement::PlacementCosts;
use crate::gateway::retry_budget::RetryBound;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::time::DurationMs;

/// Settings of a gateway, fixed for the lifetime of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Host of this gateway, which identifies it among the gateways.
    pub host: HostId,
    /// Start of the process; later incarnations are higher.
    pub incarnation: u64,
    /// Data centre of this gateway; upstreams in other ones cost more.
    pub data_centre: DataCentreId,
    /// Maximum age of the configuration; with an older one, requests are refused, since keys may
    /// have been revoked.
    pub max_configuration_age_ms: DurationMs,
    /// Bound on retries of each service, for all gateways together.
    pub retries: RetryBound,
    /// Cost parameters of placement.
    pub costs: PlacementCosts,
    /// Time after its last request for which a session keeps its version.
    pub session_ms: DurationMs,
    /// Time after the store has recovered for which removed registrations are kept.
    pub store_recovery_grace_ms: DurationMs,
    /// Time after the request to stop for which new requests are still served.
    pub stop_notice_ms: DurationMs,
    /// Factor applied to the rate bound of cold upstreams before it is divided among gateways.
    pub cold_share: f64,
}
