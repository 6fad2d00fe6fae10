//! What the ends of engines say about the parts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::gateway::quarantine::chance_model::ChanceModel;
use crate::gateway::quarantine::chance_model::MIN_SUSPICION_ENDS;
use crate::gateway::quarantine::held_record::quarantine_ms;
use crate::gateway::quarantine::merged_end::MergedEnd;
use crate::gateway::quarantine::part_ends::PartEnds;
use crate::gateway::quarantine::part_ends::distinct_ends;
use crate::gateway::quarantine::part_ends::engines_of;
use crate::gateway::quarantine::part_ends::group_by_part;
use crate::gateway::quarantine::part_ends::is_dominated;
use crate::gateway::quarantine::part_ends::joint_count;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::quarantine_change::QuarantineChange;
use crate::gateway::quarantine::quarantine_change::QuarantineStep;
use crate::gateway::quarantine::quarantine_record::QuarantineRecord;
use crate::gateway::quarantine::quarantine_record::QuarantineState;
use crate::gateway::quarantine::quarantine_table::QuarantineTable;
use crate::gateway::quarantine::suspect::Suspect;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time after a quarantine within which the gateway that decided it takes it back if ends turn out to
/// be none, because the engines respond or the parts are proven sound.
pub(super) const REVIEW_MS: DurationMs = DurationMs::from_secs(5);
/// Minimum number of recent attempts without a part that survived, at all gateways, that tell an end
/// under the part from an end for another cause.
const MIN_OTHER_SURVIVALS: f64 = 5.0;
/// Minimum number of engines that ended under a trial with a part, which tell the same where hardly
/// anything runs beside it. Trials are sent one at a time. One engine that fails says nothing of a part.
const MIN_TRIAL_ENGINES: usize = 2;
/// Additional ends before parts are quarantined of which several were present at exactly the same ends.
/// Until then trials of requests with fewer of them may tell them apart.
const JOINT_MARGIN_ENDS: usize = 2;
/// How long new requests wait after an end under a part of theirs.
const PAUSE_MS: DurationMs = DurationMs::new(600);
/// Time before an end within which a part must have been proven for new requests not to wait.
const PAUSE_EXEMPTION_MS: DurationMs = DurationMs::from_secs(10);

/// Attempts that ends cut off by chance, as far as is known.
#[derive(Debug, Default)]
struct ChanceCutOffs<'a> {
    /// By position in the list of merged ends.
    of_end: Vec<u32>,
    of_service: BTreeMap<&'a ServiceName, u32>,
}

impl QuarantineTable {
    /// Assesses evidence that has arrived, and ends states that have expired. `is_replaced` returns
    /// whether no engine of the versions that a record names is left, `alive_at` when an engine last
    /// responded here.
    pub fn assess(
        &mut self,
        is_replaced: impl Fn(&QuarantineRecord) -> bool,
        alive_at: impl Fn(&UpstreamId) -> Option<TimeMs>,
        now: TimeMs,
    ) {
        self.expire_records(is_replaced, now);
        self.peer_suspects.expire(now);
        let at_peers = &self.alive_at_peers;
        let refuted = self.ends.remove_refuted(
            |upstream| alive_at(upstream).max(at_peers.get(upstream).copied()),
            self.silence_settled_after_ms,
            now,
        );
        for key in refuted {
            self.stored.retract(key);
        }
        let is_reviewing = self
            .records
            .iter()
            .any(|held| held.decided_on.is_some() && now.since(held.changed_at) <= REVIEW_MS);
        let has_evidence = self.is_stale || self.has_news;
        let is_waiting = !self.suspects.is_empty()
            || !self.paused.is_empty()
            || self.ends.merged().iter().any(MergedEnd::is_silent);
        if !has_evidence && !is_reviewing && !is_waiting {
            return;
        }
        self.is_stale = false;
        self.has_news = false;
        self.assessments += 1;
        self.ends.expire(&self.survivals, now);
        self.ends.refresh();
        let merged = self.ends.merged();
        self.review_decisions(&merged, now);
        self.release_refuted(&merged, now);
        let by_part = self.ends_by_part(&merged, now);
        let mut chance = self.unexplained_cut_offs(&merged);
        let mut suspects = BTreeMap::new();
        let mut new: Vec<(&PartKey, &PartEnds, usize)> = Vec::new();
        let distinct = distinct_ends(&by_part);
        let mut judged = HashSet::new();
        self.paused.clear();
        for (key, ends) in &by_part {
            let count = joint_count(&ends.times);
            let paused_until = ends.last_at() + PAUSE_MS;
            if now < paused_until && !self.is_exempt_from_pause(key, ends) {
                self.paused.insert(key.clone(), paused_until);
            }
            if count < MIN_SUSPICION_ENDS && !self.is_on_probation(key) {
                continue;
            }
            let model = self.chance_model(key, ends, &chance, now);
            let is_on_probation = self.is_on_probation(key);
            let quarantine_ends = if is_on_probation { 1 } else { model.quarantine_ends() };
            let survived = model.survived + self.peer_suspects.survived_without(key);
            let known = self.suspects.get(key).filter(|suspect| suspect.ends == count);
            let known_since = known.map_or(now, |suspect| suspect.known_since);
            let is_settled = now.since(known_since) >= self.settled_after_ms;
            let is_compared = survived >= MIN_OTHER_SURVIVALS
                || trial_engines(key, ends, &merged) >= MIN_TRIAL_ENGINES;
            let is_told_apart = is_compared && is_settled;
            if (is_told_apart || is_on_probation)
                && count >= quarantine_ends
                && !is_dominated(key, ends, &distinct)
                && judged.insert((&key.service, &ends.indices, quarantine_ends))
            {
                self.quarantine(key, ends, &by_part, &merged, quarantine_ends, now);
                chance = self.unexplained_cut_offs(&merged);
            }
            if count >= model.suspicion_ends() {
                let suspect = Suspect { last_end_at: ends.last_at(), ends: count, known_since };
                if !self.suspects.contains_key(key) {
                    new.push((key, ends, quarantine_ends));
                }
                suspects.insert(key.clone(), suspect);
            }
        }
        self.report_suspected(new, &merged);
        let is_recorded =
            |key: &PartKey| self.records.iter().any(|held| held.record.parts.contains(&key.part));
        let cleared = self.suspects.keys().filter(|key| !suspects.contains_key(key));
        let cleared: Vec<PartKey> = cleared.filter(|key| !is_recorded(key)).cloned().collect();
        self.suspects = suspects;
        self.push_changes(QuarantineStep::Released, &cleared);
    }

    /// Returns whether a part was proven so shortly before its last end that new requests with it do not
    /// wait.
    fn is_exempt_from_pause(&self, key: &PartKey, ends: &PartEnds) -> bool {
        let proven_at = self.survivals.last_at(key);
        proven_at.is_some_and(|at| ends.last_at().since(at) <= PAUSE_EXEMPTION_MS)
    }

    /// Adds one change for the parts that have become suspected by the same ends.
    fn report_suspected(
        &mut self,
        mut new: Vec<(&PartKey, &PartEnds, usize)>,
        merged: &[MergedEnd],
    ) {
        fn cause<'a>(
            (key, ends, quarantine_ends): &(&'a PartKey, &'a PartEnds, usize),
        ) -> (&'a ServiceName, &'a [usize], usize) {
            (&key.service, &ends.indices, *quarantine_ends)
        }
        new.sort_by(|one, other| cause(one).cmp(&cause(other)));
        for same in new.chunk_by(|one, next| cause(one) == cause(next)) {
            let (key, ends, quarantine_ends) = same[0];
            self.changes.push(QuarantineChange {
                step: QuarantineStep::Suspected,
                service: key.service.clone(),
                parts: same.iter().map(|(key, ..)| key.part).collect(),
                engines: engines_of(ends, merged),
                quarantine_ends,
            });
        }
    }

    /// Groups the ends by the parts that may have caused them. A part of a single end matters for a
    /// moment only, unless it is on probation.
    fn ends_by_part(&self, merged: &[MergedEnd], now: TimeMs) -> Vec<(PartKey, PartEnds)> {
        let on_probation: Vec<PartId> = self.parts_on_probation().map(|key| key.part).collect();
        let blamed = merged.iter().enumerate().filter(|(_, end)| !self.is_doubtful(end, now));
        let blamed = blamed.flat_map(|(index, end)| {
            let is_recent = now.since(end.at) < PAUSE_MS;
            let matters = |part: &PartId| {
                is_recent || self.ends.is_repeated(*part) || on_probation.contains(part)
            };
            let parts = self.blamed_parts(end, matters).into_iter();
            parts.map(move |part| (&end.service, part, index, end.at))
        });
        group_by_part(blamed.collect())
    }

    /// Returns whether an engine that fell silent may still respond, or another gateway report that it
    /// has. What ran there is not to blame before.
    pub(super) fn is_doubtful(&self, end: &MergedEnd, now: TimeMs) -> bool {
        end.is_silent() && now.since(end.at) < self.silence_settled_after_ms
    }

    /// Returns the parts that may have caused an end. One that is known to end engines, or that was on
    /// trial, explains it better than what ran beside it; one that the operator allows does so too, and
    /// is not blamed itself. Only parts that `matters` returns are among them.
    fn blamed_parts(&self, end: &MergedEnd, matters: impl Fn(&PartId) -> bool) -> Vec<PartId> {
        let key = |part: &PartId| PartKey { service: end.service.clone(), part: *part };
        let is_allowed = |part: &PartId| self.allowed.contains(&key(part));
        if !self.allowed.is_empty() && end.parts.iter().any(is_allowed) {
            return Vec::new();
        }
        let counts =
            |part: &&PartId| self.counts_since(&key(part)).is_none_or(|since| since < end.at);
        let parts = end.parts.iter().filter(|part| matters(part)).filter(counts);
        if let Some(culprit) = self.culprit(end) {
            return parts.filter(|part| culprit.parts.contains(part)).copied().collect();
        }
        let tried: Vec<PartId> = end.tried.iter().filter(counts).copied().collect();
        if tried.is_empty() { parts.copied().collect() } else { tried }
    }

    /// Returns the record of parts that are known to end engines and were present at an end.
    fn culprit(&self, end: &MergedEnd) -> Option<&QuarantineRecord> {
        self.records.iter().map(|held| &held.record).find(|record| {
            record.state != QuarantineState::Released
                && record.service == end.service
                && record.parts.iter().all(|part| end.parts.contains(part))
        })
    }

    /// Returns the time since which ends count against a part.
    fn counts_since(&self, key: &PartKey) -> Option<TimeMs> {
        let held = self.records.iter().filter(|held| {
            held.record.service == key.service && held.record.parts[..] == [key.part]
        });
        let changed_at = held
            .filter(|held| held.record.state != QuarantineState::Quarantined)
            .map(|held| held.changed_at)
            .max();
        self.survivals.last_at(key).max(changed_at)
    }

    /// Counts the attempts that were cut off by ends that neither a known part nor a trial explains.
    fn unexplained_cut_offs<'a>(&self, merged: &'a [MergedEnd]) -> ChanceCutOffs<'a> {
        let mut chance = ChanceCutOffs::default();
        for end in merged {
            let is_unexplained = end.tried.is_empty() && self.culprit(end).is_none();
            let cut_off = if is_unexplained { end.cut_off } else { 0 };
            chance.of_end.push(cut_off);
            *chance.of_service.entry(&end.service).or_default() += cut_off;
        }
        chance
    }

    fn chance_model(
        &self,
        key: &PartKey,
        ends: &PartEnds,
        chance: &ChanceCutOffs<'_>,
        now: TimeMs,
    ) -> ChanceModel {
        let of_service = chance.of_service.get(&key.service).copied().unwrap_or_default();
        let with_part: u32 = ends.indices.iter().map(|index| chance.of_end[*index]).sum();
        ChanceModel {
            cut_off: f64::from(of_service - with_part),
            survived: self.survived_without(key, now),
            proven: self.survivals.of_part(key, now),
        }
    }

    /// Returns the recent attempts of this gateway without a part that survived.
    pub(super) fn survived_without(&self, key: &PartKey, now: TimeMs) -> f64 {
        self.survivals.of_service(&key.service, now) - self.survivals.of_part(key, now)
    }

    /// Quarantines a part, together with those that were present at exactly the same ends. Of
    /// these, parts that were ever proven sound are left out if there are others. Nothing is
    /// quarantined before nothing else can have caused one of the ends.
    fn quarantine(
        &mut self,
        key: &PartKey,
        ends: &PartEnds,
        by_part: &[(PartKey, PartEnds)],
        merged: &[MergedEnd],
        quarantine_ends: usize,
        now: TimeMs,
    ) {
        let is_together = |(other, known): &&(PartKey, PartEnds)| {
            other.service == key.service && known.indices == ends.indices
        };
        let together: Vec<&PartKey> =
            by_part.iter().filter(is_together).map(|(other, _)| other).collect();
        let is_explained =
            |index: &usize| self.blamed_parts(&merged[*index], |_| true).len() <= together.len();
        let is_singled_out = ends.indices.iter().any(is_explained);
        let is_joint = together.len() > 1;
        if !is_singled_out || is_joint && ends.times.len() < quarantine_ends + JOINT_MARGIN_ENDS {
            return;
        }
        let (proven, unproven): (Vec<&PartKey>, Vec<&PartKey>) =
            together.into_iter().partition(|other| self.survivals.last_at(other).is_some());
        let culprits = if unproven.is_empty() { proven } else { unproven };
        let parts: SmallVec<[PartId; 2]> = culprits.iter().map(|other| other.part).collect();
        let known = self.records.iter().map(|held| &held.record);
        let known = known.filter(|known| known.service == key.service && known.parts == parts);
        let known = known.max_by_key(|known| known.change);
        if known.is_some_and(|known| known.state == QuarantineState::Quarantined) {
            return;
        }
        let change = known.map_or(0, |known| known.change) + 1;
        let quarantines = match known {
            Some(known) if known.state == QuarantineState::Probation => known.quarantines + 1,
            _ => 1,
        };
        let versions: BTreeSet<CompactString> =
            ends.indices.iter().map(|index| merged[*index].version.clone()).collect();
        self.changes.push(QuarantineChange {
            step: QuarantineStep::Quarantined,
            service: key.service.clone(),
            parts: parts.clone(),
            engines: engines_of(ends, merged),
            quarantine_ends,
        });
        let state = QuarantineState::Quarantined;
        let record = QuarantineRecord {
            service: key.service.clone(),
            parts,
            state,
            change,
            quarantines,
            versions: versions.into_iter().collect(),
        };
        self.hold(record, now + quarantine_ms(quarantines), Some(quarantine_ends), now);
    }
}

/// Returns the number of engines whose end cut off a trial with a part.
fn trial_engines(key: &PartKey, ends: &PartEnds, merged: &[MergedEnd]) -> usize {
    let cut_off = ends.indices.iter().map(|index| &merged[*index]);
    let cut_off = cut_off.filter(|end| end.tried.contains(&key.part));
    cut_off.map(|end| &end.upstream).collect::<BTreeSet<_>>().len()
}
