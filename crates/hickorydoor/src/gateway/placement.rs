//! Which upstream, and which model, serves a request.
//!
//! The expected time to the first event is the time for the prompts that the engine has yet to
//! read plus the time for the part of this prompt that it does not keep. What an answer is worth
//! falls when it is expected after the objective, and a smaller model's answer is worth less. Time
//! on an engine costs the requests behind, the more the longer its backlog is, so that models step
//! down before answers are late. Bytes between data centres and recent failures count as time.
//! Rendezvous hashing breaks ties, so that gateways that see the same load read a shared prompt on
//! the same engine. The load that this answers is a steady stream with bursts, and a fleet that
//! has just lost engines or its caches.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::call::Prompt;
use crate::gateway::prompt_cache::ChainPart;
use crate::gateway::prompt_cache::chains;
use crate::gateway::speed_table::SpeedTable;
use crate::gateway::upstream::Upstream;
use crate::id::DataCentreId;
use crate::id::ModelId;
use crate::id::UpstreamId;

/// What an answer of a model is worth, largest model first.
const QUALITIES: [f64; 3] = [1.0, 0.66, 0.56];
/// Least weight by which a value is divided.
const LEAST_WEIGHT: f64 = 0.1;
/// Share of the objective up to which an answer is as good as in time.
const EARLY_SHARE: f64 = 0.65;
/// Share of the objective from which on an answer is as good as late.
const LATE_SHARE: f64 = 1.1;
/// Worth of a late answer.
const LATE_WORTH: f64 = 0.2;
/// What an early answer loses for each objective that it takes.
const SLOPE_EARLY: f64 = 0.1;
/// Objective by which the time of engines is valued.
const FULL_OBJECTIVE_MS: f64 = 2_500.0;
/// Cost of one objective of reading behind a backlog of one objective; it grows with the square
/// of the backlog.
const DELAY_COST: f64 = 6.0;
/// Cost of one objective of reading on an idle engine.
const READING_COST: f64 = 0.15;
/// Cost of one objective of penalties.
const PENALTY_COST: f64 = 0.3;
/// Time that each running request adds to the first event.
const RUNNING_MS: f64 = 2.0;
/// Time that an upstream that always fails would add.
const FAILURE_MS: f64 = 1_500.0;
/// Most time that rendezvous hashing adds, so that it decides between equals.
const TIE_MS: f64 = 60.0;
/// Resolution of the rank.
const RANKS: u64 = 1 << 16;
/// Time that a request at a plain service adds to the next one, in slots.
const PLAIN_SLOT_MS: f64 = 60.0;

/// Costs that the operator sets, as time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementCosts {
    /// For each KB that crosses between data centres, in ms.
    pub cross_ms_per_kb: f64,
    /// For a request that leaves the data centre at all, in ms.
    pub cross_ms: f64,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Its prompt.
    pub prompt: &'a Prompt,
    /// What it is worth beside the mean request of its route.
    pub weight: f64,
    /// Models that may answer, smallest first; empty for plain services.
    pub models: &'a [ModelId],
    /// Time to the first event that is still on time, in ms.
    pub objective_ms: f64,
    /// Bytes of the request and its answer, in KB.
    pub size_kb: f64,
    /// Data centre of this gateway.
    pub data_centre: &'a DataCentreId,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The model, for engines.
    pub model: Option<ModelId>,
    /// Expected time to the first event, in ms.
    pub expected_ms: f64,
    /// Time to read the part of the prompt that the engine does not keep, in ms.
    pub reading_ms: f64,
    /// Tokens of that part.
    pub unread_tokens: f64,
    /// What it is worth: 1 for an answer of the largest model in time.
    pub value: f64,
}

/// Picks among `candidates`, all of which may serve the request.
pub fn place(
    demand: &Demand<'_>,
    candidates: &[&Upstream],
    speeds: &SpeedTable,
    costs: &PlacementCosts,
) -> Option<Choice> {
    if demand.models.is_empty() {
        return place_plain(demand, candidates, costs);
    }
    let mut best: Option<(f64, Choice)> = None;
    for (step, model) in demand.models.iter().rev().enumerate() {
        let quality = QUALITIES[step.min(QUALITIES.len() - 1)];
        let parts = chains(model, demand.prompt);
        for upstream in candidates {
            let mut choice = expect(demand, model, &parts, upstream, speeds);
            let value = value(demand, upstream, &choice, quality, costs)
                - tie(upstream, &parts) * TIE_MS / demand.objective_ms;
            choice.value = value / demand.weight.max(LEAST_WEIGHT);
            if best.as_ref().is_none_or(|(most, _)| value > *most) {
                best = Some((value, choice));
            }
        }
    }
    best.map(|(_, choice)| choice)
}

fn expect(
    demand: &Demand<'_>,
    model: &ModelId,
    parts: &[ChainPart],
    upstream: &Upstream,
    speeds: &SpeedTable,
) -> Choice {
    let kept = upstream.cache.kept_tokens(parts);
    let unread_tokens = f64::from(demand.prompt.tokens.saturating_sub(kept));
    let running_ms = f64::from(upstream.total_in_flight()) * RUNNING_MS;
    Choice {
        upstream: upstream.registration.upstream.clone(),
        model: Some(model.clone()),
        expected_ms: upstream.backlog_ms() + running_ms + speeds.reading_ms(model, unread_tokens),
        reading_ms: unread_tokens * speeds.token_ms(model),
        unread_tokens,
        value: 0.0,
    }
}

/// What the choice is worth: 1 for an answer of the largest model in time.
fn value(
    demand: &Demand<'_>,
    upstream: &Upstream,
    choice: &Choice,
    quality: f64,
    costs: &PlacementCosts,
) -> f64 {
    let penalty_ms = penalty_ms(demand, upstream, costs);
    let share = (choice.expected_ms + penalty_ms) / demand.objective_ms;
    let backlog = upstream.backlog_ms() / FULL_OBJECTIVE_MS;
    let delay = choice.reading_ms / FULL_OBJECTIVE_MS * backlog * backlog;
    demand.weight * quality * on_time(share) - delay * DELAY_COST - penalty_ms / FULL_OBJECTIVE_MS * PENALTY_COST
        - choice.reading_ms / FULL_OBJECTIVE_MS * READING_COST
}

/// Share of its worth that an answer keeps when it is expected after `share` of the objective.
fn on_time(share: f64) -> f64 {
    match share {
        ..EARLY_SHARE => 1.0 - SLOPE_EARLY * share,
        ..LATE_SHARE => {
            let early = 1.0 - SLOPE_EARLY * EARLY_SHARE;
            early - (early - LATE_WORTH) * (share - EARLY_SHARE) / (LATE_SHARE - EARLY_SHARE)
        }
        _ => LATE_WORTH * LATE_SHARE / share,
    }
}

/// Between 0 and 1, different for each upstream and prompt.
fn tie(upstream: &Upstream, parts: &[ChainPart]) -> f64 {
    let chain = parts.last().map_or(0, |part| part.chain);
    let id = upstream.registration.upstream.as_str();
    (xxh3_64_with_seed(id.as_bytes(), chain) % RANKS) as f64 / RANKS as f64
}

fn place_plain(
    demand: &Demand<'_>,
    candidates: &[&Upstream],
    costs: &PlacementCosts,
) -> Option<Choice> {
    let score_ms = |upstream: &Upstream| {
        let slots = f64::from(upstream.registration.slots.max(1));
        f64::from(upstream.total_in_flight()) * PLAIN_SLOT_MS / slots
            + penalty_ms(demand, upstream, costs)
    };
    let best = candidates.iter().min_by(|a, b| score_ms(a).total_cmp(&score_ms(b)))?;
    Some(Choice {
        upstream: best.registration.upstream.clone(),
        model: None,
        expected_ms: score_ms(best),
        reading_ms: 0.0,
        unread_tokens: 0.0,
        value: 1.0,
    })
}

fn penalty_ms(demand: &Demand<'_>, upstream: &Upstream, costs: &PlacementCosts) -> f64 {
    let failures_ms = upstream.failures.share() * FAILURE_MS;
    if upstream.registration.data_centre == *demand.data_centre {
        return failures_ms;
    }
    failures_ms + costs.cross_ms + costs.cross_ms_per_kb * demand.size_kb
}
