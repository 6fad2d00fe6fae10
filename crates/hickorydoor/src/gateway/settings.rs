//! Settings of the gateway's reducer.

use crate::gateway::placement::PlacementCosts;
use crate::gateway::retry_budget::RetryBound;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::time::DurationMs;

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Own host.
    pub host: HostId,
    /// Start of the process; a higher one is later.
    pub incarnation: u64,
    /// Own data centre.
    pub data_centre: DataCentreId,
    /// Age of the configuration from which on keys are not trusted.
    pub max_configuration_age_ms: DurationMs,
    /// Bound on repeats, for all gateways together.
    pub retries: RetryBound,
    /// Costs of placement.
    pub costs: PlacementCosts,
    /// Time for which a session keeps its version after its last request.
    pub session_ms: DurationMs,
    /// Time after the store's return for which vanished registrations are kept.
    pub store_recovery_grace_ms: DurationMs,
    /// Time after the request to stop for which new requests are still served.
    pub stop_notice_ms: DurationMs,
    /// Share of the bound of a cold upstream that is used.
    pub cold_share: f64,
}
