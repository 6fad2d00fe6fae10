//! The state of a rollout at one gateway.

use crate::gateway::rollout::PeerRollout;
use crate::gateway::rollout::RolloutEvidence;
use crate::gateway::rollout::RolloutOrder;
use crate::gateway::rollout::RolloutOutcome;
use crate::gateway::rollout::RolloutPhase;
use crate::gateway::rollout::RolloutProgress;
use crate::gateway::rollout::RolloutRecord;
use crate::gateway::rollout::RolloutStep;
use crate::gateway::rollout::Schedule;
use crate::gateway::rollout::Sent;
use crate::gateway::rollout::peer_pins::PeerPins;
use crate::gateway::rollout::step_writes::StepWrites;
use crate::gateway::store_position::StoreEra;
use crate::gateway::store_position::StorePosition;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::quantity::Share;
use crate::rollouts::outcome_table::OutcomeKey;
use crate::rollouts::outcome_table::OutcomeTable;
use crate::rollouts::outcome_table::RouteKey;
use crate::rollouts::outcome_table::Side;
use crate::rollouts::outcome_table::UpstreamGroup;
use crate::rollouts::version_comparison::VersionComparison;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Bayes factor at which a version is rolled back at any time.
const STOP_FACTOR: f64 = 12.0;
/// Bayes factor at which a version is rolled back when the decision is due.
const REJECT_FACTOR: f64 = 5.0;
/// Bayes factor below which a version counts as sound, until the deadline of its rollout.
const SOUND_FACTOR: f64 = 0.05;
/// The same after the deadline, when nothing is lost by waiting for more answers.
const LATE_SOUND_FACTOR: f64 = 0.01;
/// Number of requests of a service, since the order, below which more time brings no evidence.
const MIN_REQUESTS: f64 = 20.0;
/// Part of the requests on the old version that still run when it is stopped and go on at the new
/// version.
const RESUMED_PART: f64 = 0.3;
/// Increase over the canary share below which the share is not widened.
const MIN_WIDENING: f64 = 1.2;
/// Time after the order from which on the rate of requests since then is used.
const MIN_RATE_PERIOD_MS: DurationMs = DurationMs::new(500);
/// Interval at which the progress of a rollout is reported.
const REPORT_INTERVAL_MS: DurationMs = DurationMs::new(1_000);
/// A rollout as one gateway sees it.
#[derive(Clone, Debug)]
pub struct Rollout {
    order: RolloutOrder,
    schedule: Schedule,
    /// When this gateway learned of the order.
    observed_since: TimeMs,
    /// Whether the time of the order is known. Until then the rollout counts as just ordered.
    is_age_known: bool,
    /// Record that is in force at this gateway.
    record: Option<RolloutRecord>,
    /// Position of the record in the store, which may belong to an earlier order; with the revision
    /// 0 if there is none.
    stored: StorePosition,
    /// Record in the store, which may belong to an earlier order.
    stored_record: Option<RolloutRecord>,
    evidence: RolloutEvidence,
    peer_pins: PeerPins,
    /// Requests that are expected to move from the old version to the new one when it is stopped.
    resumed: f64,
    /// Share of the requests without a session in the partial phases.
    unbound_share: Share,
    /// Whether the new version may get further requests before all move to it.
    has_room: bool,
    worse_since: Option<TimeMs>,
    /// When the full phase came into force.
    full_since: Option<TimeMs>,
    writes: StepWrites,
    reported: Option<(TimeMs, Option<RolloutPhase>)>,
}

impl Rollout {
    /// Starts to track a rollout. `age_ms` is the time since the order, if it is known; `record` is
    /// the record in the store, of this or an earlier order.
    pub fn new(
        order: RolloutOrder,
        age_ms: Option<DurationMs>,
        record: Option<RolloutRecord>,
        now: TimeMs,
    ) -> Self {
        let mut rollout = Self {
            stored: StorePosition::new(order.position.era, 0),
            schedule: Schedule {
                ordered_at: now - age_ms.unwrap_or_default(),
                duration_ms: order.duration_ms,
                is_load_tested: false,
            },
            observed_since: now,
            is_age_known: age_ms.is_some(),
            order,
            record: None,
            stored_record: None,
            evidence: RolloutEvidence::default(),
            peer_pins: PeerPins::default(),
            resumed: 0.0,
            unbound_share: Share::ZERO,
            has_room: true,
            worse_since: None,
            full_since: None,
            writes: StepWrites::default(),
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

    /// Returns the time since the order; `None` if it is not known.
    pub fn age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        self.is_age_known.then(|| now.since(self.schedule.ordered_at))
    }

    /// Returns the outcomes that this gateway counted, without those of other gateways.
    pub const fn own_outcomes(&self) -> &OutcomeTable {
        &self.evidence.own
    }

    /// Returns whether the outcomes known to this gateway speak against the new version.
    pub fn objects(&self) -> bool {
        self.worse_since.is_some() || self.evidence.comparison.log_factor() >= REJECT_FACTOR.ln()
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
        if let Some(age_ms) = record.order_age_ms {
            self.learn_age(age_ms, now);
        }
        if record.phase == RolloutPhase::RolledBack {
            self.worse_since.get_or_insert(now);
        }
        if record.phase == RolloutPhase::Full {
            self.full_since.get_or_insert(now);
        }
        let is_known = self
            .record
            .as_ref()
            .is_some_and(|known| (known.position, known.phase) == (record.position, record.phase));
        self.record = Some(record);
        if !is_known {
            self.writes.set_recorded();
        }
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

    /// Takes over the age of the order, unless it is known.
    fn learn_age(&mut self, age_ms: DurationMs, now: TimeMs) {
        if !self.is_age_known {
            self.is_age_known = true;
            self.schedule.ordered_at = now - age_ms;
        }
    }

    /// Returns the share of the sessions that go to the new version.
    pub fn target_share(&self) -> Share {
        match self.phase() {
            None | Some(RolloutPhase::RolledBack) => Share::ZERO,
            Some(RolloutPhase::Canary | RolloutPhase::Widened) => {
                self.record.as_ref().map_or(Share::ZERO, |record| record.share)
            }
            Some(RolloutPhase::Full | RolloutPhase::Completed) => Share::ONE,
        }
    }

    /// Returns the share of the requests without a session that go to the new version. They may
    /// change their version at any time, so the share follows what the order allows.
    pub fn unbound_share(&self) -> Share {
        if self.phase().is_some_and(RolloutPhase::is_partial) {
            self.unbound_share
        } else {
            self.target_share()
        }
    }

    /// Returns whether a request that is not bound to a version may go to the new one. In the
    /// partial phases that depends on how many it has got already.
    pub fn may_start_on_target(&self) -> bool {
        self.has_room || !self.phase().is_some_and(RolloutPhase::is_partial)
    }

    /// Returns whether the time of an answer says something about the version. Once all requests
    /// move to the new version, the load of its upstreams changes too much.
    pub fn compares_times(&self) -> bool {
        self.phase().is_some_and(RolloutPhase::is_partial)
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
        self.pins_sessions() && self.order.exposure.canary_share().contains_hash(session)
    }

    /// Returns whether another gateway pins this session to the old version.
    pub fn is_pinned_by_peer(&self, session: u64, now: TimeMs) -> bool {
        self.peer_pins.contains(session, now)
    }

    fn side(&self, version: &str) -> Side {
        if version == self.order.target { Side::Target } else { Side::Baseline }
    }

    /// Counts an attempt that is sent.
    pub fn record_sent(&mut self, version: &str) {
        self.evidence.own.record_sent(self.side(version));
    }

    /// Counts what an attempt shows.
    pub fn record_outcome(
        &mut self,
        version: &str,
        upstream: &UpstreamId,
        route: &str,
        outcome: RolloutOutcome,
    ) {
        let key = OutcomeKey {
            side: self.side(version),
            route: RouteKey::of(route),
            group: UpstreamGroup::of(upstream),
        };
        outcome.count(&mut self.evidence.own, key);
    }

    /// Replaces what another gateway says about the rollout.
    pub fn set_peer(
        &mut self,
        peer: HostId,
        incarnation: u64,
        known: &PeerRollout<'_>,
        now: TimeMs,
    ) {
        if let Some(age_ms) = known.age_ms {
            self.learn_age(age_ms, now);
        }
        let view = self.evidence.peers.entry(peer).or_default();
        view.update(incarnation, known.outcomes.clone(), known.objects, now);
        self.peer_pins.extend(known.pinned_sessions, now);
    }

    /// Returns the number of entries that grow with time: outcome tables of other gateways, sent
    /// counts, and sessions pinned by others.
    pub fn entries(&self) -> usize {
        self.evidence.entries() + self.peer_pins.len()
    }

    /// Returns the progress to report, if the phase has changed since the last report or, before
    /// the end of the rollout, [`REPORT_INTERVAL_MS`] have passed.
    pub fn report(&mut self, now: TimeMs) -> Option<RolloutProgress> {
        let phase = self.phase();
        let is_ended = phase.is_some_and(RolloutPhase::is_final);
        let is_due = self.reported.is_none_or(|(at, known)| {
            known != phase || (!is_ended && now.since(at) >= REPORT_INTERVAL_MS)
        });
        if !is_due {
            return None;
        }
        self.reported = Some((now, phase));
        let all = self.evidence.all();
        Some(RolloutProgress {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            phase,
            since_order_ms: now.since(self.schedule.ordered_at),
            gateways: self.evidence.peers.len() + 1,
            sent_to_target: all.sent_to_target(),
            sent: all.sent(),
            target_counts: all.total(Side::Target),
            baseline_counts: all.total(Side::Baseline),
            comparison: self.evidence.comparison,
        })
    }

    /// Compares the outcomes that have arrived, and stops a version that is at fault.
    pub fn evaluate(&mut self, now: TimeMs) {
        let is_ended = self.phase().is_some_and(RolloutPhase::is_final);
        if is_ended || !self.evidence.is_evaluation_due(now) {
            return;
        }
        let all = self.evidence.begin_evaluation(now);
        self.has_room = self.has_room(now);
        self.unbound_share = self.widened_share(now);
        self.evidence.comparison = VersionComparison::of(&all);
        if self.evidence.comparison.log_factor() >= STOP_FACTOR.ln() {
            self.worse_since.get_or_insert(now);
        }
    }

    /// Records how many upstreams the new version has.
    pub fn set_target_upstreams(&mut self, upstreams: usize) {
        self.schedule.is_load_tested = self.order.exposure.tests_load(upstreams);
    }

    /// Returns the step to write now, if any. `own` is the host of this gateway, `old_in_flight` the
    /// number of requests that run on the old version, and `era` the current era of the store;
    /// nothing is written until the record in it is known.
    pub fn step(
        &mut self,
        own: &HostId,
        old_in_flight: u32,
        era: StoreEra,
        now: TimeMs,
    ) -> Option<RolloutStep> {
        self.resumed = f64::from(old_in_flight) * RESUMED_PART;
        if self.stored.era != era || self.order.position.era > era {
            return None;
        }
        let Some((phase, share)) = self.next_phase(now) else {
            self.writes.clear_due();
            return None;
        };
        if !self.writes.begin(phase, self.evidence.rank(own, now), now) {
            return None;
        }
        let record = RolloutRecord {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            order: self.order.position,
            phase,
            share,
            order_age_ms: Some(now.since(self.schedule.ordered_at)),
            position: StorePosition::default(),
        };
        Some(RolloutStep { record, replaces: self.stored })
    }

    /// Returns the phase to record next, if any, with the share of the sessions in it.
    fn next_phase(&mut self, now: TimeMs) -> Option<(RolloutPhase, Share)> {
        let Some(record) = &self.record else {
            return Some((RolloutPhase::Canary, self.order.exposure.canary_share()));
        };
        let (phase, share) = (record.phase, record.share);
        if self.stored_phase().is_none_or(|stored| stored < phase) {
            // The store came back without this record.
            return Some((phase, share));
        }
        if phase.is_final() {
            return None;
        }
        if self.worse_since.is_some() {
            return Some((RolloutPhase::RolledBack, Share::ZERO));
        }
        if phase == RolloutPhase::Full {
            let full_since = self.full_since.unwrap_or(now);
            let due_at = self.schedule.completed_at().max(full_since + self.schedule.full_ms());
            return (now >= due_at).then_some((RolloutPhase::Completed, Share::ONE));
        }
        if now >= self.schedule.full_at() {
            return self.judge(now);
        }
        if phase == RolloutPhase::Canary && now >= self.schedule.widened_at() {
            let widened = self.widened_share(now);
            let is_wider = widened.as_f64() >= share.as_f64() * MIN_WIDENING;
            return is_wider.then_some((RolloutPhase::Widened, widened));
        }
        None
    }

    /// Returns the rate of requests of the service, in 1/ms.
    fn rate_per_ms(&self, now: TimeMs) -> f64 {
        self.evidence.rate_per_ms(self.evidence.sent(), self.schedule.ordered_at, now)
    }

    /// Returns how many requests the new version gets until the deadline if all move to it at
    /// `full_at`.
    fn full_requests(&self, full_at: TimeMs, now: TimeMs) -> f64 {
        let rate_per_ms = self.rate_per_ms(now);
        rate_per_ms * self.schedule.deadline().since(full_at).as_f64() + self.resumed
    }

    /// Returns whether the new version may get one more request and then all of them when that is
    /// due.
    fn has_room(&self, now: TimeMs) -> bool {
        let sent = self.evidence.sent();
        let full_at = self.schedule.full_at().max(now);
        let partial = self.rate_per_ms(now) * full_at.since(now).as_f64();
        let full = self.full_requests(full_at, now);
        self.order.exposure.admits(Sent { all: sent.all + partial, ..sent }, full + 1.0)
    }

    /// Returns the share of the requests that may go to the new version from now on until all move
    /// to it. The rate of requests is not known at the beginning.
    fn widened_share(&self, now: TimeMs) -> Share {
        let sent = self.evidence.sent();
        if now.since(self.schedule.ordered_at) < MIN_RATE_PERIOD_MS {
            return self.order.exposure.canary_share();
        }
        let rate_per_ms = self.rate_per_ms(now);
        let full_at = self.schedule.full_at();
        let partial = rate_per_ms * full_at.since(now).as_f64();
        let full = self.full_requests(full_at, now);
        self.order.exposure.widened_share(sent, partial, full)
    }

    /// Decides about the version by what its answers show; `None` if more of them are needed.
    fn judge(&mut self, now: TimeMs) -> Option<(RolloutPhase, Share)> {
        let sent = self.evidence.sent();
        let log_factor = self.evidence.comparison.log_factor();
        let has_observed_all = now.since(self.observed_since) >= self.schedule.time_to_full();
        let is_idle = has_observed_all && sent.all < MIN_REQUESTS;
        let is_last_chance = now >= self.schedule.judged_at() || is_idle;
        let is_late = now >= self.schedule.deadline() && !is_last_chance;
        let sound_factor = if is_late { LATE_SOUND_FACTOR } else { SOUND_FACTOR };
        let is_sound = log_factor <= sound_factor.ln() || (is_idle && log_factor <= 0.0);
        if log_factor >= REJECT_FACTOR.ln() || (is_last_chance && !is_sound) {
            self.worse_since.get_or_insert(now);
            return Some((RolloutPhase::RolledBack, Share::ZERO));
        }
        let exceeds_budget = now < self.schedule.deadline()
            && !self.order.exposure.admits(sent, self.full_requests(now, now));
        let is_objected = self.evidence.peers.values().any(|view| view.objects(now));
        (is_sound && !exceeds_budget && !is_objected).then_some((RolloutPhase::Full, Share::ONE))
    }
}
