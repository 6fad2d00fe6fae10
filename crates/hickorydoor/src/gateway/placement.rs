//! Which upstream, and which model, serves a request.
//!
//! The expected time to the first event is the time for the prompts that the engine has yet to
//! read plus the time for the part of this prompt that it does not keep. Bytes between data centres
//! and recent failures count as time. Rendezvous hashing breaks ties, so that gateways that see
//! the same load read a shared prompt on the same engine. The largest model whose expected time
//! meets the objective is used, and a smaller one rather than a late answer.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::call::Prompt;
use crate::gateway::prompt_cache::chains;
use crate::gateway::speed_table::SpeedTable;
use crate::gateway::upstream::Upstream;
use crate::id::DataCentreId;
use crate::id::ModelId;
use crate::id::UpstreamId;

/// Share of the objective that the expected time to the first event may take.
const OBJECTIVE_SHARE: f64 = 0.75;
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
    let mut best: Option<Choice> = None;
    for model in demand.models.iter().rev() {
        let choice = place_model(demand, model, candidates, speeds, costs)?;
        if choice.expected_ms <= demand.objective_ms * OBJECTIVE_SHARE {
            return Some(choice);
        }
        if best.as_ref().is_none_or(|best| choice.expected_ms < best.expected_ms) {
            best = Some(choice);
        }
    }
    best
}

fn place_model(
    demand: &Demand<'_>,
    model: &ModelId,
    candidates: &[&Upstream],
    speeds: &SpeedTable,
    costs: &PlacementCosts,
) -> Option<Choice> {
    let parts = chains(model, demand.prompt);
    let chain = parts.last().map_or(0, |part| part.chain);
    let rank_ms = |upstream: &Upstream| {
        let id = upstream.registration.upstream.as_str();
        (xxh3_64_with_seed(id.as_bytes(), chain) % RANKS) as f64 / RANKS as f64 * TIE_MS
    };
    let mut best: Option<(f64, Choice)> = None;
    for upstream in candidates {
        let kept = upstream.cache.kept_tokens(&parts);
        let unread_tokens = f64::from(demand.prompt.tokens.saturating_sub(kept));
        let reading_ms = unread_tokens * speeds.token_ms(model);
        let running_ms = f64::from(upstream.total_in_flight()) * RUNNING_MS;
        let expected_ms =
            upstream.backlog_ms() + running_ms + speeds.reading_ms(model, unread_tokens);
        let score_ms = expected_ms + penalty_ms(demand, upstream, costs) + rank_ms(upstream);
        if best.as_ref().is_none_or(|(least_ms, _)| score_ms < *least_ms) {
            let choice = Choice {
                upstream: upstream.registration.upstream.clone(),
                model: Some(model.clone()),
                expected_ms,
                reading_ms,
                unread_tokens,
            };
            best = Some((score_ms, choice));
        }
    }
    best.map(|(_, choice)| choice)
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
    })
}

fn penalty_ms(demand: &Demand<'_>, upstream: &Upstream, costs: &PlacementCosts) -> f64 {
    let failures_ms = upstream.failures.share() * FAILURE_MS;
    if upstream.registration.data_centre == *demand.data_centre {
        return failures_ms;
    }
    failures_ms + costs.cross_ms + costs.cross_ms_per_kb * demand.size_kb
}
