//! Comparison of the versions of a model with their baselines as evidence arrives.

use std::collections::BTreeMap;

use crate::configuration::Configuration;
use crate::configuration::model::Model;
use crate::configuration::model::Version;
use crate::configuration::model::VersionState;
use crate::id::VersionId;
use crate::rollouts::evidence::Evidence;
use crate::rollouts::sequential_test::SequentialTest;

/// Comparison of one version with its baseline.
#[derive(Clone, Debug)]
struct Comparison {
    test: SequentialTest,
    version: Evidence,
    baseline: Evidence,
    total: Evidence,
}

/// Result of the comparison of one version with its baseline.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The compared version.
    pub version: VersionId,
    /// Natural logarithm of the evidence that the version is worse.
    pub log_evidence: f64,
    /// Counters of the version since its state last changed.
    pub total: Evidence,
}

/// Sequential tests of all versions that have a baseline.
///
/// A canary or active version is compared with the older versions that are active or draining. If
/// there are none, an active version is compared with the newer ones, by errors alone: a lower
/// rating than that of a newer version does not make a version bad.
#[derive(Clone, Debug, Default)]
pub struct VersionEvaluator {
    pending: BTreeMap<VersionId, Evidence>,
    comparisons: BTreeMap<VersionId, Comparison>,
    states: BTreeMap<VersionId, VersionState>,
}

impl VersionEvaluator {
    /// Adds counters of a version to its pending evidence.
    pub fn add(&mut self, version: &VersionId, evidence: &Evidence) {
        self.pending.entry(version.clone()).or_default().merge(evidence);
    }

    /// Returns the evidence of a version that awaits the next evaluation.
    pub fn pending(&mut self, version: &VersionId) -> &mut Evidence {
        self.pending.entry(version.clone()).or_default()
    }

    /// Restarts the tests of all versions whose state has changed, and drops their counters.
    pub fn on_configuration(&mut self, configuration: &Configuration) {
        let versions = configuration.models.values().flat_map(|model| &model.versions);
        let states: BTreeMap<VersionId, VersionState> =
            versions.map(|version| (version.id.clone(), version.state)).collect();
        // Versions without a known state are kept: a new entry receives the counters of agents
        // before its first configuration.
        let unchanged = |version: &VersionId| {
            let known = self.states.get(version);
            known.is_none() || known == states.get(version)
        };
        self.comparisons.retain(|version, _| unchanged(version));
        self.pending.retain(|version, _| unchanged(version));
        self.states = states;
    }

    /// Adds the pending evidence to the tests as one batch and returns the results.
    pub fn evaluate(&mut self, configuration: &Configuration) -> Vec<Finding> {
        let pending = std::mem::take(&mut self.pending);
        let mut findings = Vec::new();
        for model in configuration.models.values() {
            for version in &model.versions {
                let Some(baseline) = baseline(model, version, &pending) else {
                    continue;
                };
                let evidence = pending.get(&version.id).copied().unwrap_or_default();
                findings.push(self.add_batch(version, &evidence, &baseline));
            }
        }
        findings
    }

    fn add_batch(&mut self, version: &Version, pending: &Evidence, baseline: &Evidence) -> Finding {
        let comparison = self.comparisons.entry(version.id.clone()).or_insert_with(|| Comparison {
            test: SequentialTest::new(),
            version: Evidence::default(),
            baseline: Evidence::default(),
            total: Evidence::default(),
        });
        comparison.total.merge(pending);
        comparison.version.merge(pending);
        comparison.baseline.merge(baseline);
        // Evidence of one side alone proves nothing, so it is kept until the other side has some.
        if comparison.version.attempts > 0 && comparison.baseline.attempts > 0 {
            let version = std::mem::take(&mut comparison.version);
            let baseline = std::mem::take(&mut comparison.baseline);
            comparison.test.add_batch(&version, &baseline);
        }
        let log_evidence = comparison.test.log_evidence();
        Finding { version: version.id.clone(), log_evidence, total: comparison.total }
    }
}

/// Returns whether evidence is collected for the versions of this model: more than one of them
/// serves sessions.
pub fn is_compared(model: &Model) -> bool {
    model.versions.iter().filter(|version| version.state.serves_sessions()).count() > 1
}

fn baseline(
    model: &Model,
    version: &Version,
    pending: &BTreeMap<VersionId, Evidence>,
) -> Option<Evidence> {
    if !version.state.accepts_new_sessions() {
        return None;
    }
    let position = model.versions.iter().position(|known| known.id == version.id)?;
    let (older, newer) = model.versions.split_at(position);
    let serves = |known: &&Version| {
        matches!(known.state, VersionState::Active | VersionState::Draining)
            && known.id != version.id
    };
    let sum = |versions: &[Version]| {
        let mut sum = Evidence::default();
        for known in versions.iter().filter(serves) {
            sum.merge(pending.get(&known.id).unwrap_or(&Evidence::default()));
        }
        sum
    };
    if older.iter().any(|known| serves(&known)) {
        return Some(sum(older));
    }
    let has_newer = newer.iter().any(|known| serves(&known));
    has_newer.then(|| sum(newer).errors_only())
}
