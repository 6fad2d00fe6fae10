//! What a gateway process needs to start.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use hickorydoor::gateway::GatewaySettings;

use crate::gateway::header_names::HeaderNames;

/// Settings of a gateway process.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Settings of the reducer.
    pub settings: GatewaySettings,
    /// Where callers connect.
    pub http_listen: SocketAddr,
    /// Where readiness is asked for.
    pub ready_listen: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: String,
    /// Where metrics are served, if anywhere.
    pub metrics_listen: Option<SocketAddr>,
    /// Own address for messages between gateways.
    pub peer_ip: IpAddr,
    /// UDP port for messages between gateways, the same on all hosts.
    pub peer_port: u16,
    /// Time between two reports to the other gateways.
    pub peer_interval: Duration,
    /// Time from the request to stop to the end of the process.
    pub stop_timeout: Duration,
    /// Headers.
    pub header_names: HeaderNames,
}
