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
struct Trial {
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
pub struct VersionJudge {
    fresh: BTreeMap<VersionId, Evidence>,
    trials: BTreeMap<VersionId, Trial>,
    states: BTreeMap<VersionId, VersionState>,
}

impl VersionJudge {
    /// Adds what was counted since the last call.
    pub fn add(&mut self, version: &VersionId, evidence: &Evidence) {
        self.fresh.entry(version.clone()).or_default().merge(evidence);
    }

    /// Counts into the fresh evidence of a version.
    pub fn fresh(&mut self, version: &VersionId) -> &mut Evidence {
        self.fresh.entry(version.clone()).or_default()
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
        self.trials.retain(|version, _| same(version));
        self.fresh.retain(|version, _| same(version));
        self.states = states;
    }

    /// Ends a batch of all versions and returns the state of their tests.
    pub fn evaluate(&mut self, configuration: &Configuration) -> Vec<Finding> {
        let fresh = std::mem::take(&mut self.fresh);
        let mut findings = Vec::new();
        for model in configuration.models.values() {
            for version in &model.versions {
                let Some(baseline) = baseline(model, version, &fresh) else {
                    continue;
                };
                let evidence = fresh.get(&version.id).copied().unwrap_or_default();
                findings.push(self.add_batch(version, &evidence, &baseline));
            }
        }
        findings
    }

    fn add_batch(&mut self, version: &Version, fresh: &Evidence, baseline: &Evidence) -> Finding {
        let trial = self.trials.entry(version.id.clone()).or_insert_with(|| Trial {
            test: SequentialTest::new(),
            version: Evidence::default(),
            baseline: Evidence::default(),
            total: Evidence::default(),
        });
        trial.total.merge(fresh);
        trial.version.merge(fresh);
        trial.baseline.merge(baseline);
        // A batch without one of the sides proves nothing, so it waits for the other side.
        if trial.version.attempts > 0 && trial.baseline.attempts > 0 {
            let version = std::mem::take(&mut trial.version);
            let baseline = std::mem::take(&mut trial.baseline);
            trial.test.add_batch(&version, &baseline);
        }
        let log_evidence = trial.test.log_evidence();
        Finding { version: version.id.clone(), log_evidence, total: trial.total }
    }
}

/// Whether the evidence about versions of this model is collected.
pub fn is_compared(model: &Model) -> bool {
    model.versions.iter().filter(|version| version.state.serves_sessions()).count() > 1
}

fn baseline(
    model: &Model,
    version: &Version,
    fresh: &BTreeMap<VersionId, Evidence>,
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
            sum.merge(fresh.get(&known.id).unwrap_or(&Evidence::default()));
        }
        sum
    };
    if older.iter().any(|known| serves(&known)) {
        return Some(sum(older));
    }
    let has_newer = newer.iter().any(|known| serves(&known));
    has_newer.then(|| sum(newer).errors_only())
}
