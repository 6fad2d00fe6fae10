//! State machine of the agent role.
//!
//! An agent is the sidecar of one upstream: it runs next to the upstream, and every call from any
//! entry goes through it. [`Agent::apply`] takes one event and the current time and returns the
//! effects to carry out; it does no I/O and reads no clock.
//!
//! Event handlers are grouped by concern:
//!
//! - `attempt` and `resume` run attempts and keep their responses across lost links,
//! - `admission`, with [`admission_limit`] and [`cold_start`], limits concurrency,
//! - `claims`, with [`claim_table`], runs calls with an idempotency key at most once,
//! - `config` maintains the configuration and the links to entries,
//! - `usage_recovery` stores the usage of entries that were lost before they billed it,
//! - `orders`, with [`lease`], loads and unloads versions on the engine,
//! - `upstream_notice` keeps to what the upstream says of itself,
//! - `evidence` and `pin` serve rollouts and their session pins.

mod admission;
pub mod admission_limit;
mod attempt;
mod attempt_state;
pub mod claim;
pub mod claim_decision;
pub mod claim_table;
mod claims;
pub mod cold_start;
mod config;
pub mod dispatch_fence;
pub mod effect;
pub mod event;
mod evidence;
pub mod lease;
mod orders;
mod pin;
mod resume;
pub mod settings;
pub mod speed_estimate;
mod upstream_notice;
mod usage_recovery;
pub mod usage_store;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hasher;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::Xxh3;

use crate::agent::admission_limit::AdmissionLimit;
use crate::agent::attempt_state::AttemptState;
use crate::agent::claim_table::ClaimTable;
use crate::agent::dispatch_fence::DispatchFence;
use crate::agent::effect::AgentEffect;
use crate::agent::effect::EngineOrder;
use crate::agent::event::AgentEvent;
use crate::agent::event::UpstreamReport;
use crate::agent::lease::LeaseHolder;
use crate::agent::settings::AgentSettings;
use crate::agent::speed_estimate::SpeedEstimate;
use crate::agent::usage_store::IncarnationKey;
use crate::agent::usage_store::UsageStore;
use crate::backoff::Backoff;
use crate::configuration::Configuration;
use crate::configuration::log::ConfigLog;
use crate::configuration::pull::ConfigPull;
use crate::gateway::rate_limits::PermitId;
use crate::gateway::rate_limits::PermitIssuer;
use crate::gateway::upstreams::UpstreamRoom;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::KvCallId;
use crate::id::Revision;
use crate::id::VersionId;
use crate::lru_map::LruMap;
use crate::message::AgentMessage;
use crate::message::Offer;
use crate::observation::Observation;
use crate::rollouts::evidence::Evidence;
use crate::rollouts::session_pin::Pin;
use crate::rollouts::session_pin::PinKey;
use crate::store::kv_call::KvCall;
use crate::store::kv_call::KvOutcome;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Minimum number of session pins that an agent retains. With two owners per pin, 12,000
/// agents retain the pins of 780 million sessions. Both generations of the map together use up
/// to 2 x 262,144 buckets of 65 bytes, 34 MB.
const MIN_RETAINED_PINS: usize = 1 << 17;
/// A longer gap between two events means that the process was paused; ticks arrive every 100 ms.
const PAUSE_THRESHOLD_MS: DurationMs = DurationMs::from_secs(2);

/// Purpose of a pending key-value call, which selects the handler of its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AgentKvPurpose {
    /// Closes the ledger of a lost entry incarnation.
    CloseLedger(IncarnationKey),
    /// Stores a billing batch on behalf of a lost entry.
    StoreRecovered(IncarnationKey),
    /// Creates, updates or deletes claims of idempotency keys.
    Claims,
    /// Acquires, renews or revokes the presence lease.
    Lease,
}

impl AgentKvPurpose {
    pub(crate) const fn is_recovery(&self) -> bool {
        matches!(self, Self::CloseLedger(_) | Self::StoreRecovered(_))
    }
}

/// Link to one entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryLink {
    pub connected: bool,
    /// Newest incarnation of the entry that has sent a hello.
    pub incarnation: Incarnation,
    /// Attempts received from that incarnation; load reports return the count, so that the entry
    /// knows which of its dispatches a report includes.
    pub received_attempts: u64,
    pub last_contact_at_ms: TimeMs,
    /// When the last message of any kind was sent to the entry.
    pub last_sent_at_ms: TimeMs,
    pub last_report_at_ms: TimeMs,
    /// Interval of load reports while the link is idle, as the entry requested it.
    pub report_interval_ms: DurationMs,
}

/// State machine of one agent.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts about one process")]
pub struct Agent {
    pub(crate) settings: AgentSettings,
    pub(crate) config: ConfigLog,
    pub(crate) links: HashMap<HostId, EntryLink>,
    pub(crate) attempts: HashMap<AttemptId, AttemptState>,
    pub(crate) pins: LruMap<PinKey, Pin>,
    pub(crate) evidence: BTreeMap<VersionId, Evidence>,
    /// Revision from which newly created counters count.
    pub(crate) evidence_from: Revision,
    pub(crate) next_evidence_at_ms: TimeMs,
    pub(crate) fence: DispatchFence,
    pub(crate) claims: ClaimTable,
    pub(crate) lease: LeaseHolder,
    /// Latest order for each version and when it was sent.
    pub(crate) orders: HashMap<VersionId, (EngineOrder, TimeMs)>,
    /// Whether the upstream has reported its load and versions; no orders are sent before.
    pub(crate) engine_reported: bool,
    pub(crate) usage: UsageStore,
    pub(crate) report: UpstreamReport,
    pub(crate) speed: SpeedEstimate,
    pub(crate) admission: AdmissionLimit,
    pub(crate) upstream_up: bool,
    /// What the upstream has said of itself.
    pub(crate) room: UpstreamRoom,
    pub(crate) permit_issuer: PermitIssuer,
    pub(crate) last_permit: PermitId,
    /// Moving average of the time to the first token.
    pub(crate) first_token_ms: f64,
    pub(crate) pull: ConfigPull,
    /// When the last leave notice expires; `None` while the platform does not list this host as
    /// leaving.
    pub(crate) leaving_until_ms: Option<TimeMs>,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) kv_calls: HashMap<KvCallId, AgentKvPurpose>,
    pub(crate) recovery_backoff: Backoff,
    pub(crate) next_recovery_at_ms: TimeMs,
    /// New attempts are refused until this time, because configuration changes may have been
    /// missed while the process was paused.
    pub(crate) stale_until_ms: TimeMs,
    pub(crate) draining: bool,
    /// Whether a configured exception takes the upstream out of service.
    pub(crate) upstream_out: bool,
    /// When a shutting-down agent finished its last attempt.
    pub(crate) idle_since_ms: Option<TimeMs>,
    pub(crate) stopped: bool,
    next_kv_call: KvCallId,
    last_event_at_ms: TimeMs,
    effects: Vec<AgentEffect>,
}

impl Agent {
    /// Creates an agent without configuration and links.
    ///
    /// The agent is deterministic: the same settings, events and times always give the same
    /// effects.
    pub fn new(settings: AgentSettings, now: TimeMs) -> Self {
        Self {
            config: ConfigLog::default(),
            links: HashMap::new(),
            attempts: HashMap::new(),
            pins: LruMap::new(MIN_RETAINED_PINS),
            evidence: BTreeMap::new(),
            evidence_from: Revision::default(),
            next_evidence_at_ms: now,
            fence: DispatchFence::default(),
            claims: ClaimTable::default(),
            lease: LeaseHolder::new(
                &settings.upstream,
                settings.host.clone(),
                settings.incarnation,
                now,
            ),
            orders: HashMap::new(),
            engine_reported: false,
            usage: UsageStore::default(),
            report: UpstreamReport::default(),
            speed: SpeedEstimate::default(),
            admission: AdmissionLimit::new(
                settings.cold_limit,
                settings.warm_limit,
                matches!(settings.offer, Offer::Engine { .. }),
                settings.warm_token_interval_ms.as_f64(),
                now,
            ),
            upstream_up: true,
            room: UpstreamRoom::default(),
            permit_issuer: PermitIssuer::default(),
            last_permit: PermitId::default(),
            first_token_ms: 0.0,
            pull: ConfigPull::default(),
            leaving_until_ms: None,
            rng: Pcg64Mcg::seed_from_u64(rng_seed(&settings)),
            kv_calls: HashMap::new(),
            recovery_backoff: Backoff::default(),
            next_recovery_at_ms: now,
            stale_until_ms: now,
            draining: false,
            upstream_out: false,
            idle_since_ms: None,
            stopped: false,
            next_kv_call: KvCallId::default(),
            last_event_at_ms: now,
            effects: Vec::new(),
            settings,
        }
    }

    /// Applies one event and returns the effects, which the caller must carry out in order.
    pub fn apply(&mut self, event: AgentEvent, now: TimeMs) -> Vec<AgentEffect> {
        self.exclude_pause(now);
        match event {
            AgentEvent::LinkUp { entry } => self.on_link_up(&entry, now),
            AgentEvent::LinkDown { entry } => self.on_link_down(&entry, now),
            AgentEvent::Message { entry, message } => self.on_message(&entry, message, now),
            AgentEvent::UpstreamStarted { attempt, status, content_type } => {
                self.on_upstream_started(&attempt, status, content_type, now);
            }
            AgentEvent::UpstreamChunk { attempt, tokens, data } => {
                self.on_upstream_chunk(&attempt, tokens, data, now);
            }
            AgentEvent::UpstreamEnded { attempt, usage } => {
                self.on_upstream_ended(&attempt, usage, now);
            }
            AgentEvent::UpstreamFailed { attempt, fault } => {
                self.on_upstream_failed(&attempt, fault, now);
            }
            AgentEvent::UpstreamNoticed(notice) => self.on_upstream_noticed(notice, now),
            AgentEvent::UpstreamReport(report) => self.on_upstream_report(report, now),
            AgentEvent::Kv { call, outcome } => self.on_kv(call, outcome, now),
            AgentEvent::Tick => self.on_tick(now),
            AgentEvent::Shutdown => self.on_shutdown(),
        }
        self.finish_shutdown(now);
        std::mem::take(&mut self.effects)
    }

    /// Configuration in force; empty until an entry has sent the first one.
    pub fn configuration(&self) -> &Configuration {
        self.config.current()
    }

    /// Revision of [`Self::configuration`]; 0 until an entry has sent the first one.
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// Number of admitted attempts that have not ended, including those that wait for their claim.
    pub fn running(&self) -> usize {
        self.attempts.values().filter(|attempt| !attempt.is_over()).count()
    }

    /// Usage of attempts whose entries have not confirmed that the bills are stored.
    pub const fn usage(&self) -> &UsageStore {
        &self.usage
    }

    fn on_tick(&mut self, now: TimeMs) {
        self.expire_attempts(now);
        self.tick_admission(now);
        self.tick_configuration(now);
        self.tick_leaving(now);
        self.tick_upstream_out(now);
        self.tick_reports(now);
        self.tick_evidence(now);
        self.tick_claims(now);
        self.tick_orders(now);
        self.tick_usage_recovery(now);
    }

    /// Excludes a pause of this process from silence and resume timeouts, since no message could
    /// be received meanwhile.
    fn exclude_pause(&mut self, now: TimeMs) {
        let gap_ms = now.since(self.last_event_at_ms);
        self.last_event_at_ms = now;
        if gap_ms <= PAUSE_THRESHOLD_MS {
            return;
        }
        for link in self.links.values_mut() {
            link.last_contact_at_ms = link.last_contact_at_ms + gap_ms;
        }
        for attempt in self.attempts.values_mut() {
            attempt.exclude_pause(gap_ms);
        }
        self.catch_up(now);
    }

    fn on_kv(&mut self, call: KvCallId, outcome: KvOutcome, now: TimeMs) {
        let Some(purpose) = self.kv_calls.remove(&call) else {
            return;
        };
        match purpose {
            AgentKvPurpose::CloseLedger(incarnation) => {
                self.on_ledger_closed(&incarnation, outcome, now);
            }
            AgentKvPurpose::Lease => self.on_lease_outcome(outcome, now),
            AgentKvPurpose::Claims => self.on_claims_outcome(outcome, now),
            AgentKvPurpose::StoreRecovered(incarnation) => {
                self.on_recovered_stored(&incarnation, &outcome, now);
            }
        }
    }

    fn on_shutdown(&mut self) {
        self.draining = true;
        for entry in self.connected_entries() {
            self.send(&entry, AgentMessage::Draining);
        }
    }

    fn finish_shutdown(&mut self, now: TimeMs) {
        if !self.draining || self.stopped || !self.attempts.is_empty() {
            return;
        }
        self.idle_since_ms.get_or_insert(now);
        if self.is_settled(now) {
            self.stopped = true;
            self.revoke_lease();
            self.push(AgentEffect::Stopped);
        }
    }

    pub(crate) fn connected_entries(&self) -> Vec<HostId> {
        let mut entries: Vec<HostId> = self
            .links
            .iter()
            .filter(|(_, link)| link.connected)
            .map(|(entry, _)| entry.clone())
            .collect();
        entries.sort_unstable();
        entries
    }

    pub(crate) fn call_kv(&mut self, purpose: AgentKvPurpose, operation: KvCall) -> KvCallId {
        let call = self.next_kv_call;
        self.next_kv_call = call.next();
        self.kv_calls.insert(call, purpose);
        self.push(AgentEffect::Kv { call, operation });
        call
    }

    pub(crate) fn push(&mut self, effect: AgentEffect) {
        self.effects.push(effect);
    }

    pub(crate) fn send(&mut self, entry: &HostId, message: AgentMessage) {
        if let Some(link) = self.links.get_mut(entry) {
            link.last_sent_at_ms = self.last_event_at_ms;
        }
        self.push(AgentEffect::Send { entry: entry.clone(), message });
    }

    pub(crate) fn record(&mut self, observation: Observation) {
        self.push(AgentEffect::Record(observation));
    }
}

/// Derives a different seed for each incarnation of each agent, so that their backoff jitter
/// differs.
fn rng_seed(settings: &AgentSettings) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(settings.host.as_str().as_bytes());
    hasher.write_u64(settings.incarnation.get());
    hasher.finish()
}
