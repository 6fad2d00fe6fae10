//! Decides when a version is stopped.
//!
//! Every entry sums the counters of the agents to which it is linked and runs the sequential test.
//! The entry that holds the lease on the model's rollout halts a version in the configuration at
//! [`FLEET_FALSE_ALARM_RATE`]. Every entry stops sending to a version at once at
//! [`ENTRY_FALSE_ALARM_RATE`], on the agents' counters or on what it has seen itself, and then
//! writes the halt too. A rollout thus has a false-alarm rate of at most
//! 0.008 + 560 entries x 2 tests x 0.000001 = 0.0091.

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

/// False-alarm rate of the test at the lease holder, for one rollout.
pub const FLEET_FALSE_ALARM_RATE: f64 = 0.008;
/// False-alarm rate of each of an entry's own tests, for one rollout.
pub const ENTRY_FALSE_ALARM_RATE: f64 = 0.000_001;

/// A version that this entry has stopped using.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Stop {
    /// The version's configured state when it was stopped; a new state ends the stop.
    pub state: VersionState,
    /// Why it was stopped, for the change record.
    pub reason: CompactString,
}

/// Evidence, tests and stops of an entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct RolloutGuard {
    counters: HashMap<(HostId, VersionId), (Incarnation, Evidence)>,
    fleet: VersionEvaluator,
    /// What this entry has seen itself.
    pub local: VersionEvaluator,
    /// Versions to which this entry sends nothing.
    pub stops: BTreeMap<VersionId, Stop>,
    /// Models whose rollout lease this entry holds.
    pub leased_models: BTreeSet<ModelId>,
    /// Since when no known agent has served these versions.
    pub unserved_since_ms: BTreeMap<VersionId, TimeMs>,
    /// Versions whose sessions this entry moves because no agent has served them for long.
    pub unserved: BTreeSet<VersionId>,
}

impl RolloutGuard {
    /// Takes in the counters of an agent.
    pub fn record_counters(
        &mut self,
        agent: &HostId,
        incarnation: Incarnation,
        version: &VersionId,
        counters: Evidence,
    ) {
        let key = (agent.clone(), version.clone());
        let known = self.counters.insert(key, (incarnation, counters));
        let fresh = match known {
            Some((known_incarnation, earlier)) if known_incarnation == incarnation => {
                counters.since(&earlier)
            }
            _ => counters,
        };
        self.fleet.add(version, &fresh);
    }

    /// Forgets versions that are no longer configured and ends stops of versions whose state
    /// operators changed.
    pub fn on_configuration(&mut self, configuration: &Configuration) {
        self.fleet.on_configuration(configuration);
        self.local.on_configuration(configuration);
        self.counters.retain(|(_, version), _| configuration.version(version).is_some());
        self.stops.retain(|version, stop| {
            configuration.version(version).is_some_and(|(_, known)| known.state == stop.state)
        });
    }

    /// Ends a batch of the agents' counters; returns all findings and the versions stopped now.
    pub fn evaluate_fleet(
        &mut self,
        configuration: &Configuration,
    ) -> (Vec<Finding>, Vec<Finding>) {
        let findings = self.fleet.evaluate(configuration);
        let mut stopped = Vec::new();
        for finding in &findings {
            let model = configuration.version(&finding.version).map(|(model, _)| &model.id);
            let holds = model.is_some_and(|model| self.leased_models.contains(model));
            let rate = if holds { FLEET_FALSE_ALARM_RATE } else { ENTRY_FALSE_ALARM_RATE };
            if self.stop_if_worse(configuration, finding, rate, "agents") {
                stopped.push(finding.clone());
            }
        }
        (findings, stopped)
    }

    /// Ends a batch of this entry's own counters; returns the versions stopped now.
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

    /// Stops a version; returns whether it was not stopped before.
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
