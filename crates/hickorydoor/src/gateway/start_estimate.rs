//! Expected start of a request, and the decision to send it, let it wait or refuse it.
//!
//! The load that it handles is more than the engines can prefill: urgent and less urgent requests
//! compete for engines that are several times slower than usual, or too few. Without this decision
//! requests queue at engines until their deadline and use the room of those that could be in time.
//!
//! An expected time is corrected by the ratio of recent expected times to the times taken.

use crate::gateway::estimate_errors::WRONG_FACTOR;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Shortest time over which callers of one rank are spread that come back, in ms.
const MIN_SPREAD_MS: f64 = 400.0;
/// Longest time over which callers of one rank are spread that come back, in ms.
const MAX_SPREAD_MS: f64 = 4_000.0;
/// Callers follow a retry hint up to this share of the time that they have left.
const FOLLOWED_HINT_SHARE: f64 = 1.0 / 3.0;
/// Shortest retry hint, in ms; digests of the other gateways take about as long to arrive.
const MIN_RETRY_AFTER_MS: f64 = 200.0;

/// What is known about the start of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartInputs {
    /// Expected time from now to the first event at the chosen upstream, in ms; `None` if no
    /// upstream takes the request now.
    pub expected_ms: Option<f64>,
    /// Expected time to the first event at the rate at which the requests of the same rank start, in
    /// ms; `None` unless there is a shortage of room for the rank.
    pub shortage_ms: Option<f64>,
    /// Usual time from dispatch to the first event, in ms, for a request that no upstream takes
    /// now.
    pub usual_ms: f64,
    /// Work queued at this gateway that is served before the request, in ms.
    pub work_ahead_ms: f64,
    /// Work of the request's rank and less urgent ones that this gateway gets served per ms, in ms;
    /// `None` if it is not known.
    pub served: Option<f64>,
    /// By how much the expected time falls per ms, in ms.
    pub shrinkage: f64,
    /// Ratio of recent expected times to times taken; `None` if it is not known or too high.
    pub correction: Option<f64>,
    /// Part of the objective that is left, in ms.
    pub objective_left_ms: f64,
    /// Time until the request is refused if it waits, in ms.
    pub wait_left_ms: f64,
    /// Time left until the deadline, in ms.
    pub deadline_left_ms: f64,
    /// Whether the request has just arrived.
    pub is_new: bool,
    /// Number of more urgent ranks with requests.
    pub more_urgent_ranks: usize,
    /// Uniformly distributed hash of the request, by which callers are spread.
    pub hash: u64,
}

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// It is sent now.
    Send,
    /// It waits, at most until this time.
    Wait(TimeMs),
    /// It can't start in time; there is room after this time.
    Refuse(DurationMs),
}

impl StartInputs {
    /// Returns the expected time to the first event with its usual error taken out, in ms.
    pub fn likely_ms(&self) -> f64 {
        let expected_ms = self.expected_ms.unwrap_or_default() / self.correction.unwrap_or(1.0);
        expected_ms.max(self.shortage_ms.unwrap_or_default())
    }
}

/// Decides whether a request is sent, waits or is refused.
pub fn decide(inputs: &StartInputs, now: TimeMs) -> StartDecision {
    if inputs.expected_ms.is_none() {
        return decide_queued(inputs, now);
    }
    if inputs.correction.is_none() && inputs.shortage_ms.is_none() {
        return StartDecision::Send;
    }
    let excess_ms = inputs.likely_ms() - inputs.objective_left_ms;
    if excess_ms <= 0.0 {
        return StartDecision::Send;
    }
    // The time that is left falls as well while the request waits.
    let wait_ms = excess_ms / (inputs.shrinkage - 1.0);
    if wait_ms > 0.0 && wait_ms <= inputs.wait_left_ms {
        return StartDecision::Wait(now + DurationMs::new(wait_ms as u64));
    }
    StartDecision::Refuse(retry_after_ms(inputs, excess_ms))
}

/// Decides about a request that no upstream takes now. It begins to wait only if its turn comes in
/// time even if the estimate is wrong, and then waits unless it cannot come in time even so.
fn decide_queued(inputs: &StartInputs, now: TimeMs) -> StartDecision {
    let wait_end = now + DurationMs::new(inputs.wait_left_ms as u64);
    let Some(served) = inputs.served else {
        return StartDecision::Wait(wait_end);
    };
    let latest_ms = (inputs.objective_left_ms - inputs.usual_ms).min(inputs.wait_left_ms).max(0.0);
    let margin = if inputs.is_new { WRONG_FACTOR } else { 1.0 / WRONG_FACTOR };
    let turn_ms = inputs.work_ahead_ms / served * margin;
    if turn_ms <= latest_ms {
        return StartDecision::Wait(now + DurationMs::new(latest_ms as u64));
    }
    StartDecision::Refuse(retry_after_ms(inputs, turn_ms - latest_ms))
}

/// Returns when a caller should come back: spread over the time in which room comes free, each rank
/// after the more urgent ones, and early enough for callers to follow it.
fn retry_after_ms(inputs: &StartInputs, room_after_ms: f64) -> DurationMs {
    let spread_ms = room_after_ms.clamp(MIN_SPREAD_MS, MAX_SPREAD_MS);
    let latest_ms = (inputs.deadline_left_ms * FOLLOWED_HINT_SHARE).max(MIN_RETRY_AFTER_MS * 2.0);
    let earliest_ms =
        (MIN_RETRY_AFTER_MS + spread_ms * inputs.more_urgent_ranks as f64).min(latest_ms / 2.0);
    let width_ms = spread_ms.min(latest_ms - earliest_ms).max(1.0);
    DurationMs::new(earliest_ms as u64 + inputs.hash % width_ms as u64)
}
