//! Claims of routes on shared engines, as derived from the configuration.

use hickorydoor::DurationMs;
use hickorydoor::gateway::route_claims::RouteClaims;
use hickorydoor::gateway::route_claims::RouteRank;

fn rank(route: &str, priority: u8, objective_ms: u64) -> RouteRank {
    RouteRank {
        route: route.into(),
        service: "engines".parse().unwrap(),
        priority,
        objective_ms: DurationMs::new(objective_ms),
    }
}

fn claims(ranks: &[RouteRank]) -> Vec<f64> {
    let claims = RouteClaims::new(ranks.to_vec());
    ranks.iter().map(|rank| claims.claim(&rank.route)).collect()
}

/// Guards against engine time that goes to answers which may take longer and matter less.
#[test]
fn less_urgent_routes_with_more_time_claim_less() {
    let ranks = [rank("digest", 0, 2_000), rank("summary", 1, 4_000), rank("lookup", 2, 8_000)];
    let claims = claims(&ranks);
    assert!(claims[0] > 1.0, "{claims:?}");
    assert!(claims[0] >= 2.0 * claims[1], "{claims:?}");
    assert!(claims[1] >= 2.0 * claims[2], "{claims:?}");
    let mean = claims.iter().sum::<f64>() / 3.0;
    assert!((mean - 1.0).abs() < 1e-9, "{claims:?}");
}

/// Guards against a change for configurations whose priorities and objectives say different things.
#[test]
fn routes_claim_alike_if_priority_and_objective_contradict_each_other() {
    let ranks = [rank("digest", 1, 3_000), rank("check", 0, 2_000), rank("chat", 2, 2_000)];
    assert_eq!(claims(&ranks), [1.0, 1.0, 1.0]);
}

#[test]
fn routes_with_the_same_objective_claim_alike() {
    let ranks = [rank("a", 0, 3_000), rank("b", 1, 3_000)];
    assert_eq!(claims(&ranks), [1.0, 1.0]);
}

#[test]
fn routes_of_other_services_do_not_matter() {
    let mut other = rank("other", 0, 100);
    other.service = "others".parse().unwrap();
    let ranks = [rank("a", 0, 2_000), rank("b", 1, 4_000), other];
    let claims = claims(&ranks);
    assert!((claims[2] - 1.0).abs() < 1e-9, "{claims:?}");
    assert!(claims[0] > claims[1]);
}

#[test]
fn route_that_is_not_known_claims_like_the_mean() {
    let claim = RouteClaims::default().claim(&"new".into());
    assert!((claim - 1.0).abs() < 1e-9, "{claim}");
}

/// Guards against a claim of nothing, which no model would answer.
#[test]
fn no_claim_is_zero() {
    let ranks = [rank("a", 0, 100), rank("b", 9, 1_000_000)];
    assert!(claims(&ranks)[1] > 0.0);
}
