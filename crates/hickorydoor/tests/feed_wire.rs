//! Messages between a watcher and its followers survive encoding, and malformed ones are rejected.

mod gateway;

use std::sync::Arc;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::catalog::Account;
use hickorydoor::gateway::catalog::CallerLimits;
use hickorydoor::gateway::catalog::Catalog;
use hickorydoor::gateway::feed_wire::FeedHello;
use hickorydoor::gateway::feed_wire::FeedSynced;
use hickorydoor::gateway::feed_wire::FollowerMessage;
use hickorydoor::gateway::feed_wire::WatcherMessage;
use hickorydoor::gateway::feed_wire::WireFollowerFrame;
use hickorydoor::gateway::feed_wire::WireWatcherFrame;
use hickorydoor::gateway::quarantine::EngineEnd;
use hickorydoor::gateway::quarantine::PartId;
use hickorydoor::gateway::quarantine::PartItem;
use hickorydoor::gateway::quarantine::PartItemKey;
use hickorydoor::gateway::quarantine::StoredPartItem;
use hickorydoor::gateway::rollout::RolloutPhase;
use hickorydoor::gateway::rollout::RolloutRecord;
use hickorydoor::gateway::route::CallKind;
use hickorydoor::gateway::store_listing::StoreListing;
use hickorydoor::gateway::store_position::StoreEra;
use hickorydoor::gateway::upstreams::Departure;
use hickorydoor::quantity::Share;
use prost::Message;

use crate::gateway::ENGINES;
use crate::gateway::KEY;
use crate::gateway::catalog;
use crate::gateway::member;
use crate::gateway::order;
use crate::gateway::position;
use crate::gateway::registration;
use crate::gateway::route;

const NOW: TimeMs = TimeMs::new(7_000);

/// A configuration that lists no customers, or has no list of them.
fn without_customers(accounts: Option<Vec<Account>>) -> GatewayEvent {
    let catalog = Catalog::new(8, CallerLimits::default(), Vec::new(), Vec::new(), accounts);
    GatewayEvent::Configured(Arc::new(catalog))
}

/// Encodes an event, sends it through a frame, and decodes it.
fn transfer(event: &GatewayEvent) -> GatewayEvent {
    let message = WatcherMessage::event(event).expect("part of the view");
    let frame = WireWatcherFrame::from(message).encode_to_vec();
    let frame = WireWatcherFrame::decode(frame.as_slice()).unwrap();
    let WatcherMessage::Event(bytes) = WatcherMessage::try_from(frame).unwrap() else {
        panic!("an event became another message");
    };
    WatcherMessage::decode_event(&bytes, NOW).unwrap().expect("a known kind")
}

fn record(phase: RolloutPhase) -> RolloutRecord {
    RolloutRecord {
        service: ENGINES.parse().unwrap(),
        target: "v2".into(),
        order: position(2, 17),
        phase,
        share: Share::from_percent(15),
        order_age_ms: Some(DurationMs::new(1_500)),
        position: position(3, 4),
    }
}

fn stored_end() -> StoredPartItem {
    let end = EngineEnd {
        upstream: "e-1".parse().unwrap(),
        started_unix_ms: 17,
        service: ENGINES.parse().unwrap(),
        version: "v1".into(),
        is_confirmed: true,
        is_closed: true,
        parts: [1, 2, u64::MAX].into_iter().map(PartId::new).collect(),
        tried: [PartId::new(2)].into_iter().collect(),
    };
    let key = PartItemKey::of_end(&end);
    let item = Some(PartItem::End { end, age_ms: DurationMs::new(450) });
    StoredPartItem { key, item, position: position(3, 9) }
}

#[test]
fn every_event_of_the_view_is_the_same_after_a_transfer() {
    let mut cold = registration("e-1", ENGINES);
    cold.draining = true;
    cold.cold_ms = DurationMs::new(1_234);
    cold.region = Some("norte".parse().unwrap());
    let departure = Departure { started_unix_ms: 5, sequence: 6, at: NOW };
    let listing = StoreListing {
        upstreams: ["e-1", "e-2"].iter().map(|id| id.parse().unwrap()).collect(),
        gateways: ["gw-1"].iter().map(|id| id.parse().unwrap()).collect(),
        closed_data_centres: ["dc-9"].iter().map(|id| id.parse().unwrap()).collect(),
        allowed_parts: ["engines/beef"].iter().map(|part| part.parse().unwrap()).collect(),
        recorded_rollouts: [ENGINES].iter().map(|id| id.parse().unwrap()).collect(),
        part_items: [PartItemKey::new("end-1".into())].into_iter().collect(),
    };
    let mut events = vec![
        GatewayEvent::StoreRestored { era: StoreEra::new(4) },
        GatewayEvent::StoreUnproven { era: StoreEra::new(5) },
        GatewayEvent::StoreEraNoted(StoreEra::new(6)),
        GatewayEvent::Configured(Arc::new(catalog(7, &[KEY, "other"]))),
        without_customers(Some(Vec::new())),
        without_customers(None),
        GatewayEvent::Registered(Box::new(cold)),
        GatewayEvent::Deregistered("e-3".parse().unwrap()),
        GatewayEvent::UpstreamDeparted { upstream: "e-4".parse().unwrap(), departure },
        GatewayEvent::StoreListed(Box::new(listing)),
        GatewayEvent::RolloutOrdered { order: order(19), age_ms: None },
        GatewayEvent::RolloutOrdered { order: order(20), age_ms: Some(DurationMs::new(640)) },
        GatewayEvent::RolloutWithdrawn(ENGINES.parse().unwrap()),
        GatewayEvent::PartItemStored(Box::new(stored_end())),
        GatewayEvent::PartItemStored(Box::new(StoredPartItem { item: None, ..stored_end() })),
        GatewayEvent::PartItemRemoved(PartItemKey::new("end-1".into())),
        GatewayEvent::DataCentreOut("dc-1".parse().unwrap()),
        GatewayEvent::DataCentreIn("dc-1".parse().unwrap()),
        GatewayEvent::GatewayJoined(member("gw-1", "dc-1", 20)),
        GatewayEvent::GatewayLeft("gw-2".parse().unwrap()),
        GatewayEvent::PartAllowed("engines/dead".parse().unwrap()),
        GatewayEvent::PartNotAllowed("engines/dead".parse().unwrap()),
    ];
    for phase in [
        RolloutPhase::Canary,
        RolloutPhase::Widened,
        RolloutPhase::Full,
        RolloutPhase::Completed,
        RolloutPhase::RolledBack,
    ] {
        events.push(GatewayEvent::RolloutRecorded(record(phase)));
    }
    for event in events {
        let received = transfer(&event);
        match (&event, &received) {
            (GatewayEvent::Configured(sent), GatewayEvent::Configured(received)) => {
                assert_eq!(sent, received);
            }
            _ => assert_eq!(format!("{event:?}"), format!("{received:?}")),
        }
    }
}

#[test]
fn frames_are_the_same_after_a_transfer() {
    let hello = FeedHello { position: Some(position(2, 9)), configuration_version: 12 };
    for message in [
        FollowerMessage::Hello(hello),
        FollowerMessage::Hello(FeedHello::default()),
        FollowerMessage::Ping(77),
    ] {
        let bytes = WireFollowerFrame::from(message).encode_to_vec();
        let frame = WireFollowerFrame::decode(bytes.as_slice()).unwrap();
        assert_eq!(FollowerMessage::try_from(frame).unwrap(), message);
    }
    let synced =
        FeedSynced { ping: 3, age_ms: DurationMs::new(250), position: position(1, 1_000_000) };
    let bytes = WireWatcherFrame::from(WatcherMessage::Synced(synced)).encode_to_vec();
    let frame = WireWatcherFrame::decode(bytes.as_slice()).unwrap();
    assert_eq!(WatcherMessage::try_from(frame).unwrap(), WatcherMessage::Synced(synced));
}

/// Guards against a follower that takes a part of a message for the whole.
#[test]
fn incomplete_messages_are_rejected() {
    assert!(WatcherMessage::try_from(WireWatcherFrame::default()).is_err());
    assert!(FollowerMessage::try_from(WireFollowerFrame::default()).is_err());
    let event = GatewayEvent::Configured(Arc::new(catalog(7, &[KEY])));
    let Some(WatcherMessage::Event(bytes)) = WatcherMessage::event(&event) else {
        panic!("a configuration is part of the view");
    };
    for length in 1..bytes.len() {
        let decoded = WatcherMessage::decode_event(&bytes[..length], NOW);
        assert!(decoded.is_err(), "{length} of {} bytes are accepted", bytes.len());
    }
}

/// Guards against a large configuration that holds up everything behind it on a slow link: on one
/// of 10 Mbit/s it takes less than a twentieth of the 3 s within which a leaving upstream must be
/// known.
#[test]
fn configuration_with_many_routes_is_small_enough_for_a_slow_link() {
    let base = catalog(1, &[KEY]);
    let mut routes = Vec::new();
    for index in 0..1_700 {
        let mut route =
            route(&format!("/tino{:03}/fi{index}/", index % 311), CallKind::Streaming, ENGINES);
        route.host = format!("mizi{:02}.example", index % 97).into();
        routes.push(route);
    }
    let services = base.services().cloned().collect();
    let accounts = base.accounts().cloned().collect();
    let large = Catalog::new(2, CallerLimits::default(), routes, services, Some(accounts));
    let message = WatcherMessage::event(&GatewayEvent::Configured(Arc::new(large))).unwrap();
    let transfer_ms = message.size_bytes() as f64 * 8.0 / 10_000.0;
    assert!(transfer_ms < 3_000.0 / 20.0, "{transfer_ms} ms for {} bytes", message.size_bytes());
}
