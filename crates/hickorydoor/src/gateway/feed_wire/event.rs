//! Encoding of the events that make up a gateway's view of the store.

use std::sync::Arc;

use bytes::Bytes;
use prost::Message;
use prost::Oneof;

use crate::gateway::event::GatewayEvent;
use crate::gateway::feed_wire::FeedError;
use crate::gateway::feed_wire::catalog::decode_catalog;
use crate::gateway::feed_wire::catalog::encode_catalog;
use crate::gateway::feed_wire::position::WirePosition;
use crate::gateway::feed_wire::record::WireRecord;
use crate::gateway::member::GatewayMember;
use crate::gateway::quarantine::PartItemKey;
use crate::gateway::quarantine::StoredPartItem;
use crate::gateway::quarantine::decode_part_item;
use crate::gateway::quarantine::encode_part_item;
use crate::gateway::rollout::ExposureBudget;
use crate::gateway::rollout::RolloutOrder;
use crate::gateway::rollout::RolloutRecord;
use crate::gateway::store_listing::StoreListing;
use crate::gateway::store_position::StoreEra;
use crate::gateway::upstreams::Departure;
use crate::gateway::upstreams::Registration;
use crate::quantity::KbitPerS;
use crate::quantity::Share;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// An event of the view; nothing is set in an event of a later version that is not known here.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct WireEvent {
    #[prost(
        oneof = "EventBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19"
    )]
    body: Option<EventBody>,
}

#[derive(Clone, PartialEq)]
#[derive(Oneof)]
enum EventBody {
    /// Era of a restore.
    #[prost(uint64, tag = "1")]
    Restored(u64),
    /// Compressed configuration.
    #[prost(bytes = "bytes", tag = "2")]
    Configured(Bytes),
    #[prost(message, tag = "3")]
    Registered(WireRegistration),
    #[prost(string, tag = "4")]
    Deregistered(String),
    #[prost(message, tag = "5")]
    Departed(WireDeparture),
    #[prost(message, tag = "6")]
    Listed(WireListing),
    #[prost(message, tag = "7")]
    Ordered(WireOrder),
    #[prost(string, tag = "8")]
    Withdrawn(String),
    #[prost(message, tag = "9")]
    Recorded(WireRecord),
    #[prost(string, tag = "10")]
    DataCentreOut(String),
    #[prost(string, tag = "11")]
    DataCentreIn(String),
    #[prost(message, tag = "12")]
    Joined(WireMember),
    #[prost(string, tag = "13")]
    Left(String),
    #[prost(string, tag = "14")]
    PartAllowed(String),
    #[prost(string, tag = "15")]
    PartNotAllowed(String),
    #[prost(message, tag = "16")]
    PartItemStored(WireStoredPartItem),
    #[prost(string, tag = "17")]
    PartItemRemoved(String),
    /// Era that is not noted in the store.
    #[prost(uint64, tag = "18")]
    Unproven(u64),
    #[prost(uint64, tag = "19")]
    EraNoted(u64),
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireStoredPartItem {
    #[prost(string, tag = "1")]
    key: String,
    /// The item in its own encoding; empty if it cannot be read.
    #[prost(bytes = "bytes", tag = "2")]
    item: Bytes,
    #[prost(message, optional, tag = "3")]
    position: Option<WirePosition>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireRegistration {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    address: String,
    #[prost(string, tag = "4")]
    data_centre: String,
    #[prost(string, optional, tag = "5")]
    region: Option<String>,
    #[prost(string, tag = "6")]
    version: String,
    #[prost(uint32, tag = "7")]
    slots: u32,
    #[prost(bool, tag = "8")]
    draining: bool,
    #[prost(uint64, tag = "9")]
    cold_ms: u64,
    #[prost(uint64, tag = "10")]
    started_unix_ms: u64,
    #[prost(uint64, tag = "11")]
    sequence: u64,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireDeparture {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(uint64, tag = "2")]
    started_unix_ms: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireListing {
    #[prost(string, repeated, tag = "1")]
    upstreams: Vec<String>,
    #[prost(string, repeated, tag = "2")]
    gateways: Vec<String>,
    #[prost(string, repeated, tag = "3")]
    closed_data_centres: Vec<String>,
    #[prost(string, repeated, tag = "4")]
    recorded_rollouts: Vec<String>,
    #[prost(string, repeated, tag = "5")]
    allowed_parts: Vec<String>,
    #[prost(string, repeated, tag = "6")]
    part_items: Vec<String>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireOrder {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    target: String,
    #[prost(uint64, tag = "3")]
    duration_ms: u64,
    #[prost(double, tag = "4")]
    exposure_share: f64,
    #[prost(message, optional, tag = "5")]
    position: Option<WirePosition>,
    #[prost(uint32, tag = "6")]
    exposure_extra: u32,
    #[prost(uint64, optional, tag = "7")]
    age_ms: Option<u64>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireMember {
    #[prost(string, tag = "1")]
    host: String,
    #[prost(string, tag = "2")]
    address: String,
    #[prost(string, optional, tag = "3")]
    data_centre: Option<String>,
    #[prost(uint64, tag = "4")]
    link_rate_kbit_per_s: u64,
}

/// Encodes an event; `None` if it is not part of the view.
pub fn encode_event(event: &GatewayEvent) -> Option<Bytes> {
    let body = match event {
        GatewayEvent::StoreRestored { era } => EventBody::Restored(era.get()),
        GatewayEvent::Configured(catalog) => EventBody::Configured(encode_catalog(catalog)),
        GatewayEvent::Registered(known) => EventBody::Registered(WireRegistration::from(&**known)),
        GatewayEvent::Deregistered(upstream) => EventBody::Deregistered(upstream.to_string()),
        GatewayEvent::UpstreamDeparted { upstream, departure } => {
            EventBody::Departed(WireDeparture {
                upstream: upstream.to_string(),
                started_unix_ms: departure.started_unix_ms,
                sequence: departure.sequence,
            })
        }
        GatewayEvent::StoreListed(listing) => EventBody::Listed(WireListing::from(&**listing)),
        GatewayEvent::RolloutOrdered { order, age_ms } => EventBody::Ordered(WireOrder {
            age_ms: age_ms.map(DurationMs::get),
            ..WireOrder::from(order)
        }),
        GatewayEvent::RolloutWithdrawn(service) => EventBody::Withdrawn(service.to_string()),
        GatewayEvent::RolloutRecorded(record) => EventBody::Recorded(WireRecord::from(record)),
        GatewayEvent::DataCentreOut(id) => EventBody::DataCentreOut(id.to_string()),
        GatewayEvent::DataCentreIn(id) => EventBody::DataCentreIn(id.to_string()),
        GatewayEvent::GatewayJoined(member) => EventBody::Joined(WireMember::from(member)),
        GatewayEvent::GatewayLeft(host) => EventBody::Left(host.to_string()),
        GatewayEvent::PartAllowed(part) => EventBody::PartAllowed(part.to_string()),
        GatewayEvent::PartNotAllowed(part) => EventBody::PartNotAllowed(part.to_string()),
        GatewayEvent::PartItemStored(stored) => {
            EventBody::PartItemStored(WireStoredPartItem::from(&**stored))
        }
        GatewayEvent::PartItemRemoved(key) => EventBody::PartItemRemoved(key.to_string()),
        GatewayEvent::StoreUnproven { era } => EventBody::Unproven(era.get()),
        GatewayEvent::StoreEraNoted(era) => EventBody::EraNoted(era.get()),
        _ => return None,
    };
    Some(WireEvent { body: Some(body) }.encode_to_vec().into())
}

/// Decodes an event that is received at `now`; `None` if its kind is not known.
///
/// # Errors
/// Returns an error if the bytes are not a valid event.
pub fn decode_event(bytes: &[u8], now: TimeMs) -> Result<Option<GatewayEvent>, FeedError> {
    let Some(body) = WireEvent::decode(bytes)?.body else {
        return Ok(None);
    };
    let event = match body {
        EventBody::Restored(era) => GatewayEvent::StoreRestored { era: StoreEra::new(era) },
        EventBody::Configured(compressed) => {
            GatewayEvent::Configured(Arc::new(decode_catalog(&compressed)?))
        }
        EventBody::Registered(known) => {
            GatewayEvent::Registered(Box::new(Registration::try_from(known)?))
        }
        EventBody::Deregistered(upstream) => GatewayEvent::Deregistered(upstream.parse()?),
        EventBody::Departed(gone) => GatewayEvent::UpstreamDeparted {
            upstream: gone.upstream.parse()?,
            departure: Departure {
                started_unix_ms: gone.started_unix_ms,
                sequence: gone.sequence,
                at: now,
            },
        },
        EventBody::Listed(listing) => {
            GatewayEvent::StoreListed(Box::new(StoreListing::try_from(listing)?))
        }
        EventBody::Ordered(order) => GatewayEvent::RolloutOrdered {
            age_ms: order.age_ms.map(DurationMs::new),
            order: RolloutOrder::try_from(order)?,
        },
        EventBody::Withdrawn(service) => GatewayEvent::RolloutWithdrawn(service.parse()?),
        EventBody::Recorded(record) => {
            GatewayEvent::RolloutRecorded(RolloutRecord::try_from(record)?)
        }
        EventBody::DataCentreOut(id) => GatewayEvent::DataCentreOut(id.parse()?),
        EventBody::DataCentreIn(id) => GatewayEvent::DataCentreIn(id.parse()?),
        EventBody::Joined(member) => GatewayEvent::GatewayJoined(GatewayMember::try_from(member)?),
        EventBody::Left(host) => GatewayEvent::GatewayLeft(host.parse()?),
        EventBody::PartAllowed(part) => GatewayEvent::PartAllowed(part.parse()?),
        EventBody::PartNotAllowed(part) => GatewayEvent::PartNotAllowed(part.parse()?),
        EventBody::PartItemStored(stored) => {
            GatewayEvent::PartItemStored(Box::new(StoredPartItem::try_from(stored)?))
        }
        EventBody::Unproven(era) => GatewayEvent::StoreUnproven { era: StoreEra::new(era) },
        EventBody::EraNoted(era) => GatewayEvent::StoreEraNoted(StoreEra::new(era)),
        EventBody::PartItemRemoved(key) => {
            GatewayEvent::PartItemRemoved(PartItemKey::new(key.into()))
        }
    };
    Ok(Some(event))
}

impl From<&Registration> for WireRegistration {
    fn from(known: &Registration) -> Self {
        Self {
            upstream: known.upstream.to_string(),
            service: known.service.to_string(),
            address: known.address.to_string(),
            data_centre: known.data_centre.to_string(),
            region: known.region.as_ref().map(ToString::to_string),
            version: known.version.to_string(),
            slots: known.slots,
            draining: known.draining,
            cold_ms: known.cold_ms.get(),
            started_unix_ms: known.started_unix_ms,
            sequence: known.sequence,
        }
    }
}

impl TryFrom<WireRegistration> for Registration {
    type Error = FeedError;

    fn try_from(wire: WireRegistration) -> Result<Self, FeedError> {
        Ok(Self {
            upstream: wire.upstream.parse()?,
            service: wire.service.parse()?,
            address: wire.address.parse().map_err(|_error| FeedError::Address)?,
            data_centre: wire.data_centre.parse()?,
            region: wire.region.map(|region| region.parse()).transpose()?,
            version: wire.version.into(),
            slots: wire.slots,
            draining: wire.draining,
            cold_ms: DurationMs::new(wire.cold_ms),
            started_unix_ms: wire.started_unix_ms,
            sequence: wire.sequence,
        })
    }
}

impl From<&StoreListing> for WireListing {
    fn from(listing: &StoreListing) -> Self {
        Self {
            upstreams: listing.upstreams.iter().map(ToString::to_string).collect(),
            gateways: listing.gateways.iter().map(ToString::to_string).collect(),
            closed_data_centres: listing
                .closed_data_centres
                .iter()
                .map(ToString::to_string)
                .collect(),
            recorded_rollouts: listing.recorded_rollouts.iter().map(ToString::to_string).collect(),
            allowed_parts: listing.allowed_parts.iter().map(ToString::to_string).collect(),
            part_items: listing.part_items.iter().map(ToString::to_string).collect(),
        }
    }
}

impl TryFrom<WireListing> for StoreListing {
    type Error = FeedError;

    fn try_from(wire: WireListing) -> Result<Self, FeedError> {
        let closed = wire.closed_data_centres.iter();
        let recorded = wire.recorded_rollouts.iter();
        let allowed = wire.allowed_parts.iter();
        Ok(Self {
            upstreams: wire.upstreams.iter().map(|id| id.parse()).collect::<Result<_, _>>()?,
            gateways: wire.gateways.iter().map(|id| id.parse()).collect::<Result<_, _>>()?,
            closed_data_centres: closed.map(|id| id.parse()).collect::<Result<_, _>>()?,
            recorded_rollouts: recorded.map(|id| id.parse()).collect::<Result<_, _>>()?,
            allowed_parts: allowed.map(|part| part.parse()).collect::<Result<_, _>>()?,
            part_items: wire
                .part_items
                .into_iter()
                .map(|key| PartItemKey::new(key.into()))
                .collect(),
        })
    }
}

impl From<&StoredPartItem> for WireStoredPartItem {
    fn from(stored: &StoredPartItem) -> Self {
        Self {
            key: stored.key.to_string(),
            item: stored.item.as_ref().map(encode_part_item).unwrap_or_default().into(),
            position: Some(stored.position.into()),
        }
    }
}

impl TryFrom<WireStoredPartItem> for StoredPartItem {
    type Error = FeedError;

    fn try_from(wire: WireStoredPartItem) -> Result<Self, FeedError> {
        Ok(Self {
            key: PartItemKey::new(wire.key.into()),
            item: decode_part_item(&wire.item),
            position: wire.position.ok_or(FeedError::Incomplete)?.into(),
        })
    }
}

impl From<&RolloutOrder> for WireOrder {
    fn from(order: &RolloutOrder) -> Self {
        Self {
            service: order.service.to_string(),
            target: order.target.to_string(),
            duration_ms: order.duration_ms.get(),
            exposure_share: order.exposure.share.as_f64(),
            position: Some(order.position.into()),
            exposure_extra: order.exposure.extra,
            age_ms: None,
        }
    }
}

impl TryFrom<WireOrder> for RolloutOrder {
    type Error = FeedError;

    fn try_from(wire: WireOrder) -> Result<Self, FeedError> {
        Ok(Self {
            service: wire.service.parse()?,
            target: wire.target.into(),
            duration_ms: DurationMs::new(wire.duration_ms),
            exposure: ExposureBudget {
                share: Share::try_from(wire.exposure_share)?,
                extra: wire.exposure_extra,
            },
            position: wire.position.ok_or(FeedError::Incomplete)?.into(),
        })
    }
}

impl From<&GatewayMember> for WireMember {
    fn from(member: &GatewayMember) -> Self {
        Self {
            host: member.host.to_string(),
            address: member.address.to_string(),
            data_centre: member.data_centre.as_ref().map(ToString::to_string),
            link_rate_kbit_per_s: member.link_rate_kbit_per_s.get(),
        }
    }
}

impl TryFrom<WireMember> for GatewayMember {
    type Error = FeedError;

    fn try_from(wire: WireMember) -> Result<Self, FeedError> {
        Ok(Self {
            host: wire.host.parse()?,
            address: wire.address.parse().map_err(|_error| FeedError::Address)?,
            data_centre: wire.data_centre.map(|id| id.parse()).transpose()?,
            link_rate_kbit_per_s: KbitPerS::new(wire.link_rate_kbit_per_s),
        })
    }
}
