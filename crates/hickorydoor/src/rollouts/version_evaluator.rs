//! Compares versions of a model with their baselines as evidence arrives.

use std::collections::BTreeMap;

use crate::configuration::Configuration;
use crate::configuration::model::Model;
use crate::configuration::model::Version;
use crate::configuration::model::VersionState;
use crate::id::VersionId;
use crate::rollouts::evidence::Evidence;
use crate::rollouts::sequential_test::SequentialTest;

/// The comparison of one version.
#[derive(Clone, Debug)]
struct Comparison {
    test: SequentialTest,
    version: Evidence,
    baseline: Evidence,
    total: Evidence,
}

/// What a judge found about one version.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The version.
    pub version: VersionId,
    /// Natural logarithm of the evidence that it is worse.
    pub log_evidence: f64,
    /// Everything counted about it since its state changed.
    pub total: Evidence,
}

/// Sequential tests of all versions that have a baseline.
///
/// A canary or active version is compared with the older versions that serve. An active version
/// without older ones is compared with the newer ones by its errors alone: a lower rating than a
/// newer version does not make it bad.
#[derive(Clone, Debug, Default)]
pub struct VersionEvaluator {
    pending: BTreeMap<VersionId, Evidence>,
    comparisons: BTreeMap<VersionId, Comparison>,
    states: BTreeMap<VersionId, VersionState>,
}

impl VersionEvaluator {
    /// Adds what was counted since the last call.
    pub fn add(&mut self, version: &VersionId, evidence: &Evidence) {
        self.pending.entry(version.clone()).or_default().merge(evidence);
    }

    /// Counts into the fresh evidence of a version.
    pub fn pending(&mut self, version: &VersionId) -> &mut Evidence {
        self.pending.entry(version.clone()).or_default()
    }

    /// Starts the tests of versions anew whose state changed; what was counted before is dropped.
    pub fn on_configuration(&mut self, configuration: &Configuration) {
        let versions = configuration.models.values().flat_map(|model| &model.versions);
        let states: BTreeMap<VersionId, VersionState> =
            versions.map(|version| (version.id.clone(), version.state)).collect();
        // A new entry gets the agents' counters before its first configuration.
        let same = |version: &VersionId| {
            let known = self.states.get(version);
            known.is_none() || known == states.get(version)
        };
        self.comparisons.retain(|version, _| same(version));
        self.pending.retain(|version, _| same(version));
        self.states = states;
    }

    /// Ends a batch of all versions and returns the state of their tests.
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
        // A batch without one of the sides proves nothing, so it waits for the other side.
        if comparison.version.attempts > 0 && comparison.baseline.attempts > 0 {
            let version = std::mem::take(&mut comparison.version);
            let baseline = std::mem::take(&mut comparison.baseline);
            comparison.test.add_batch(&version, &baseline);
        }
        let log_evidence = comparison.test.log_evidence();
        Finding { version: version.id.clone(), log_evidence, total: comparison.total }
    }
}

/// Whether the evidence about versions of this model is collected.
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
