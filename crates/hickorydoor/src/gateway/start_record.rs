//! What a gateway has learned about the starts of requests at one service.

use std::collections::BTreeMap;

use crate::gateway::call::CallId;
use crate::gateway::estimate_errors::EstimateErrors;
use crate::gateway::rank_shortage::RankShortage;
use crate::gateway::work_rate::WorkRate;
use crate::time::TimeMs;

/// Rates of work and errors of the estimates of one service.
#[derive(Clone, Debug)]
pub struct StartRecord {
    /// Rates at which work is sent and finishes.
    pub rate: WorkRate,
    errors: EstimateErrors,
    errors_by_rank: BTreeMap<u8, EstimateErrors>,
    shortages: BTreeMap<u8, RankShortage>,
}

impl StartRecord {
    /// Creates a record without observations.
    pub fn new(now: TimeMs) -> Self {
        Self {
            rate: WorkRate::new(now),
            errors: EstimateErrors::default(),
            errors_by_rank: BTreeMap::new(),
            shortages: BTreeMap::new(),
        }
    }

    /// Records the expected time to a first event with the time taken, or waited so far.
    pub fn observe(
        &mut self,
        id: CallId,
        rank: u8,
        expected_ms: f64,
        took_ms: f64,
        objective_ms: f64,
        now: TimeMs,
    ) {
        self.errors.observe(id, expected_ms, took_ms, objective_ms, now);
        let of_rank = self.errors_by_rank.entry(rank).or_default();
        of_rank.observe(id, expected_ms, took_ms, objective_ms, now);
    }

    /// Returns the errors for a rank; those of all ranks if there are not enough of its own.
    pub fn errors(&self, rank: u8, now: TimeMs) -> &EstimateErrors {
        let of_rank = self.errors_by_rank.get(&rank).filter(|errors| errors.is_known(now));
        of_rank.unwrap_or(&self.errors)
    }

    /// Returns the unstarted requests of a rank.
    pub fn shortage_mut(&mut self, rank: u8) -> &mut RankShortage {
        self.shortages.entry(rank).or_default()
    }

    /// Returns the unstarted requests of all ranks.
    pub fn shortages_mut(&mut self) -> impl Iterator<Item = &mut RankShortage> {
        self.shortages.values_mut()
    }

    /// Returns the expected time to the first event of a request of a rank in which there is a
    /// shortage of room, in ms; `None` if there is none. It is infinite while more urgent requests
    /// are refused.
    pub fn shortage_ms(&self, rank: u8, work_ms: f64, now: TimeMs) -> Option<f64> {
        if self.rate.is_crowded_out(rank) {
            return Some(f64::INFINITY);
        }
        // Without more urgent work the backlog says it all.
        if self.rate.more_urgent_share(rank) <= 0.0 {
            return None;
        }
        let finished = self.rate.most_finished(rank, work_ms);
        self.shortages.get(&rank)?.expected_ms(work_ms, finished, now)
    }

    /// Returns the number of more urgent ranks with requests.
    pub fn more_urgent_ranks(&self, rank: u8) -> usize {
        self.shortages.range(..rank).count()
    }

    /// Returns the number of ranks with observations.
    pub fn ranks(&self) -> usize {
        self.errors_by_rank.len().max(self.shortages.len())
    }
}
