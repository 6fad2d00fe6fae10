//! Options of a gateway process.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use hickorydoor::gateway::GatewaySettings;
use hickorydoor::quantity::ByteCount;

use crate::gateway::header_names::HeaderNames;

/// Options of a gateway process, fixed for its lifetime.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Settings of the reducer, passed to it unchanged.
    pub settings: GatewaySettings,
    /// Address of the HTTP port for callers; port 0 lets the system choose one.
    pub http_listen: SocketAddr,
    /// Address at which the platform checks readiness; metrics are served here too.
    pub ready_listen: SocketAddr,
    /// Path of the readiness check, which answers with status 200 or 503.
    pub ready_path: String,
    /// Additional address for metrics; `None` serves them only at `ready_listen`.
    pub metrics_listen: Option<SocketAddr>,
    /// Own address for digests between gateways.
    pub peer_ip: IpAddr,
    /// UDP port for digests between gateways, the same on all hosts.
    pub peer_port: u16,
    /// TCP port on which other gateways can follow this one, the same on all hosts.
    pub feed_port: u16,
    /// Interval between two digests to the other gateways. In large fleets, it is lengthened in
    /// proportion to their number.
    pub peer_interval: Duration,
    /// Memory that is held for callers.
    pub held_bytes: ByteCount,
    /// Maximum number of callers' connections.
    pub max_connections: u32,
    /// Names of the headers that the gateway reads and sets.
    pub header_names: HeaderNames,
}
