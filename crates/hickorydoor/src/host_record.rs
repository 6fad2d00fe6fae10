//! Records of the platform's host list.
//!
//! The list lags behind the actual state of the hosts, so it only serves to discover hosts and to
//! notice that hosts are about to leave. The state of a link and the messages of an agent take
//! precedence over it.

use std::net::SocketAddr;

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::RegionId;

/// Process that runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HostRole {
    /// An entry, which accepts requests from callers.
    Entry,
    /// An agent and the upstream that it runs next to.
    Agent,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The platform is about to remove the host.
    Leaving,
}

/// One item of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRecord {
    /// Identifier of the host.
    pub host: HostId,
    /// Process that runs on the host.
    pub role: HostRole,
    /// Address at which the host accepts links.
    pub address: SocketAddr,
    /// Data centre in which the host is located.
    pub data_centre: DataCentreId,
    /// Region of that data centre.
    pub region: RegionId,
    /// State of the host when the list was made.
    pub state: HostState,
}
