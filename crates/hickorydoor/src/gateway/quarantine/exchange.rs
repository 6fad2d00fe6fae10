//! Reports to and from the other gateways about prompt parts.

use std::collections::BTreeMap;

use crate::gateway::quarantine::departure::LATE_DEPARTURE_WINDOW_MS;
use crate::gateway::quarantine::end_log::refutes;
use crate::gateway::quarantine::engine_end::EngineEnd;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::quarantine_change::QuarantineStep;
use crate::gateway::quarantine::quarantine_record::QuarantineState;
use crate::gateway::quarantine::quarantine_report::QuarantineReport;
use crate::gateway::quarantine::quarantine_report::SuspectLoad;
use crate::gateway::quarantine::quarantine_table::QuarantineTable;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long a response is remembered that another gateway had from an engine.
const ALIVE_TTL_MS: DurationMs = DurationMs::from_secs(3);
/// How long the report of another gateway about its attempts is used.
const PEER_SUSPECT_TTL_MS: DurationMs = DurationMs::from_secs(2);
/// Maximum number of survivals, and of suspected parts, in a report.
const MAX_REPORTED_PARTS: usize = 128;

impl QuarantineTable {
    /// Applies the report of another gateway.
    pub fn apply_report(
        &mut self,
        host: &HostId,
        incarnation: u64,
        report: QuarantineReport,
        now: TimeMs,
    ) {
        let ends: Vec<(EngineEnd, TimeMs)> =
            report.ends.into_iter().map(|(end, age_ms)| (end, now - age_ms)).collect();
        for (end, at) in &ends {
            if now.since(*at) <= LATE_DEPARTURE_WINDOW_MS {
                self.add_departures(end, *at);
            }
        }
        self.is_stale |= self.ends.set_peer((host.clone(), incarnation), ends);
        self.alive_at_peers.retain(|_, at| now.since(*at) <= ALIVE_TTL_MS);
        for (upstream, age_ms) in report.alive {
            let known = self.alive_at_peers.entry(upstream).or_default();
            *known = (*known).max(now - age_ms);
            self.is_stale = true;
        }
        for (part, age_ms) in report.survivals {
            self.survivals.record_at_peer(part, now - age_ms);
        }
        for load in &report.suspects {
            let part = &load.part;
            if !self.is_suspected(part, now) && !self.is_allowed(part) {
                self.push_change(QuarantineStep::Suspected, &part.service, &[part.part]);
            }
        }
        if report.suspects.is_empty() {
            self.peer_suspects.remove(host);
        } else {
            self.peer_suspects.insert(host.clone(), (now, report.suspects));
        }
        for (record, left_ms) in report.records {
            self.adopt(record, now + left_ms, now);
        }
    }

    /// Builds the report for the other gateways. `unproven` returns the number of own attempts in
    /// flight that have not proven a part sound, `alive_at` when an engine last responded here.
    pub fn report(
        &self,
        unproven: impl Fn(&PartKey) -> u32,
        alive_at: impl Fn(&UpstreamId) -> Option<TimeMs>,
        now: TimeMs,
    ) -> QuarantineReport {
        let ends = self.ends.reportable(now).map(|(end, at)| (end.clone(), now.since(at)));
        let mut survivals = BTreeMap::new();
        for (end, _) in self.ends.of_peers() {
            for part in &end.parts {
                let key = PartKey { service: end.service.clone(), part: *part };
                if let Some(own_at) = self.survivals.own_at(&key) {
                    survivals.insert(key, now.since(own_at));
                }
            }
        }
        let mut alive = BTreeMap::new();
        for (upstream, ended_at) in self.ends.engines() {
            if let Some(at) = alive_at(upstream).filter(|at| refutes(*at, ended_at)) {
                alive.insert(upstream.clone(), now.since(at));
            }
        }
        let suspects = self.suspected_parts().take(MAX_REPORTED_PARTS);
        let records = self.records.iter();
        QuarantineReport {
            ends: ends.collect(),
            alive: alive.into_iter().collect(),
            survivals: survivals.into_iter().take(MAX_REPORTED_PARTS).collect(),
            suspects: suspects
                .map(|part| SuspectLoad {
                    unproven: unproven(&part),
                    survived_without: self.survived_without(&part, now) as u32,
                    part,
                })
                .collect(),
            records: records.map(|held| (held.record.clone(), held.until.since(now))).collect(),
        }
    }

    fn suspected_parts(&self) -> impl Iterator<Item = PartKey> {
        let on_probation =
            self.records.iter().filter(|held| held.record.state == QuarantineState::Probation);
        let on_probation = on_probation.flat_map(|held| {
            let service = &held.record.service;
            held.record.parts.iter().map(|part| PartKey { service: service.clone(), part: *part })
        });
        self.suspects.keys().cloned().chain(on_probation)
    }

    pub(super) fn loads_at_peers(&self, now: TimeMs) -> impl Iterator<Item = &SuspectLoad> {
        let reports = self.peer_suspects.values();
        let current = reports.filter(move |(at, _)| now.since(*at) <= PEER_SUSPECT_TTL_MS);
        current.flat_map(|(_, loads)| loads)
    }
}
