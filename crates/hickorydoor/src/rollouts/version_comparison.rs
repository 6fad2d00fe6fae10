//! Evidence that a version is worse than its baseline, against evidence that it is not.
//!
//! The result is a Bayes factor: how much more probable the counted outcomes are if the version is
//! at fault than if it is not. A large one is a reason to stop a version. A small one is a reason
//! to complete it, which the lack of a large one is not: a version with few answers has a factor of
//! about 1, whatever it is like.
//!
//! - If a version fails, a part of its answers fail, or come late, on every upstream, on all routes
//!   or on one of them. If it is slow, all its answers take longer by some factor. The factor is
//!   averaged over sizes of these faults.
//! - If it does not, its upstreams fail as often as those of the baseline on the same route. Any
//!   single upstream may still be at fault itself; how often that is so is learned from the
//!   baseline. So one failing upstream of three does not count as a failing version, while a fault
//!   that all upstreams show does.

use std::collections::BTreeMap;

use crate::rollouts::full_pace::PacedStreams;
use crate::rollouts::full_pace::log_pace_factor;
use crate::rollouts::outcome_table::OutcomeCounts;
use crate::rollouts::outcome_table::OutcomeTable;
use crate::rollouts::outcome_table::RouteKey;
use crate::rollouts::outcome_table::Side;
use crate::rollouts::outcome_table::UpstreamGroup;

/// Prior probabilities of the faults that a version may have.
const ERROR_WEIGHT: f64 = 0.6;
const TIME_WEIGHT: f64 = 0.35;
const SILENCE_WEIGHT: f64 = 0.05;
/// Prior probability that a slow version is slow for a part of its answers.
const PARTIAL_WEIGHT: f64 = 0.5;
/// Shares of bad answers over which the evidence is averaged.
const BAD_SHARES: [f64; 4] = [0.1, 0.2, 0.4, 0.8];
/// The same for answers that do not come at all, which the deadlines of some requests explain too.
const SILENT_SHARES: [f64; 2] = [0.4, 0.8];
/// Slowdowns of all answers over which the evidence is averaged, in octaves, with their prior
/// probabilities. A small one may also come from a slightly different load.
const SLOWDOWNS_OCTAVES: [(f64, f64); 4] = [(0.25, 0.1), (0.5, 0.3), (0.9, 0.3), (1.4, 0.3)];
/// Prior probability that a slow version shows in the pace of its streams, if that is measured.
const PACE_WEIGHT: f64 = 0.5;
/// Prior probability that a failing version fails on a single route. A route counts by the part of
/// the requests that it has, since that is the harm that its failures do.
const SINGLE_ROUTE_WEIGHT: f64 = 0.25;
/// Share of bad answers that is assumed of a route, with the weight of this number of answers.
const PRIOR_BAD_SHARE: f64 = 0.01;
const PRIOR_ANSWERS: f64 = 50.0;
/// Probability that a group of upstreams is at fault itself, before the baseline is looked at, and
/// the number of groups that it weighs as much as.
const PRIOR_FAULTY_SHARE: f64 = 0.03;
const PRIOR_GROUPS: f64 = 6.0;
/// Probability at which a group of the baseline is assessed.
const ASSESSED_FAULTY_SHARE: f64 = 0.1;
/// Differences between sound groups of upstreams in their mean slowdown, in octaves.
const GROUP_DEVIATION_OCTAVES: f64 = 0.1;
/// Minimum deviation of the slowdown of a single answer, in octaves.
const MIN_DEVIATION_OCTAVES: f64 = 0.2;
/// Answers of the baseline below which the slowdown of a route is not compared.
const MIN_TIMED_ANSWERS: f64 = 8.0;
/// Probability density of the mean slowdown of a group that is at fault itself, by octave.
const FAULTY_SLOWDOWN_DENSITY: f64 = 1.0 / 3.0;

/// Natural logarithms of the Bayes factors of a comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VersionComparison {
    /// That the version fails more often.
    pub log_errors: f64,
    /// That more requests get no answer in time.
    pub log_silence: f64,
    /// That fewer streams run at the full pace of the engines; `None` if that can't be compared.
    pub log_pace: Option<f64>,
    /// That more answers take much longer than usual.
    pub log_lateness: f64,
    /// That all answers take longer.
    pub log_slowness: f64,
}

impl Default for VersionComparison {
    fn default() -> Self {
        Self::of(&OutcomeTable::default())
    }
}

impl VersionComparison {
    /// Compares the sides of a table.
    pub fn of(table: &OutcomeTable) -> Self {
        let pooled = table.without_routes();
        Self {
            log_errors: log_share_factor(table, Tally::errors, &BAD_SHARES),
            log_silence: log_share_factor(&pooled, Tally::silence, &SILENT_SHARES),
            log_pace: log_pace(table),
            log_lateness: log_share_factor(table, Tally::lateness, &BAD_SHARES),
            log_slowness: log_slowness_factor(table),
        }
    }

    /// Returns the logarithm of the Bayes factor that the version is at fault in either way.
    pub fn log_factor(&self) -> f64 {
        let log_answer_time = log_mean_exp(&[
            (PARTIAL_WEIGHT, self.log_lateness),
            (1.0 - PARTIAL_WEIGHT, self.log_slowness),
        ]);
        let log_time = self.log_pace.map_or(log_answer_time, |log_pace| {
            log_mean_exp(&[(PACE_WEIGHT, log_pace), (1.0 - PACE_WEIGHT, log_answer_time)])
        });
        log_mean_exp(&[
            (ERROR_WEIGHT, self.log_errors),
            (TIME_WEIGHT, log_time),
            (SILENCE_WEIGHT, self.log_silence),
        ])
    }
}

/// Outcomes of one group of upstreams by route.
type GroupCounts = BTreeMap<RouteKey, OutcomeCounts>;

fn by_group(table: &OutcomeTable, side: Side) -> BTreeMap<UpstreamGroup, GroupCounts> {
    let mut groups: BTreeMap<UpstreamGroup, GroupCounts> = BTreeMap::new();
    for (key, counts) in table.of_side(side) {
        groups.entry(key.group).or_default().entry(key.route).or_default().add(counts);
    }
    groups
}

fn by_route(table: &OutcomeTable, side: Side) -> GroupCounts {
    let mut routes = GroupCounts::new();
    for (key, counts) in table.of_side(side) {
        routes.entry(key.route).or_default().add(counts);
    }
    routes
}

/// Answers, and those of them that are bad in one way.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    answers: f64,
    bad: f64,
}

impl Tally {
    fn errors(counts: &OutcomeCounts) -> Self {
        Self { answers: f64::from(counts.answers), bad: f64::from(counts.errors) }
    }

    fn lateness(counts: &OutcomeCounts) -> Self {
        Self { answers: f64::from(counts.timed), bad: f64::from(counts.late) }
    }

    fn silence(counts: &OutcomeCounts) -> Self {
        let attempts = counts.answers + counts.unanswered;
        Self { answers: f64::from(attempts), bad: f64::from(counts.unanswered) }
    }
}

/// Answers of one group of upstreams by route.
type GroupTally = BTreeMap<RouteKey, Tally>;

/// Returns the log factor that a version gives an added share of bad answers, averaged over
/// `shares`, on all routes or on one of them, which counts the more the more answers it has.
fn log_share_factor(
    table: &OutcomeTable,
    tally: fn(&OutcomeCounts) -> Tally,
    shares: &[f64],
) -> f64 {
    let tallied = |counts: &GroupCounts| -> GroupTally {
        counts.iter().map(|(route, counts)| (*route, tally(counts))).collect()
    };
    let usual = UsualShares(tallied(&by_route(table, Side::Baseline)));
    let of_side =
        |side| -> Vec<GroupTally> { by_group(table, side).values().map(tallied).collect() };
    let faulty_share = faulty_share(of_side(Side::Baseline).iter().map(|group| {
        let sound = usual.log_likelihood(group, 0.0, None);
        (sound, log_faulty_likelihood(group))
    }));
    let groups = of_side(Side::Target);
    let log_likelihood = |share: f64, route: Option<RouteKey>| -> f64 {
        let of_group = |group: &GroupTally| {
            let sound = usual.log_likelihood(group, share, route);
            log_mixture(faulty_share, sound, log_faulty_likelihood(group))
        };
        groups.iter().map(of_group).sum()
    };
    let good = log_likelihood(0.0, None);
    let mut scopes = vec![(1.0, None)];
    let answers_by_route = answers_by_route(&groups);
    if answers_by_route.len() > 1 {
        let all: f64 = answers_by_route.values().sum();
        let single = |(route, answers): (&RouteKey, &f64)| {
            let part = answers / all;
            (SINGLE_ROUTE_WEIGHT * part * part, Some(*route))
        };
        scopes = answers_by_route.iter().map(single).collect();
        let single_weight: f64 = scopes.iter().map(|(weight, _)| weight).sum();
        scopes.push((1.0 - single_weight, None));
    }
    let mut factors = Vec::new();
    for (weight, route) in scopes {
        for share in shares {
            let weight = weight / shares.len() as f64;
            factors.push((weight, log_likelihood(*share, route) - good));
        }
    }
    log_mean_exp(&factors)
}

/// Returns the number of answers of each route that has any.
fn answers_by_route(groups: &[GroupTally]) -> BTreeMap<RouteKey, f64> {
    let mut routes = BTreeMap::new();
    for (route, tally) in groups.iter().flatten().filter(|(_, tally)| tally.answers > 0.0) {
        *routes.entry(*route).or_default() += tally.answers;
    }
    routes
}

/// Answers of the baseline by route.
struct UsualShares(GroupTally);

impl UsualShares {
    fn share(&self, route: RouteKey) -> f64 {
        let known = self.0.get(&route).copied().unwrap_or_default();
        (known.bad + PRIOR_BAD_SHARE * PRIOR_ANSWERS) / (known.answers + PRIOR_ANSWERS)
    }

    /// Returns the log-likelihood of the answers of a sound group of a version that gives an added
    /// share of bad ones, on one route or on all.
    fn log_likelihood(&self, group: &GroupTally, added: f64, on: Option<RouteKey>) -> f64 {
        let of_route = |(route, tally): (&RouteKey, &Tally)| {
            let added = if on.is_none_or(|on| on == *route) { added } else { 0.0 };
            let share = self.share(*route);
            let share = share + added * (1.0 - share);
            tally.bad * share.ln() + (tally.answers - tally.bad) * (1.0 - share).ln()
        };
        group.iter().map(of_route).sum()
    }
}

/// Returns the log-likelihood of the answers of a group that is at fault itself and gives any share
/// of bad ones.
fn log_faulty_likelihood(group: &GroupTally) -> f64 {
    let answers: f64 = group.values().map(|tally| tally.answers).sum();
    let bad: f64 = group.values().map(|tally| tally.bad).sum();
    // The integral over all shares of bad answers: bad! (answers - bad)! / (answers + 1)!.
    let log_choices: f64 =
        (1..=bad as u32).map(|chosen| ((answers - bad) / f64::from(chosen)).ln_1p()).sum();
    -log_choices - (answers + 1.0).ln()
}

/// Returns the log factor that the engines of the version are slower, by the pace of their streams.
fn log_pace(table: &OutcomeTable) -> Option<f64> {
    let paced = |counts: &OutcomeCounts| PacedStreams {
        all: counts.paced,
        at_full_pace: counts.at_full_pace,
    };
    let mut groups: BTreeMap<UpstreamGroup, OutcomeCounts> = BTreeMap::new();
    for (key, counts) in table.of_side(Side::Target) {
        groups.entry(key.group).or_default().add(counts);
    }
    let target: Vec<PacedStreams> = groups.values().map(paced).collect();
    log_pace_factor(paced(&table.total(Side::Baseline)), &target)
}

fn log_slowness_factor(table: &OutcomeTable) -> f64 {
    let usual = UsualSlowdowns::of(table);
    let baseline = by_group(table, Side::Baseline);
    let faulty_share = faulty_share(baseline.values().filter_map(|counts| {
        let (mean, variance) = usual.group_mean(counts)?;
        Some((log_normal_density(mean, variance), FAULTY_SLOWDOWN_DENSITY.ln()))
    }));
    let offset_variance = usual.offset_variance(baseline.len());
    let targets = by_group(table, Side::Target);
    let means: Vec<(f64, f64)> =
        targets.values().filter_map(|counts| usual.group_mean(counts)).collect();
    let log_likelihood = |slowdown: f64| -> f64 {
        let of_group = |(mean, variance): &(f64, f64)| {
            let sound = log_normal_density(mean - slowdown, variance + offset_variance);
            log_mixture(faulty_share, sound, FAULTY_SLOWDOWN_DENSITY.ln())
        };
        means.iter().map(of_group).sum()
    };
    let good = log_likelihood(0.0);
    let factors =
        SLOWDOWNS_OCTAVES.map(|(slowdown, weight)| (weight, log_likelihood(slowdown) - good));
    log_mean_exp(&factors)
}

/// Slowdowns of the baseline by route: mean and variance of a single answer.
struct UsualSlowdowns {
    routes: BTreeMap<RouteKey, (f64, f64)>,
    answers: f64,
}

impl UsualSlowdowns {
    fn of(table: &OutcomeTable) -> Self {
        let mut routes = BTreeMap::new();
        let mut answers = 0.0;
        for (route, counts) in by_route(table, Side::Baseline) {
            let timed = f64::from(counts.timed);
            if timed < MIN_TIMED_ANSWERS {
                continue;
            }
            answers += timed;
            let mean = counts.mean_slowdown_octaves();
            let variance = counts.slowdown_square_octaves() / timed - mean * mean;
            // Answers that come as early as expected are not slow, even if others come earlier: the
            // expected time of a loaded engine is too long rather than too short.
            let usual = mean.max(0.0);
            routes.insert(route, (usual, variance.max(MIN_DEVIATION_OCTAVES.powi(2))));
        }
        Self { routes, answers }
    }

    /// Returns the mean difference of a group's slowdowns from the usual ones, and its variance. A
    /// group that is faster counts as equal, since it may have less load.
    fn group_mean(&self, counts: &GroupCounts) -> Option<(f64, f64)> {
        let (mut timed, mut difference, mut variance) = (0.0, 0.0, 0.0);
        for (route, counts) in counts {
            let Some((usual, answer_variance)) = self.routes.get(route) else {
                continue;
            };
            let answers = f64::from(counts.timed);
            timed += answers;
            difference += counts.slowdown_octaves() - answers * usual;
            variance += answers * answer_variance;
        }
        let group_variance = GROUP_DEVIATION_OCTAVES.powi(2);
        let variance = variance / (timed * timed) + group_variance;
        (timed > 0.0).then(|| ((difference / timed).max(0.0), variance))
    }

    /// Returns the variance of the baseline's own mean.
    fn offset_variance(&self, groups: usize) -> f64 {
        let widest = self.routes.values().map(|(_, variance)| *variance).fold(0.0, f64::max);
        widest / self.answers.max(1.0) + GROUP_DEVIATION_OCTAVES.powi(2) / groups.max(1) as f64
    }
}

/// Estimates the share of groups that are at fault themselves, from the log-likelihoods of the
/// groups of the baseline if they are sound and if they are not.
fn faulty_share(groups: impl Iterator<Item = (f64, f64)>) -> f64 {
    let (mut faulty, mut count) = (PRIOR_FAULTY_SHARE * PRIOR_GROUPS, PRIOR_GROUPS);
    for (sound, own_fault) in groups {
        let odds =
            (own_fault - sound).exp() * ASSESSED_FAULTY_SHARE / (1.0 - ASSESSED_FAULTY_SHARE);
        faulty += if odds.is_finite() { odds / (1.0 + odds) } else { 1.0 };
        count += 1.0;
    }
    faulty / count
}

fn log_mixture(faulty_share: f64, sound: f64, own_fault: f64) -> f64 {
    log_mean_exp(&[(1.0 - faulty_share, sound), (faulty_share, own_fault)])
}

fn log_normal_density(difference: f64, variance: f64) -> f64 {
    -0.5 * (difference * difference / variance + (std::f64::consts::TAU * variance).ln())
}

/// Returns the logarithm of a weighted mean of numbers given by their logarithms. The weights sum
/// to 1.
fn log_mean_exp(weighted: &[(f64, f64)]) -> f64 {
    let highest = weighted.iter().map(|(_, value)| *value).fold(f64::NEG_INFINITY, f64::max);
    if highest == f64::NEG_INFINITY {
        return highest;
    }
    let sum: f64 = weighted.iter().map(|(weight, value)| weight * (value - highest).exp()).sum();
    highest + sum.ln()
}
