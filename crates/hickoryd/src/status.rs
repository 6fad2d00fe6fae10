//! State of a process as `/status` of the operator port reports it.

use hickorydoor::id::HostId;
use hickorydoor::id::Revision;
use serde::Serialize;

/// State of an agent from the point of view of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct PeerStatus {
    pub host: HostId,
    pub connected: bool,
    /// Set if the agent finishes its attempts and accepts no more.
    pub draining: bool,
    /// Attempts of this entry that the agent has in progress.
    pub in_flight: u32,
}

/// State of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Status {
    /// `entry` or `agent`.
    pub role: &'static str,
    pub host: HostId,
    /// Revision of the configuration in force; 0 before the first one.
    pub revision: Revision,
    /// Open requests of an entry or attempts of an agent.
    pub in_flight: usize,
    /// An entry is ready if it has a configuration and a link to an agent, an agent if it has a link
    /// to an entry.
    pub ready: bool,
    /// Agents of an entry; empty for an agent.
    pub members: Vec<PeerStatus>,
}
