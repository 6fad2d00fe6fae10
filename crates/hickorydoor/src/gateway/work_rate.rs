//! Rates at which this gateway sends prefill work to a service, at which the work finishes, and at
//! which its requests end and leave their slots.
//!
//! All are averages that decay over a few seconds, so that they follow bursts and slow periods.

use crate::gateway::rank_work::RankWork;
use crate::time::TimeMs;

/// Time over which the averages decay, in ms.
const DECAY_MS: f64 = 3_000.0;
/// Number of finished prefills, weighted by age, below which the rates are not known.
const MIN_FINISHED: f64 = 4.0;

/// Number of refused requests of a rank, weighted by age, below which its room is not scarce.
const MIN_REFUSED: f64 = 2.0;
/// Share of refused requests of a rank from which on its room is scarce.
const MIN_REFUSED_SHARE: f64 = 0.25;

/// Rates of work of one gateway at one service.
#[derive(Clone, Debug)]
pub struct WorkRate {
    sent: RankWork,
    sent_counts: RankWork,
    refused_counts: RankWork,
    finished: RankWork,
    finished_counts: RankWork,
    ended_count: f64,
    started_at: TimeMs,
    updated_at: TimeMs,
}

impl WorkRate {
    /// Creates rates without observations.
    pub fn new(now: TimeMs) -> Self {
        Self {
            sent: RankWork::default(),
            sent_counts: RankWork::default(),
            refused_counts: RankWork::default(),
            finished: RankWork::default(),
            finished_counts: RankWork::default(),
            ended_count: 0.0,
            started_at: now,
            updated_at: now,
        }
    }

    /// Records that work of a rank is sent.
    pub fn record_sent(&mut self, rank: u8, work_ms: f64, now: TimeMs) {
        self.decay(now);
        self.sent.add(rank, work_ms);
        self.sent_counts.add(rank, 1.0);
    }

    /// Records that a request of a rank is refused for lack of room.
    pub fn record_refused(&mut self, rank: u8, now: TimeMs) {
        self.decay(now);
        self.refused_counts.add(rank, 1.0);
    }

    /// Records a first event, with which the prefill work of its request is finished.
    pub fn record_finished(&mut self, rank: u8, work_ms: f64, now: TimeMs) {
        self.decay(now);
        self.finished.add(rank, work_ms);
        self.finished_counts.add(rank, 1.0);
    }

    /// Records that a request has ended and left its slot.
    pub fn record_ended(&mut self, now: TimeMs) {
        self.decay(now);
        self.ended_count += 1.0;
    }

    /// Brings the averages up to date.
    pub fn decay(&mut self, now: TimeMs) {
        let factor = (-now.since(self.updated_at).as_f64() / DECAY_MS).exp();
        self.sent.scale(factor);
        self.sent_counts.scale(factor);
        self.refused_counts.scale(factor);
        self.finished.scale(factor);
        self.finished_counts.scale(factor);
        self.ended_count *= factor;
        self.updated_at = now;
    }

    /// Returns whether enough has finished for the rates to be known.
    pub fn is_known(&self) -> bool {
        self.finished_counts.total() >= MIN_FINISHED
    }

    /// Returns the mean work of a request, in ms.
    pub fn mean_work_ms(&self) -> f64 {
        self.finished.total() / self.finished_counts.total().max(1.0)
    }

    /// Returns the most work of a rank that may finish per ms, in ms, as far as the observations
    /// leave open: the number of finished requests is off by about its square root, and the next
    /// one, with `work_ms`, may finish any moment.
    pub fn most_finished(&self, rank: u8, work_ms: f64) -> f64 {
        let count = self.finished_counts.of_rank(rank).max(1.0);
        let most_ms = self.finished.of_rank(rank) * (1.0 + 1.0 / count.sqrt()) + work_ms;
        most_ms / self.window_ms()
    }

    /// Returns the number of requests that leave their slots per ms.
    pub fn ended_per_ms(&self) -> f64 {
        self.ended_count / self.window_ms()
    }

    /// Returns by how much more work finishes per ms than is sent, in ms.
    pub fn surplus(&self) -> f64 {
        (self.finished.total() - self.sent.total()).max(0.0) / self.window_ms()
    }

    /// Returns the share of the sent work that is more urgent than `rank`; 0 if none was sent.
    pub fn more_urgent_share(&self, rank: u8) -> f64 {
        let total_ms = self.sent.total();
        if total_ms <= 0.0 { 0.0 } else { self.sent.more_urgent(rank) / total_ms }
    }

    /// Returns the share of the sent work that is as urgent as `rank` or more; 1 if none was sent.
    pub fn as_urgent_share(&self, rank: u8) -> f64 {
        let total_ms = self.sent.total();
        if total_ms <= 0.0 { 1.0 } else { self.sent.as_urgent(rank) / total_ms }
    }

    /// Returns whether requests of any rank are refused for lack of room.
    pub fn is_short(&self) -> bool {
        self.refused_counts.total() >= MIN_REFUSED
    }

    /// Returns whether a considerable share of more urgent requests is refused for lack of room. The
    /// engines are always busy with more urgent work then.
    pub fn is_crowded_out(&self, rank: u8) -> bool {
        self.refused_counts.ranks().filter(|known| *known < rank).any(|known| {
            let refused = self.refused_counts.of_rank(known);
            let all = refused + self.sent_counts.of_rank(known);
            refused >= MIN_REFUSED && refused >= all * MIN_REFUSED_SHARE
        })
    }

    /// Returns the time that the averages cover, in ms. It is shorter just after the start.
    fn window_ms(&self) -> f64 {
        let age_ms = self.updated_at.since(self.started_at).as_f64();
        (DECAY_MS * (1.0 - (-age_ms / DECAY_MS).exp())).max(1.0)
    }
}
