//! A gateway that starts, knows nothing from before and reads a store that was restored since its era
//! was noted: what it reads may lack acknowledged changes.

mod gateway;

use std::sync::Arc;

use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::refusal::RefusalReason;
use hickorydoor::gateway::store_position::StoreEra;

use crate::gateway::KEY;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::catalog;
use crate::gateway::dispatch;
use crate::gateway::refusal;

fn asked_notes(effects: &[GatewayEffect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, GatewayEffect::NoteStoreEra(_))).count()
}

/// A gateway that has started and read an era that is not noted, with a configuration and upstreams.
fn unproven(host: &str) -> Rig {
    let mut rig = Rig::empty(host);
    rig.apply(GatewayEvent::StoreUnproven { era: StoreEra::new(2) });
    rig.configured().registered(0, 2)
}

/// Guards against a withdrawn key that runs since a copy of the store, read by a gateway that knows
/// nothing from before, is taken for the truth.
#[test]
fn copy_that_nothing_proves_is_not_served_until_it_is_settled() {
    let mut rig = unproven("gw-1");
    let (_, effects) = rig.send(call("/book/1", "a"));
    let reason = refusal(&effects).map(|refusal| refusal.reason);
    assert_eq!(reason, Some(RefusalReason::StaleConfiguration));
    assert_eq!(asked_notes(&rig.advance(3_900)), 0);
    assert!(dispatch(&rig.send(call("/book/1", "b")).1).is_none());
    let effects = rig.advance(500);
    assert!(dispatch(&rig.send(call("/book/1", "c")).1).is_some());
    assert_eq!(asked_notes(&effects), 1);
    rig.apply(GatewayEvent::StoreEraNoted(StoreEra::new(2)));
    assert_eq!(asked_notes(&rig.advance(10_000)), 0);
}

/// Guards against callers that are refused although the operator has written again.
#[test]
fn newer_configuration_settles_a_copy() {
    let mut rig = unproven("gw-1");
    rig.advance(500);
    rig.apply(GatewayEvent::Configured(Arc::new(catalog(2, &[KEY]))));
    rig.advance(50);
    assert!(dispatch(&rig.send(call("/book/1", "a")).1).is_some());
}

/// Guards against a gateway that has a view, and is told by one without that the store is unproven.
#[test]
fn gateway_with_a_view_serves_on_beside_one_that_has_none() {
    let mut rig = Rig::with_upstreams("gw-1", 0, 2);
    rig.apply(GatewayEvent::StoreUnproven { era: StoreEra::new(2) });
    assert!(dispatch(&rig.send(call("/book/1", "a")).1).is_some());
}

/// Guards against a copy that a gateway takes over from another one, which waits itself.
#[test]
fn follower_of_an_unproven_gateway_waits_too() {
    let mut source = unproven("gw-1");
    source.advance(500);
    let mut rig = Rig::empty("gw-2");
    for event in source.gateway.view(None, source.now) {
        rig.apply(event);
    }
    rig.sync_store();
    assert!(dispatch(&rig.send(call("/book/1", "a")).1).is_none());
}
