//! Records of quarantined parts: adoption, release and expiry.

use std::collections::BTreeSet;

use crate::gateway::quarantine::assessment::REVIEW_MS;
use crate::gateway::quarantine::held_record::HeldRecord;
use crate::gateway::quarantine::merged_end::MergedEnd;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::quarantine_change::QuarantineChange;
use crate::gateway::quarantine::quarantine_change::QuarantineStep;
use crate::gateway::quarantine::quarantine_record::QuarantineRecord;
use crate::gateway::quarantine::quarantine_record::QuarantineState;
use crate::gateway::quarantine::quarantine_table::QuarantineTable;
use crate::id::ServiceName;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long a released record is kept, so that all gateways learn of it.
const RELEASED_TTL_MS: DurationMs = DurationMs::from_secs(60);
/// How long a probation lasts without any request with the parts.
const PROBATION_MS: DurationMs = DurationMs::from_secs(3_600);
/// Maximum number of records; those with the least time left are dropped.
const MAX_RECORDS: usize = 64;

impl QuarantineTable {
    /// Allows a part by order of the operator, whatever the evidence.
    pub fn allow(&mut self, part: PartKey, now: TimeMs) {
        let held = self.records.iter().map(|held| &held.record);
        let lifted: Vec<QuarantineRecord> = held
            .filter(|record| record.service == part.service && record.parts.contains(&part.part))
            .cloned()
            .collect();
        for record in lifted {
            self.release(record, now);
        }
        self.suspects.remove(&part);
        self.paused.remove(&part);
        self.push_change(QuarantineStep::Released, &part.service, &[part.part]);
        self.allowed.insert(part);
    }

    /// Releases parts that this gateway has quarantined on ends that turned out to be none.
    pub(super) fn review_decisions(&mut self, merged: &[MergedEnd], now: TimeMs) {
        let has_too_few = |held: &&HeldRecord| {
            let ends = merged.iter().filter(|end| {
                let parts: Vec<PartId> = end.parts.iter().copied().collect();
                held.record.concerns(&end.service, &parts)
            });
            let count = ends.count();
            held.record.state == QuarantineState::Quarantined
                && now.since(held.changed_at) <= REVIEW_MS
                && held.decided_on.is_some_and(|needed| count < needed)
        };
        let mistaken = self.records.iter().filter(has_too_few).map(|held| held.record.clone());
        for record in mistaken.collect::<Vec<_>>() {
            self.release(record, now);
        }
    }

    pub(super) fn release(&mut self, record: QuarantineRecord, now: TimeMs) {
        self.push_change(QuarantineStep::Released, &record.service, &record.parts);
        let state = QuarantineState::Released;
        let released = QuarantineRecord { state, change: record.change + 1, ..record };
        self.hold(released, now + RELEASED_TTL_MS, None, now);
    }

    /// Releases parts whose ends all have other quarantined parts in common that are the better
    /// explanation: they were present at further ends, or were never proven sound as these were.
    pub(super) fn release_refuted(&mut self, merged: &[MergedEnd], now: TimeMs) {
        let ends_of = |record: &QuarantineRecord| -> BTreeSet<usize> {
            let holds = |end: &MergedEnd| {
                let parts: Vec<PartId> = end.parts.iter().copied().collect();
                record.concerns(&end.service, &parts)
            };
            (0..merged.len()).filter(|index| holds(&merged[*index])).collect()
        };
        let is_quarantined = |held: &&HeldRecord| held.record.state == QuarantineState::Quarantined;
        let quarantined: Vec<(QuarantineRecord, BTreeSet<usize>)> = self
            .records
            .iter()
            .filter(is_quarantined)
            .map(|held| (held.record.clone(), ends_of(&held.record)))
            .collect();
        let was_proven = |record: &QuarantineRecord| {
            record.parts.iter().all(|part| {
                let key = PartKey { service: record.service.clone(), part: *part };
                self.survivals.last_at(&key).is_some()
            })
        };
        let is_better = |other: &QuarantineRecord, record: &QuarantineRecord| {
            was_proven(record) && !was_proven(other)
        };
        let refuted = quarantined.iter().filter(|(record, ends)| {
            !ends.is_empty()
                && quarantined.iter().any(|(other, known)| {
                    other.service == record.service
                        && known.is_superset(ends)
                        && (known.len() > ends.len() || is_better(other, record))
                })
        });
        let refuted: Vec<QuarantineRecord> = refuted.map(|(record, _)| record.clone()).collect();
        for record in refuted {
            self.release(record, now);
        }
    }

    /// Adopts a record of another gateway if it is newer than the known one.
    pub(super) fn adopt(&mut self, record: QuarantineRecord, until: TimeMs, now: TimeMs) {
        let known = self.records.iter_mut().find(|held| held.record.is_same_subject(&record));
        if let Some(held) = &known
            && !record.replaces(&held.record)
        {
            if let Some(held) = known.filter(|held| held.record == record && held.is_from_store) {
                held.until = held.until.min(until);
            }
            return;
        }
        if known.is_none() && record.state == QuarantineState::Released {
            return;
        }
        let step = match record.state {
            QuarantineState::Released => QuarantineStep::Released,
            QuarantineState::Probation => QuarantineStep::Probation,
            QuarantineState::Quarantined => QuarantineStep::Quarantined,
        };
        self.push_change(step, &record.service, &record.parts);
        self.hold(record, until, None, now);
    }

    pub(super) fn hold(
        &mut self,
        record: QuarantineRecord,
        until: TimeMs,
        decided_on: Option<usize>,
        now: TimeMs,
    ) {
        self.records.retain(|held| !held.record.is_same_subject(&record));
        if self.records.len() >= MAX_RECORDS
            && let Some(least) = self.records.iter().map(|held| held.until).min()
        {
            self.records.retain(|held| held.until > least);
        }
        let is_from_store = false;
        self.records.push(HeldRecord { record, changed_at: now, until, decided_on, is_from_store });
        self.is_stale = true;
        self.is_urgent = true;
    }

    /// Ends states whose time is over, and those that engines of another version or a survived
    /// request have made needless.
    pub(super) fn expire_records(
        &mut self,
        is_replaced: impl Fn(&QuarantineRecord) -> bool,
        now: TimeMs,
    ) {
        self.records
            .retain(|held| now < held.until || held.record.state == QuarantineState::Quarantined);
        for index in 0..self.records.len() {
            let HeldRecord { record, changed_at, until, .. } = &self.records[index];
            let is_proven = record.parts.iter().all(|part| {
                let key = PartKey { service: record.service.clone(), part: *part };
                self.survivals.last_at(&key).is_some_and(|at| at > *changed_at)
            });
            let (state, left_ms) = match record.state {
                QuarantineState::Probation if is_proven => {
                    (QuarantineState::Released, RELEASED_TTL_MS)
                }
                QuarantineState::Quarantined if now >= *until || is_replaced(record) => {
                    (QuarantineState::Probation, PROBATION_MS)
                }
                _ => continue,
            };
            let held = &mut self.records[index];
            held.record.state = state;
            held.record.change += 1;
            held.changed_at = now;
            held.until = now + left_ms;
            let step = match state {
                QuarantineState::Probation => QuarantineStep::Probation,
                _ => QuarantineStep::Released,
            };
            let QuarantineRecord { service, parts, .. } = held.record.clone();
            self.push_change(step, &service, &parts);
        }
    }

    pub(super) fn push_change(
        &mut self,
        step: QuarantineStep,
        service: &ServiceName,
        parts: &[PartId],
    ) {
        self.changes.push(QuarantineChange {
            step,
            service: service.clone(),
            parts: parts.iter().copied().collect(),
            engines: Vec::new(),
            quarantine_ends: 0,
        });
    }

    /// Adds one change for all parts of a service.
    pub(super) fn push_changes(&mut self, step: QuarantineStep, keys: &[PartKey]) {
        for of_service in keys.chunk_by(|one, next| one.service == next.service) {
            let parts: Vec<PartId> = of_service.iter().map(|key| key.part).collect();
            self.push_change(step, &of_service[0].service, &parts);
        }
    }

    pub(super) fn quarantine_of(
        &self,
        service: &ServiceName,
        parts: &[PartId],
    ) -> Option<&HeldRecord> {
        let is_allowed = |part: &PartId| {
            self.allowed.contains(&PartKey { service: service.clone(), part: *part })
        };
        let is_refused = |held: &&HeldRecord| {
            held.record.state == QuarantineState::Quarantined
                && held.record.concerns(service, parts)
                && !held.record.parts.iter().any(is_allowed)
        };
        self.records.iter().find(is_refused)
    }

    pub(super) fn parts_on_probation(&self) -> impl Iterator<Item = PartKey> {
        let on_probation =
            self.records.iter().filter(|held| held.record.state == QuarantineState::Probation);
        on_probation.flat_map(|held| {
            let service = &held.record.service;
            held.record.parts.iter().map(|part| PartKey { service: service.clone(), part: *part })
        })
    }

    pub(super) fn is_on_probation(&self, key: &PartKey) -> bool {
        self.records.iter().any(|held| {
            held.record.state == QuarantineState::Probation
                && held.record.service == key.service
                && held.record.parts.contains(&key.part)
        })
    }
}
