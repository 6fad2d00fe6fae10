//! State of a process as its operators see it.

use hickorydoor::id::HostId;
use hickorydoor::id::Revision;
use serde::Serialize;

/// A peer of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct PeerStatus {
    /// The peer's host.
    pub host: HostId,
    /// Whether a connection is open.
    pub connected: bool,
    /// Whether the peer is leaving.
    pub draining: bool,
    /// Attempts that run there, or that came from there.
    pub in_flight: u32,
}

/// State of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Status {
    /// `entry` or `agent`.
    pub role: &'static str,
    /// The host.
    pub host: HostId,
    /// The configuration in force.
    pub revision: Revision,
    /// Requests or attempts in flight.
    pub in_flight: usize,
    /// Whether the process can do its work.
    pub ready: bool,
    /// Agents of an entry; empty at an agent.
    pub members: Vec<PeerStatus>,
}
