//! Stopping of model versions that perform worse than their baseline or that no agent serves.
//!
//! An entry evaluates its own observations every second and the counters of the agents every
//! ten seconds. It sends no requests to a version that it has stopped, as long as another
//! version can take over.

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

/// Time between two evaluations of the attempts that this entry has observed itself.
const OWN_EVALUATION_INTERVAL_MS: DurationMs = DurationMs::from_secs(1);
/// Time between two evaluations of the counters of all connected agents.
const FLEET_EVALUATION_INTERVAL_MS: DurationMs = DurationMs::from_secs(10);
/// Sessions leave a version that no agent has served for this long. Longer than the restart of a
/// few engines.
const UNSERVED_TIMEOUT_MS: DurationMs = DurationMs::from_secs(60);

impl Entry {
    pub(crate) fn tick_guard(&mut self, now: TimeMs) {
        if now >= self.next_own_evaluation_at_ms {
            self.next_own_evaluation_at_ms = now + OWN_EVALUATION_INTERVAL_MS;
            let stopped = self.guard.evaluate_local(self.config.current());
            self.record_stops(&stopped, now);
            self.update_unserved_versions(now);
        }
        if now >= self.next_fleet_evaluation_at_ms {
            self.next_fleet_evaluation_at_ms = now + FLEET_EVALUATION_INTERVAL_MS;
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
            // Invalidates cached pins, so that sessions leave the version at their next request.
            self.on_models_changed();
        }
    }

    /// Records the exposure and evidence of versions under rollout, for those models whose rollout
    /// lease this entry holds.
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

    pub(crate) fn on_evidence(&mut self, agent: &HostId, counters: &[(VersionId, Evidence)]) {
        let Some(hello) = self.members.get(agent).and_then(|member| member.hello.as_ref()) else {
            return;
        };
        let incarnation = hello.incarnation;
        for (version, version_counters) in counters {
            self.guard.record_counters(agent, incarnation, version, *version_counters);
        }
    }

    /// Adds a finished attempt to the evidence of this entry's own evaluation.
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
        // The time to the first token of a retry includes that of the earlier attempts.
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

    /// Whether this entry sends no requests to the version although the configuration allows it.
    /// `false` if no other version can take over.
    pub(crate) fn is_stopped(&self, version: &VersionId) -> bool {
        let stopped =
            self.guard.stops.contains_key(version) || self.guard.unserved.contains(version);
        stopped && self.fallback(version).is_some()
    }

    /// The version that takes over when `version` is stopped: the newest other active version that
    /// has a usable agent and is not stopped for its evidence, else the newest such draining
    /// version. With `None`, requests stay on `version`, since a bad version is better than none.
    pub(crate) fn fallback(&self, version: &VersionId) -> Option<VersionId> {
        let (model, _) = self.config.current().version(version)?;
        let find_served = |state: VersionState| {
            model.versions.iter().rev().find(|known| {
                let other = known.id != *version && !self.guard.stops.contains_key(&known.id);
                other && known.state == state && self.has_usable_agent(&known.id)
            })
        };
        let found =
            find_served(VersionState::Active).or_else(|| find_served(VersionState::Draining));
        found.map(|known| known.id.clone())
    }

    /// Updates the set of versions that have been without a usable agent for
    /// [`UNSERVED_TIMEOUT_MS`]; their sessions move to another version. The configuration is not
    /// changed, since upstreams in other regions, unknown to this entry, may serve the version.
    /// Only an entry that is connected to every listed agent can tell that a version is unserved.
    fn update_unserved_versions(&mut self, now: TimeMs) {
        let all_connected = self.members.iter().all(|(_, member)| member.connected);
        let compared = self.config.current().models.values().filter(|model| is_compared(model));
        let serving = compared.flat_map(|model| &model.versions);
        let serving = serving.filter(|version| version.state.serves_sessions());
        let unserved: Vec<VersionId> = serving
            .filter(|version| all_connected && !self.has_usable_agent(&version.id))
            .map(|version| version.id.clone())
            .collect();
        self.guard.unserved_since_ms.retain(|version, _| unserved.contains(version));
        for version in unserved {
            self.guard.unserved_since_ms.entry(version).or_insert(now);
        }
        let expired = self
            .guard
            .unserved_since_ms
            .iter()
            .filter(|(_, since)| now >= **since + UNSERVED_TIMEOUT_MS);
        let unserved_for_long: BTreeSet<VersionId> =
            expired.map(|(version, _)| version.clone()).collect();
        if unserved_for_long == self.guard.unserved {
            return;
        }
        let previous = std::mem::replace(&mut self.guard.unserved, unserved_for_long.clone());
        for version in unserved_for_long.difference(&previous).cloned() {
            self.record(Observation::VersionStopped { version, log_evidence: 0.0 });
        }
        // Sessions do not move back when agents return, so cached pins must be confirmed again.
        self.on_models_changed();
    }

    /// Models with versions to compare of which at least one has a usable agent.
    pub(crate) fn compared_models(&self) -> Vec<ModelId> {
        let is_served = |model: &&Model| {
            model.versions.iter().any(|version| self.has_usable_agent(&version.id))
        };
        let models = self.config.current().models.values();
        let compared = models.filter(|model| is_compared(model)).filter(is_served);
        compared.map(|model| model.id.clone()).collect()
    }
}
