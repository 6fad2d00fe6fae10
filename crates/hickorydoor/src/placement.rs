//! Choice of the upstream for a request.

use rand::Rng;
use rand::RngExt;

use crate::id::HostId;
use crate::member_table::Member;

/// How an entry chooses among the upstreams that may run a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementRule {
    /// The less loaded of two random upstreams.
    #[default]
    TwoChoices,
    /// The upstream with the fewest requests of this entry.
    LeastRequests,
    /// Each upstream in turn.
    RoundRobin,
    /// Any upstream.
    Random,
}

/// Chooses one of the candidates. `turn` counts the choices made before.
pub fn choose<'a, R: Rng>(
    rule: PlacementRule,
    candidates: impl Iterator<Item = (&'a HostId, &'a Member)>,
    turn: u64,
    rng: &mut R,
) -> Option<HostId> {
    let candidates: Vec<(&HostId, &Member)> = candidates.collect();
    if candidates.is_empty() {
        return None;
    }
    let chosen = match rule {
        PlacementRule::TwoChoices => two_choices(&candidates, rng),
        PlacementRule::LeastRequests => *candidates.iter().min_by_key(|(_, m)| m.in_flight)?,
        PlacementRule::RoundRobin => candidates[(turn % candidates.len() as u64) as usize],
        PlacementRule::Random => candidates[rng.random_range(0..candidates.len())],
    };
    Some(chosen.0.clone())
}

fn two_choices<'a, R: Rng>(
    candidates: &[(&'a HostId, &'a Member)],
    rng: &mut R,
) -> (&'a HostId, &'a Member) {
    let first = candidates[rng.random_range(0..candidates.len())];
    let second = candidates[rng.random_range(0..candidates.len())];
    if load(second.1) < load(first.1) { second } else { first }
}

fn load(member: &Member) -> u64 {
    u64::from(member.load.running) + member.sent_since_report()
}
