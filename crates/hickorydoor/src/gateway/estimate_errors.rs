//! Errors of the expected times to the first event, as measured at recent first events.
//!
//! Only times that matter for a decision are kept: those of requests that were expected to take a
//! considerable part of their objective. On an idle engine fixed delays dominate, and say nothing
//! about the time that a backlog takes. The time taken does not matter for the selection, since the
//! slow ones among quick requests would count as the usual case. An attempt that is overdue counts
//! with the time that it has waited, which is a lower bound.

use std::collections::VecDeque;

use crate::gateway::call::CallId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Number of observations that are kept.
const MAX_OBSERVATIONS: usize = 32;
/// Number of recent observations without which nothing is known about the error.
const MIN_OBSERVATIONS: usize = 8;
/// Age up to which an observation counts. Engines get slower and faster within seconds.
const OBSERVATION_MS: DurationMs = DurationMs::from_secs(5);
/// Factor by which an expected time may differ from the time taken without being wrong.
pub const WRONG_FACTOR: f64 = 2.0;
/// Quantile that stands for the usual error or time.
const USUAL_QUANTILE: f64 = 0.5;
/// Quantile of the ratios by which estimates are corrected. A request is refused only if it would
/// be late with this probability, as a late answer still has some value.
const CORRECTION_QUANTILE: f64 = 0.75;
/// Lower bound of the correction, so that a few broken engines cannot stop all traffic.
const MIN_CORRECTION: f64 = 1.0 / 16.0;
/// Share of the objective from which on an expected time matters for a decision.
const RELEVANT_OBJECTIVE_SHARE: f64 = 1.0 / 8.0;
/// Times below this are not compared, since fixed delays dominate them, in ms.
const MIN_COMPARED_MS: f64 = 100.0;

#[derive(Clone, Copy, Debug)]
struct Observation {
    id: CallId,
    at: TimeMs,
    /// Expected time divided by the time taken.
    ratio: f64,
    took_ms: f64,
}

/// Recent errors of the estimates for one service, or for one rank of it.
#[derive(Clone, Debug, Default)]
pub struct EstimateErrors {
    observations: VecDeque<Observation>,
}

impl EstimateErrors {
    /// Records an expected time with the time taken, or waited so far; replaces what was known of
    /// the request.
    pub fn observe(
        &mut self,
        id: CallId,
        expected_ms: f64,
        took_ms: f64,
        objective_ms: f64,
        now: TimeMs,
    ) {
        self.observations.retain(|known| known.id != id);
        if !is_relevant(expected_ms, objective_ms) {
            return;
        }
        if self.observations.len() == MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
        let ratio = expected_ms.max(MIN_COMPARED_MS) / took_ms.max(MIN_COMPARED_MS);
        self.observations.push_back(Observation { id, at: now, ratio, took_ms });
    }

    /// Returns the usual ratio of the expected time to the time taken; `None` if it is not known or
    /// if the estimates are usually too high by more than [`WRONG_FACTOR`], so that nothing may be
    /// refused because of them. Estimates that are too low by any factor are corrected by it.
    pub fn correction(&self, now: TimeMs) -> Option<f64> {
        let usual = self.quantile(USUAL_QUANTILE, now, |known| known.ratio)?;
        let high = self.quantile(CORRECTION_QUANTILE, now, |known| known.ratio)?;
        (usual <= WRONG_FACTOR).then_some(high.clamp(MIN_CORRECTION, WRONG_FACTOR))
    }

    /// Returns whether there are enough recent observations.
    pub fn is_known(&self, now: TimeMs) -> bool {
        self.recent(now).count() >= MIN_OBSERVATIONS
    }

    /// Returns the usual time from dispatch to the first event, in ms; `None` if it is not known.
    pub fn usual_ms(&self, now: TimeMs) -> Option<f64> {
        self.quantile(USUAL_QUANTILE, now, |known| known.took_ms)
    }

    fn quantile(
        &self,
        quantile: f64,
        now: TimeMs,
        value: impl Fn(&Observation) -> f64,
    ) -> Option<f64> {
        let mut values: Vec<f64> = self.recent(now).map(value).collect();
        if values.len() < MIN_OBSERVATIONS {
            return None;
        }
        values.sort_unstable_by(f64::total_cmp);
        values.get((values.len() as f64 * quantile) as usize).copied()
    }

    fn recent(&self, now: TimeMs) -> impl Iterator<Item = &Observation> {
        self.observations.iter().filter(move |known| now.since(known.at) <= OBSERVATION_MS)
    }
}

/// Returns whether an expected time is long enough for its usual error to be known and to matter.
pub fn is_relevant(expected_ms: f64, objective_ms: f64) -> bool {
    expected_ms >= objective_ms * RELEVANT_OBJECTIVE_SHARE
}

/// Returns whether an expected time differs from the time taken by more than [`WRONG_FACTOR`].
pub fn is_wrong(expected_ms: f64, took_ms: f64) -> bool {
    let ratio = expected_ms.max(MIN_COMPARED_MS) / took_ms.max(MIN_COMPARED_MS);
    !(1.0 / WRONG_FACTOR..=WRONG_FACTOR).contains(&ratio)
}
