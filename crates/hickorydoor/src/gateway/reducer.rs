//! The reducer of the gateway role.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::active_call::ActiveCall;
use crate::gateway::call::CallId;
use crate::gateway::catalog::Catalog;
use crate::gateway::catalog::ServiceSpec;
use crate::gateway::data_centre_reach::DataCentreReach;
use crate::gateway::digest_pace::DigestPace;
use crate::gateway::effect::GatewayEffect;
use crate::gateway::event::GatewayEvent;
use crate::gateway::freshness::Freshness;
use crate::gateway::headroom::Assignments;
use crate::gateway::headroom::DemandTable;
use crate::gateway::headroom::Objectives;
use crate::gateway::headroom::ScarcityLog;
use crate::gateway::member::GatewayMember;
use crate::gateway::model_table::ModelTable;
use crate::gateway::peer_contact::PeerContact;
use crate::gateway::peer_digest::DigestEvidence;
use crate::gateway::peer_digest::PeerDigest;
use crate::gateway::prefill_log::PrefillLog;
use crate::gateway::quarantine::QuarantineTable;
use crate::gateway::quarantine::TrialSlot;
use crate::gateway::rate_limits::PermitId;
use crate::gateway::rate_limits::PermitIssuer;
use crate::gateway::rate_limits::SilentIssuers;
use crate::gateway::retained_map::RetainedMap;
use crate::gateway::retry_budget::RetryBudget;
use crate::gateway::rollout::PeerRollout;
use crate::gateway::rollout::Rollout;
use crate::gateway::rollout::RolloutOrder;
use crate::gateway::rollout::RolloutRecord;
use crate::gateway::route_claims::RouteClaims;
use crate::gateway::route_durations::RouteDurations;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::size_table::SizeTable;
use crate::gateway::start_record::StartRecord;
use crate::gateway::stop::Stop;
use crate::gateway::store_position::StoreEra;
use crate::gateway::store_position::StorePosition;
use crate::gateway::typical_times::TypicalTimes;
use crate::gateway::upstreams::RoomLog;
use crate::gateway::upstreams::Upstream;
use crate::gateway::upstreams::UpstreamNews;
use crate::gateway::upstreams::UpstreamPool;
use crate::gateway::waiting_calls::WaitingCalls;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Bits of the number of a permit that count within an incarnation.
const PERMIT_NUMBER_BITS: u32 = 20;
/// Maximum number of pinned sessions in a digest.
const MAX_PINNED_SESSIONS: usize = 256;
/// Maximum number of sessions whose version is stored; further sessions are not tracked.
const MAX_SESSIONS: usize = 4_096;

/// Reducer of one gateway: handles events and decides about all requests of the process.
#[derive(Debug)]
pub struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) catalog: Option<Arc<Catalog>>,
    pub(super) pool: UpstreamPool,
    pub(super) model_table: ModelTable,
    pub(super) sizes: SizeTable,
    pub(super) route_claims: RouteClaims,
    pub(super) typical_times: TypicalTimes,
    pub(super) freshness: Freshness,
    pub(super) rollouts: BTreeMap<ServiceName, Rollout>,
    pub(super) reach: DataCentreReach,
    /// Data centres that the operator has taken out.
    pub(super) closed_data_centres: RetainedMap<DataCentreId, ()>,
    pub(super) calls: BTreeMap<CallId, ActiveCall>,
    pub(super) waiting: WaitingCalls,
    pub(super) retry_budgets: HashMap<ServiceName, RetryBudget>,
    /// Version and end of the last use of each tracked session.
    pub(super) sessions: HashMap<CompactString, (CompactString, TimeMs)>,
    pub(super) route_durations: RouteDurations,
    /// What was learned about the starts of requests, by service.
    pub(super) starts: BTreeMap<ServiceName, StartRecord>,
    /// Times of a planned stop; `None` unless the gateway is stopping.
    pub(super) stop: Option<Stop>,
    /// Latest rollout records, also of services without an order.
    pub(super) records: BTreeMap<ServiceName, RolloutRecord>,
    /// Orders that an older copy of the store contained, which may have been replaced since.
    pub(super) deferred_orders: BTreeMap<ServiceName, RolloutOrder>,
    /// Position in the store up to which changes have been applied.
    pub(super) position: Option<StorePosition>,
    /// Current era of the store; `None` before the first synchronization.
    pub(super) era: Option<StoreEra>,
    /// Era that the store holds as noted by a gateway.
    pub(super) noted_era: Option<StoreEra>,
    /// Since when, or from when on again, the era is to be noted.
    pub(super) era_due_since: Option<TimeMs>,
    /// Whether the items of the first complete read after a restore are being applied.
    pub(super) is_reading_copy: bool,
    pub(super) members: RetainedMap<HostId, GatewayMember>,
    /// Hosts of all live gateways including this one, in order.
    pub(super) gateways: Vec<HostId>,
    /// Incarnation and sequence of the latest digest of each gateway.
    pub(super) peers: HashMap<HostId, (u64, u64)>,
    /// Number of the last digest that this gateway built.
    sequence: u64,
    pub(super) recent_prefills: PrefillLog,
    pub(super) quarantine: QuarantineTable,
    pub(super) upstream_news: UpstreamNews,
    pub(super) room_log: RoomLog,
    /// What waits at other gateways.
    pub(super) peer_demand: DemandTable,
    /// What waited at this gateway in its last digest.
    pub(super) reported_demand: DemandTable,
    /// Assigned slots of scarce upstreams, by service.
    pub(super) assignments: BTreeMap<ServiceName, Assignments>,
    pub(super) objectives: Objectives,
    pub(super) scarcity_log: ScarcityLog,
    /// Scarce upstreams with free slots of each service with waiting requests.
    pub(super) withholding: BTreeMap<ServiceName, Vec<UpstreamId>>,
    pub(super) permit_issuer: PermitIssuer,
    pub(super) silent_issuers: SilentIssuers,
    pub(super) contact: PeerContact,
    digest_pace: DigestPace,
    /// Turns of this gateway among the live ones, by service.
    pub(super) trial_slots: BTreeMap<ServiceName, TrialSlot>,
    /// Number of the last request for a permit.
    pub(super) last_permit: PermitId,
}

impl Gateway {
    /// Creates a gateway without a configuration or upstreams; it rejects requests until it has
    /// both.
    pub fn new(settings: GatewaySettings) -> Self {
        let gateways = vec![settings.host.clone()];
        let last_permit = PermitId(settings.incarnation << PERMIT_NUMBER_BITS);
        Self {
            settings,
            catalog: None,
            pool: UpstreamPool::default(),
            model_table: ModelTable::default(),
            sizes: SizeTable::default(),
            route_claims: RouteClaims::default(),
            typical_times: TypicalTimes::default(),
            freshness: Freshness::default(),
            rollouts: BTreeMap::new(),
            reach: DataCentreReach::default(),
            closed_data_centres: RetainedMap::new(),
            calls: BTreeMap::new(),
            waiting: WaitingCalls::default(),
            retry_budgets: HashMap::new(),
            sessions: HashMap::new(),
            route_durations: RouteDurations::default(),
            starts: BTreeMap::new(),
            stop: None,
            records: BTreeMap::new(),
            deferred_orders: BTreeMap::new(),
            position: None,
            era: None,
            noted_era: None,
            era_due_since: None,
            is_reading_copy: false,
            members: RetainedMap::new(),
            gateways,
            peers: HashMap::new(),
            sequence: 0,
            recent_prefills: PrefillLog::default(),
            quarantine: QuarantineTable::default(),
            upstream_news: UpstreamNews::default(),
            room_log: RoomLog::default(),
            peer_demand: DemandTable::default(),
            reported_demand: DemandTable::default(),
            assignments: BTreeMap::new(),
            objectives: Objectives::default(),
            scarcity_log: ScarcityLog::default(),
            withholding: BTreeMap::new(),
            permit_issuer: PermitIssuer::default(),
            silent_issuers: SilentIssuers::default(),
            contact: PeerContact::default(),
            digest_pace: DigestPace::default(),
            trial_slots: BTreeMap::new(),
            last_permit,
        }
    }

    /// Applies an event and returns the effects to carry out, in order.
    pub fn apply(&mut self, event: GatewayEvent, now: TimeMs) -> Vec<GatewayEffect> {
        let mut effects = Vec::new();
        let is_digest = matches!(event, GatewayEvent::Digest(_));
        let may_change_queue = matches!(event, GatewayEvent::Arrived { .. } | GatewayEvent::Tick);
        self.freshness.record_run(now);
        match event {
            GatewayEvent::Tick => self.on_tick(now, &mut effects),
            GatewayEvent::StoreRestored { era } => self.on_store_restored(era, now),
            GatewayEvent::StoreUnproven { era } => self.on_store_unproven(era, now),
            GatewayEvent::StoreEraNoted(era) => self.noted_era = Some(era),
            GatewayEvent::Configured(catalog) => self.on_configured(catalog),
            GatewayEvent::Registered(registration) => self.on_registered(*registration, now),
            GatewayEvent::Deregistered(upstream) => {
                let store_unstable = self.is_store_unstable(now);
                self.pool.deregister(&upstream, store_unstable, now);
            }
            GatewayEvent::UpstreamDeparted { upstream, departure } => {
                self.pool.depart(&upstream, departure, now);
            }
            GatewayEvent::StoreListed(listing) => self.on_store_listed(&listing, now),
            GatewayEvent::RolloutOrdered { order, age_ms } => {
                self.on_rollout_ordered(order, age_ms, now);
            }
            GatewayEvent::RolloutWithdrawn(service) => {
                // The record stays in force: a version that was rolled back gets no requests.
                self.deferred_orders.remove(&service);
            }
            GatewayEvent::RolloutRecorded(record) => self.on_rollout_recorded(record, now),
            GatewayEvent::DataCentreOut(id) => {
                self.closed_data_centres.insert(id, ());
            }
            GatewayEvent::DataCentreIn(id) => self.on_data_centre_in(&id, now),
            GatewayEvent::PartAllowed(part) => self.quarantine.allow(part, now),
            GatewayEvent::PartNotAllowed(part) => self.quarantine.disallow(&part),
            GatewayEvent::PartItemStored(stored) => self.quarantine.apply_stored(*stored, now),
            GatewayEvent::PartItemRemoved(key) => {
                let is_over = !self.is_store_unstable(now) && !self.freshness.is_restoring(now);
                self.quarantine.apply_stored_removal(&key, is_over, now);
            }
            GatewayEvent::GatewayJoined(member) => {
                self.members.insert(member.host.clone(), member);
                self.update_gateways();
            }
            GatewayEvent::GatewayLeft(host) => self.on_gateway_left(&host, now),
            GatewayEvent::StoreSynced { synced_at, position } => {
                self.on_store_synced(synced_at, position, now);
            }
            GatewayEvent::StoreAnswered => self.freshness.record_answer(now),
            GatewayEvent::StoreUnreachable => self.freshness.record_unreachable(now),
            GatewayEvent::Digest(digest) => self.on_digest(*digest, now, &mut effects),
            GatewayEvent::Permit { host, message } => {
                self.on_permit(&host, &message, now, &mut effects);
            }
            GatewayEvent::Arrived { call, request } => {
                self.on_arrived(call, *request, now, &mut effects);
            }
            GatewayEvent::FirstEvent { call } => self.on_first_event(call, now, &mut effects),
            GatewayEvent::Progressed { call } => self.on_progressed(call, now),
            GatewayEvent::StreamPaced { call, gap_us } => self.on_stream_paced(call, gap_us),
            GatewayEvent::UpstreamNoticed { call, notice } => {
                self.on_upstream_noticed(call, notice, now, &mut effects);
            }
            GatewayEvent::Stalled { call } => self.on_stalled(call, now, &mut effects),
            GatewayEvent::AttemptEnded { call, outcome, last_event, delivered } => {
                if let Some(known) = self.calls.get_mut(&call) {
                    known.last_event = last_event;
                    known.delivered = delivered;
                }
                self.on_attempt_ended(call, outcome, now, &mut effects);
            }
            GatewayEvent::CallerGone { call } => self.on_caller_gone(call, now),
            GatewayEvent::Stop => self.on_stop(now),
        }
        if is_digest && !self.digest_pace.may_act(self.gateways.len(), now) {
            self.act_on_changes(now, &mut effects);
            if !self.assignments.is_empty() {
                self.refresh_shares(now, &mut effects);
            }
            return effects;
        }
        self.contain(now, &mut effects);
        self.refresh_shares(now, &mut effects);
        self.dispatch_waiting(now, &mut effects);
        self.record_withheld(now, &mut effects);
        if may_change_queue {
            self.refuse_late_starts(now, &mut effects);
        }
        effects
    }

    /// Returns whether the gateway should get new connections. A gateway that the store does not
    /// answer serves the requests that arrive, with what it learns from other gateways, but leaves
    /// new connections to gateways with direct access.
    pub fn is_ready(&self, now: TimeMs) -> bool {
        let limit_ms = self.settings.max_configuration_age_ms;
        self.stop.is_none()
            && self.catalog.is_some()
            && self.pool.iter().next().is_some()
            && self.freshness.is_within(limit_ms, now)
            && self.is_store_answering(now)
    }

    /// Returns the host of this gateway.
    pub const fn host(&self) -> &HostId {
        &self.settings.host
    }

    /// Returns the configuration in force; `None` before the first one was read.
    pub fn catalog(&self) -> Option<&Catalog> {
        self.catalog.as_deref()
    }

    /// Returns the number of requests that have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the age of the configuration; `None` before the first synchronization with the
    /// store.
    pub fn configuration_age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        self.freshness.age_ms(now)
    }

    /// Returns how often evidence about prompt parts was assessed since the start.
    pub const fn assessments(&self) -> u64 {
        self.quarantine.assessments()
    }

    /// Returns the number of prompt parts that are held as evidence, 8 bytes each.
    pub fn evidence_parts(&self) -> usize {
        self.quarantine.held_parts()
    }

    /// Builds the next digest for the other gateways.
    pub fn digest(&mut self, now: TimeMs) -> PeerDigest {
        self.sequence += 1;
        let notices = self.notices_to_tell(now);
        let loads = self.pool.report_loads(now);
        let demands = self.own_demand(now);
        for assignments in self.assignments.values_mut() {
            assignments.clear(&self.settings.host);
        }
        self.reported_demand.set(&self.settings.host, demands.clone(), now);
        self.recent_prefills.expire(now);
        self.quarantine.prepare_report();
        let evidence = self.rollouts.values().map(|rollout| DigestEvidence {
            service: rollout.order().service.clone(),
            order: rollout.order().position,
            age_ms: rollout.age_ms(now),
            outcomes: rollout.own_outcomes().clone(),
            objects: rollout.objects(),
            record: rollout.record().cloned(),
            pinned_sessions: self.pinned_sessions(rollout),
        });
        PeerDigest {
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            loads,
            evidence: evidence.collect(),
            prefills: self.recent_prefills.iter().cloned().collect(),
            quarantine: self.quarantine.report(
                &self.unproven_attempts(),
                |upstream| self.pool.get(upstream)?.heard_at(),
                now,
            ),
            notices,
            demands,
            store_answering_ms: self.freshness.answering_ms(now),
        }
    }

    /// Returns the hashes of the sessions in the canary share that started on the old version at
    /// this gateway.
    fn pinned_sessions(&self, rollout: &Rollout) -> Vec<u64> {
        let target = &rollout.order().target;
        let old = self.sessions.iter().filter(|(_, (version, _))| version != target);
        let hashes = old.map(|(session, _)| session_hash(session));
        hashes.filter(|hash| rollout.may_be_pinned(*hash)).take(MAX_PINNED_SESSIONS).collect()
    }

    pub(super) fn gateway_count(&self) -> usize {
        self.gateways.len()
    }

    pub(super) fn spec(&self, service: &ServiceName) -> Option<&ServiceSpec> {
        self.catalog.as_ref()?.service(service)
    }

    /// Returns whether the store has answered this host directly as recently as the configuration
    /// has to be known.
    pub fn is_store_answering(&self, now: TimeMs) -> bool {
        self.freshness.is_answered_within(self.settings.max_configuration_age_ms, now)
    }

    /// Returns when the store last answered a call of this host directly.
    pub const fn store_answered_at(&self) -> Option<TimeMs> {
        self.freshness.answered_at()
    }

    /// Returns the time since the store was last asked for the changes that are known, by this
    /// gateway or by one that it follows; `None` before the first synchronization.
    pub fn view_age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        self.freshness.view_age_ms(now)
    }

    /// Returns whether the last synchronization with the store succeeded.
    pub const fn is_store_reachable(&self) -> bool {
        !self.freshness.is_unreachable()
    }

    pub(super) fn is_store_unstable(&self, now: TimeMs) -> bool {
        self.freshness.is_unstable(self.settings.store_recovery_grace_ms, now)
    }

    fn on_tick(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        if self.pool.has_missing() && !self.is_store_unstable(now) {
            self.pool.drop_missing(now);
        }
        self.pool.expire_departed(now);
        let changes = self.room_log.take_changes(&self.pool, now);
        let report = |change| GatewayEffect::RoomChanged(Box::new(change));
        effects.extend(changes.into_iter().map(report));
        self.recent_prefills.expire(now);
        self.expire_retained(now);
        self.pool.expire_peer_loads(now);
        self.expire_shares(now, effects);
        self.assess_quarantine(now);
        self.end_calls_of_stop(now, effects);
        self.expire_permits(now, effects);
        self.record_unstarted(now);
        self.expire_calls(now, effects);
        self.abandon_unresponsive(now, effects);
        self.step_rollouts(now, effects);
        self.write_part_items(now, effects);
        self.note_store_era(now, effects);
        let session_ms = self.settings.session_ms;
        self.sessions.retain(|_, (_, used_at)| now.since(*used_at) <= session_ms);
    }

    fn on_digest(&mut self, digest: PeerDigest, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        if digest.host == self.settings.host {
            return;
        }
        self.contact.record(&digest.host, now);
        let newest = (digest.incarnation, digest.sequence);
        if self.peers.get(&digest.host).is_some_and(|known| *known >= newest) {
            return;
        }
        self.peers.insert(digest.host.clone(), newest);
        if let Some(answering_ms) = digest.store_answering_ms {
            self.freshness.record_peer_answers(answering_ms, now);
        }
        self.quarantine.apply_report(&digest.host, digest.incarnation, digest.quarantine, now);
        for notice in &digest.notices {
            self.on_peer_notice(&digest.host, notice, now, effects);
        }
        for known in digest.evidence {
            let Some(rollout) = self.rollouts.get_mut(&known.service) else {
                continue;
            };
            if rollout.order().position != known.order {
                continue;
            }
            let said = PeerRollout {
                outcomes: &known.outcomes,
                objects: known.objects,
                age_ms: known.age_ms,
                pinned_sessions: &known.pinned_sessions,
            };
            rollout.set_peer(digest.host.clone(), digest.incarnation, &said, now);
            // The store says the same a little later.
            let record = known.record.filter(|record| Some(record.position.era) == self.era);
            if let Some(record) = record {
                self.on_rollout_recorded(record, now);
            }
        }
        for prefill in &digest.prefills {
            let service = self.pool.get(&prefill.upstream).map(|known| &known.registration.service);
            let spec = service.and_then(|service| self.spec(service));
            let memory_tokens = spec.map_or(0, |spec| spec.memory_tokens);
            if let Some(upstream) = self.pool.get_mut(&prefill.upstream) {
                upstream.cache.record(&prefill.parts, 0, memory_tokens, now);
            }
        }
        for assignments in self.assignments.values_mut() {
            assignments.clear(&digest.host);
        }
        self.peer_demand.set(&digest.host, digest.demands, now);
        self.pool.set_peer_load(digest.host, digest.loads, now);
    }

    fn step_rollouts(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        let Some(era) = self.era else {
            return;
        };
        for (service, rollout) in &mut self.rollouts {
            rollout.evaluate(now);
            let target = &rollout.order().target;
            let of_old_version = self.pool.iter().filter(|upstream| {
                upstream.registration.service == *service
                    && upstream.registration.version != *target
            });
            let old_in_flight = of_old_version.map(Upstream::total_in_flight).sum();
            let target = rollout.order().target.clone();
            let of_target = self.pool.iter().filter(|upstream| {
                upstream.registration.service == *service && upstream.registration.version == target
            });
            rollout.set_target_upstreams(of_target.count());
            let step = rollout.step(&self.settings.host, old_in_flight, era, now);
            let progress = rollout.report(now).map(Box::new);
            effects.extend(progress.map(GatewayEffect::RolloutProgress));
            effects.extend(step.map(GatewayEffect::WriteRollout));
        }
    }

    /// Records that a session uses a version until `used_until`, which may be in the future.
    pub(super) fn record_session(
        &mut self,
        session: &CompactString,
        version: &CompactString,
        used_until: TimeMs,
    ) {
        if self.sessions.len() < MAX_SESSIONS || self.sessions.contains_key(session) {
            self.sessions.insert(session.clone(), (version.clone(), used_until));
        }
    }
}

/// Returns a uniformly distributed hash of a session, by which rollouts select sessions.
pub(super) fn session_hash(session: &str) -> u64 {
    xxh3_64(session.as_bytes())
}
