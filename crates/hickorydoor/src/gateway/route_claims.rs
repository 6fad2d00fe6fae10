//! Claims of routes on the capacity of the engines that they share.
//!
//! A configuration ranks routes by priority and by objective, the time that an answer may take. If
//! both order the routes of a service alike, a route claims less with each step of priority and in
//! proportion to its objective, so that the capacity of engines goes to the most urgent answers. If
//! they contradict each other, the objective does not tell what an answer is worth, and all routes
//! claim the same. The load that this handles is one of long urgent prompts that compete with many
//! short ones that may wait.

use compact_str::CompactString;

use crate::id::ServiceName;
use crate::time::DurationMs;

/// Claim of a route relative to one with the same objective and the next more urgent priority.
const PRIORITY_STEP: f64 = 0.5;
/// Lower bound of a claim before scaling, since placement divides by it.
const MIN_CLAIM: f64 = 0.05;

/// What the configuration says of a route that gets requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRank {
    /// Name of the route.
    pub route: CompactString,
    /// Service that its requests go to.
    pub service: ServiceName,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum time until an answer that is on time.
    pub objective_ms: DurationMs,
}

/// Claims by route, relative to the mean route of the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteClaims {
    claims: Vec<(CompactString, f64)>,
}

impl RouteClaims {
    /// Derives the claims of the routes that get requests.
    pub fn new(mut routes: Vec<RouteRank>) -> Self {
        routes.sort_by(|a, b| {
            let key = |rank: &RouteRank| (rank.service.clone(), rank.priority, rank.objective_ms);
            key(a).cmp(&key(b))
        });
        let of_service = routes.chunk_by(|a, b| a.service == b.service);
        Self { claims: of_service.flat_map(service_claims).collect() }
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the claim of a route; 1 if it is not known.
    pub fn claim(&self, route: &CompactString) -> f64 {
        let known = self.claims.iter().find(|(name, _)| name == route);
        known.map_or(1.0, |(_, claim)| *claim)
    }
}

/// Returns the claims of the routes of one service, which are in order of priority and objective.
fn service_claims(routes: &[RouteRank]) -> Vec<(CompactString, f64)> {
    let claims: Vec<f64> = if is_consistent(routes) {
        let shortest_ms = routes[0].objective_ms.as_f64();
        let most_urgent = routes[0].priority;
        let claim = |rank: &RouteRank| {
            let steps = i32::from(rank.priority - most_urgent);
            PRIORITY_STEP.powi(steps) * shortest_ms / rank.objective_ms.as_f64()
        };
        routes.iter().map(|rank| claim(rank).max(MIN_CLAIM)).collect()
    } else {
        vec![1.0; routes.len()]
    };
    let mean = claims.iter().sum::<f64>() / claims.len() as f64;
    let relative = claims.into_iter().map(|claim| claim / mean);
    routes.iter().map(|rank| rank.route.clone()).zip(relative).collect()
}

/// Returns whether routes that are less urgent may also take longer.
fn is_consistent(routes: &[RouteRank]) -> bool {
    let is_ordered = routes.is_sorted_by_key(|rank| rank.objective_ms);
    let may_wait = |(a, b): (&RouteRank, &RouteRank)| {
        a.priority == b.priority || a.objective_ms < b.objective_ms
    };
    is_ordered && routes.iter().zip(&routes[1..]).all(may_wait)
}
