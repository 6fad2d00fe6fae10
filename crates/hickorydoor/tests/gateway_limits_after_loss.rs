//! Limits that upstreams name, while the gateways that issue permits are lost, suspended or cut off.
//!
//! The bound is the users': one and a half times the limit and 5 requests in any 4 s, from the
//! gateways that were not disturbed. Beside it stands how much of the rate is used.

mod gateway;

use hickorydoor::gateway::rate_limits::LimitNotice;

use crate::gateway::limit_fleet::LimitFleet;
use crate::gateway::limit_fleet::WINDOW_MS;
use crate::gateway::limit_fleet::limit;

const NAMED_MS: u64 = 2_000;
const LEARNED_MS: u64 = 1_000;
const LOST_MS: u64 = 8_000;
/// Time from the end of a gateway until its lease ends.
const LEASE_MS: u64 = 6_000;
const END_MS: u64 = 34_000;
/// When all gateways know again which of them are there.
const SETTLED_MS: u64 = 22_000;
const MIN_USED_SHARE: f64 = 0.9;
/// Requests that arrive in a second at all gateways together, as a multiple of the limit.
const DEMAND: f64 = 4.0;

/// How a gateway is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Kill { back_ms: Option<u64> },
    Freeze { for_ms: u64 },
}

/// Gateways in the order in which they issue the permits of the upstream.
fn issuers_first(fleet: &LimitFleet) -> Vec<usize> {
    let seed = xxhash_rust::xxh3::xxh3_64(b"u-0");
    let mut order: Vec<usize> = (0..fleet.rigs.len()).collect();
    let hash = |index: &usize| {
        let host = fleet.rigs[*index].gateway.host();
        xxhash_rust::xxh3::xxh3_64_with_seed(host.as_str().as_bytes(), seed)
    };
    order.sort_by_key(|index| std::cmp::Reverse(hash(index)));
    order
}

/// Loses the first issuers, `gap_ms` apart, and checks both sides.
fn check(gateways: usize, per_s: f64, lost: usize, gap_ms: u64, how: Loss, others: usize) {
    let words: Vec<(u64, LimitNotice)> = vec![(NAMED_MS, limit(per_s))];
    let mut fleet = LimitFleet::new("/draft/1", gateways, &[words], others, 43);
    let victims: Vec<usize> = issuers_first(&fleet).into_iter().take(lost).collect();
    let mut changes: Vec<(u64, usize, u8)> = Vec::new();
    for (index, victim) in victims.iter().enumerate() {
        let at_ms = LOST_MS + index as u64 * gap_ms;
        changes.push((at_ms, *victim, 0));
        if let Loss::Kill { back_ms } = how {
            if back_ms.is_none_or(|back_ms| back_ms > LEASE_MS) {
                changes.push((at_ms + LEASE_MS, *victim, 1));
            }
            changes.extend(back_ms.map(|back_ms| (at_ms + back_ms, *victim, 2)));
        }
    }
    changes.sort_unstable();
    let demand = (per_s * DEMAND).max(20.0);
    let weights = vec![1.0; gateways];
    for (at_ms, victim, what) in changes {
        fleet.run(demand, &weights, at_ms);
        match (what, how) {
            (0, Loss::Kill { .. }) => fleet.kill(victim),
            (0, Loss::Freeze { for_ms }) => fleet.pause(victim, at_ms + for_ms),
            (1, _) => fleet.end_lease(victim),
            _ => fleet.restart_gateway(victim, 2),
        }
    }
    fleet.run(demand, &weights, END_MS);
    let upstream = fleet.upstreams.get_mut("u-0").unwrap();
    let used = upstream.rate(SETTLED_MS, END_MS) / per_s;
    let during = upstream.rate(LOST_MS + 1_500, LOST_MS + LEASE_MS) / per_s;
    upstream.arrivals.retain(|(_, gateway)| !victims.contains(gateway));
    let most = upstream.most_in_window(NAMED_MS + LEARNED_MS);
    let bound = 1.5 * per_s * WINDOW_MS as f64 / 1_000.0 + 5.0;
    let case = format!(
        "{gateways} gateways, {per_s} a second, {lost} lost {gap_ms} ms apart, {how:?}, {others} others"
    );
    println!("{case}: {most} in 4 s of {bound}, used {during:.2} in the loss, {used:.2} after it");
    assert!(most as f64 <= bound, "{most} requests in 4 s, bound {bound}: {case}");
    if others == 0 {
        assert!(used >= MIN_USED_SHARE, "{used:.2} of the rate used: {case}");
    }
}

const KILLS: [Loss; 3] = [
    Loss::Kill { back_ms: Some(3_500) },
    Loss::Kill { back_ms: Some(12_000) },
    Loss::Kill { back_ms: None },
];

#[test]
fn limit_holds_when_issuers_are_killed() {
    for lost in [1, 2, 7] {
        for gap_ms in [0, 1_700] {
            for loss in KILLS {
                check(19, 10.0, lost, gap_ms, loss, 0);
            }
        }
    }
}

#[test]
fn limit_holds_when_issuers_are_suspended() {
    for lost in [1, 2, 7] {
        for for_ms in [3_500, 12_000] {
            check(19, 10.0, lost, 0, Loss::Freeze { for_ms }, 0);
        }
    }
}

#[test]
fn limits_of_all_sizes_hold_for_few_and_many_gateways() {
    for (gateways, lost) in [(3, 1), (3, 2), (19, 6), (60, 20)] {
        for per_s in [0.5, 1.4, 10.0, 40.0] {
            check(gateways, per_s, lost, 0, Loss::Kill { back_ms: None }, 0);
        }
    }
}

/// Returns the number of gateways of a large fleet, which the environment can raise.
fn many_gateways() -> usize {
    let set = std::env::var("HICKORY_LIMIT_GATEWAYS").ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(36)
}

#[test]
fn limit_holds_when_a_third_of_many_gateways_is_lost() {
    let gateways = many_gateways();
    for per_s in [1.4, 10.0] {
        check(gateways, per_s, gateways / 3, 0, Loss::Kill { back_ms: Some(12_000) }, 0);
    }
}

#[test]
fn limit_holds_beside_upstreams_without_one() {
    for lost in [2, 7] {
        check(19, 10.0, lost, 0, Loss::Kill { back_ms: Some(3_500) }, 2);
    }
}

/// Plays links that lose messages from `LOST_MS` on, and checks the bound.
fn check_links(gateways: usize, per_s: f64, is_lost: fn(usize, usize, u64) -> bool, case: &str) {
    let words = vec![(NAMED_MS, limit(per_s))];
    let mut fleet = LimitFleet::new("/draft/1", gateways, &[words], 0, 44);
    let demand = (per_s * DEMAND).max(20.0);
    fleet.run(demand, &vec![1.0; gateways], LOST_MS);
    fleet.is_lost = is_lost;
    fleet.run(demand, &vec![1.0; gateways], END_MS);
    let upstream = &fleet.upstreams["u-0"];
    let most = upstream.most_in_window(NAMED_MS + LEARNED_MS);
    let used = upstream.rate(LOST_MS + 4_000, END_MS) / per_s;
    let bound = 1.5 * per_s * WINDOW_MS as f64 / 1_000.0 + 5.0;
    println!("{case}, {gateways} gateways, {per_s} a second: {most} of {bound}, used {used:.2}");
    assert!(most as f64 <= bound, "{most} requests in 4 s, bound {bound}: {case}, {per_s}");
}

#[test]
fn limit_holds_for_groups_that_do_not_hear_each_other() {
    for per_s in [1.4, 10.0, 40.0] {
        check_links(19, per_s, |from, to, _| from % 3 != to % 3, "three groups");
        check_links(19, per_s, |_, _, _| true, "no messages at all");
        check_links(19, per_s, |from, to, _| from < 9 && to >= 9, "one way");
        check_links(60, per_s, |from, to, _| from % 5 != to % 5, "five groups");
    }
}
