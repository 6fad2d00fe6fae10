//! One rollout of a new version of a service, advanced by gateways that keep nothing.
//!
//! The phase of a rollout is a record in the store that any gateway may advance with a
//! compare-and-swap; a delay by rank keeps them from writing all at once. A small share of the
//! sessions goes to the new version first, and a session keeps its version. All traffic moves so
//! late that even a version which never shows that it is bad gets no more than its bounded share
//! of the requests until the deadline. Each gateway stops sending to the new version as soon as
//! the evidence, summed over all gateways, says that it is worse.

use std::collections::BTreeMap;
use std::collections::HashMap;

use compact_str::CompactString;

use crate::id::HostId;
use crate::id::ServiceName;
use crate::quantity::Share;
use crate::rollouts::evidence::Evidence;
use crate::rollouts::sequential_test::SequentialTest;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Chance at which a version that is not worse is rolled back.
const FALSE_ALARM_RATE: f64 = 0.002;
/// Share of the sessions on the new version in the first phase.
const CANARY_SHARE: Share = Share::from_percent(7);
/// Part of the bounded share that is planned for; the rest covers traffic that is uneven.
const PLANNED_SHARE: f64 = 0.95;
/// Least part of the duration that is left for all traffic on the new version.
const LEAST_LAST_PART: f64 = 0.05;
/// Part of the time from the move of all traffic to the deadline at which the rollout completes.
const COMPLETION_SHARE: f64 = 0.7;
/// The same if the old version is idle.
const IDLE_COMPLETION_SHARE: f64 = 0.3;
/// Time for which a session is kept for another gateway after its last report.
const PEER_SESSION_MS: DurationMs = DurationMs::new(1_500);
/// Share of failures at which a version is worse whatever the other one did.
const SURGE_SHARE: f64 = 0.3;
/// Requests over which that share is taken.
const SURGE_ATTEMPTS: u64 = 20;
/// Delay of the gateway that is next in rank.
const RANK_DELAY_MS: u64 = 600;

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The new version.
    pub target: CompactString,
    /// Time until the rollout is to be done.
    pub duration_ms: DurationMs,
    /// Share of the requests that a bad version may get until the deadline.
    pub exposure: Share,
    /// Store revision of the order.
    pub revision: u64,
}

/// How far a rollout is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutPhase {
    /// A small share of the sessions is on the new version.
    Canary,
    /// All new work goes to the new version.
    Full,
    /// The old version is done.
    Completed,
    /// The new version was worse.
    RolledBack,
}

/// The record of a rollout in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRecord {
    /// The service.
    pub service: ServiceName,
    /// Version that the order names.
    pub target: CompactString,
    /// Store revision of the order.
    pub order_revision: u64,
    /// The phase.
    pub phase: RolloutPhase,
    /// Store revision of the record.
    pub revision: u64,
}

/// What gateways counted about both versions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolloutEvidence {
    /// About the new version.
    pub target: Evidence,
    /// About the others.
    pub baseline: Evidence,
}

/// What is to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStep {
    /// The new record.
    pub record: RolloutRecord,
    /// Store revision of the record that it replaces; 0 if there is none.
    pub replaces: u64,
}

/// A rollout as one gateway sees it.
#[derive(Clone, Debug)]
pub struct Rollout {
    order: RolloutOrder,
    ordered_at: TimeMs,
    record: Option<RolloutRecord>,
    /// Store revision of the record in the store, which may belong to an earlier order.
    stored_revision: u64,
    own: RolloutEvidence,
    peers: BTreeMap<HostId, RolloutEvidence>,
    judged: RolloutEvidence,
    surge_from: Evidence,
    test: SequentialTest,
    /// Sessions that other gateways keep on the old version, with the time until which they do.
    kept_by_peers: HashMap<u64, TimeMs>,
    worse_since: Option<TimeMs>,
    written_at: Option<TimeMs>,
}

impl Rollout {
    /// A rollout that was ordered.
    pub fn new(order: RolloutOrder, record: Option<RolloutRecord>, now: TimeMs) -> Self {
        let mut rollout = Self {
            order,
            ordered_at: now,
            record: None,
            stored_revision: 0,
            own: RolloutEvidence::default(),
            peers: BTreeMap::new(),
            judged: RolloutEvidence::default(),
            surge_from: Evidence::default(),
            test: SequentialTest::new(),
            kept_by_peers: HashMap::new(),
            worse_since: None,
            written_at: None,
        };
        if let Some(record) = record {
            rollout.set_record(record, now);
        }
        rollout
    }

    /// The order.
    pub const fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Own evidence.
    pub const fn own_evidence(&self) -> &RolloutEvidence {
        &self.own
    }

    /// The phase in force; `None` before the first record.
    pub fn phase(&self) -> Option<RolloutPhase> {
        let recorded = self.record.as_ref().map(|record| record.phase);
        match recorded {
            Some(RolloutPhase::Completed) => recorded,
            _ if self.worse_since.is_some() => Some(RolloutPhase::RolledBack),
            _ => recorded,
        }
    }

    /// Takes in a record from the store.
    pub fn set_record(&mut self, record: RolloutRecord, now: TimeMs) {
        self.stored_revision = self.stored_revision.max(record.revision);
        if record.order_revision != self.order.revision {
            return;
        }
        if record.phase == RolloutPhase::RolledBack {
            self.worse_since.get_or_insert(now);
        }
        if self.record.as_ref().is_none_or(|known| known.revision < record.revision) {
            if self.record.is_none() {
                self.resume_at(record.phase, now);
            }
            self.record = Some(record);
            self.written_at = None;
        }
    }

    /// Sets the start so that a gateway that joins late follows the phases.
    fn resume_at(&mut self, phase: RolloutPhase, now: TimeMs) {
        if phase >= RolloutPhase::Full {
            let passed_ms = self.full_at_ms();
            self.ordered_at = self.ordered_at.min(now - passed_ms);
        }
    }

    /// Time from the order to the move of all traffic.
    fn full_at_ms(&self) -> DurationMs {
        let canary = CANARY_SHARE.as_f64();
        let planned = self.order.exposure.as_f64() * PLANNED_SHARE;
        let last_part = ((planned - canary) / (1.0 - canary)).clamp(LEAST_LAST_PART, 0.5);
        DurationMs::new((self.order.duration_ms.as_f64() * (1.0 - last_part)) as u64)
    }

    /// Share of the sessions that go to the new version.
    pub fn target_share(&self) -> Share {
        match self.phase() {
            None | Some(RolloutPhase::RolledBack) => Share::ZERO,
            Some(RolloutPhase::Canary) => CANARY_SHARE,
            Some(RolloutPhase::Full | RolloutPhase::Completed) => Share::ONE,
        }
    }

    /// Whether sessions keep the version that they had.
    pub fn keeps_sessions(&self) -> bool {
        matches!(self.phase(), None | Some(RolloutPhase::Canary))
    }

    /// Whether this version may get work.
    pub fn allows(&self, version: &str) -> bool {
        match self.phase() {
            None | Some(RolloutPhase::RolledBack) => version != self.order.target,
            Some(RolloutPhase::Completed) => version == self.order.target,
            Some(_) => true,
        }
    }

    /// Whether a session stays on the old version though its hash is in the first share, since it
    /// had begun before the rollout.
    pub fn may_be_kept(&self, session: u64) -> bool {
        self.keeps_sessions() && CANARY_SHARE.contains_hash(session)
    }

    /// Whether another gateway keeps this session on the old version.
    pub fn is_kept_by_peer(&self, session: u64, now: TimeMs) -> bool {
        self.kept_by_peers.get(&session).is_some_and(|until| now < *until)
    }

    /// Takes in the sessions that another gateway keeps on the old version.
    pub fn set_kept_sessions(&mut self, sessions: &[u64], now: TimeMs) {
        self.kept_by_peers.retain(|_, until| now < *until);
        for session in sessions {
            self.kept_by_peers.insert(*session, now + PEER_SESSION_MS);
        }
    }

    /// Counts the end of a request.
    pub fn count(&mut self, version: &str, failed: bool, slow: bool) {
        let is_target = version == self.order.target;
        let evidence = if is_target { &mut self.own.target } else { &mut self.own.baseline };
        evidence.attempts += 1;
        evidence.errors += u64::from(failed);
        evidence.slow += u64::from(slow);
    }

    /// Takes in what another gateway counted.
    pub fn set_peer(&mut self, peer: HostId, evidence: RolloutEvidence) {
        self.peers.insert(peer, evidence);
    }

    /// Judges what was counted since the last call.
    pub fn judge(&mut self, now: TimeMs) {
        let mut total = self.own;
        for peer in self.peers.values() {
            total.target.merge(&peer.target);
            total.baseline.merge(&peer.baseline);
        }
        self.judge_surge(&total.target, now);
        let target = total.target.since(&self.judged.target);
        let baseline = total.baseline.since(&self.judged.baseline);
        if self.phase() == Some(RolloutPhase::Full) {
            // What ends on the old version now is what took longest, which is no fair baseline.
            return;
        }
        if target.attempts == 0 || baseline.attempts == 0 {
            return;
        }
        self.judged = total;
        self.test.add_batch(&target, &baseline);
        if self.test.is_worse(FALSE_ALARM_RATE) {
            self.worse_since.get_or_insert(now);
        }
    }

    /// Finds a version that fails only under the load of all traffic.
    fn judge_surge(&mut self, target: &Evidence, now: TimeMs) {
        let recent = target.since(&self.surge_from);
        if recent.attempts < SURGE_ATTEMPTS {
            return;
        }
        self.surge_from = *target;
        if recent.errors as f64 >= recent.attempts as f64 * SURGE_SHARE {
            self.worse_since.get_or_insert(now);
        }
    }

    /// The step to write now, if any, for the gateway with this rank among all.
    pub fn step(&mut self, rank: usize, old_is_idle: bool, now: TimeMs) -> Option<RolloutStep> {
        let (phase, due_at) = self.due(old_is_idle, now)?;
        let delay_ms = DurationMs::new(rank as u64 * RANK_DELAY_MS);
        if now < due_at + delay_ms {
            return None;
        }
        if self.written_at.is_some_and(|at| now.since(at).get() < RANK_DELAY_MS) {
            return None;
        }
        self.written_at = Some(now);
        let record = RolloutRecord {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            order_revision: self.order.revision,
            phase,
            revision: 0,
        };
        Some(RolloutStep { record, replaces: self.stored_revision })
    }

    fn due(&self, old_is_idle: bool, now: TimeMs) -> Option<(RolloutPhase, TimeMs)> {
        let full_ms = self.full_at_ms();
        let left_ms = self.order.duration_ms.get().saturating_sub(full_ms.get()) as f64;
        let after_full =
            |share: f64| self.ordered_at + full_ms + DurationMs::new((left_ms * share) as u64);
        let Some(record) = &self.record else {
            return Some((RolloutPhase::Canary, self.ordered_at));
        };
        let (phase, due_at) = match (record.phase, self.worse_since) {
            (RolloutPhase::Completed | RolloutPhase::RolledBack, _) => return None,
            (_, Some(since)) => (RolloutPhase::RolledBack, since),
            (RolloutPhase::Canary, None) => (RolloutPhase::Full, after_full(0.0)),
            (RolloutPhase::Full, None) if old_is_idle => {
                (RolloutPhase::Completed, after_full(IDLE_COMPLETION_SHARE))
            }
            (RolloutPhase::Full, None) => (RolloutPhase::Completed, after_full(COMPLETION_SHARE)),
        };
        (now >= due_at).then_some((phase, due_at))
    }
}
