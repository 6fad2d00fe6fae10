//! Settings of the gateway's reducer.

use std::net::IpAddr;

use crate::gateway::load_control::LoadControl;
use crate::gateway::member::GatewayMember;
use crate::gateway::placement::PlacementCosts;
use crate::gateway::retry_budget::RetryBound;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::quantity::KbitPerS;
use crate::time::DurationMs;

/// Settings of a gateway, fixed for the lifetime of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Host of this gateway, which identifies it among the gateways.
    pub host: HostId,
    /// Start of the process; later incarnations are higher.
    pub incarnation: u64,
    /// Data centre of this gateway; placement prefers upstreams in it.
    pub data_centre: DataCentreId,
    /// Address of this gateway's host, for messages of the other gateways.
    pub address: IpAddr,
    /// Rate of the host's link; 0 if not known.
    pub link_rate_kbit_per_s: KbitPerS,
    /// Maximum age of the configuration; with an older one, requests are rejected, since keys may
    /// have been revoked.
    pub max_configuration_age_ms: DurationMs,
    /// Bound on retries of each service, for all gateways together.
    pub retries: RetryBound,
    /// Cost parameters of placement.
    pub costs: PlacementCosts,
    /// How long a session keeps its version after its last request.
    pub session_ms: DurationMs,
    /// How long upstreams whose registrations were removed during an outage of the store are kept
    /// after it has recovered, so that they can register again.
    pub store_recovery_grace_ms: DurationMs,
    /// How long new requests are still served after the request to stop.
    pub stop_notice_ms: DurationMs,
    /// Maximum time from the request to stop until the process ends. Connections that are still open
    /// then are dropped.
    pub stop_timeout_ms: DurationMs,
    /// Factor on the rate bound of cold upstreams: all gateways together use up to this multiple of
    /// it.
    pub cold_limit_factor: f64,
    /// Optional parts of load control that the deployment uses.
    pub load_control: LoadControl,
}

impl GatewaySettings {
    /// Returns this gateway as the others know it.
    pub fn member(&self) -> GatewayMember {
        GatewayMember {
            host: self.host.clone(),
            address: self.address,
            data_centre: Some(self.data_centre.clone()),
            link_rate_kbit_per_s: self.link_rate_kbit_per_s,
        }
    }
}
