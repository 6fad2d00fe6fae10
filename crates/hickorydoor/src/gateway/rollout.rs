//! The rollout of a new version of a service, driven by gateways without persistent state.
//!
//! The phase of a rollout is a record in the store that any gateway may advance with a
//! compare-and-swap; a delay by rank prevents simultaneous writes. The canary phase sends a small
//! share of the sessions to the new version, and sessions keep their version. The full phase starts
//! late enough that a faulty version whose faults never show gets no more than the ordered share of
//! the requests until the deadline. Each gateway stops sending to the new version as soon as the
//! evidence, summed over all gateways, shows that it is worse.

use std::collections::BTreeMap;
use std::collections::HashMap;

use compact_str::CompactString;

use crate::gateway::store_position::StoreEra;
use crate::gateway::store_position::StorePosition;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::quantity::Share;
use crate::rollouts::evidence::Evidence;
use crate::rollouts::sequential_test::SequentialTest;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Probability of rolling back a version that is not worse.
const FALSE_ALARM_RATE: f64 = 0.002;
/// Share of the sessions on the new version in the canary phase.
const CANARY_SHARE: Share = Share::from_percent(7);
/// Share of the allowed exposure that is planned for; the rest covers uneven traffic.
const PLANNED_EXPOSURE_SHARE: f64 = 0.95;
/// Minimum share of the duration for the full phase.
const MIN_FULL_SHARE: f64 = 0.05;
/// Share of the full phase after which the rollout completes.
const COMPLETION_SHARE: f64 = 0.7;
/// Share of the full phase after which the rollout completes if the old version is idle.
const IDLE_COMPLETION_SHARE: f64 = 0.3;
/// How long a session that another gateway pins stays pinned after the last digest that lists it.
const PEER_PIN_TTL_MS: DurationMs = DurationMs::new(1_500);
/// Share of errors at which a version is rolled back regardless of the baseline.
const BURST_ERROR_SHARE: f64 = 0.3;
/// Minimum number of attempts over which the share of errors is taken.
const BURST_ATTEMPTS: u64 = 20;
/// Interval at which the progress of a rollout is reported.
const REPORT_INTERVAL_MS: DurationMs = DurationMs::new(1_000);
/// Delay between gateways of consecutive ranks before they write a step, in ms.
const RANK_DELAY_MS: u64 = 600;

/// An operator's order to move a service to a new version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service to roll out.
    pub service: ServiceName,
    /// Version to move to.
    pub target: CompactString,
    /// Time from the order to the deadline of the rollout.
    pub duration_ms: DurationMs,
    /// Maximum share of the requests that a faulty version may get until the deadline.
    pub exposure: Share,
    /// Store position of the order; a later order replaces earlier ones.
    pub position: StorePosition,
}

impl RolloutOrder {
    /// Returns whether two orders ask for the same rollout, wherever they stand in the store.
    pub fn is_same_rollout(&self, other: &Self) -> bool {
        Self { position: self.position, ..other.clone() } == *self
    }
}

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutPhase {
    /// A small share of the sessions uses the new version.
    Canary,
    /// All new requests go to the new version.
    Full,
    /// Only the new version is in use.
    Completed,
    /// The new version was worse; only the old version is in use.
    RolledBack,
}

/// The record of a rollout in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Service that is rolled out.
    pub service: ServiceName,
    /// Version that the order names.
    pub target: CompactString,
    /// Store position of the order that the record belongs to.
    pub order: StorePosition,
    /// Phase that the record puts in force.
    pub phase: RolloutPhase,
    /// Store position of the record itself; the first one in a record that is not written yet.
    pub position: StorePosition,
}

impl RolloutRecord {
    /// Returns whether the record belongs to the order at this position. An order and its record
    /// keep their revisions in a copy of the store, while the era of the order grows.
    pub fn is_of_order(&self, order: StorePosition) -> bool {
        self.order.revision == order.revision && self.order.era <= order.era
    }
}

/// Evidence about both versions of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolloutEvidence {
    /// Evidence about the new version.
    pub target: Evidence,
    /// Evidence about all other versions.
    pub baseline: Evidence,
}

/// A record to write to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStep {
    /// Record to write.
    pub record: RolloutRecord,
    /// Store position of the record to replace, for the compare-and-swap; with the revision 0 if
    /// there is none. The write is valid in this era only.
    pub replaces: StorePosition,
}

/// What one gateway knows about the course of a rollout, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutProgress {
    /// Service that is rolled out.
    pub service: ServiceName,
    /// Version to move to.
    pub target: CompactString,
    /// Phase in force; `None` before the first record.
    pub phase: Option<RolloutPhase>,
    /// Time since the order as this gateway knows it.
    pub since_order_ms: DurationMs,
    /// Number of gateways whose evidence is known, including this one.
    pub gateways: usize,
    /// Sum of the evidence of these gateways.
    pub evidence: RolloutEvidence,
    /// Natural logarithm of the evidence that the new version is worse.
    pub log_evidence: f64,
}

/// A rollout as one gateway sees it.
#[derive(Clone, Debug)]
pub struct Rollout {
    order: RolloutOrder,
    ordered_at: TimeMs,
    /// Record that is in force at this gateway.
    record: Option<RolloutRecord>,
    /// Position of the record in the store, which may belong to an earlier order; with the revision
    /// 0 if there is none.
    stored: StorePosition,
    /// Record in the store, which may belong to an earlier order.
    stored_record: Option<RolloutRecord>,
    own: RolloutEvidence,
    peers: BTreeMap<HostId, RolloutEvidence>,
    /// Sum over all gateways when the sequential test was last updated.
    evaluated: RolloutEvidence,
    /// Evidence about the new version when the current window of [`BURST_ATTEMPTS`] started.
    error_window_start: Evidence,
    test: SequentialTest,
    /// Hashes of the sessions that other gateways pin to the old version, with their expiry.
    pinned_by_peers: HashMap<u64, TimeMs>,
    worse_since: Option<TimeMs>,
    written_at: Option<TimeMs>,
    reported: Option<(TimeMs, Option<RolloutPhase>)>,
}

impl Rollout {
    /// Starts to track a rollout. `record` is the record in the store, of this or an earlier order.
    pub fn new(order: RolloutOrder, record: Option<RolloutRecord>, now: TimeMs) -> Self {
        let mut rollout = Self {
            stored: StorePosition::new(order.position.era, 0),
            order,
            ordered_at: now,
            record: None,
            stored_record: None,
            own: RolloutEvidence::default(),
            peers: BTreeMap::new(),
            evaluated: RolloutEvidence::default(),
            error_window_start: Evidence::default(),
            test: SequentialTest::new(),
            pinned_by_peers: HashMap::new(),
            worse_since: None,
            written_at: None,
            reported: None,
        };
        if let Some(record) = record {
            rollout.set_record(record, now);
        }
        rollout
    }

    /// Returns the order that started the rollout.
    pub const fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the evidence that this gateway counted, without that of other gateways.
    pub const fn own_evidence(&self) -> &RolloutEvidence {
        &self.own
    }

    /// Returns the phase in force; `None` before the first record. A version found to be worse
    /// counts as rolled back before the record says so.
    pub fn phase(&self) -> Option<RolloutPhase> {
        let recorded = self.record.as_ref().map(|record| record.phase);
        match recorded {
            Some(RolloutPhase::Completed) => recorded,
            _ if self.worse_since.is_some() => Some(RolloutPhase::RolledBack),
            _ => recorded,
        }
    }

    /// Continues with the same order, which was written again after a restore of the store.
    pub fn move_order(&mut self, position: StorePosition, now: TimeMs) {
        self.order.position = position;
        if let Some(record) = &mut self.record {
            record.order = position;
        }
        if let Some(stored) = self.stored_record.take() {
            self.set_record(stored, now);
        }
    }

    /// Applies a record from the store. A record of another order only sets the position to
    /// replace, and one that an older copy of the store brings back does not undo a later phase.
    pub fn set_record(&mut self, record: RolloutRecord, now: TimeMs) {
        if record.position < self.stored {
            return;
        }
        self.stored = record.position;
        self.stored_record = Some(record.clone());
        let is_newer = |known: &RolloutRecord| {
            known.position.era == record.position.era || known.phase < record.phase
        };
        if !record.is_of_order(self.order.position) || !self.record.as_ref().is_none_or(is_newer) {
            return;
        }
        if record.phase == RolloutPhase::RolledBack {
            self.worse_since.get_or_insert(now);
        }
        if self.record.is_none() {
            self.resume_at(record.phase, now);
        }
        self.record = Some(record);
        self.written_at = None;
    }

    /// Records that the store has no record of any order of this service in `era`.
    pub fn set_unrecorded(&mut self, era: StoreEra) {
        self.stored = StorePosition::new(era, 0);
        self.stored_record = None;
    }

    /// Returns the phase in the store's record of this order; `None` if it has none.
    fn stored_phase(&self) -> Option<RolloutPhase> {
        let stored = self.stored_record.as_ref();
        let stored = stored.filter(|record| record.is_of_order(self.order.position));
        stored.map(|record| record.phase)
    }

    /// Returns the record that is in force at this gateway.
    pub const fn record(&self) -> Option<&RolloutRecord> {
        self.record.as_ref()
    }

    /// Backdates the start, so that a gateway that starts during a rollout follows its phases.
    fn resume_at(&mut self, phase: RolloutPhase, now: TimeMs) {
        if phase >= RolloutPhase::Full {
            let passed_ms = self.full_phase_after_ms();
            self.ordered_at = self.ordered_at.min(now - passed_ms);
        }
    }

    /// Returns the time from the order to the start of the full phase.
    fn full_phase_after_ms(&self) -> DurationMs {
        let canary = CANARY_SHARE.as_f64();
        let planned = self.order.exposure.as_f64() * PLANNED_EXPOSURE_SHARE;
        let full_share = ((planned - canary) / (1.0 - canary)).clamp(MIN_FULL_SHARE, 0.5);
        DurationMs::new((self.order.duration_ms.as_f64() * (1.0 - full_share)) as u64)
    }

    /// Returns the share of the sessions that go to the new version.
    pub fn target_share(&self) -> Share {
        match self.phase() {
            None | Some(RolloutPhase::RolledBack) => Share::ZERO,
            Some(RolloutPhase::Canary) => CANARY_SHARE,
            Some(RolloutPhase::Full | RolloutPhase::Completed) => Share::ONE,
        }
    }

    /// Returns whether sessions keep the version that they started on.
    pub fn pins_sessions(&self) -> bool {
        matches!(self.phase(), None | Some(RolloutPhase::Canary))
    }

    /// Returns whether the version may get requests.
    pub fn allows(&self, version: &str) -> bool {
        match self.phase() {
            None | Some(RolloutPhase::RolledBack) => version != self.order.target,
            Some(RolloutPhase::Completed) => version == self.order.target,
            Some(_) => true,
        }
    }

    /// Returns whether a session in the canary share stays on the old version if it started there
    /// before the rollout.
    pub fn may_be_pinned(&self, session: u64) -> bool {
        self.pins_sessions() && CANARY_SHARE.contains_hash(session)
    }

    /// Returns whether another gateway pins this session to the old version.
    pub fn is_pinned_by_peer(&self, session: u64, now: TimeMs) -> bool {
        self.pinned_by_peers.get(&session).is_some_and(|until| now < *until)
    }

    /// Records the hashes of the sessions that another gateway pins to the old version.
    pub fn set_peer_pinned_sessions(&mut self, sessions: &[u64], now: TimeMs) {
        self.pinned_by_peers.retain(|_, until| now < *until);
        for session in sessions {
            self.pinned_by_peers.insert(*session, now + PEER_PIN_TTL_MS);
        }
    }

    /// Counts an attempt that has ended.
    pub fn record_attempt(&mut self, version: &str, failed: bool, slow: bool) {
        let is_target = version == self.order.target;
        let evidence = if is_target { &mut self.own.target } else { &mut self.own.baseline };
        evidence.attempts += 1;
        evidence.errors += u64::from(failed);
        evidence.slow += u64::from(slow);
    }

    /// Replaces the evidence of another gateway.
    pub fn set_peer_evidence(&mut self, peer: HostId, evidence: RolloutEvidence) {
        self.peers.insert(peer, evidence);
    }

    fn total_evidence(&self) -> RolloutEvidence {
        let mut total = self.own;
        for peer in self.peers.values() {
            total.target.merge(&peer.target);
            total.baseline.merge(&peer.baseline);
        }
        total
    }

    /// Returns the progress to report, if the phase has changed since the last report or, before
    /// the end of the rollout, [`REPORT_INTERVAL_MS`] have passed.
    pub fn report(&mut self, now: TimeMs) -> Option<RolloutProgress> {
        let phase = self.phase();
        let is_ended = phase.is_some_and(|phase| phase >= RolloutPhase::Completed);
        let is_due = self.reported.is_none_or(|(at, known)| {
            known != phase || (!is_ended && now.since(at) >= REPORT_INTERVAL_MS)
        });
        if !is_due {
            return None;
        }
        self.reported = Some((now, phase));
        Some(RolloutProgress {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            phase,
            since_order_ms: now.since(self.ordered_at),
            gateways: self.peers.len() + 1,
            evidence: self.total_evidence(),
            log_evidence: self.test.log_evidence(),
        })
    }

    /// Tests the evidence that has arrived since the last call and rolls back a worse version.
    pub fn evaluate(&mut self, now: TimeMs) {
        let total = self.total_evidence();
        self.check_error_burst(&total.target, now);
        let target = total.target.since(&self.evaluated.target);
        let baseline = total.baseline.since(&self.evaluated.baseline);
        if self.phase() == Some(RolloutPhase::Full) {
            // Requests that still end on the old version are the slowest, so they are no fair
            // baseline.
            return;
        }
        if target.attempts == 0 || baseline.attempts == 0 {
            return;
        }
        self.evaluated = total;
        self.test.add_batch(&target, &baseline);
        if self.test.is_worse(FALSE_ALARM_RATE) {
            self.worse_since.get_or_insert(now);
        }
    }

    /// Detects a version that fails only under the load of the full phase.
    fn check_error_burst(&mut self, target: &Evidence, now: TimeMs) {
        let recent = target.since(&self.error_window_start);
        if recent.attempts < BURST_ATTEMPTS {
            return;
        }
        self.error_window_start = *target;
        if recent.errors as f64 >= recent.attempts as f64 * BURST_ERROR_SHARE {
            self.worse_since.get_or_insert(now);
        }
    }

    /// Returns the step to write now, if any. `rank` is the position of this gateway in the sorted
    /// list of all gateways; `old_is_idle` is set if no request runs on the old version. `era` is
    /// the current era of the store; nothing is written until the record in it is known.
    pub fn step(
        &mut self,
        rank: usize,
        old_is_idle: bool,
        era: StoreEra,
        now: TimeMs,
    ) -> Option<RolloutStep> {
        if self.stored.era != era || self.order.position.era > era {
            return None;
        }
        let (phase, due_at) = self.due_phase(old_is_idle, now)?;
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
            order: self.order.position,
            phase,
            position: StorePosition::default(),
        };
        Some(RolloutStep { record, replaces: self.stored })
    }

    fn due_phase(&self, old_is_idle: bool, now: TimeMs) -> Option<(RolloutPhase, TimeMs)> {
        let full_ms = self.full_phase_after_ms();
        let left_ms = self.order.duration_ms.get().saturating_sub(full_ms.get()) as f64;
        let after_full =
            |share: f64| self.ordered_at + full_ms + DurationMs::new((left_ms * share) as u64);
        let Some(record) = &self.record else {
            return Some((RolloutPhase::Canary, self.ordered_at));
        };
        if self.stored_phase().is_none_or(|stored| stored < record.phase) {
            // The store came back without this record.
            return Some((record.phase, self.ordered_at));
        }
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
