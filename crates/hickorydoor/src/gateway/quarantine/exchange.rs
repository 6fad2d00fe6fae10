//! Reports to and from the other gateways about prompt parts.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::gateway::quarantine::departure::LATE_DEPARTURE_WINDOW_MS;
use crate::gateway::quarantine::end_log::refutes;
use crate::gateway::quarantine::engine_end::EngineEnd;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::part_selection::chance_of;
use crate::gateway::quarantine::part_selection::keep_most_suspect;
use crate::gateway::quarantine::quarantine_change::QuarantineStep;
use crate::gateway::quarantine::quarantine_report::QuarantineReport;
use crate::gateway::quarantine::quarantine_report::SuspectLoad;
use crate::gateway::quarantine::quarantine_table::QuarantineTable;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long a response is remembered that another gateway had from an engine.
const ALIVE_TTL_MS: DurationMs = DurationMs::from_secs(3);
/// Maximum number of parts of ends in a report, which has to fit into a datagram.
const MAX_REPORTED_END_PARTS: usize = 3_072;
/// Maximum number of survivals, and of suspected parts, in a report.
const MAX_REPORTED_PARTS: usize = 1_024;

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
        let suspects = report.suspects.iter().map(|load| &load.part);
        let new: Vec<PartKey> = suspects
            .filter(|part| !self.is_suspected(part) && !self.is_allowed(part))
            .cloned()
            .collect();
        self.push_changes(QuarantineStep::Suspected, &new);
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
    /// holds the numbers of own attempts in flight that have not proven suspected parts sound,
    /// `alive_at` returns when an engine last responded here.
    pub fn report(
        &self,
        unproven: &HashMap<PartKey, u32>,
        alive_at: impl Fn(&UpstreamId) -> Option<TimeMs>,
        now: TimeMs,
    ) -> QuarantineReport {
        let mut alive = BTreeMap::new();
        for end in self.ends.merged().iter() {
            if let Some(at) = alive_at(&end.upstream).filter(|at| {
                let silence_ms = end.is_silent().then_some(self.silence_settled_after_ms);
                refutes(*at, end.at, silence_ms)
            }) {
                alive.insert(end.upstream.clone(), now.since(at));
            }
        }
        let records = self.records.iter();
        QuarantineReport {
            ends: self.reported_ends(now),
            alive: alive.into_iter().collect(),
            survivals: self.reported_survivals(now),
            suspects: self.reported_suspects(unproven, now),
            records: records.map(|held| (held.record.clone(), held.until.since(now))).collect(),
        }
    }

    fn reported_ends(&self, now: TimeMs) -> Vec<(EngineEnd, DurationMs)> {
        let ends = self.ends.reportable(now).map(|(end, at)| (end.clone(), now.since(at)));
        let mut ends: Vec<(EngineEnd, DurationMs)> = ends.collect();
        let parts: usize = ends.iter().map(|(end, _)| end.parts.len() + end.tried.len()).sum();
        if parts > MAX_REPORTED_END_PARTS {
            let share = MAX_REPORTED_END_PARTS / ends.len();
            for (end, _) in &mut ends {
                let proven_at = |part: &PartId| {
                    self.survivals.last_at(&PartKey { service: end.service.clone(), part: *part })
                };
                let mut tried = end.tried.to_vec();
                keep_most_suspect(&mut tried, share / 2, proven_at, now.get());
                let mut parts = end.parts.to_vec();
                keep_most_suspect(&mut parts, share - tried.len(), proven_at, now.get());
                (end.parts, end.tried) = (parts.into(), tried.into());
            }
        }
        ends
    }

    /// Returns the survivals of parts that others have reported: first those that refute an end. Of
    /// parts that only the store holds, those are left out that another gateway has told of: the store
    /// keeps them longer than any report, and all gateways would go on to say the same.
    fn reported_survivals(&self, now: TimeMs) -> Vec<(PartKey, DurationMs)> {
        let parts = self.ends.parts_of_peers().iter();
        let known = parts.filter_map(|(part, ended_at)| {
            let own_at = self.survivals.own_at(part)?;
            Some((own_at <= *ended_at, part, own_at))
        });
        let stored = self.ends.parts_of_store().iter();
        let untold = stored.filter_map(|(part, ended_at)| {
            let own_at = self.survivals.own_at(part).filter(|at| at > ended_at)?;
            let is_told = self.survivals.peer_at(part).is_some_and(|at| at > *ended_at);
            let is_reported = self.ends.parts_of_peers().contains_key(part);
            (!is_told && !is_reported).then_some((false, part, own_at))
        });
        let mut known: Vec<(bool, &PartKey, TimeMs)> = known.chain(untold).collect();
        if known.len() > MAX_REPORTED_PARTS {
            known.sort_by_cached_key(|(is_earlier, part, _)| {
                (*is_earlier, chance_of(part.part, now.get()))
            });
            known.truncate(MAX_REPORTED_PARTS);
        }
        known.into_iter().map(|(_, part, own_at)| (part.clone(), now.since(own_at))).collect()
    }

    /// Returns the suspected parts: first those that an attempt is trying.
    fn reported_suspects(&self, unproven: &HashMap<PartKey, u32>, now: TimeMs) -> Vec<SuspectLoad> {
        let unproven = |part: &PartKey| unproven.get(part).copied().unwrap_or_default();
        let mut parts: Vec<PartKey> = self.suspected_parts().collect();
        if parts.len() > MAX_REPORTED_PARTS {
            parts.sort_by_cached_key(|part| (unproven(part) == 0, chance_of(part.part, now.get())));
            parts.truncate(MAX_REPORTED_PARTS);
        }
        let load = |part: PartKey| SuspectLoad {
            unproven: unproven(&part),
            survived_without: self.survived_without(&part, now) as u32,
            part,
        };
        parts.into_iter().map(load).collect()
    }

    fn suspected_parts(&self) -> impl Iterator<Item = PartKey> {
        self.suspects.keys().cloned().chain(self.parts_on_probation())
    }
}
