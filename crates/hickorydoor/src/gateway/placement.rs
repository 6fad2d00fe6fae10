//! Placement: the choice of upstream and model for a request.
//!
//! The expected time to the first event is the prefill time queued at the engine plus the prefill
//! time of the tokens of this prompt that the engine has not cached. If engines can transfer cached
//! parts, they are fetched from another engine of the same version where that is much faster than
//! prefilling them. The value of an answer falls if it is expected after the objective, and it is
//! lower for a smaller model. Prefill time delays the requests that follow; its cost grows with the
//! backlog of the engine, so that placement steps down to smaller models before answers are late.
//! Traffic between data centres and recent failures are counted as time. Rendezvous hashing breaks
//! ties, so that gateways that see the same load send a shared prompt to the same engine. The loads
//! that placement has to handle are a steady load with bursts, and that of a fleet that has just
//! lost engines or their caches.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::call::Prompt;
use crate::gateway::first_event_model::EngineLoad;
use crate::gateway::model_table::ModelTable;
use crate::gateway::prompt_cache::ChainPart;
use crate::gateway::prompt_cache::chains;
use crate::gateway::upstreams::Upstream;
use crate::id::DataCentreId;
use crate::id::ModelId;
use crate::id::UpstreamId;

/// Value of an answer by model, from the largest model to the smallest.
const MODEL_QUALITIES: [f64; 3] = [1.0, 0.66, 0.56];
/// Time to set up a transfer between engines.
const TRANSFER_SETUP_MS: f64 = 12.0;
/// Cached parts are fetched only if that takes less than this share of the time to prefill them.
const MAX_TRANSFER_SHARE: f64 = 0.6;
/// Lower bound of the request weight by which [`Choice::value`] is divided.
const MIN_WEIGHT: f64 = 0.1;
/// Share of the objective up to which an answer counts as early.
const EARLY_SHARE: f64 = 0.5;
/// Share of the objective from which on an answer counts as late.
const LATE_SHARE: f64 = 1.1;
/// Share of its value that an answer keeps when it is just late; a later one keeps less.
const LATE_VALUE: f64 = 0.2;
/// Share of its value that an early answer loses per objective of expected time.
const EARLY_SLOPE: f64 = 0.1;
/// Time that the `*_COST` constants refer to, in ms.
const COST_UNIT_MS: f64 = 2_500.0;
/// Cost of [`COST_UNIT_MS`] of prefill at an engine with a backlog of [`COST_UNIT_MS`]; grows with
/// the square of the backlog.
const BACKLOG_DELAY_COST: f64 = 8.0;
/// Cost of [`COST_UNIT_MS`] of prefill at any engine, even an idle one.
const PREFILL_COST: f64 = 0.15;
/// Cost of [`COST_UNIT_MS`] of penalties.
const PENALTY_COST: f64 = 0.3;
/// Penalty of an upstream that always fails, in ms.
const MAX_FAILURE_PENALTY_MS: f64 = 1_500.0;
/// Maximum time that tie-breaking adds, in ms; small enough to decide only between near equals.
const MAX_TIE_BREAK_MS: f64 = 60.0;
/// Number of distinct tie-breaking ranks.
const TIE_BREAK_RANKS: u64 = 1 << 16;
/// Time that each request in flight adds at a plain service with one slot, in ms.
const PLAIN_REQUEST_MS: f64 = 60.0;

/// Cost parameters of placement, set by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementCosts {
    /// Time added per KB that crosses between data centres, in ms.
    pub cross_ms_per_kb: f64,
    /// Time added to each request that leaves the data centre, in ms.
    pub cross_ms: f64,
    /// Value of a request per token, in the unit of the models' prices; a generated token counts as
    /// ten.
    pub value_per_token: f64,
    /// Price of each cached token that is transferred between engines, in the same unit.
    pub fetch_per_token: f64,
    /// Price of each shared token that is prefilled again although another engine has it cached, in
    /// the same unit.
    pub recompute_per_token: f64,
}

/// Requirements of a request.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Prompt of the request; empty for plain services.
    pub prompt: &'a Prompt,
    /// Value of the request relative to the mean request of its route.
    pub weight: f64,
    /// Value of the mean request of the route, in the unit of the models' prices.
    pub mean_value: f64,
    /// Claim of the route on the capacity of the engines, relative to the mean route.
    pub claim: f64,
    /// Models that may answer, from smallest to largest; empty for plain services.
    pub models: &'a [ModelId],
    /// Part of the route's objective that is left for the first event, in ms.
    pub objective_ms: f64,
    /// Size of the request and the expected response, in KB.
    pub size_kb: f64,
    /// Time to transfer one cached token between engines, in ms; 0 if engines cannot transfer.
    pub transfer_ms_per_token: f64,
    /// Data centre of this gateway.
    pub data_centre: &'a DataCentreId,
}

/// Upstream and model chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Upstream that should serve the request.
    pub upstream: UpstreamId,
    /// Model that should answer; `None` for plain services.
    pub model: Option<ModelId>,
    /// Expected time to the first event, in ms.
    pub expected_ms: f64,
    /// Prefill time of the uncached tokens, in ms.
    pub prefill_ms: f64,
    /// Prompt tokens that the engine has to prefill.
    pub uncached_tokens: f64,
    /// Prompt tokens that are fetched from another engine.
    pub fetched_tokens: f64,
    /// Engine from which to fetch cached parts of the prompt; `None` to prefill them.
    pub fetch_from: Option<SocketAddr>,
    /// Value of the placement after costs, relative to the weight of the request: 1 for an
    /// immediate answer of the largest model at no cost. Always 1 for plain services.
    pub value: f64,
}

/// Chooses among `candidates`, all of which can serve the request; `None` if there are none.
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
        let quality = MODEL_QUALITIES[step.min(MODEL_QUALITIES.len() - 1)];
        let parts = chains(model, demand.prompt);
        let sources = sources(demand, &parts, candidates);
        for upstream in candidates {
            let source = sources.get(upstream.registration.version.as_str()).copied();
            let mut choice = estimate(demand, model, &parts, upstream, source, model_table);
            let value = value(demand, upstream, &choice, quality, costs)
                - price(demand, model, &choice, model_table, costs)
                    / (demand.mean_value * demand.claim)
                - tie_break(upstream, &parts) * MAX_TIE_BREAK_MS / demand.objective_ms;
            choice.value = value / demand.weight.max(MIN_WEIGHT);
            if best.as_ref().is_none_or(|(best_value, _)| value > *best_value) {
                best = Some((value, choice));
            }
        }
    }
    best.map(|(_, choice)| choice)
}

fn estimate(
    demand: &Demand<'_>,
    model: &ModelId,
    parts: &[ChainPart],
    upstream: &Upstream,
    source: Option<Source>,
    model_table: &ModelTable,
) -> Choice {
    let cached_tokens = upstream.cache.cached_tokens(parts);
    let token_ms = model_table.token_ms(model);
    let fetch = source
        .map(|source| (source, f64::from(source.cached_tokens.saturating_sub(cached_tokens))))
        .map(|(source, tokens)| (source, tokens, transfer_ms(demand, tokens)))
        .filter(|(_, tokens, transfer_ms)| *transfer_ms < tokens * token_ms * MAX_TRANSFER_SHARE);
    let fetched_tokens = fetch.map_or(0.0, |(_, tokens, _)| tokens);
    let fetch_ms = fetch.map_or(0.0, |(_, _, transfer_ms)| transfer_ms);
    let uncached_tokens =
        f64::from(demand.prompt.tokens.saturating_sub(cached_tokens)) - fetched_tokens;
    let load = EngineLoad {
        prefill_ms: uncached_tokens * token_ms,
        backlog_ms: upstream.backlog_ms(),
        in_flight: upstream.total_in_flight(),
    };
    Choice {
        upstream: upstream.registration.upstream.clone(),
        model: Some(model.clone()),
        expected_ms: fetch_ms + model_table.expected_first_event_ms(&load),
        prefill_ms: uncached_tokens * token_ms,
        uncached_tokens,
        fetched_tokens,
        fetch_from: fetch.map(|(source, _, _)| source.address),
        value: 0.0,
    }
}

/// An engine from which cached parts of a prompt can be fetched.
#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    cached_tokens: u32,
}

/// Returns the engine of each version that has the longest part of the prompt cached.
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
        let cached_tokens = upstream.cache.cached_tokens(parts);
        let version = upstream.registration.version.as_str();
        let known = sources.get(version).map_or(0, |source| source.cached_tokens);
        if cached_tokens > known {
            let address = upstream.registration.address;
            sources.insert(version, Source { address, cached_tokens });
        }
    }
    sources
}

fn transfer_ms(demand: &Demand<'_>, tokens: f64) -> f64 {
    TRANSFER_SETUP_MS + tokens * demand.transfer_ms_per_token
}

/// Returns the value of the choice before prices: the weight of the request for an immediate answer
/// of the largest model.
fn value(
    demand: &Demand<'_>,
    upstream: &Upstream,
    choice: &Choice,
    quality: f64,
    costs: &PlacementCosts,
) -> f64 {
    let penalty_ms = penalty_ms(demand, upstream, costs);
    let share = (choice.expected_ms + penalty_ms) / demand.objective_ms;
    let backlog = upstream.backlog_ms() / COST_UNIT_MS;
    let delay = choice.prefill_ms / COST_UNIT_MS * backlog * backlog;
    demand.weight * quality * timeliness(share)
        - delay * BACKLOG_DELAY_COST / demand.claim
        - penalty_ms / COST_UNIT_MS * PENALTY_COST
        - choice.prefill_ms / COST_UNIT_MS * PREFILL_COST / demand.claim
}

/// Returns the price of the tokens that are prefilled, fetched and generated.
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

/// Returns the share of its value that an answer keeps if it is expected after `share` of the
/// objective.
fn timeliness(share: f64) -> f64 {
    match share {
        ..EARLY_SHARE => 1.0 - EARLY_SLOPE * share,
        ..LATE_SHARE => {
            let early = 1.0 - EARLY_SLOPE * EARLY_SHARE;
            early - (early - LATE_VALUE) * (share - EARLY_SHARE) / (LATE_SHARE - EARLY_SHARE)
        }
        _ => LATE_VALUE * LATE_SHARE / share,
    }
}

/// Returns the rendezvous rank of the upstream for the prompt, between 0 and 1.
fn tie_break(upstream: &Upstream, parts: &[ChainPart]) -> f64 {
    let chain = parts.last().map_or(0, |part| part.chain);
    let id = upstream.registration.upstream.as_str();
    (xxh3_64_with_seed(id.as_bytes(), chain) % TIE_BREAK_RANKS) as f64 / TIE_BREAK_RANKS as f64
}

fn place_plain(
    demand: &Demand<'_>,
    candidates: &[&Upstream],
    costs: &PlacementCosts,
) -> Option<Choice> {
    let score_ms = |upstream: &Upstream| {
        let slots = f64::from(upstream.registration.slots.max(1));
        f64::from(upstream.total_in_flight()) * PLAIN_REQUEST_MS / slots
            + penalty_ms(demand, upstream, costs)
    };
    let best = candidates.iter().min_by(|a, b| score_ms(a).total_cmp(&score_ms(b)))?;
    Some(Choice {
        upstream: best.registration.upstream.clone(),
        model: None,
        expected_ms: score_ms(best),
        prefill_ms: 0.0,
        uncached_tokens: 0.0,
        fetched_tokens: 0.0,
        fetch_from: None,
        value: 1.0,
    })
}

fn penalty_ms(demand: &Demand<'_>, upstream: &Upstream, costs: &PlacementCosts) -> f64 {
    let failures_ms = upstream.failures.share() * MAX_FAILURE_PENALTY_MS;
    if upstream.registration.data_centre == *demand.data_centre {
        return failures_ms;
    }
    failures_ms + costs.cross_ms + costs.cross_ms_per_kb * demand.size_kb
}
