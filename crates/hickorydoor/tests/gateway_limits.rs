//! Limits that upstreams name in their answers, which hold for all gateways together.

mod gateway;

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

#[test]
fn small_limit_is_shared_by_many_gateways() {
    for others in [0, 2] {
        play("/draft/1", &[1.0; 60], 1.4, 1, others);
    }
}
