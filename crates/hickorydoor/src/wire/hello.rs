//! Encoding of the first messages on a link.

use crate::id::IdError;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::id::VersionId;
use crate::message::AgentHello;
use crate::message::EntryHello;
use crate::message::Offer;
use crate::time::DurationMs;
use crate::wire::error::WireError;

/// Encoded [`EntryHello`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireEntryHello {
    /// Host of the entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Current incarnation of the entry.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Data centre of the entry.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Configuration revision in force at the entry.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Interval of heartbeats on an idle link. The agent sends load reports at the same interval,
    /// or at its own one if that is longer.
    #[prost(uint64, tag = "5")]
    pub heartbeat_interval_ms: u64,
}

impl From<EntryHello> for WireEntryHello {
    fn from(hello: EntryHello) -> Self {
        Self {
            entry: hello.entry.to_string(),
            incarnation: hello.incarnation.get(),
            data_centre: hello.data_centre.to_string(),
            revision: hello.revision.get(),
            heartbeat_interval_ms: hello.heartbeat_interval_ms.get(),
        }
    }
}

impl TryFrom<WireEntryHello> for EntryHello {
    type Error = WireError;

    fn try_from(wire: WireEntryHello) -> Result<Self, WireError> {
        Ok(Self {
            entry: wire.entry.parse()?,
            incarnation: Incarnation::new(wire.incarnation),
            data_centre: wire.data_centre.parse()?,
            revision: Revision::new(wire.revision),
            heartbeat_interval_ms: DurationMs::new(wire.heartbeat_interval_ms),
        })
    }
}

/// Encoded [`AgentHello`].
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(prost::Message)]
pub struct WireAgentHello {
    /// Host of the agent.
    #[prost(string, tag = "1")]
    pub agent: String,
    /// Id of the upstream that the agent runs next to.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Current incarnation of the agent.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Data centre of the agent.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Region of that data centre.
    #[prost(string, tag = "5")]
    pub region: String,
    /// Versions that the engine has loaded; ignored for plain services.
    #[prost(string, repeated, tag = "6")]
    pub versions: Vec<String>,
    /// Name of the plain service; absent for engines.
    #[prost(string, optional, tag = "7")]
    pub service: Option<String>,
    /// Configuration revision in force at the agent.
    #[prost(uint64, tag = "8")]
    pub revision: u64,
    /// Whether the agent accepts no new attempts.
    #[prost(bool, tag = "9")]
    pub draining: bool,
}

pub(crate) fn encode_versions(versions: &[VersionId]) -> Vec<String> {
    versions.iter().map(ToString::to_string).collect()
}

pub(crate) fn decode_versions(versions: Vec<String>) -> Result<Vec<VersionId>, WireError> {
    let ids: Result<Vec<VersionId>, IdError> =
        versions.into_iter().map(|text| text.parse()).collect();
    Ok(ids?)
}

impl From<AgentHello> for WireAgentHello {
    fn from(hello: AgentHello) -> Self {
        let (versions, service) = match &hello.offer {
            Offer::Engine { versions } => (encode_versions(versions), None),
            Offer::Service { service } => (Vec::new(), Some(service.to_string())),
        };
        Self {
            agent: hello.agent.to_string(),
            upstream: hello.upstream.to_string(),
            incarnation: hello.incarnation.get(),
            data_centre: hello.data_centre.to_string(),
            region: hello.region.to_string(),
            versions,
            service,
            revision: hello.revision.get(),
            draining: hello.draining,
        }
    }
}

impl TryFrom<WireAgentHello> for AgentHello {
    type Error = WireError;

    fn try_from(wire: WireAgentHello) -> Result<Self, WireError> {
        let offer = match wire.service {
            Some(service) => Offer::Service { service: service.parse()? },
            None => Offer::Engine { versions: decode_versions(wire.versions)? },
        };
        Ok(Self {
            agent: wire.agent.parse()?,
            upstream: wire.upstream.parse()?,
            incarnation: Incarnation::new(wire.incarnation),
            data_centre: wire.data_centre.parse()?,
            region: wire.region.parse()?,
            offer,
            revision: Revision::new(wire.revision),
            draining: wire.draining,
        })
    }
}
