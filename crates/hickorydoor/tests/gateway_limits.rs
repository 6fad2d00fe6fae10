//! Limits that upstreams name in their answers, which hold for all gateways together.

mod gateway;

use hickorydoor::gateway::rate_limits::LimitNotice;

use crate::gateway::limit_fleet::Answers;
use crate::gateway::limit_fleet::LimitFleet;
use crate::gateway::limit_fleet::WINDOW_MS;
use crate::gateway::limit_fleet::limit;

/// When the upstreams begin to name limits.
const NAMED_MS: u64 = 2_000;
/// Time after the first limit from which on it holds.
const LEARNED_MS: u64 = 1_000;
const END_MS: u64 = 26_000;
/// Share of the named rate that is used at least while there is demand.
const MIN_USED_SHARE: f64 = 0.9;

/// Returns the requests that a window may hold at a limit.
fn most_allowed(per_s: f64) -> f64 {
    per_s * WINDOW_MS as f64 / 1_000.0 + 1.0
}

/// Plays a load against upstreams of which `limited` name a limit, and checks both sides.
fn play(
    path: &'static str,
    weights: &[f64],
    per_s: f64,
    limited: usize,
    others: usize,
) -> LimitFleet {
    let words = vec![vec![(NAMED_MS, limit(per_s))]; limited];
    let mut fleet = LimitFleet::new(path, weights.len(), &words, others, 34);
    fleet.run(60.0, weights, END_MS);
    fleet.advance(END_MS + 3_000);
    for (id, upstream) in fleet.upstreams.iter().take(limited) {
        let case =
            format!("{id} of {limited}, {others} others, {per_s} a second, {weights:?}, {path}");
        let most = upstream.most_in_window(NAMED_MS + LEARNED_MS);
        assert!(most as f64 <= most_allowed(per_s), "{most} requests in 4 s: {case}");
        let used = upstream.rate(NAMED_MS + LEARNED_MS, END_MS);
        if limited == 1 || others == 0 {
            assert!(used >= per_s * MIN_USED_SHARE, "{used:.2} a second: {case}");
        }
    }
    fleet
}

#[test]
fn limit_of_an_upstream_holds_for_all_gateways_together() {
    for path in ["/look/1", "/draft/1"] {
        play(path, &[1.0; 3], 1.4, 1, 2);
        play(path, &[1.0; 8], 2.5, 1, 2);
        play(path, &[1.0; 3], 5.0, 1, 0);
        play(path, &[1.0; 8], 1.2, 1, 0);
        play(path, &[1.0; 3], 0.5, 1, 0);
    }
}

#[test]
fn limit_is_used_when_one_gateway_has_most_of_the_demand() {
    for others in [0, 2] {
        play("/look/1", &[18.0, 1.0, 1.0], 6.0, 1, others);
        play("/look/1", &[1.0, 0.0, 0.0], 1.4, 1, others);
    }
}

/// Returns the number of gateways of a large fleet, which the environment can raise.
fn many_gateways() -> usize {
    let set = std::env::var("HICKORY_LIMIT_GATEWAYS").ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(60)
}

#[test]
fn small_limit_is_shared_by_many_gateways() {
    let gateways = many_gateways();
    for others in [0, 2] {
        let fleet = play("/draft/1", &vec![1.0; gateways], 1.4, 1, others);
        let per_s = fleet.messages as f64 * 1_000.0 / END_MS as f64;
        let bytes = fleet.message_bytes / fleet.messages;
        println!(
            "{gateways} gateways, {others} others: {per_s:.1} messages of {bytes} bytes a second"
        );
    }
}

/// Asserts that an upstream gets no more than this in any window from a time on, as the users bound
/// it.
fn assert_bounded(fleet: &LimitFleet, id: &str, per_s: f64, from_ms: u64, case: &str) {
    let most = fleet.upstreams[id].most_in_window(from_ms);
    let bound = 1.5 * per_s * WINDOW_MS as f64 / 1_000.0 + 5.0;
    assert!(most as f64 <= bound, "{most} requests in 4 s, bound {bound}: {case}");
}

#[test]
fn changed_limit_holds_from_the_answer_that_names_it() {
    for others in [0, 2] {
        let words = vec![
            (NAMED_MS, limit(8.0)),
            (10_000, limit(2.0)),
            (20_000, limit(6.0)),
            (30_000, LimitNotice::Unlimited),
        ];
        let mut fleet = LimitFleet::new("/draft/1", 4, &[words], others, 35);
        fleet.run(60.0, &[1.0; 4], 40_000);
        let upstream = &fleet.upstreams["u-0"];
        for (from_ms, to_ms, per_s) in
            [(3_000, 10_000, 8.0), (11_000, 20_000, 2.0), (21_000, 30_000, 6.0)]
        {
            let used = upstream.rate(from_ms, to_ms);
            assert!(used <= per_s + 0.25, "{used} of {per_s}, {others} others");
            assert!(used >= per_s * MIN_USED_SHARE, "{used} of {per_s}, {others} others");
        }
        let used = upstream.rate(32_000, 40_000);
        assert!(used > 12.0, "{used} a second without a limit, {others} others");
    }
}

#[test]
fn limit_ends_with_the_incarnation_that_named_it() {
    let mut fleet = LimitFleet::new("/draft/1", 3, &[vec![(NAMED_MS, limit(1.0))]], 0, 36);
    fleet.run(20.0, &[1.0; 3], 8_000);
    fleet.restart_upstream("u-0", Vec::new());
    fleet.run(20.0, &[1.0; 3], 14_000);
    let used = fleet.upstreams["u-0"].rate(9_000, 14_000);
    assert!(used > 15.0, "{used} a second");
}

#[test]
fn limit_of_zero_lets_its_end_be_learned() {
    for others in [0, 2] {
        let words = vec![(NAMED_MS, limit(0.0)), (12_000, LimitNotice::Unlimited)];
        let mut fleet = LimitFleet::new("/look/1", 3, &[words], others, 37);
        fleet.run(60.0, &[1.0; 3], 24_000);
        let upstream = &fleet.upstreams["u-0"];
        assert!(upstream.rate(3_000, 12_000) <= 0.25, "{others} others");
        let used = upstream.rate(18_000, 24_000);
        assert!(used > 10.0, "{used} a second, {others} others");
    }
}

#[test]
fn limit_of_all_upstreams_is_used_and_the_rest_is_told_at_once() {
    for (path, gateways) in [("/look/1", 5), ("/draft/1", 20)] {
        let words = vec![vec![(NAMED_MS, limit(1.4))]; 9];
        let mut fleet = LimitFleet::new(path, gateways, &words, 0, 38);
        fleet.run(60.0, &vec![1.0; gateways], END_MS);
        fleet.advance(END_MS + 5_000);
        let mut used = 0.0;
        for upstream in fleet.upstreams.values() {
            let most = upstream.most_in_window(upstream.told_ms(NAMED_MS) + LEARNED_MS);
            assert!(most as f64 <= most_allowed(1.4), "{most} requests in 4 s, {path}");
            used += upstream.rate(NAMED_MS + LEARNED_MS, END_MS);
        }
        assert!(used >= 9.0 * 1.4 * MIN_USED_SHARE, "{used:.2} a second of 12.6, {path}");
        let late = fleet.ended.iter().filter(|ended| ended.at_ms > NAMED_MS + LEARNED_MS);
        let refused: Vec<_> = late.filter(|ended| !ended.is_served).collect();
        let mut took_ms: Vec<u64> = refused.iter().map(|ended| ended.took_ms).collect();
        took_ms.sort_unstable();
        let (median_ms, most_ms) = (took_ms[took_ms.len() / 2], took_ms[took_ms.len() - 1]);
        println!("{path}: {} refused, after {median_ms} ms, {most_ms} at most", refused.len());
        assert!(median_ms <= 50, "refused after {median_ms} ms, {path}");
        assert!(refused.iter().all(|ended| ended.retry_after_ms.is_some()), "{path}");
    }
}

#[test]
fn requests_go_elsewhere_while_a_third_of_the_upstreams_has_limits() {
    let words = vec![vec![(NAMED_MS, limit(1.4))]; 3];
    let mut fleet = LimitFleet::new("/look/1", 5, &words, 6, 39);
    fleet.run(60.0, &[1.0; 5], END_MS);
    fleet.advance(END_MS + 5_000);
    let refused = fleet.ended.iter().filter(|ended| !ended.is_served).count();
    assert_eq!(refused, 0, "of {}", fleet.ended.len());
    for id in ["u-0", "u-1", "u-2"] {
        let upstream = &fleet.upstreams[id];
        let most = upstream.most_in_window(upstream.told_ms(NAMED_MS) + LEARNED_MS);
        assert!(most as f64 <= most_allowed(1.4), "{most} requests in 4 s");
    }
}

#[test]
fn refusals_within_a_limit_are_no_failures_of_the_upstream() {
    for answers in [Answers::Refuses, Answers::Errors] {
        let mut fleet = LimitFleet::new("/look/1", 3, &[vec![(0, limit(1.4))]], 2, 40);
        fleet.upstreams.get_mut("u-0").unwrap().answers = answers;
        fleet.run(60.0, &[1.0; 3], END_MS);
        fleet.advance(END_MS + 3_000);
        let upstream = &fleet.upstreams["u-0"];
        let most = upstream.most_in_window(LEARNED_MS);
        assert!(most as f64 <= most_allowed(1.4), "{most} requests in 4 s, {answers:?}");
        let refused = fleet.ended.iter().filter(|ended| !ended.is_served).count();
        assert_eq!(refused, 0, "{answers:?}");
        if answers == Answers::Refuses {
            let used = upstream.rate(LEARNED_MS, END_MS);
            assert!(used >= 1.4 * MIN_USED_SHARE, "{used} a second");
        }
    }
}

#[test]
fn limit_holds_while_gateways_are_lost_paused_and_cut_off() {
    type Fault = (&'static str, fn(&mut LimitFleet));
    let faults: [Fault; 5] = [
        ("restarts", |fleet| {
            for gateway in 0..4 {
                fleet.restart_gateway(gateway, 2);
            }
        }),
        ("pauses", |fleet| {
            for gateway in 0..4 {
                fleet.pause(gateway, 11_000);
            }
        }),
        ("lost messages", |fleet| {
            fleet.is_lost = |from, to, at| (from * 7 + to * 3 + at as usize).is_multiple_of(5);
        }),
        ("one way", |fleet| fleet.is_lost = |from, to, _| from < 4 && to >= 4),
        ("cut off", |fleet| fleet.is_lost = |from, to, _| (from < 4) != (to < 4)),
    ];
    for per_s in [1.4, 6.0] {
        for others in [0, 2] {
            for (name, fault) in faults {
                let words = vec![vec![(NAMED_MS, limit(per_s))]];
                let mut fleet = LimitFleet::new("/draft/1", 8, &words, others, 41);
                fleet.run(60.0, &[1.0; 8], 8_000);
                fault(&mut fleet);
                fleet.run(60.0, &[1.0; 8], END_MS);
                fleet.advance(END_MS + 3_000);
                let case = format!("{name}, {per_s} a second, {others} others");
                assert_bounded(&fleet, "u-0", per_s, NAMED_MS + LEARNED_MS, &case);
                let upstream = &fleet.upstreams["u-0"];
                let (most, used) = (upstream.most_in_window(3_000), upstream.rate(12_000, END_MS));
                println!("{case}: {most} in 4 s, {used:.2} a second");
                assert!(used >= per_s / 2.0 * MIN_USED_SHARE, "{used} a second: {case}");
            }
        }
    }
}
