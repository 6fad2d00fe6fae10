//! Reducer of the entry role.
//!
//! [`Entry::apply`] takes one event and the time and returns the effects to carry out. The entry
//! joins the concerns that have modules of their own; the handlers are grouped by concern:
//! `request` places requests, `answer` handles what agents send, `config` keeps
//! configuration and members, `billing` stores bills, `resume` keeps attempts
//! through lost links, `watch` reads the configuration.

mod answer;
mod billing;
pub mod caller_request;
mod cascade;
mod config;
pub mod config_watch;
pub mod customer_limits;
pub mod effect;
pub mod event;
pub mod fair_queue;
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
use crate::entry::fair_queue::FairQueue;
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
    /// Reads the whole configuration.
    LoadConfiguration,
    /// Watches the change records.
    WatchChanges,
    /// Reads the newest revision.
    PollHead,
    /// Looks whether a rollout lease is free.
    CheckRolloutLease,
    /// Creates the lease for rollouts.
    GrantRolloutLease,
    /// Claims a rollout lease.
    ClaimRolloutLease,
    /// Renews the lease for rollouts.
    RenewRolloutLease,
    /// Reads head and model before a halt.
    ReadForHalt,
    /// Writes a halt.
    WriteHalt,
    /// Stores the oldest sealed batch of this incarnation's ledger.
    StoreBatch {
        /// The incarnation.
        incarnation: Incarnation,
    },
}

/// Time for which a stopping entry without requests tries to store its last bills. Afterwards the
/// agents write them from their copies.
const STORE_LIMIT_MS: DurationMs = DurationMs::from_secs(60);
/// Longer gaps between events mean that the process was paused; ticks come every 100 ms.
const PAUSE_MS: DurationMs = DurationMs::from_secs(2);

/// State of one entry.
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
    pub(crate) queues: HashMap<CompactString, FairQueue>,
    /// Set when an upstream may have got room for a waiting request.
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
    /// Since when a stopping entry has no requests.
    pub(crate) idle_since_ms: Option<TimeMs>,
    pub(crate) stopped: bool,
    next_serial: Serial,
    next_kv_call: KvCallId,
    last_event_at_ms: TimeMs,
    effects: Vec<EntryEffect>,
}

impl Entry {
    /// An entry that knows no configuration and no agents yet.
    ///
    /// The same settings, seed, events and times always give the same effects.
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

    /// The configuration in force.
    pub fn configuration(&self) -> &Configuration {
        self.config.current()
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// Whether the entry can serve callers: it knows the configuration, has tried every planned
    /// link and is not shutting down.
    pub fn is_ready(&self) -> bool {
        let greeted = |member: &Member| member.incarnation > Incarnation::default();
        let tried = |member: &Member| greeted(member) || member.failed_connects > 0;
        let planned = self.members.iter().filter(|(agent, _)| self.links.contains(agent));
        let known = self.revision() > Revision::default() && !self.links.is_empty();
        known && !self.draining && planned.into_iter().all(|(_, member)| tried(member))
    }

    /// The agents that this entry knows.
    pub const fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Requests in flight.
    pub fn requests_in_flight(&self) -> usize {
        self.requests.len()
    }

    fn on_tick(&mut self, now: TimeMs) {
        self.tick_pins(now);
        self.tick_guard(now);
        self.tick_ratings(now);
        self.tick_cascades(now);
        self.expire_queues(now);
        self.move_late_requests(now);
        self.expire_requests(now);
        self.capacity_freed = true;
        self.tick_configuration(now);
        self.tick_links(now);
        self.tick_billing(now);
    }

    /// While this process was paused it could hear nobody, so the gap does not count against the
    /// resume windows.
    fn exclude_pause(&mut self, now: TimeMs) {
        let gap_ms = now.since(self.last_event_at_ms);
        self.last_event_at_ms = now;
        if gap_ms <= PAUSE_MS {
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
        if self.ledger.is_drained() || now >= idle_since_ms + STORE_LIMIT_MS {
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

    /// The number of the next request.
    pub(crate) const fn next_serial(&self) -> Serial {
        self.next_serial
    }

    pub(crate) fn take_serial(&mut self) -> Serial {
        let serial = self.next_serial;
        self.next_serial = serial.next();
        serial
    }
}
