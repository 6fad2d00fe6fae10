//! The platform's list of hosts.
//!
//! The list lags behind the hosts, so it is only a hint for discovery and for leaving hosts. What
//! links and agents say goes before it.

use std::net::SocketAddr;

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::RegionId;

/// What runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HostRole {
    /// An entry.
    Entry,
    /// An agent beside an upstream.
    Agent,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is about to be taken away.
    Leaving,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRecord {
    /// The host.
    pub host: HostId,
    /// What runs on it.
    pub role: HostRole,
    /// Address of its link port.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Its state.
    pub state: HostState,
}
