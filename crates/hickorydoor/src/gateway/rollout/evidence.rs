//! What all gateways have observed of a version under rollout.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::gateway::rollout::PeerView;
use crate::gateway::rollout::Sent;
use crate::id::HostId;
use crate::rollouts::outcome_table::OutcomeTable;
use crate::rollouts::version_comparison::VersionComparison;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Interval between two evaluations of the outcomes.
const EVALUATION_INTERVAL_MS: DurationMs = DurationMs::new(100);
/// Period over which the current rate of requests is measured.
const RATE_PERIOD_MS: DurationMs = DurationMs::new(2_000);

/// Outcomes that this gateway and the others counted, and what they show.
#[derive(Clone, Debug, Default)]
pub struct RolloutEvidence {
    /// Outcomes that this gateway counted.
    pub own: OutcomeTable,
    /// What the other gateways say.
    pub peers: BTreeMap<HostId, PeerView>,
    /// Comparison of the versions at the last evaluation.
    pub comparison: VersionComparison,
    evaluated_at: Option<TimeMs>,
    /// Number of attempts at the evaluations of the last [`RATE_PERIOD_MS`].
    sent_history: VecDeque<(TimeMs, f64)>,
}

impl RolloutEvidence {
    /// Returns the outcomes that are known from all gateways.
    pub fn all(&self) -> OutcomeTable {
        let mut all = self.own.clone();
        for table in self.peers.values().flat_map(PeerView::tables) {
            all.merge(table);
        }
        all
    }

    /// Returns the attempts that all gateways have sent.
    pub fn sent(&self) -> Sent {
        let peers = self.peers.values().flat_map(PeerView::tables);
        let tables = peers.chain(std::iter::once(&self.own));
        tables.fold(Sent::default(), |sent, table| Sent {
            to_target: sent.to_target + table.sent_to_target() as f64,
            all: sent.all + table.sent() as f64,
        })
    }

    /// Returns the rate of requests, in 1/ms: the higher one of the rates since the order and of
    /// the last [`RATE_PERIOD_MS`].
    pub fn rate_per_ms(&self, sent: Sent, ordered_at: TimeMs, now: TimeMs) -> f64 {
        let elapsed_ms = now.since(ordered_at).as_f64().max(1.0);
        let recent = self
            .sent_history
            .front()
            .map_or(0.0, |(at, before)| (sent.all - before) / now.since(*at).as_f64().max(1.0));
        (sent.all / elapsed_ms).max(recent)
    }

    /// Returns whether an evaluation is due.
    pub fn is_evaluation_due(&self, now: TimeMs) -> bool {
        self.evaluated_at.is_none_or(|at| now.since(at) >= EVALUATION_INTERVAL_MS)
    }

    /// Adds the number of attempts to those from which the rate is computed; returns all outcomes.
    pub fn begin_evaluation(&mut self, now: TimeMs) -> OutcomeTable {
        self.evaluated_at = Some(now);
        let all = self.all();
        self.sent_history.push_back((now, all.sent() as f64));
        while self.sent_history.front().is_some_and(|(at, _)| now.since(*at) > RATE_PERIOD_MS) {
            self.sent_history.pop_front();
        }
        all
    }

    /// Returns the number of entries that grow with time.
    pub fn entries(&self) -> usize {
        let tables: usize = self.peers.values().map(PeerView::incarnations).sum();
        tables + self.sent_history.len()
    }

    /// Returns the rank of this gateway among those that were heard lately.
    pub fn rank(&self, own: &HostId, now: TimeMs) -> u64 {
        let earlier = self.peers.range(..own.clone());
        earlier.filter(|(_, view)| view.is_heard(now)).count() as u64
    }
}
