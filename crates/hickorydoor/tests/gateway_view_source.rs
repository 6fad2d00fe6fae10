//! Each gateway in touch knows a change in time, whatever becomes of those it learns it from.
//!
//! The worst case that docs/configuration.md adds up is played with up to 560 gateways.

mod gateway;
mod property;
mod view_fleet;

use hickorydoor::DurationMs;
use hickorydoor::gateway::member::GatewayMember;
use hickorydoor::gateway::view_role::FollowerPlace;
use hickorydoor::gateway::view_timing::ViewTiming;
use proptest::prelude::*;

use crate::gateway::member;
use crate::view_fleet::Disruption;
use crate::view_fleet::Trouble;
use crate::view_fleet::ViewFleet;

/// Time after its acknowledgement by which a change has to be known.
const BOUND_MS: DurationMs = DurationMs::new(2_000);
/// Time without disruption after which a gateway is in touch again.
const CONTACT_MS: u64 = 3_000;
/// Time until the roles are settled after the start.
const SETTLED_MS: u64 = 8_000;
const TROUBLES: [Trouble; 4] =
    [Trouble::Frozen, Trouble::TurnedAway, Trouble::CutOff, Trouble::Killed];

fn members(gateways: usize, data_centres: usize) -> Vec<GatewayMember> {
    let build = |index: usize| {
        let data_centre = format!("dc-{}", index % data_centres);
        member(&format!("gw-{index}"), &data_centre, 1_000)
    };
    (0..gateways).map(build).collect()
}

fn assert_in_time(fleet: &ViewFleet, what: &str) {
    let late = fleet.late(CONTACT_MS);
    assert!(late.is_empty(), "{what}: at {} ms {late:?} (gateway, change)", fleet.now_ms());
}

/// Guards against followers that stay with a gateway the store has turned away, or one that is
/// frozen, and refuse requests that a new configuration allows.
#[test]
fn changes_are_known_in_time_though_all_watchers_fail() {
    for (gateways, data_centres) in [(3, 1), (6, 1), (12, 1), (12, 4), (60, 1), (60, 4), (560, 1)] {
        for trouble in TROUBLES {
            let times: &[u64] = if gateways > 100 { &[100] } else { &[100, 700, 1_300, 2_000] };
            for before_ms in times {
                let mut fleet = ViewFleet::new(members(gateways, data_centres), BOUND_MS);
                let what = format!("{gateways} in {data_centres}, {trouble:?}, {before_ms}");
                let watchers = fleet.watchers();
                fleet.run(SETTLED_MS, |_| {});
                for gateway in watchers {
                    let until_ms = SETTLED_MS + 9_000;
                    fleet.disrupt(Disruption { gateway, trouble, from_ms: SETTLED_MS, until_ms });
                }
                fleet.run(SETTLED_MS + before_ms, |_| {});
                // Changes while the trouble lasts, and again as the watchers recover.
                for number in 1..=13 {
                    fleet.change();
                    let until_ms = SETTLED_MS + before_ms + number * 1_100;
                    fleet.run(until_ms, |fleet| assert_in_time(fleet, &what));
                }
            }
        }
    }
}

/// The worst case: a watcher proves its view and fails at once, the other one takes its followers
/// over and fails after its next proof, and so do the reserves.
#[test]
fn changes_are_known_in_time_though_one_source_fails_after_the_other() {
    for gap_ms in [0, 200, 600, 1_000, 1_400] {
        for trouble in TROUBLES {
            let mut fleet = ViewFleet::new(members(120, 1), BOUND_MS);
            let mut sources = fleet.watchers();
            sources.extend(fleet.reserves());
            fleet.run(SETTLED_MS, |_| {});
            for (place, gateway) in sources.into_iter().enumerate() {
                let from_ms = SETTLED_MS + place as u64 * gap_ms;
                let until_ms = SETTLED_MS + 9_000;
                fleet.disrupt(Disruption { gateway, trouble, from_ms, until_ms });
            }
            for number in 1..=30 {
                fleet.change();
                let what = format!("{trouble:?}, {gap_ms} ms apart");
                let until_ms = SETTLED_MS + number * 300;
                fleet.run(until_ms, |fleet| assert_in_time(fleet, &what));
            }
            fleet.run(SETTLED_MS + 15_000, |fleet| assert_in_time(fleet, "after the last change"));
        }
    }
}

/// The sum that docs/configuration.md states leaves time for the call to the store.
#[test]
fn last_follower_asks_the_store_within_the_bound() {
    for bound_ms in [1_000, 2_000, 3_000, 10_000] {
        let timing = ViewTiming { bound_ms: DurationMs::new(bound_ms) };
        let last = FollowerPlace { position: 557, followers: 558 };
        assert!(timing.store_after_ms(last).get() <= bound_ms * 85 / 100);
        let reserve = FollowerPlace { position: 1, followers: 558 };
        assert!(timing.store_after_ms(reserve) < timing.leave_after_ms(last));
        // What a follower knows in the calm is younger than the age at which it leaves its source.
        let calm_ms = timing.poll_interval_ms().get() + timing.poll_wait_ms().get();
        assert!(calm_ms + 100 <= timing.leave_after_ms(reserve).get(), "{bound_ms}: {calm_ms}");
    }
}

/// Guards against calls to the store that grow with the fleet: in the calm only watchers call, and
/// if the watchers fail, the reserves.
#[test]
fn calls_to_the_store_do_not_grow_with_the_fleet() {
    for (gateways, data_centres) in [(12, 4), (60, 1), (60, 4), (560, 1), (560, 32)] {
        for trouble in [None, Some(Trouble::Frozen), Some(Trouble::TurnedAway)] {
            let mut fleet = ViewFleet::new(members(gateways, data_centres), BOUND_MS);
            let (watchers, reserves) = (fleet.watchers(), fleet.reserves());
            fleet.run(SETTLED_MS, |_| {});
            fleet.calls.clear();
            for gateway in watchers.iter().filter(|_| trouble.is_some()) {
                let (from_ms, until_ms) = (SETTLED_MS, SETTLED_MS + 9_000);
                let trouble = trouble.unwrap();
                fleet.disrupt(Disruption { gateway: *gateway, trouble, from_ms, until_ms });
            }
            fleet.run(SETTLED_MS + 30_000, |_| {});
            let others = fleet.calls.iter().filter(|(gateway, at_ms)| {
                // 12 s after the trouble all followers follow a watcher again.
                let may_call = trouble.is_some() && *at_ms < SETTLED_MS + 9_000 + 12_000;
                let may_call = may_call && reserves.contains(gateway);
                !watchers.contains(gateway) && !may_call
            });
            let others = others.count();
            assert_eq!(others, 0, "{gateways} in {data_centres}, {trouble:?}: calls of followers");
        }
    }
}

fn disruptions() -> impl Strategy<Value = Vec<(usize, Trouble, u64, u64)>> {
    let trouble = (0_usize..4).prop_map(|index| TROUBLES[index]);
    let one = (0_usize..60, trouble, 0_u64..12_000, 300_u64..9_000);
    proptest::collection::vec(one, 1..8)
}

proptest! {
    #![proptest_config(property::config(59, 30))]

    /// Whichever gateways fail, for however long, the others know each change in time.
    #[test]
    fn changes_are_known_in_time_at_gateways_without_trouble(
        gateways in prop_oneof![Just(3_usize), Just(6), Just(12), Just(60)],
        data_centres in prop_oneof![Just(1_usize), Just(4)],
        disruptions in disruptions(),
        gap_ms in 150_u64..1_500,
    ) {
        let mut fleet = ViewFleet::new(members(gateways, data_centres), BOUND_MS);
        fleet.run(SETTLED_MS, |_| {});
        for (gateway, trouble, at_ms, for_ms) in disruptions {
            let from_ms = SETTLED_MS + at_ms;
            let gateway = gateway % gateways;
            fleet.disrupt(Disruption { gateway, trouble, from_ms, until_ms: from_ms + for_ms });
        }
        for number in 1..=(25_000 / gap_ms) {
            fleet.change();
            let until_ms = SETTLED_MS + number * gap_ms;
            fleet.run(until_ms, |fleet| assert_in_time(fleet, "random trouble"));
        }
    }
}
