//! Decides when an entry stops using a version.
//!
//! Every entry runs two sequential tests: one on the sums of the counters of the agents to which it
//! is linked, one on its own counters. The entry that holds the lease on the model's rollout halts
//! a version in the configuration at [`FLEET_FALSE_ALARM_RATE`]. Any entry whose tests reach
//! [`ENTRY_FALSE_ALARM_RATE`] stops using the version at once and then also writes the halt. The
//! false-alarm rate of a rollout is thus at most 0.008 + 560 entries x 2 tests x 0.000001 = 0.0091.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::configuration::Configuration;
use crate::configuration::model::VersionState;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::ModelId;
use crate::id::VersionId;
use crate::rollouts::evidence::Evidence;
use crate::rollouts::version_evaluator::Finding;
use crate::rollouts::version_evaluator::VersionEvaluator;
use crate::time::TimeMs;

/// False-alarm rate per rollout of the test at the holder of the rollout's lease.
pub const FLEET_FALSE_ALARM_RATE: f64 = 0.008;
/// False-alarm rate per rollout of every other test: on the agents' counters at entries without the
/// lease, and on the counters of each entry itself.
pub const ENTRY_FALSE_ALARM_RATE: f64 = 0.000_001;

/// State of a version that this entry has stopped using.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Stop {
    /// Configured state of the version at the time of the stop. A new state ends the stop.
    pub state: VersionState,
    /// Reason of the stop, for the change record of the halt.
    pub reason: CompactString,
}

/// Counters, tests and stopped versions of an entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct RolloutGuard {
    counters: HashMap<(HostId, VersionId), (Incarnation, Evidence)>,
    fleet: VersionEvaluator,
    /// Test on the attempts that this entry has observed itself.
    pub local: VersionEvaluator,
    /// Versions that this entry has stopped using.
    pub stops: BTreeMap<VersionId, Stop>,
    /// Models whose rollout lease this entry holds.
    pub leased_models: BTreeSet<ModelId>,
    /// Versions that no usable agent serves, with the time since when.
    pub unserved_since_ms: BTreeMap<VersionId, TimeMs>,
    /// Versions that have been unserved for so long that this entry moves their sessions.
    pub unserved: BTreeSet<VersionId>,
}

impl RolloutGuard {
    /// Records the counters of an agent and adds their increase to the agents' evidence. Counters
    /// of a new incarnation of the agent are added in full.
    pub fn record_counters(
        &mut self,
        agent: &HostId,
        incarnation: Incarnation,
        version: &VersionId,
        counters: Evidence,
    ) {
        let key = (agent.clone(), version.clone());
        let previous = self.counters.insert(key, (incarnation, counters));
        let fresh = match previous {
            Some((previous_incarnation, earlier)) if previous_incarnation == incarnation => {
                counters.since(&earlier)
            }
            _ => counters,
        };
        self.fleet.add(version, &fresh);
    }

    /// Discards counters of versions that are no longer configured, and ends the stops of versions
    /// whose configured state has changed.
    pub fn on_configuration(&mut self, configuration: &Configuration) {
        self.fleet.on_configuration(configuration);
        self.local.on_configuration(configuration);
        self.counters.retain(|(_, version), _| configuration.version(version).is_some());
        self.stops.retain(|version, stop| {
            configuration.version(version).is_some_and(|(_, known)| known.state == stop.state)
        });
    }

    /// Evaluates the agents' counters since the last call. Returns all findings, and those that
    /// have just stopped a version.
    pub fn evaluate_fleet(
        &mut self,
        configuration: &Configuration,
    ) -> (Vec<Finding>, Vec<Finding>) {
        let findings = self.fleet.evaluate(configuration);
        let mut stopped = Vec::new();
        for finding in &findings {
            let model = configuration.version(&finding.version).map(|(model, _)| &model.id);
            let holds_lease = model.is_some_and(|model| self.leased_models.contains(model));
            let rate = if holds_lease { FLEET_FALSE_ALARM_RATE } else { ENTRY_FALSE_ALARM_RATE };
            if self.stop_if_worse(configuration, finding, rate, "agents") {
                stopped.push(finding.clone());
            }
        }
        (findings, stopped)
    }

    /// Evaluates this entry's own counters since the last call. Returns the findings that have just
    /// stopped a version.
    pub fn evaluate_local(&mut self, configuration: &Configuration) -> Vec<Finding> {
        let mut findings = self.local.evaluate(configuration);
        findings.retain(|finding| {
            self.stop_if_worse(configuration, finding, ENTRY_FALSE_ALARM_RATE, "entry")
        });
        findings
    }

    fn stop_if_worse(
        &mut self,
        configuration: &Configuration,
        finding: &Finding,
        false_alarm_rate: f64,
        source: &str,
    ) -> bool {
        if finding.log_evidence < -false_alarm_rate.ln() {
            return false;
        }
        let total = &finding.total;
        let rating = total.mean_rating().unwrap_or(f64::NAN);
        let reason = format_compact!(
            "worse than its baseline by the {source}'s counters (log evidence {:.1}; {} attempts, \
             {} errors, {} slow, {} ratings, mean {rating:.3})",
            finding.log_evidence,
            total.attempts,
            total.errors,
            total.slow,
            total.ratings,
        );
        self.stop(configuration, &finding.version, reason)
    }

    /// Stops a version. Returns whether the version is configured and was not stopped before.
    pub fn stop(
        &mut self,
        configuration: &Configuration,
        version: &VersionId,
        reason: CompactString,
    ) -> bool {
        let Some((_, known)) = configuration.version(version) else {
            return false;
        };
        if self.stops.contains_key(version) {
            return false;
        }
        self.stops.insert(version.clone(), Stop { state: known.state, reason });
        true
    }
}
