//! What a gateway makes of the items about prompt parts that it reads from the store: they count as
//! long as they were meant to, and are bounded in number and size.

mod gateway;
mod property;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::Call;
use hickorydoor::gateway::quarantine::EngineEnd;
use hickorydoor::gateway::quarantine::PartId;
use hickorydoor::gateway::quarantine::PartItem;
use hickorydoor::gateway::quarantine::PartItemKey;
use hickorydoor::gateway::quarantine::PartWrite;
use hickorydoor::gateway::quarantine::QuarantineRecord;
use hickorydoor::gateway::quarantine::QuarantineState;
use hickorydoor::gateway::quarantine::StoredPartItem;
use hickorydoor::gateway::quarantine::decode_part_item;
use hickorydoor::gateway::quarantine::encode_part_item;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::proptest;

use crate::gateway::ENGINES;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::dispatch;
use crate::gateway::member;
use crate::gateway::position;
use crate::gateway::prompt;
use crate::gateway::refusal;
use crate::gateway::registration;
use crate::property::config;

/// Time for which parts are refused after the first decision.
const FIRST_QUARANTINE_MS: DurationMs = DurationMs::from_secs(300);
/// Bound of docs/CAPACITY.md on what a gateway holds as evidence, at 8 bytes a part.
const MAX_EVIDENCE_BYTES: usize = 2_600_000;

fn record(state: QuarantineState, change: u64) -> QuarantineRecord {
    QuarantineRecord {
        service: ENGINES.parse().unwrap(),
        parts: [PartId::new(0xdead)].into_iter().collect(),
        state,
        change,
        quarantines: 1,
        versions: ["v1".into()].into_iter().collect(),
    }
}

fn stored(item: PartItem, revision: u64) -> GatewayEvent {
    let (key, position) = (item.key(), position(1, revision));
    GatewayEvent::PartItemStored(Box::new(StoredPartItem { key, item: Some(item), position }))
}

fn quarantined(change: u64, revision: u64) -> GatewayEvent {
    let record = record(QuarantineState::Quarantined, change);
    stored(PartItem::Record { record, left_ms: FIRST_QUARANTINE_MS }, revision)
}

fn key() -> PartItemKey {
    PartItemKey::of_record(&record(QuarantineState::Quarantined, 1))
}

fn call_with_part(id: &str) -> Call {
    let mut call = call("/draft/1", id);
    call.prompt = prompt(0xdead, 800, 300);
    call
}

fn is_refused(rig: &mut Rig, id: &str) -> bool {
    let (_, effects) = rig.send(call_with_part(id));
    refusal(&effects).is_some()
}

fn writes(effects: &[GatewayEffect]) -> Vec<PartWrite> {
    let batches = effects.iter().filter_map(|effect| match effect {
        GatewayEffect::WritePartItems(writes) => Some(writes.clone()),
        _ => None,
    });
    batches.flatten().collect()
}

fn written_states(effects: &[GatewayEffect]) -> Vec<QuarantineState> {
    let items = writes(effects).into_iter().filter_map(|write| write.item);
    let states = items.filter_map(|item| match item {
        PartItem::Record { record, .. } => Some(record.state),
        PartItem::End { .. } => None,
    });
    states.collect()
}

/// Guards against a gateway that serves a part whose refusal the store holds.
#[test]
fn stored_record_applies_from_the_first_request_on() {
    let mut rig = Rig::with_upstreams("gw-1", 3, 0);
    rig.apply(quarantined(1, 7));
    assert!(is_refused(&mut rig, "a"));
    assert!(writes(&rig.advance(2_000)).is_empty(), "the store holds it already");
}

/// Guards against a part that is refused for longer because gateways were lost: whoever read the record
/// late ends it when the store does.
#[test]
fn stored_record_ends_with_its_lease() {
    let mut rig = Rig::with_upstreams("gw-1", 3, 0);
    rig.apply(quarantined(1, 7));
    rig.advance(10_000);
    assert!(is_refused(&mut rig, "a"));
    rig.apply(GatewayEvent::PartItemRemoved(key()));
    let effects = rig.advance(2_000);
    let (_, sent) = rig.send(call_with_part("b"));
    assert!(refusal(&sent).is_none());
    assert_eq!(written_states(&effects)[..1], [QuarantineState::Probation]);
}

/// Guards against a record that a store in trouble loses, and that is then taken for over.
#[test]
fn record_that_the_store_lost_in_an_outage_applies_and_is_written_again() {
    let mut rig = Rig::with_upstreams("gw-1", 3, 0);
    rig.apply(quarantined(1, 7));
    rig.apply(GatewayEvent::StoreUnreachable);
    rig.apply(GatewayEvent::PartItemRemoved(key()));
    let effects = rig.advance(1_000);
    assert!(is_refused(&mut rig, "a"));
    assert_eq!(written_states(&effects)[..1], [QuarantineState::Quarantined]);
}

/// Guards against a part that goes on to be refused though all engines have another version, because
/// no gateway was there when they were replaced.
#[test]
fn stored_record_of_replaced_engines_refuses_nothing() {
    let mut rig = Rig::new("gw-1");
    rig.apply(quarantined(1, 7));
    for engine in ["n-0", "n-1"] {
        let mut known = registration(engine, ENGINES);
        known.version = "v2".into();
        rig.register(known);
    }
    let effects = rig.advance(1_000);
    assert_eq!(written_states(&effects)[..1], [QuarantineState::Probation]);
    let (_, effects) = rig.send(call_with_part("a"));
    assert!(dispatch(&effects).is_some());
}

/// Guards against a late write, or a copy of the store, that brings a released part back.
#[test]
fn older_form_of_a_record_changes_nothing_and_is_replaced() {
    let mut rig = Rig::with_upstreams("gw-1", 3, 0);
    rig.apply(quarantined(1, 7));
    let released = record(QuarantineState::Released, 2);
    let left_ms = DurationMs::from_secs(60);
    rig.apply(stored(PartItem::Record { record: released, left_ms }, 8));
    assert!(!is_refused(&mut rig, "a"));
    rig.apply(quarantined(1, 9));
    assert!(!is_refused(&mut rig, "b"));
    let effects = rig.advance(1_000);
    assert_eq!(written_states(&effects)[..1], [QuarantineState::Released]);
    assert_eq!(writes(&effects)[0].replaces, position(1, 9));
}

/// Guards against a burst of calls by hundreds of gateways that all know of the same record.
#[test]
fn gateways_write_one_after_the_other() {
    let count_after = |host: &str| {
        let mut rig = Rig::with_upstreams(host, 3, 0);
        for index in 0..560 {
            rig.apply(GatewayEvent::GatewayJoined(member(&format!("gw-{index}"), "dc-1", 100)));
        }
        rig.apply(quarantined(1, 7));
        rig.apply(GatewayEvent::StoreUnreachable);
        rig.apply(GatewayEvent::PartItemRemoved(key()));
        writes(&rig.advance(1_000)).len()
    };
    let writers = (0..560).filter(|index| count_after(&format!("gw-{index}")) > 0).count();
    assert!((1..=4).contains(&writers), "{writers} of 560 write within a second");
}

/// Guards against items of another release, or of another writer, that stop a gateway or are never
/// replaced.
#[test]
fn unreadable_items_are_ignored_and_replaced() {
    assert_eq!(decode_part_item(b""), None);
    assert_eq!(decode_part_item(b"\xff\xff\xff"), None);
    assert_eq!(decode_part_item(br#"{"state":"quarantined"}"#), None);
    let mut rig = Rig::with_upstreams("gw-1", 3, 0);
    rig.apply(quarantined(1, 7));
    let unreadable = StoredPartItem { key: key(), item: None, position: position(1, 9) };
    rig.apply(GatewayEvent::PartItemStored(Box::new(unreadable)));
    assert!(is_refused(&mut rig, "a"));
    let effects = rig.advance(1_000);
    assert_eq!(writes(&effects)[0].replaces, position(1, 9));
}

fn end(engine: u64, parts: &[u64]) -> EngineEnd {
    EngineEnd {
        upstream: format!("e-{engine}").parse().unwrap(),
        started_unix_ms: engine,
        service: ENGINES.parse().unwrap(),
        version: "v1".into(),
        is_confirmed: true,
        is_closed: true,
        parts: parts.iter().copied().map(PartId::new).collect(),
        tried: [].into_iter().collect(),
    }
}

proptest! {
    #![proptest_config(config(1_607, 6))]

    /// Guards against a store that fills the memory of gateways, and against writes without a bound.
    #[test]
    fn stored_items_are_bounded(
        ends in vec((0_u64..400, vec(any::<u64>(), 1..500)), 0..250),
        records in vec((any::<u64>(), 0_u64..4), 0..100),
        steps in 0_u64..12,
    ) {
        let mut rig = Rig::with_upstreams("gw-1", 3, 0);
        let mut revision = 10;
        for (engine, parts) in &ends {
            revision += 1;
            let item = PartItem::End { end: end(*engine, parts), age_ms: DurationMs::new(900) };
            let item = decode_part_item(&encode_part_item(&item)).unwrap();
            rig.apply(stored(item, revision));
        }
        for (part, state) in &records {
            revision += 1;
            let state = [
                QuarantineState::Released,
                QuarantineState::Probation,
                QuarantineState::Quarantined,
                QuarantineState::Quarantined,
            ][*state as usize];
            let mut record = record(state, 1);
            record.parts = [PartId::new(*part)].into_iter().collect();
            let left_ms = FIRST_QUARANTINE_MS;
            rig.apply(stored(PartItem::Record { record, left_ms }, revision));
        }
        for step in 0..steps {
            let effects = rig.advance(500);
            let batches = writes(&effects);
            prop_assert!(batches.len() <= 32, "step {step}: {} writes in half a second", batches.len());
            prop_assert!(rig.gateway.evidence_parts() * 8 <= MAX_EVIDENCE_BYTES);
        }
    }
}
