//! The entry role: accepts requests from callers and dispatches them to agents.
//!
//! An [`Entry`] is a deterministic state machine without I/O. [`Entry::apply`] takes one event and
//! the current time and returns the effects that the daemon must carry out. Each concern has a
//! module of its own with the matching handlers:
//!
//! - `request` admits, places and finishes requests; `queue` holds those that find no capacity.
//! - `agent_messages` handles messages from agents and ratings from the rating service.
//! - `resume` keeps attempts alive across lost links.
//! - `limits` enforces customer limits and retry budgets.
//! - `cascade`, `rating`, `session` and `rollout` choose model versions and rate their output.
//! - `guard` and `halt` stop versions that perform worse than their baseline.
//! - `links` maintains the connections to agents.
//! - `billing` writes bills to the key-value service.
//! - `config` and `watch` read the configuration and pass it on.

mod agent_messages;
mod billing;
pub mod caller_request;
mod cascade;
mod config;
pub mod config_watch;
pub mod customer_limits;
pub mod effect;
pub mod event;
mod guard;
mod halt;
mod limits;
pub mod link_plan;
mod links;
pub mod member_table;
pub mod placement;
mod queue;
mod rating;
mod rating_state;
mod request;
mod request_state;
mod resume;
pub mod retry_budget;
mod rollout;
mod rollout_lease;
mod session;
pub mod settings;
mod watch;

use std::collections::HashMap;

use compact_str::CompactString;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::admission_queue::AdmissionQueue;
use crate::backoff::Backoff;
use crate::billing::ledger::Ledger;
use crate::cascades::policy::CascadePolicy;
use crate::configuration::Configuration;
use crate::configuration::log::ConfigLog;
use crate::configuration::pull::ConfigPull;
use crate::entry::config_watch::ConfigWatch;
use crate::entry::customer_limits::LimitTable;
use crate::entry::effect::EntryEffect;
use crate::entry::event::EntryEvent;
use crate::entry::link_plan::LinkPlan;
use crate::entry::member_table::Member;
use crate::entry::member_table::MemberTable;
use crate::entry::placement::Placement;
use crate::entry::rating_state::RatingState;
use crate::entry::request_state::RequestState;
use crate::entry::retry_budget::RetryBudget;
use crate::entry::rollout_lease::RolloutLease;
use crate::entry::settings::EntrySettings;
use crate::id::CallerId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::KvCallId;
use crate::id::Revision;
use crate::id::Serial;
use crate::message::EntryMessage;
use crate::observation::Observation;
use crate::rollouts::guard::RolloutGuard;
use crate::rollouts::session_pin::SessionPins;
use crate::store::kv_call::KvCall;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Why a key-value call was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KvPurpose {
    LoadConfiguration,
    WatchChanges,
    /// Reads the newest stored revision.
    PollHead,
    /// Checks whether the rollout lease of a model is free.
    CheckRolloutLease,
    /// Requests the key-value lease that the rollout leases of this entry are attached to.
    GrantRolloutLease,
    AcquireRolloutLease,
    RenewRolloutLease,
    /// Reads the head and the model of a version that is to be halted.
    ReadForHalt,
    WriteHalt,
    /// Stores the oldest sealed batch of this incarnation's ledger.
    StoreBatch {
        incarnation: Incarnation,
    },
}

/// How long an entry that is shutting down and has no requests left keeps trying to store its last
/// bills. After that, the agents write them from their copies.
const SHUTDOWN_STORE_TIMEOUT_MS: DurationMs = DurationMs::from_secs(60);
/// A longer gap between two events means that the process was paused, since ticks arrive every
/// 100 ms.
const PAUSE_THRESHOLD_MS: DurationMs = DurationMs::from_secs(2);

/// State machine of one entry.
#[derive(Clone, Debug)]
pub struct Entry {
    pub(crate) settings: EntrySettings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) config: ConfigLog,
    pub(crate) members: MemberTable,
    pub(crate) placement: Placement,
    pub(crate) links: LinkPlan,
    pub(crate) requests: HashMap<Serial, RequestState>,
    pub(crate) limits: LimitTable,
    pub(crate) retries: RetryBudget,
    pub(crate) queues: HashMap<CompactString, AdmissionQueue<Serial>>,
    /// Set when an upstream may have gained capacity for a queued request.
    pub(crate) capacity_freed: bool,
    pub(crate) callers: HashMap<CallerId, Serial>,
    pub(crate) pins: SessionPins,
    pub(crate) guard: RolloutGuard,
    pub(crate) rollout: RolloutLease,
    pub(crate) ratings: RatingState,
    pub(crate) cascades: CascadePolicy,
    pub(crate) next_own_evaluation_at_ms: TimeMs,
    pub(crate) next_fleet_evaluation_at_ms: TimeMs,
    pub(crate) ledger: Ledger,
    pub(crate) kv_calls: HashMap<KvCallId, KvPurpose>,
    pub(crate) pull: ConfigPull,
    pub(crate) watch: ConfigWatch,
    pub(crate) next_heartbeat_at_ms: TimeMs,
    pub(crate) next_seal_at_ms: TimeMs,
    pub(crate) next_store_at_ms: TimeMs,
    pub(crate) store_backoff: Backoff,
    pub(crate) draining: bool,
    /// When the last request ended during shutdown.
    pub(crate) idle_since_ms: Option<TimeMs>,
    pub(crate) stopped: bool,
    next_serial: Serial,
    next_kv_call: KvCallId,
    last_event_at_ms: TimeMs,
    effects: Vec<EntryEffect>,
}

impl Entry {
    /// Creates an entry without configuration or agents.
    ///
    /// The same settings, seed, events and times always produce the same effects.
    pub fn new(settings: EntrySettings, seed: u64, now: TimeMs) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            config: ConfigLog::default(),
            members: MemberTable::default(),
            placement: Placement::new(
                settings.placement,
                settings.data_centre.clone(),
                settings.region.clone(),
            ),
            links: LinkPlan::default(),
            requests: HashMap::new(),
            limits: LimitTable::default(),
            retries: RetryBudget::default(),
            queues: HashMap::new(),
            capacity_freed: false,
            callers: HashMap::new(),
            pins: SessionPins::default(),
            guard: RolloutGuard::default(),
            rollout: RolloutLease::default(),
            cascades: CascadePolicy::default(),
            ratings: RatingState::new(settings.ratings_per_s, now),
            next_own_evaluation_at_ms: now,
            next_fleet_evaluation_at_ms: now,
            ledger: Ledger::new(settings.host.clone(), settings.incarnation, Serial::default()),
            kv_calls: HashMap::new(),
            pull: ConfigPull::default(),
            watch: ConfigWatch::new(now),
            next_heartbeat_at_ms: now + settings.heartbeat_interval_ms,
            next_seal_at_ms: now + settings.billing_interval_ms,
            next_store_at_ms: now,
            store_backoff: Backoff::urgent(),
            draining: false,
            idle_since_ms: None,
            stopped: false,
            next_serial: Serial::default(),
            next_kv_call: KvCallId::default(),
            last_event_at_ms: now,
            effects: Vec::new(),
            settings,
        }
    }

    /// Applies one event and returns the effects to carry out, in order.
    pub fn apply(&mut self, event: EntryEvent, now: TimeMs) -> Vec<EntryEffect> {
        self.exclude_pause(now);
        match event {
            EntryEvent::Request(request) => self.on_request(*request, now),
            EntryEvent::CallerRead { caller, bytes } => self.on_caller_read(caller, bytes),
            EntryEvent::CallerGone { caller } => self.on_caller_gone(caller, now),
            EntryEvent::LinkUp { agent } => self.on_link_up(&agent, now),
            EntryEvent::LinkDown { agent } => self.on_link_down(&agent, now),
            EntryEvent::Message { agent, message } => self.on_message(&agent, message, now),
            EntryEvent::Rated { request, ordinal, rating } => {
                self.on_rated(&request, ordinal, rating, now);
            }
            EntryEvent::HostList(records) => self.on_host_list(records, now),
            EntryEvent::Kv { call, outcome } => self.on_kv(call, outcome, now),
            EntryEvent::Tick => self.on_tick(now),
            EntryEvent::Shutdown => self.on_shutdown(now),
        }
        if std::mem::take(&mut self.capacity_freed) {
            self.drain_queues(now);
        }
        self.finish_shutdown(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns the configuration in force; it is empty until the first one has been received.
    pub fn configuration(&self) -> &Configuration {
        self.config.current()
    }

    /// Returns the revision of the configuration in force, or the default revision while there is
    /// none.
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// Returns whether the entry can serve callers: it has a configuration and planned links, every
    /// planned agent has sent a hello or could not be connected to at least once, and the entry is
    /// not shutting down.
    pub fn is_ready(&self) -> bool {
        let has_sent_hello = |member: &Member| member.incarnation > Incarnation::default();
        let attempted = |member: &Member| has_sent_hello(member) || member.failed_connects > 0;
        let planned = self.members.iter().filter(|(agent, _)| self.links.contains(agent));
        let configured = self.revision() > Revision::default() && !self.links.is_empty();
        configured && !self.draining && planned.into_iter().all(|(_, member)| attempted(member))
    }

    /// Returns the agents that this entry is linked to or plans to link to.
    pub const fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the number of accepted requests that have not ended, including queued ones.
    pub fn requests_in_flight(&self) -> usize {
        self.requests.len()
    }

    fn on_tick(&mut self, now: TimeMs) {
        self.tick_pins(now);
        self.tick_guard(now);
        self.tick_ratings(now);
        self.tick_cascades(now);
        self.expire_queues(now);
        self.move_stalled_requests(now);
        self.expire_requests(now);
        self.capacity_freed = true;
        self.tick_configuration(now);
        self.tick_links(now);
        self.tick_billing(now);
    }

    /// Excludes the time for which this process was paused from resume windows and silence
    /// timeouts, since it could not receive messages meanwhile.
    fn exclude_pause(&mut self, now: TimeMs) {
        let gap_ms = now.since(self.last_event_at_ms);
        self.last_event_at_ms = now;
        if gap_ms <= PAUSE_THRESHOLD_MS {
            return;
        }
        for attempt in self.requests.values_mut().filter_map(|state| state.attempt.as_mut()) {
            attempt.link_lost_at_ms = attempt.link_lost_at_ms.map(|at| at + gap_ms);
        }
        for (_, member) in self.members.iter_mut() {
            member.last_contact_at_ms = member.last_contact_at_ms + gap_ms;
            member.contact_awaited_since_ms = member.contact_awaited_since_ms.map(|at| at + gap_ms);
        }
    }

    fn on_shutdown(&mut self, now: TimeMs) {
        self.draining = true;
        self.ledger.seal(now);
        self.store_next_batch(now);
    }

    fn finish_shutdown(&mut self, now: TimeMs) {
        if !self.draining || self.stopped || !self.requests.is_empty() {
            return;
        }
        let idle_since_ms = *self.idle_since_ms.get_or_insert(now);
        if self.ledger.is_drained() || now >= idle_since_ms + SHUTDOWN_STORE_TIMEOUT_MS {
            self.stopped = true;
            self.close_links();
            self.push(EntryEffect::Stopped);
        }
    }

    pub(crate) fn push(&mut self, effect: EntryEffect) {
        self.effects.push(effect);
    }

    pub(crate) fn send(&mut self, agent: &HostId, message: EntryMessage) {
        self.push(EntryEffect::Send { agent: agent.clone(), message });
    }

    pub(crate) fn record(&mut self, observation: Observation) {
        self.push(EntryEffect::Record(observation));
    }

    pub(crate) fn call_kv(&mut self, purpose: KvPurpose, operation: KvCall) -> KvCallId {
        let call = self.next_kv_call;
        self.next_kv_call = call.next();
        self.kv_calls.insert(call, purpose);
        self.push(EntryEffect::Kv { call, operation });
        call
    }

    /// Returns the serial number that the next request will get.
    pub(crate) const fn next_serial(&self) -> Serial {
        self.next_serial
    }

    pub(crate) fn allocate_serial(&mut self) -> Serial {
        let serial = self.next_serial;
        self.next_serial = serial.next();
        serial
    }
}
