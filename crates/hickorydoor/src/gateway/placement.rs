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

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::call::Prompt;
use crate::gateway::model_table::ModelTable;
use crate::gateway::prompt_cache::ChainPart;
use crate::gateway::prompt_cache::chains;
use crate::gateway::upstream::Upstream;
use crate::id::DataCentreId;
use crate::id::ModelId;
use crate::id::UpstreamId;

/// What an answer of a model is worth, largest model first.
const QUALITIES: [f64; 3] = [1.0, 0.66, 0.56];
/// Time to begin a transfer between engines.
const TRANSFER_MS: f64 = 12.0;
/// Part of the reading time that a transfer may take.
const FETCH_SHARE: f64 = 0.6;
/// Least weight by which a value is divided.
const LEAST_WEIGHT: f64 = 0.1;
/// Share of the objective up to which an answer is as good as in time.
const EARLY_SHARE: f64 = 0.5;
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
const DELAY_COST: f64 = 8.0;
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
    /// Worth of a request for each token, of which generated ones count tenfold, in the unit of
    /// the models' prices.
    pub value_per_token: f64,
    /// For each token of a kept prompt that moves between engines, in that unit.
    pub fetch_per_token: f64,
    /// For each shared token that an engine reads though another one keeps it, in that unit.
    pub recompute_per_token: f64,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Its prompt.
    pub prompt: &'a Prompt,
    /// What it is worth beside the mean request of its route.
    pub weight: f64,
    /// Worth of the mean request of its route, in the unit of the models' prices.
    pub worth: f64,
    /// Models that may answer, smallest first; empty for plain services.
    pub models: &'a [ModelId],
    /// Time to the first event that is still on time, in ms.
    pub objective_ms: f64,
    /// Bytes of the request and its answer, in KB.
    pub size_kb: f64,
    /// Time to move a token of a kept prompt between engines, in ms; 0 if that cannot be done.
    pub transfer_ms_per_token: f64,
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
    pub uncached_tokens: f64,
    /// Tokens that are fetched from another engine.
    pub fetched_tokens: f64,
    /// Engine from which kept parts of the prompt are to be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// What it is worth: 1 for an answer of the largest model in time.
    pub value: f64,
}

/// Picks among `candidates`, all of which may serve the request.
pub fn place(
    demand: &Demand<'_>,
    candidates: &[&Upstream],
    model_table: &ModelTable,
    costs: &PlacementCosts,
) -> Option<Choice> {
    if demand.models.is_empty() {
        return place_plain(demand, candidates, costs);
    }
    let mut best: Option<(f64, Choice)> = None;
    for (step, model) in demand.models.iter().rev().enumerate() {
        let quality = QUALITIES[step.min(QUALITIES.len() - 1)];
        let parts = chains(model, demand.prompt);
        let sources = sources(demand, &parts, candidates);
        for upstream in candidates {
            let source = sources.get(upstream.registration.version.as_str()).copied();
            let mut choice = expect(demand, model, &parts, upstream, source, model_table);
            let value = value(demand, upstream, &choice, quality, costs)
                - price(demand, model, &choice, model_table, costs) / demand.worth
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
    source: Option<Source>,
    model_table: &ModelTable,
) -> Choice {
    let kept = upstream.cache.kept_tokens(parts);
    let token_ms = model_table.token_ms(model);
    let fetch = source
        .map(|source| (source, f64::from(source.kept_tokens.saturating_sub(kept))))
        .map(|(source, tokens)| (source, tokens, transfer_ms(demand, tokens)))
        .filter(|(_, tokens, transfer_ms)| *transfer_ms < tokens * token_ms * FETCH_SHARE);
    let fetched_tokens = fetch.map_or(0.0, |(_, tokens, _)| tokens);
    let fetch_ms = fetch.map_or(0.0, |(_, _, transfer_ms)| transfer_ms);
    let uncached_tokens = f64::from(demand.prompt.tokens.saturating_sub(kept)) - fetched_tokens;
    let running_ms = f64::from(upstream.total_in_flight()) * RUNNING_MS;
    Choice {
        upstream: upstream.registration.upstream.clone(),
        model: Some(model.clone()),
        expected_ms: upstream.backlog_ms()
            + running_ms
            + fetch_ms
            + model_table.reading_ms(model, uncached_tokens),
        reading_ms: uncached_tokens * token_ms,
        uncached_tokens,
        fetched_tokens,
        fetch_from: fetch.map(|(source, _, _)| source.address),
        value: 0.0,
    }
}

/// An engine that keeps parts of a prompt.
#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    kept_tokens: u32,
}

/// The engine of each version that keeps most of the prompt.
fn sources<'a>(
    demand: &Demand<'_>,
    parts: &[ChainPart],
    candidates: &[&'a Upstream],
) -> BTreeMap<&'a str, Source> {
    let mut sources: BTreeMap<&str, Source> = BTreeMap::new();
    if demand.transfer_ms_per_token <= 0.0 || parts.is_empty() {
        return sources;
    }
    for upstream in candidates {
        let kept_tokens = upstream.cache.kept_tokens(parts);
        let version = upstream.registration.version.as_str();
        let known = sources.get(version).map_or(0, |source| source.kept_tokens);
        if kept_tokens > known {
            let address = upstream.registration.address;
            sources.insert(version, Source { address, kept_tokens });
        }
    }
    sources
}

fn transfer_ms(demand: &Demand<'_>, tokens: f64) -> f64 {
    TRANSFER_MS + tokens * demand.transfer_ms_per_token
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
    demand.weight * quality * on_time(share)
        - delay * DELAY_COST
        - penalty_ms / FULL_OBJECTIVE_MS * PENALTY_COST
        - choice.reading_ms / FULL_OBJECTIVE_MS * READING_COST
}

/// Price of the tokens that the choice reads, fetches and generates.
fn price(
    demand: &Demand<'_>,
    model: &ModelId,
    choice: &Choice,
    model_table: &ModelTable,
    costs: &PlacementCosts,
) -> f64 {
    let own_tokens = f64::from(demand.prompt.own_tokens());
    let shared_tokens = (choice.uncached_tokens - own_tokens).max(0.0);
    let answer_tokens = f64::from(demand.prompt.max_answer_tokens);
    model_table.price(model, choice.uncached_tokens, answer_tokens)
        + choice.fetched_tokens * costs.fetch_per_token
        + shared_tokens * costs.recompute_per_token
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
        uncached_tokens: 0.0,
        fetched_tokens: 0.0,
        fetch_from: None,
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
