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
        self.has_news |= self.ends.set_peer((host.clone(), incarnation), ends);
        self.alive_at_peers.retain(|_, at| now.since(*at) <= ALIVE_TTL_MS);
        for (upstream, age_ms) in report.alive {
            let known = self.alive_at_peers.entry(upstream).or_default();
            *known = (*known).max(now - age_ms);
            self.has_news = true;
        }
        for (part, age_ms) in report.survivals {
            self.survivals.record_at_peer(part, now - age_ms);
        }
        self.peer_suspects.expire(now);
        for load in &report.suspects {
            let part = &load.part;
            if !self.is_suspected(part) && !self.is_allowed(part) {
                self.push_change(QuarantineStep::Suspected, &part.service, &[part.part]);
            }
        }
        self.peer_suspects.replace(host, report.suspects, now);
        for (record, left_ms) in report.records {
            self.adopt(record, now + left_ms, now);
        }
    }

    /// Brings what a report is built from up to date.
    pub fn prepare_report(&mut self) {
        self.ends.refresh();
    }

    /// Builds the report for the other gateways, after [`QuarantineTable::prepare_report`]. `unproven`
    /// returns the number of own attempts in flight that have not proven a part sound, `alive_at` when
    /// an engine last responded here.
    pub fn report(
        &self,
        unproven: impl Fn(&PartKey) -> u32,
        alive_at: impl Fn(&UpstreamId) -> Option<TimeMs>,
        now: TimeMs,
    ) -> QuarantineReport {
        let parts = self.ends.parts_of_peers().iter();
        let survivals = parts.filter_map(|part| {
            let own_at = self.survivals.own_at(part)?;
            Some((part.clone(), now.since(own_at)))
        });
        let survivals = survivals.take(MAX_REPORTED_PARTS).collect();
        let mut alive = BTreeMap::new();
        for end in self.ends.merged().iter() {
            if let Some(at) = alive_at(&end.upstream).filter(|at| refutes(*at, end.at)) {
                alive.insert(end.upstream.clone(), now.since(at));
            }
        }
        let ends = self.ends.reportable(now).map(|(end, at)| (end.clone(), now.since(at)));
        let suspects = self.suspected_parts().take(MAX_REPORTED_PARTS);
        let records = self.records.iter();
        QuarantineReport {
            ends: ends.collect(),
            alive: alive.into_iter().collect(),
            survivals,
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
}
