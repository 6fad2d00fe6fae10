//! A gateway as the others know it, from its presence in the store.

use std::net::IpAddr;

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::quantity::KbitPerS;

/// A live gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayMember {
    /// Host that it runs on, by which it is known.
    pub host: HostId,
    /// Address of the host, for messages between gateways.
    pub address: IpAddr,
    /// Data centre of the host; `None` if the gateway does not state it.
    pub data_centre: Option<DataCentreId>,
    /// Rate of the host's link; 0 if the gateway does not state it.
    pub link_rate_kbit_per_s: KbitPerS,
}
