//! Choice of the upstream for a request.
//!
//! The candidates are the few upstreams that probably hold the prompt's prefix and a few random
//! ones. Random sampling keeps entries that hold the same reports from choosing the same upstream;
//! the decision and its figures are in `docs/placement.md`.

pub mod answer_lengths;
pub mod prefix_memory;
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
use crate::entry::placement::prefix_memory::PrefixMemory;
use crate::entry::placement::prefix_memory::home_weight;
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

/// Random candidates beside the ones that probably hold the prefix.
const RANDOM_CANDIDATES: usize = 2;
/// Homes of a prefix that are candidates.
const HOMES: usize = 2;
/// Probability that the agent which got a prefix last still holds it, when it just got it.
const REMEMBERED: f64 = 0.9;
/// Age at which that probability is halved.
const REMEMBERED_HALF_LIFE_MS: f64 = 120_000.0;
/// Probability that the first and the second home of a prefix hold it.
const AT_HOME: [f64; HOMES] = [0.7, 0.3];

/// What a request needs from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Need<'a> {
    /// An engine that serves this version.
    Version(&'a VersionId),
    /// An instance of this service.
    Service(&'a ServiceName),
}

impl Need<'_> {
    /// Whether this agent's upstream has what is needed.
    pub fn is_met_by(self, member: &Member) -> bool {
        match self {
            Self::Version(version) => member.serves_version(version),
            Self::Service(service) => member.serves_service(service),
        }
    }
}

/// A request to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// What it needs.
    pub need: Need<'a>,
    /// The work.
    pub work: Work,
    /// Hash of the prompt's prefix; 0 if there is none.
    pub prefix: u64,
    /// Agents that already refused or failed the request.
    pub excluded: &'a [HostId],
}

/// A chosen upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    /// Its agent.
    pub agent: HostId,
    /// Expected time to the first token.
    pub first_token_ms: DurationMs,
}

/// Upstreams that serve each version or service, as positions in the member table.
#[derive(Clone, Debug, Default)]
struct CandidateIndex {
    generation: u64,
    versions: HashMap<VersionId, Vec<usize>>,
    services: HashMap<ServiceName, Vec<usize>>,
}

/// State of the placement at one entry.
#[derive(Clone, Debug)]
pub struct Placement {
    rule: PlacementRule,
    data_centre: DataCentreId,
    region: RegionId,
    index: CandidateIndex,
    prefixes: PrefixMemory,
    turn: usize,
    /// Lengths of answers.
    pub lengths: AnswerLengths,
}

impl Placement {
    /// The placement of an entry in this data centre and region.
    pub fn new(rule: PlacementRule, data_centre: DataCentreId, region: RegionId) -> Self {
        Self {
            rule,
            data_centre,
            region,
            index: CandidateIndex::default(),
            prefixes: PrefixMemory::default(),
            turn: 0,
            lengths: AnswerLengths::default(),
        }
    }

    /// Chooses an upstream with room for the request.
    pub fn choose<R: Rng>(
        &mut self,
        members: &MemberTable,
        configuration: &Configuration,
        request: &PlacementRequest<'_>,
        now: TimeMs,
        rng: &mut R,
    ) -> Option<Placed> {
        self.index.refresh(members);
        let known = self.index.get(request.need);
        let usable: SmallVec<[(&HostId, &Member); 64]> = known
            .iter()
            .filter_map(|position| members.get_index(*position))
            .filter(|(agent, member)| {
                request.need.is_met_by(member)
                    && member.is_usable(configuration)
                    && !request.excluded.contains(agent)
                    && (member.has_capacity() || self.rule != PlacementRule::ExpectedTime)
            })
            .collect();
        if usable.is_empty() {
            return None;
        }
        self.turn += 1;
        let chosen = match self.rule {
            PlacementRule::ExpectedTime => self.lowest_cost(&usable, request, now, rng),
            PlacementRule::TwoChoices => two_choices(&usable, rng),
            PlacementRule::LeastRequests => {
                usable.iter().copied().min_by_key(|(_, member)| member.in_flight)?
            }
            PlacementRule::RoundRobin => usable[self.turn % usable.len()],
            PlacementRule::Random => usable[rng.random_range(0..usable.len())],
        };
        let (agent, member) = chosen;
        let score = self.score(agent, member, request, now, 0.0, f64::from(member.others_running));
        let agent = agent.clone();
        if request.prefix != 0 {
            self.prefixes.remember(request.prefix, &agent, now);
        }
        Some(Placed { agent, first_token_ms: score.first_token() })
    }

    fn lowest_cost<'a, R: Rng>(
        &self,
        usable: &[(&'a HostId, &'a Member)],
        request: &PlacementRequest<'_>,
        now: TimeMs,
        rng: &mut R,
    ) -> (&'a HostId, &'a Member) {
        let mean_others = mean_others(usable);
        let homes = if request.prefix == 0 { [None; HOMES] } else { homes(usable, request.prefix) };
        let mut best = usable[rng.random_range(0..usable.len())];
        let mut best_cost = f64::INFINITY;
        let mut consider = |position: usize, cached: f64| {
            let (agent, member) = usable[position];
            let cost = self
                .score(agent, member, request, now, cached, mean_others)
                .cost(request.work.class);
            if cost < best_cost {
                best_cost = cost;
                best = usable[position];
            }
        };
        for (home, cached) in homes.into_iter().zip(AT_HOME) {
            if let Some(position) = home {
                consider(position, cached);
            }
        }
        let remembered = self.prefixes.agent_of(request.prefix);
        if let Some((agent, _)) = remembered
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
        at_home: f64,
        mean_others: f64,
    ) -> UpstreamScore {
        let remembered = match self.prefixes.agent_of(request.prefix) {
            Some((last, at_ms)) if last == agent => {
                let age_ms = now.since(at_ms).as_f64();
                REMEMBERED * (-age_ms / REMEMBERED_HALF_LIFE_MS).exp2()
            }
            _ => 0.0,
        };
        let cached = remembered.max(at_home);
        let distance = self.distance(member);
        UpstreamScore::estimate(member, request.work, cached, distance, mean_others, now)
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

    fn get(&self, need: Need<'_>) -> &[usize] {
        let positions = match need {
            Need::Version(version) => self.versions.get(version),
            Need::Service(service) => self.services.get(service),
        };
        positions.map_or(&[], Vec::as_slice)
    }
}

/// The positions with the highest weights for a prefix.
fn homes(usable: &[(&HostId, &Member)], prefix: u64) -> [Option<usize>; HOMES] {
    let mut best: [Option<(u64, usize)>; HOMES] = [None; HOMES];
    for (position, (agent, _)) in usable.iter().enumerate() {
        let candidate = Some((home_weight(prefix, agent), position));
        if candidate > best[0] {
            best = [candidate, best[0]];
        } else if candidate > best[1] {
            best[1] = candidate;
        }
    }
    best.map(|home| home.map(|(_, position)| position))
}

fn mean_others(usable: &[(&HostId, &Member)]) -> f64 {
    let sum: u32 = usable.iter().map(|(_, member)| member.others_running).sum();
    f64::from(sum) / usable.len() as f64
}

fn two_choices<'a, R: Rng>(
    usable: &[(&'a HostId, &'a Member)],
    rng: &mut R,
) -> (&'a HostId, &'a Member) {
    let first = usable[rng.random_range(0..usable.len())];
    let second = usable[rng.random_range(0..usable.len())];
    if load(second.1) < load(first.1) { second } else { first }
}

fn load(member: &Member) -> u64 {
    u64::from(member.load.running) + member.sent_since_report()
}
