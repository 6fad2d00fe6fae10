//! Chooses the upstream that runs a request.
//!
//! The candidates are the upstreams that probably have the prompt's prefix in their cache, and a
//! few random ones; the candidate with the lowest expected time is chosen. Random sampling keeps
//! entries with the same load reports from all choosing the same upstream. The decision and its
//! measurements are described in `docs/placement.md`.

pub mod answer_lengths;
pub mod prefix_affinity;
pub mod rule;
pub mod upstream_score;

use std::collections::HashMap;

use rand::Rng;
use rand::RngExt;
use smallvec::SmallVec;

use crate::configuration::Configuration;
use crate::entry::member_table::Member;
use crate::entry::member_table::MemberTable;
use crate::entry::placement::answer_lengths::AnswerLengths;
use crate::entry::placement::prefix_affinity::PrefixAffinity;
use crate::entry::placement::prefix_affinity::rendezvous_weight;
use crate::entry::placement::rule::PlacementRule;
use crate::entry::placement::upstream_score::Distance;
use crate::entry::placement::upstream_score::UpstreamScore;
use crate::entry::placement::upstream_score::Work;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::RegionId;
use crate::id::ServiceName;
use crate::id::VersionId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Number of random candidates, besides those that probably have the prefix cached.
const RANDOM_CANDIDATES: usize = 2;
/// Number of upstreams with the highest rendezvous weight for the prefix that are candidates.
const PREFERRED_UPSTREAMS: usize = 2;
/// Probability that an upstream has a prefix cached right after a request with it was sent there.
const RECENT_HIT_PROBABILITY: f64 = 0.9;
/// Half-life of the probability that a recently sent prefix is still cached.
const RECENT_HIT_HALF_LIFE_MS: f64 = 120_000.0;
/// Probability that a prefix is cached at the upstreams with its highest and second-highest
/// rendezvous weight.
const PREFERRED_HIT_PROBABILITIES: [f64; PREFERRED_UPSTREAMS] = [0.7, 0.3];

/// What a request needs from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Requirement<'a> {
    /// An engine that serves this model version.
    Version(&'a VersionId),
    /// An instance of this service.
    Service(&'a ServiceName),
}

impl Requirement<'_> {
    /// Returns whether the upstream of this agent can run the request.
    pub fn is_met_by(self, member: &Member) -> bool {
        match self {
            Self::Version(version) => member.serves_version(version),
            Self::Service(service) => member.serves_service(service),
        }
    }
}

/// Properties of a request that decide where it is placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The version or service that the upstream must serve.
    pub requirement: Requirement<'a>,
    /// Class and expected size of the request.
    pub work: Work,
    /// Hash of the prompt's prefix; 0 if there is none.
    pub prefix: u64,
    /// Agents that already refused or failed the request; they are not chosen again.
    pub excluded: &'a [HostId],
}

/// The upstream chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenUpstream {
    /// Host of the agent that runs next to the upstream.
    pub agent: HostId,
    /// Expected time to the first token, assuming that the prefix is cached only if it was sent
    /// there recently.
    pub first_token_ms: DurationMs,
}

/// Index of the upstreams that serve each version or service, as positions in the member table.
#[derive(Clone, Debug, Default)]
struct CandidateIndex {
    generation: u64,
    versions: HashMap<VersionId, Vec<usize>>,
    services: HashMap<ServiceName, Vec<usize>>,
}

/// Placement policy of one entry, with the history that it learns from.
#[derive(Clone, Debug)]
pub struct Placement {
    rule: PlacementRule,
    data_centre: DataCentreId,
    region: RegionId,
    index: CandidateIndex,
    prefixes: PrefixAffinity,
    round_robin_turn: usize,
    /// Observed answer lengths, from which the work of new requests is estimated.
    pub answer_lengths: AnswerLengths,
}

impl Placement {
    /// Creates the placement for an entry in this data centre and region, from which the distance
    /// to upstreams is derived.
    pub fn new(rule: PlacementRule, data_centre: DataCentreId, region: RegionId) -> Self {
        Self {
            rule,
            data_centre,
            region,
            index: CandidateIndex::default(),
            prefixes: PrefixAffinity::default(),
            round_robin_turn: 0,
            answer_lengths: AnswerLengths::default(),
        }
    }

    /// Chooses an upstream that has capacity for the request. Returns `None` if there is none.
    ///
    /// Rules other than [`PlacementRule::ExpectedTime`] ignore the capacity.
    pub fn choose<R: Rng>(
        &mut self,
        members: &MemberTable,
        configuration: &Configuration,
        request: &PlacementRequest<'_>,
        now: TimeMs,
        rng: &mut R,
    ) -> Option<ChosenUpstream> {
        self.index.refresh(members);
        let known = self.index.get(request.requirement);
        let usable: SmallVec<[(&HostId, &Member); 64]> = known
            .iter()
            .filter_map(|position| members.get_index(*position))
            .filter(|(agent, member)| {
                request.requirement.is_met_by(member)
                    && member.is_usable(configuration)
                    && !request.excluded.contains(agent)
                    && (member.has_capacity() || self.rule != PlacementRule::ExpectedTime)
            })
            .collect();
        if usable.is_empty() {
            return None;
        }
        self.round_robin_turn += 1;
        let chosen = match self.rule {
            PlacementRule::ExpectedTime => self.lowest_cost(&usable, request, now, rng),
            PlacementRule::TwoChoices => two_choices(&usable, rng),
            PlacementRule::LeastRequests => {
                usable.iter().copied().min_by_key(|(_, member)| member.in_flight)?
            }
            PlacementRule::RoundRobin => usable[self.round_robin_turn % usable.len()],
            PlacementRule::Random => usable[rng.random_range(0..usable.len())],
        };
        let (agent, member) = chosen;
        let score = self.score(agent, member, request, now, 0.0, f64::from(member.others_running));
        let agent = agent.clone();
        if request.prefix != 0 {
            self.prefixes.record(request.prefix, &agent, now);
        }
        Some(ChosenUpstream { agent, first_token_ms: score.first_token() })
    }

    fn lowest_cost<'a, R: Rng>(
        &self,
        usable: &[(&'a HostId, &'a Member)],
        request: &PlacementRequest<'_>,
        now: TimeMs,
        rng: &mut R,
    ) -> (&'a HostId, &'a Member) {
        let mean_others_running = mean_others_running(usable);
        let preferred = if request.prefix == 0 {
            [None; PREFERRED_UPSTREAMS]
        } else {
            preferred_positions(usable, request.prefix)
        };
        let mut best = usable[rng.random_range(0..usable.len())];
        let mut best_cost = f64::INFINITY;
        let mut consider = |position: usize, hit_probability: f64| {
            let (agent, member) = usable[position];
            let cost = self
                .score(agent, member, request, now, hit_probability, mean_others_running)
                .cost(request.work.class);
            if cost < best_cost {
                best_cost = cost;
                best = usable[position];
            }
        };
        for (candidate, hit_probability) in preferred.into_iter().zip(PREFERRED_HIT_PROBABILITIES) {
            if let Some(position) = candidate {
                consider(position, hit_probability);
            }
        }
        let recent = self.prefixes.last_agent(request.prefix);
        if let Some((agent, _)) = recent
            && let Some(position) = usable.iter().position(|(known, _)| *known == agent)
        {
            consider(position, 0.0);
        }
        for _ in 0..RANDOM_CANDIDATES {
            consider(rng.random_range(0..usable.len()), 0.0);
        }
        best
    }

    fn score(
        &self,
        agent: &HostId,
        member: &Member,
        request: &PlacementRequest<'_>,
        now: TimeMs,
        preferred_hit_probability: f64,
        mean_others_running: f64,
    ) -> UpstreamScore {
        let recent_hit_probability = match self.prefixes.last_agent(request.prefix) {
            Some((last, at_ms)) if last == agent => {
                let age_ms = now.since(at_ms).as_f64();
                RECENT_HIT_PROBABILITY * (-age_ms / RECENT_HIT_HALF_LIFE_MS).exp2()
            }
            _ => 0.0,
        };
        let hit_probability = recent_hit_probability.max(preferred_hit_probability);
        let distance = self.distance(member);
        UpstreamScore::estimate(
            member,
            request.work,
            hit_probability,
            distance,
            mean_others_running,
            now,
        )
    }

    fn distance(&self, member: &Member) -> Distance {
        match &member.hello {
            Some(hello) if hello.data_centre == self.data_centre => Distance::SameDataCentre,
            Some(hello) if hello.region == self.region => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}

impl CandidateIndex {
    fn refresh(&mut self, members: &MemberTable) {
        if self.generation == members.generation() {
            return;
        }
        *self = Self { generation: members.generation(), ..Self::default() };
        for (position, (_, member)) in members.iter().enumerate() {
            for version in &member.load.versions {
                self.versions.entry(version.clone()).or_default().push(position);
            }
            if let Some(service) = member.service() {
                self.services.entry(service.clone()).or_default().push(position);
            }
        }
    }

    fn get(&self, requirement: Requirement<'_>) -> &[usize] {
        let positions = match requirement {
            Requirement::Version(version) => self.versions.get(version),
            Requirement::Service(service) => self.services.get(service),
        };
        positions.map_or(&[], Vec::as_slice)
    }
}

/// Returns the positions in `usable` with the highest rendezvous weights for a prefix.
fn preferred_positions(
    usable: &[(&HostId, &Member)],
    prefix: u64,
) -> [Option<usize>; PREFERRED_UPSTREAMS] {
    let mut best: [Option<(u64, usize)>; PREFERRED_UPSTREAMS] = [None; PREFERRED_UPSTREAMS];
    for (position, (agent, _)) in usable.iter().enumerate() {
        let candidate = Some((rendezvous_weight(prefix, agent), position));
        if candidate > best[0] {
            best = [candidate, best[0]];
        } else if candidate > best[1] {
            best[1] = candidate;
        }
    }
    best.map(|candidate| candidate.map(|(_, position)| position))
}

fn mean_others_running(usable: &[(&HostId, &Member)]) -> f64 {
    let sum: u32 = usable.iter().map(|(_, member)| member.others_running).sum();
    f64::from(sum) / usable.len() as f64
}

fn two_choices<'a, R: Rng>(
    usable: &[(&'a HostId, &'a Member)],
    rng: &mut R,
) -> (&'a HostId, &'a Member) {
    let first = usable[rng.random_range(0..usable.len())];
    let second = usable[rng.random_range(0..usable.len())];
    if outstanding_requests(second.1) < outstanding_requests(first.1) { second } else { first }
}

fn outstanding_requests(member: &Member) -> u64 {
    u64::from(member.load.running) + member.sent_since_report()
}
