//! Counters of errors, slow responses and ratings per version, which rollouts evaluate.

use std::collections::BTreeMap;

use crate::agent::Agent;
use crate::class::Class;
use crate::configuration::model::Version;
use crate::id::HostId;
use crate::id::VersionId;
use crate::message::AgentMessage;
use crate::message::AttemptFault;
use crate::message::VersionRating;
use crate::rollouts::evidence::Evidence;
use crate::rollouts::version_evaluator::is_compared;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Interval at which counters are sent on each link; a version with a 20-byte id takes 95 bytes.
const EVIDENCE_INTERVAL_MS: DurationMs = DurationMs::from_secs(10);

/// For each version with counters, all versions of its model; `None` if it is not configured.
pub(crate) type ComparedVersions = BTreeMap<VersionId, Option<Vec<Version>>>;

impl Agent {
    /// Counts an attempt that ended at the engine. A missed deadline counts as slow and not as an
    /// error, because the entry chose the deadline.
    pub(crate) fn record_attempt(
        &mut self,
        version: Option<&VersionId>,
        class: Class,
        first_token_ms: Option<DurationMs>,
        fault: Option<AttemptFault>,
    ) {
        let Some(version) = version else {
            return;
        };
        let target_ms = self.config.current().defaults.first_token_target_ms;
        let is_error =
            matches!(fault, Some(AttemptFault::UpstreamError | AttemptFault::ConnectionLost));
        let is_late = first_token_ms.is_some_and(|time| time > target_ms)
            || fault == Some(AttemptFault::DeadlineExceeded);
        let counters = self.counters(version);
        counters.attempts += 1;
        counters.errors += u64::from(is_error);
        counters.slow += u64::from(is_late && class == Class::Interactive);
    }

    pub(crate) fn on_ratings(&mut self, ratings: &[VersionRating]) {
        for rating in ratings {
            self.counters(&rating.version).add_rating(rating.score);
        }
    }

    fn counters(&mut self, version: &VersionId) -> &mut Evidence {
        let counted_from = self.evidence_from;
        let empty = Evidence { counted_from, ..Evidence::default() };
        self.evidence.entry(version.clone()).or_insert(empty)
    }

    /// Resets the counters of versions whose model has changed its versions, so that a new lease
    /// holder compares counters that cover the same period.
    pub(crate) fn reset_evidence(&mut self, before: &ComparedVersions) {
        let current = self.compared_versions();
        self.evidence.retain(|version, _| before.get(version) == current.get(version));
        self.evidence_from = self.revision();
    }

    /// Snapshot to compare with after a configuration change.
    pub(crate) fn compared_versions(&self) -> ComparedVersions {
        let configuration = self.config.current();
        let versions = |version: &VersionId| {
            configuration.version(version).map(|(model, _)| model.versions.clone())
        };
        self.evidence.keys().map(|version| (version.clone(), versions(version))).collect()
    }

    pub(crate) fn tick_evidence(&mut self, now: TimeMs) {
        if now < self.next_evidence_at_ms {
            return;
        }
        self.next_evidence_at_ms = now + EVIDENCE_INTERVAL_MS;
        for entry in self.connected_entries() {
            self.send_evidence(&entry);
        }
    }

    /// Sends the counters of versions whose model serves other versions to compare them with.
    pub(crate) fn send_evidence(&mut self, entry: &HostId) {
        let configuration = self.config.current();
        let compared = |version: &VersionId| {
            configuration.version(version).is_some_and(|(model, _)| is_compared(model))
        };
        let counters = self.evidence.iter().filter(|(version, _)| compared(version));
        let counters: Vec<_> =
            counters.map(|(version, counters)| (version.clone(), *counters)).collect();
        if !counters.is_empty() {
            self.send(entry, AgentMessage::Evidence(counters));
        }
    }
}
