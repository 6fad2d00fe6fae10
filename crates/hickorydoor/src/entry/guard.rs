//! How an entry stops versions that turn out to be worse.

use std::collections::BTreeSet;

use crate::class::Class;
use crate::configuration::model::Model;
use crate::configuration::model::VersionState;
use crate::entry::Entry;
use crate::id::HostId;
use crate::id::ModelId;
use crate::id::Serial;
use crate::id::VersionId;
use crate::message::AttemptFault;
use crate::observation::Observation;
use crate::rollouts::evidence::Evidence;
use crate::rollouts::version_evaluator::Finding;
use crate::rollouts::version_evaluator::is_compared;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time between two evaluations of what this entry has seen itself.
const OWN_INTERVAL_MS: DurationMs = DurationMs::from_secs(1);
/// Time between two evaluations of the agents' counters.
const FLEET_INTERVAL_MS: DurationMs = DurationMs::from_secs(10);
/// The sessions of a version that no agent has served for this long move. Longer than a restart of
/// a few engines.
const DRY_MS: DurationMs = DurationMs::from_secs(60);

impl Entry {
    pub(crate) fn tick_guard(&mut self, now: TimeMs) {
        if now >= self.next_own_evaluation_at_ms {
            self.next_own_evaluation_at_ms = now + OWN_INTERVAL_MS;
            let stopped = self.guard.evaluate_local(self.config.current());
            self.record_stops(&stopped, now);
            self.notice_dry_versions(now);
        }
        if now >= self.next_fleet_evaluation_at_ms {
            self.next_fleet_evaluation_at_ms = now + FLEET_INTERVAL_MS;
            let (findings, stopped) = self.guard.evaluate_fleet(self.config.current());
            self.record_findings(findings);
            self.record_stops(&stopped, now);
        }
        self.tick_rollout_lease(now);
        self.tick_halts(now);
    }

    fn record_stops(&mut self, findings: &[Finding], now: TimeMs) {
        for finding in findings {
            self.delay_halt(&finding.version, now);
            self.record(Observation::VersionStopped {
                version: finding.version.clone(),
                log_evidence: finding.log_evidence,
            });
        }
        if !findings.is_empty() {
            // Sessions on the version move at their next request.
            self.on_models_changed();
        }
    }

    /// The lease holder reports exposure and evidence of each version under rollout.
    fn record_findings(&mut self, findings: Vec<Finding>) {
        for Finding { version, log_evidence, total } in findings {
            let configuration = self.config.current();
            let model = configuration.version(&version).map(|(model, _)| &model.id);
            if model.is_some_and(|model| self.guard.leased_models.contains(model)) {
                let total = Box::new(total);
                self.record(Observation::VersionEvidence { version, log_evidence, total });
            }
        }
    }

    pub(crate) fn on_evidence(&mut self, agent: &HostId, digests: &[(VersionId, Evidence)]) {
        let Some(hello) = self.members.get(agent).and_then(|member| member.hello.as_ref()) else {
            return;
        };
        let incarnation = hello.incarnation;
        for (version, digest) in digests {
            self.guard.record_counters(agent, incarnation, version, *digest);
        }
    }

    /// Counts an attempt that ended for this entry's own test.
    pub(crate) fn count_own_attempt(
        &mut self,
        serial: Serial,
        version: Option<&VersionId>,
        fault: Option<AttemptFault>,
    ) {
        let (Some(version), Some(state)) = (version, self.requests.get(&serial)) else {
            return;
        };
        let target_ms = self.config.current().defaults.first_token_target_ms;
        let first_token_ms = state
            .first_token_at_ms
            .zip(state.first_dispatch_at_ms)
            .map(|(token, dispatch)| token.since(dispatch));
        // A later attempt would be blamed for the time of the earlier ones.
        let first_attempt = state.attempts == 1;
        let is_late = first_attempt && first_token_ms.is_some_and(|time| time > target_ms);
        let is_interactive = state.class == Class::Interactive;
        let is_error =
            matches!(fault, Some(AttemptFault::UpstreamError | AttemptFault::ConnectionLost));
        let counters = self.guard.local.pending(version);
        counters.attempts += 1;
        counters.errors += u64::from(is_error);
        counters.slow += u64::from(is_late && is_interactive);
    }

    /// Whether this entry sends nothing to the version, although the configuration allows it.
    pub(crate) fn is_stopped(&self, version: &VersionId) -> bool {
        let stopped =
            self.guard.stops.contains_key(version) || self.guard.unserved.contains(version);
        stopped && self.fallback(version).is_some()
    }

    /// The version that takes over when `version` is stopped: the newest other active one with an
    /// upstream, else the newest draining one. Without one, a bad version is better than none.
    pub(crate) fn fallback(&self, version: &VersionId) -> Option<VersionId> {
        let (model, _) = self.config.current().version(version)?;
        let find = |state: VersionState| {
            model.versions.iter().rev().find(|known| {
                let other = known.id != *version && !self.guard.stops.contains_key(&known.id);
                other && known.state == state && self.has_agent(&known.id)
            })
        };
        let found = find(VersionState::Active).or_else(|| find(VersionState::Draining));
        found.map(|known| known.id.clone())
    }

    /// Notices versions without upstreams, whose sessions then move. The configuration stays: other
    /// regions may have upstreams of the version that this entry does not know. Only an entry that
    /// is linked to every listed agent can tell that there are none here.
    fn notice_dry_versions(&mut self, now: TimeMs) {
        let all_linked = self.members.iter().all(|(_, member)| member.connected);
        let compared = self.config.current().models.values().filter(|model| is_compared(model));
        let serving = compared.flat_map(|model| &model.versions);
        let serving = serving.filter(|version| version.state.serves_sessions());
        let without: Vec<VersionId> = serving
            .filter(|version| all_linked && !self.has_agent(&version.id))
            .map(|version| version.id.clone())
            .collect();
        self.guard.unserved_since_ms.retain(|version, _| without.contains(version));
        for version in without {
            self.guard.unserved_since_ms.entry(version).or_insert(now);
        }
        let long = self.guard.unserved_since_ms.iter().filter(|(_, since)| now >= **since + DRY_MS);
        let dry: BTreeSet<VersionId> = long.map(|(version, _)| version.clone()).collect();
        if dry == self.guard.unserved {
            return;
        }
        let before = std::mem::replace(&mut self.guard.unserved, dry.clone());
        for version in dry.difference(&before).cloned() {
            self.record(Observation::VersionStopped { version, log_evidence: 0.0 });
        }
        // Sessions that moved stay where they are, so cached pins are confirmed again.
        self.on_models_changed();
    }

    /// Models with versions to compare whose agents are linked to this entry.
    pub(crate) fn compared_models(&self) -> Vec<ModelId> {
        let is_served =
            |model: &&Model| model.versions.iter().any(|version| self.has_agent(&version.id));
        let models = self.config.current().models.values();
        let compared = models.filter(|model| is_compared(model)).filter(is_served);
        compared.map(|model| model.id.clone()).collect()
    }
}
