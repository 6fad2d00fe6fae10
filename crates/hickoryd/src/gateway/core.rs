//! Core of a gateway process: owns the reducer and is shared by all tasks of the thread.
//!
//! Events are applied one at a time. Effects that a request's task carries out are sent to it as
//! directives, rollout records go to the platform adapter, and measurements are recorded here.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::EventKind;
use hickorydoor::gateway::Gateway;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::GatewaySettings;
use hickorydoor::gateway::call::Call;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::catalog::CallerLimits;
use hickorydoor::gateway::catalog::Catalog;
use hickorydoor::gateway::effect::Dispatch;
use hickorydoor::gateway::effect::EarlyTurn;
use hickorydoor::gateway::effect::FirstEventStats;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::feed_wire::FeedHello;
use hickorydoor::gateway::feed_wire::WatcherMessage;
use hickorydoor::gateway::peer_digest::PeerDigest;
use hickorydoor::gateway::peer_message::PeerMessage;
use hickorydoor::gateway::quarantine::PartWrite;
use hickorydoor::gateway::rate_limits::PermitMessage;
use hickorydoor::gateway::rate_limits::RequestRate;
use hickorydoor::gateway::refusal::CallRefusal;
use hickorydoor::gateway::rollout::RolloutStep;
use hickorydoor::gateway::stopping::LAST_ANSWERS_MS;
use hickorydoor::gateway::store_position::StoreEra;
use hickorydoor::gateway::store_position::StorePosition;
use hickorydoor::gateway::view_role::ViewRole;
use hickorydoor::id::CustomerId;
use hickorydoor::id::DataCentreId;
use hickorydoor::id::HostId;
use hickorydoor::id::UpstreamId;
use hickorydoor::memory::MemoryKind;
use log::debug;
use log::info;
use log::warn;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::gateway::boot_clock::BootClock;
use crate::gateway::connection_trace::ConnectionTrace;
use crate::gateway::event_log::attempt_label;
use crate::gateway::event_log::log_event;
use crate::gateway::event_log::log_limit;
use crate::gateway::event_log::log_progress;
use crate::gateway::event_log::log_quarantine;
use crate::gateway::event_log::log_room;
use crate::gateway::event_log::log_scarcity;
use crate::gateway::event_log::log_share_wait;
use crate::gateway::event_log::step_label;
use crate::gateway::followers::FollowerState;
use crate::gateway::followers::Followers;
use crate::gateway::metrics::GatewayMetrics;
use crate::link::LinkQueue;
use crate::memory_hold::MemoryHold;
use crate::memory_pool::MemoryPool;

/// Maximum number of prompt parts that a log line names.
const MAX_LOGGED_PARTS: usize = 16;
/// Time without anyone waiting for memory after which that is logged.
const CONTENTION_LOG_MS: DurationMs = DurationMs::from_secs(1);
/// Delay of a tick from which on the process is behind.
const BEHIND_AFTER: Duration = Duration::from_millis(200);
/// Maximum number of requests that a log line names.
const MAX_LOGGED_REQUESTS: usize = 16;

/// Instruction from the reducer to the task of a request.
#[derive(Debug)]
pub enum Directive {
    /// Start an attempt.
    Dispatch(Box<Dispatch>),
    /// Cancel the current attempt, whose upstream is unresponsive; the request stays open.
    Abandon,
    /// End the request with an error response that the gateway creates.
    Refuse(CallRefusal),
    /// End the request with the upstream's response to the last attempt.
    Deliver,
    /// End the request by aborting the response that the caller is already receiving.
    Abort,
}

/// Effects that the platform adapter carries out.
#[derive(Debug)]
pub struct AdapterEffects {
    /// Rollout records to write to the store, in order.
    pub rollout_steps: mpsc::UnboundedReceiver<RolloutStep>,
    /// Changes of items about prompt parts to make in the store, in order.
    pub part_writes: mpsc::UnboundedReceiver<Vec<PartWrite>>,
    /// Eras to note in the store.
    pub era_notes: mpsc::UnboundedReceiver<StoreEra>,
}

#[derive(Debug)]
struct OpenCall {
    directives: mpsc::UnboundedSender<Directive>,
    client_attempt: CompactString,
    session: Option<CompactString>,
    /// Ids of the shared prompt parts, for logs.
    prompt_parts: CompactString,
    opened_at: TimeMs,
    /// Latest attempt, for logs; `None` before the first one.
    attempt: Option<OpenAttempt>,
}

/// A message about a permit for another gateway.
#[derive(Debug)]
pub(super) struct AddressedPermit {
    pub address: IpAddr,
    pub message: PeerMessage,
}

/// What the log says about the end of an attempt.
#[derive(Debug)]
struct OpenAttempt {
    upstream: UpstreamId,
    dispatched_at: TimeMs,
    first_event_at: Option<TimeMs>,
}

/// Reducer of a gateway with its clock, metrics and open requests.
#[derive(Debug)]
pub struct Core {
    host: HostId,
    gateway: RefCell<Gateway>,
    clock: BootClock,
    calls: RefCell<HashMap<CallId, OpenCall>>,
    next_call: Cell<u64>,
    connections: Cell<usize>,
    active_connections: Cell<u64>,
    rollout_steps: mpsc::UnboundedSender<RolloutStep>,
    part_writes: mpsc::UnboundedSender<Vec<PartWrite>>,
    era_notes: mpsc::UnboundedSender<StoreEra>,
    stopping: watch::Sender<bool>,
    stop_timeout_ms: DurationMs,
    /// When a stopping process answers what has not ended; `None` unless it is stopping.
    answer_at: Cell<Option<Instant>>,
    followers: RefCell<Followers>,
    store_states_era: Cell<bool>,
    digest_due: Notify,
    permits: mpsc::UnboundedSender<AddressedPermit>,
    permit_receiver: RefCell<Option<mpsc::UnboundedReceiver<AddressedPermit>>>,
    restored_era: watch::Sender<StoreEra>,
    is_listed: watch::Sender<bool>,
    memory: MemoryPool,
    /// When someone last waited for memory; `None` if that is long ago.
    contended_at: Cell<Option<TimeMs>>,
    /// Whether the last tick was handled late.
    is_behind: Cell<bool>,
    pub(super) metrics: GatewayMetrics,
}

impl Core {
    /// Creates a core with a new reducer, and the receiver of the effects for the platform adapter.
    ///
    /// # Errors
    /// Fails if the metrics cannot be registered.
    pub fn new(
        settings: GatewaySettings,
        memory: MemoryPool,
    ) -> Result<(Rc<Self>, AdapterEffects), prometheus::Error> {
        let (sender, rollout_steps) = mpsc::unbounded_channel();
        let (part_sender, part_writes) = mpsc::unbounded_channel();
        let (era_sender, era_notes) = mpsc::unbounded_channel();
        let stop_timeout_ms = settings.stop_timeout_ms;
        let (permits, permit_receiver) = mpsc::unbounded_channel();
        let core = Self {
            host: settings.host.clone(),
            gateway: RefCell::new(Gateway::new(settings)),
            clock: BootClock::new(),
            calls: RefCell::default(),
            next_call: Cell::new(0),
            connections: Cell::new(0),
            active_connections: Cell::new(0),
            rollout_steps: sender,
            part_writes: part_sender,
            era_notes: era_sender,
            stopping: watch::Sender::new(false),
            stop_timeout_ms,
            answer_at: Cell::new(None),
            followers: RefCell::default(),
            store_states_era: Cell::new(false),
            digest_due: Notify::new(),
            permits,
            permit_receiver: RefCell::new(Some(permit_receiver)),
            restored_era: watch::Sender::new(StoreEra::default()),
            is_listed: watch::Sender::new(false),
            memory,
            contended_at: Cell::new(None),
            is_behind: Cell::new(false),
            metrics: GatewayMetrics::new()?,
        };
        Ok((Rc::new(core), AdapterEffects { rollout_steps, part_writes, era_notes }))
    }

    /// Returns the current time on the clock by which the reducer measures time.
    pub fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// Applies an event to the reducer and carries out the resulting effects.
    pub fn apply(&self, event: GatewayEvent) {
        let kind = EventKind::from(&event);
        let started_at = Instant::now();
        self.apply_untimed(event);
        self.metrics.record_event(kind, started_at.elapsed());
    }

    fn apply_untimed(&self, event: GatewayEvent) {
        let now = self.now();
        if !self.gateway.borrow().is_known(&event) {
            log_event(&event);
            self.followers.borrow_mut().forward(&event, now);
        }
        if let GatewayEvent::StoreRestored { era } = event {
            self.restored_era.send_replace(era);
        }
        let concerns_presence = matches!(
            event,
            GatewayEvent::GatewayJoined(_)
                | GatewayEvent::GatewayLeft(_)
                | GatewayEvent::StoreListed(_)
        );
        let effects = self.gateway.borrow_mut().apply(event, now);
        if concerns_presence {
            let is_listed = self.gateway.borrow().is_listed();
            self.is_listed
                .send_if_modified(|known| std::mem::replace(known, is_listed) != is_listed);
        }
        for effect in effects {
            self.handle_effect(effect);
        }
    }

    /// Records how long after its time a tick is handled, and logs when the process falls behind and
    /// when it has caught up.
    pub(super) fn record_tick_delay(&self, delay: Duration) {
        self.metrics.record_tick_delay(delay);
        let is_behind = delay >= BEHIND_AFTER;
        if self.is_behind.replace(is_behind) == is_behind {
            return;
        }
        let delay_ms = delay.as_millis() as u64;
        if is_behind {
            warn!(delay_ms = delay_ms, open_calls = self.open_calls(); "the process is behind");
        } else {
            info!(delay_ms = delay_ms; "the process has caught up");
        }
    }

    /// Returns whether the store has recently answered a call of this host directly.
    pub fn is_store_answering(&self) -> bool {
        self.gateway.borrow().is_store_answering(self.now())
    }

    /// Returns how this gateway learns the changes in the store.
    pub fn view_role(&self) -> ViewRole {
        self.gateway.borrow().view_role()
    }

    /// Returns the position in the store up to which changes have been applied.
    pub fn store_position(&self) -> Option<StorePosition> {
        self.gateway.borrow().store_position()
    }

    /// Returns the age of the view of the store; `None` before the first synchronization.
    pub fn view_age_ms(&self) -> Option<DurationMs> {
        self.gateway.borrow().view_age_ms(self.now())
    }

    /// Returns the current era of the store; `None` before the first synchronization.
    pub fn store_era(&self) -> Option<StoreEra> {
        self.gateway.borrow().store_era()
    }

    /// Returns the version of the configuration in force; 0 before the first one.
    pub fn configuration_version(&self) -> u64 {
        self.gateway.borrow().catalog().map_or(0, Catalog::version)
    }

    /// Returns the age of the configuration; `None` before the first synchronization.
    pub fn configuration_age_ms(&self) -> Option<DurationMs> {
        self.gateway.borrow().configuration_age_ms(self.now())
    }

    /// Returns whether a data centre is out, so that its upstreams get no requests.
    pub fn is_out(&self, data_centre: &DataCentreId) -> bool {
        self.gateway.borrow().is_out(data_centre)
    }

    /// Returns a receiver of the era that each restore of the store begins.
    pub fn restored_era(&self) -> watch::Receiver<StoreEra> {
        self.restored_era.subscribe()
    }

    /// Carries out what is due in the memory for callers, and logs when others begin or cease to
    /// wait for it.
    pub(super) fn expire_memory(&self) {
        self.memory.expire();
        let now = self.now();
        let is_contended = self.memory.is_contended();
        let since = self.contended_at.get();
        if is_contended {
            self.contended_at.set(Some(now));
        }
        if is_contended && since.is_none() {
            warn!(held_bytes = self.held_bytes(); "memory for callers is short; some wait");
        }
        if since.is_some_and(|at| now.since(at) >= CONTENTION_LOG_MS) && !is_contended {
            self.contended_at.set(None);
            info!(held_bytes = self.held_bytes(); "memory for callers suffices again");
        }
    }

    fn held_bytes(&self) -> u64 {
        MemoryKind::ALL.into_iter().map(|kind| self.memory.used_bytes(kind).get()).sum()
    }

    /// Returns the memory that is held for callers.
    pub(super) const fn memory(&self) -> &MemoryPool {
        &self.memory
    }

    /// Returns a receiver of whether the store holds the presence of this gateway, as far as is known.
    pub fn is_listed(&self) -> watch::Receiver<bool> {
        self.is_listed.subscribe()
    }

    /// Returns whether the store states its era, so that it may come back from an older copy.
    pub fn is_store_restorable(&self) -> bool {
        self.store_states_era.get()
    }

    /// Records that the store states its era.
    pub fn set_store_states_era(&self) {
        self.store_states_era.set(true);
    }

    /// Returns the address of the host of another live gateway.
    pub fn peer_address(&self, host: &HostId) -> Option<IpAddr> {
        let gateway = self.gateway.borrow();
        gateway.peers().find(|peer| peer.host == *host).map(|peer| peer.address)
    }

    /// Returns what a watcher needs to know to send only what this gateway lacks.
    pub(super) fn feed_hello(&self) -> FeedHello {
        let gateway = self.gateway.borrow();
        FeedHello {
            position: gateway.store_position(),
            configuration_version: gateway.catalog().map_or(0, Catalog::version),
        }
    }

    /// Returns whether the last synchronization with the store succeeded.
    pub(super) fn is_view_current(&self) -> bool {
        self.gateway.borrow().is_store_reachable()
    }

    /// Returns when the store last answered a call of this host directly.
    pub(super) fn store_answered_at(&self) -> Option<TimeMs> {
        self.gateway.borrow().store_answered_at()
    }

    /// Returns whether this gateway knows all that a follower knows, so that it may be followed.
    pub(super) fn can_be_followed(&self, hello: &FeedHello) -> bool {
        let gateway = self.gateway.borrow();
        gateway.is_store_reachable()
            && gateway.store_position().is_some_and(|own| Some(own) >= hello.position)
    }

    /// Starts to send this gateway's view to a follower, until `state` is dropped.
    pub(super) fn add_follower(
        &self,
        hello: &FeedHello,
        queue: LinkQueue<WatcherMessage>,
        state: &Rc<FollowerState>,
    ) {
        let now = self.now();
        let gateway = self.gateway.borrow();
        let mut followers = self.followers.borrow_mut();
        followers.add(hello, queue, state, &gateway.view(hello.position, now));
        if let (Some(position), Some(age_ms)) = (gateway.store_position(), gateway.view_age_ms(now))
        {
            followers.send_synced(now - age_ms, position);
        }
    }

    /// Records a ping of a follower, and returns it if the follower needs that to date its view.
    pub(super) fn on_ping(&self, state: &Rc<FollowerState>, number: u64) {
        let now = self.now();
        state.record_ping(number, now);
        let gateway = self.gateway.borrow();
        if let (Some(position), Some(age_ms)) = (gateway.store_position(), gateway.view_age_ms(now))
        {
            self.followers.borrow_mut().answer_ping(state, now - age_ms, position);
        }
    }

    /// Returns whether the upstream to which a request was sent has a limit in force.
    pub(super) fn is_limited(&self, call: CallId) -> bool {
        self.gateway.borrow().is_limited(call)
    }

    /// Returns whether the platform should route new connections to this gateway.
    pub fn is_ready(&self) -> bool {
        self.gateway.borrow().is_ready(self.now())
    }

    /// Starts the graceful shutdown. The reducer still accepts requests until `stop_notice_ms` of
    /// its settings has passed.
    pub fn stop(&self) {
        self.apply(GatewayEvent::Stop);
        let grace_ms = self.stop_timeout_ms.saturating_sub(LAST_ANSWERS_MS);
        self.answer_at.set(Some(Instant::now() + Duration::from(grace_ms)));
        self.stopping.send_replace(true);
    }

    /// Returns a receiver whose value becomes true when the graceful shutdown starts.
    pub fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }

    /// Waits until a stopping process answers what has not ended, since it ends soon.
    pub(super) async fn last_answers_due(&self) {
        // A closed channel counts as a request to stop.
        drop(self.stopping().wait_for(|stopping| *stopping).await);
        sleep_until(self.answer_at.get().unwrap_or_else(Instant::now)).await;
    }

    /// Returns whether the graceful shutdown has started.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns the number of requests that have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.borrow().len()
    }

    /// Returns the number of open connections from callers.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Counts a caller's connection as open until the returned guard is dropped.
    pub(super) fn count_connection(self: &Rc<Self>) -> ConnectionCount {
        self.connections.set(self.connections.get() + 1);
        ConnectionCount(Rc::clone(self))
    }

    /// Begins the record of a caller's connection.
    pub(super) fn trace_connection(&self, hold: MemoryHold) -> Rc<ConnectionTrace> {
        let number = self.active_connections.get() + 1;
        self.active_connections.set(number);
        Rc::new(ConnectionTrace::new(number, self.now(), hold))
    }

    /// Returns the clients' ids of requests that have not ended, of some if there are many.
    pub fn open_requests(&self) -> CompactString {
        let calls = self.calls.borrow();
        let ids = calls.values().map(|open_call| open_call.client_attempt.as_str());
        let ids: Vec<&str> = ids.take(MAX_LOGGED_REQUESTS).collect();
        ids.join(",").into()
    }

    /// Returns the limits on callers from the configuration in force, or the default limits while
    /// the gateway has no configuration.
    pub fn limits(&self) -> CallerLimits {
        self.gateway.borrow().catalog().map(Catalog::limits).unwrap_or_default()
    }

    /// Returns the addresses of the hosts of the other live gateways.
    pub fn peer_addresses(&self) -> Vec<IpAddr> {
        self.gateway.borrow().peers().map(|peer| peer.address).collect()
    }

    /// Waits until the other gateways have to learn something before the next digest is due.
    pub(super) async fn digest_due(&self) {
        self.digest_due.notified().await;
    }

    /// Creates the next digest for the other gateways.
    pub(super) fn digest(&self) -> PeerDigest {
        self.gateway.borrow_mut().digest(self.now())
    }

    /// Returns all metrics in the Prometheus text format.
    pub(super) fn metrics_text(&self) -> String {
        let age_ms = self.gateway.borrow().configuration_age_ms(self.now());
        for kind in MemoryKind::ALL {
            self.metrics.record_held(kind, self.memory.used_bytes(kind));
            self.metrics.record_memory(kind, self.memory.counts(kind));
        }
        self.metrics.encode(self.open_calls(), self.connections(), age_ms)
    }

    /// Registers a request and applies its arrival. The returned receiver yields the directives for
    /// the task of the request.
    pub(super) fn start_call(&self, request: Call) -> (CallId, mpsc::UnboundedReceiver<Directive>) {
        let call = CallId(self.next_call.get());
        self.next_call.set(call.0 + 1);
        let (directives, receiver) = mpsc::unbounded_channel();
        let client_attempt = request.client_attempt.clone();
        let open_call = OpenCall {
            directives,
            client_attempt,
            session: request.session.clone(),
            prompt_parts: request.prompt.shared_part_ids(MAX_LOGGED_PARTS),
            opened_at: self.now(),
            attempt: None,
        };
        self.calls.borrow_mut().insert(call, open_call);
        self.apply(GatewayEvent::Arrived { call, request: Box::new(request) });
        (call, receiver)
    }

    /// Logs and counts the end of an attempt and applies it to the reducer. `delivered` is true if
    /// the caller has received part of the response.
    pub(super) fn end_attempt(
        &self,
        call: CallId,
        outcome: AttemptOutcome,
        last_event: Option<u64>,
        delivered: bool,
    ) {
        if let Some(open_call) = self.calls.borrow().get(&call) {
            let now = self.now();
            let attempt = open_call.attempt.as_ref();
            let since = |at: TimeMs| now.since(at).get();
            info!(
                request = open_call.client_attempt.as_str(), outcome:? = outcome,
                upstream = attempt.map(|attempt| attempt.upstream.as_str()),
                took_ms = attempt.map(|attempt| since(attempt.dispatched_at)),
                since_first_event_ms = attempt.and_then(|attempt| attempt.first_event_at.map(since)),
                last_event = last_event, delivered = delivered;
                "attempt ended"
            );
        }
        self.metrics.record_attempt(attempt_label(outcome));
        self.apply(GatewayEvent::AttemptEnded { call, outcome, last_event, delivered });
    }

    /// Removes a request whose caller has disconnected and notifies the reducer. Does nothing if
    /// the request has already ended.
    pub(super) fn cancel_call(&self, call: CallId) {
        if let Some(open_call) = self.calls.borrow_mut().remove(&call) {
            let took_ms = self.now().since(open_call.opened_at);
            info!(
                request = open_call.client_attempt.as_str(), took_ms = took_ms.get();
                "caller left before the answer"
            );
            self.metrics.record_call("caller_gone");
        } else {
            return;
        }
        self.apply(GatewayEvent::CallerGone { call });
    }

    fn handle_effect(&self, effect: GatewayEffect) {
        match effect {
            GatewayEffect::Dispatch { call, dispatch } => {
                self.send_directive(call, Directive::Dispatch(dispatch), false);
            }
            GatewayEffect::Abandon { call } => self.send_directive(call, Directive::Abandon, false),
            GatewayEffect::Refuse { call, refusal } => {
                self.send_directive(call, Directive::Refuse(refusal), true);
            }
            GatewayEffect::Deliver { call } => self.send_directive(call, Directive::Deliver, true),
            GatewayEffect::Abort { call } => self.send_directive(call, Directive::Abort, true),
            GatewayEffect::FirstEvent { call, stats } => self.on_first_event(call, &stats),
            GatewayEffect::Ended { stats } => {
                let customer = stats.customer.as_ref().map_or("", CustomerId::as_str);
                self.metrics.record_duration(customer, &stats.route, stats.took_ms);
            }
            GatewayEffect::SentEarly { call, turn } => {
                self.log_early_turn(call, &turn);
                self.metrics.record_early_request(&turn);
            }
            GatewayEffect::RolloutProgress(progress) => {
                log_progress(&progress);
                self.metrics.record_rollout(&progress);
            }
            GatewayEffect::Quarantine(change) => {
                log_quarantine(&change);
                self.metrics.record_quarantine(step_label(change.step));
            }
            GatewayEffect::LimitChanged(change) => {
                log_limit(&change);
                self.metrics.record_limit(&change);
            }
            GatewayEffect::RoomChanged(change) => {
                log_room(&change);
                self.metrics.record_room(&change.service, change.state);
            }
            GatewayEffect::ScarcityChanged(change) => {
                log_scarcity(&change);
                self.metrics.record_scarcity(&change.service, change.is_scarce);
            }
            GatewayEffect::ShareAwaited { call, service, rank } => {
                log_share_wait(call, &service, rank);
                self.metrics.record_share_wait(&service, rank);
            }
            GatewayEffect::SendPermit { host, message } => self.send_permit(&host, *message),
            GatewayEffect::SendDigest => self.digest_due.notify_one(),
            GatewayEffect::WritePartItems(writes) => {
                debug!(items = writes.len(); "prompt part items are to be written");
                // Sending fails only without an adapter, and then there is no store to write to.
                drop(self.part_writes.send(writes));
            }
            GatewayEffect::NoteStoreEra(era) => {
                if self.era_notes.send(era).is_err() {
                    debug!(era:% = era; "no adapter to note the era in the store");
                }
            }
            GatewayEffect::WriteRollout(step) => {
                info!(
                    service:% = step.record.service, version = step.record.target.as_str(),
                    phase:? = step.record.phase, order:% = step.record.order;
                    "rollout advances"
                );
                // Sending fails only without an adapter, and then there is no store to write to.
                drop(self.rollout_steps.send(step));
            }
        }
    }

    /// Queues a message about a permit. One to a gateway that has left is dropped, as nobody waits
    /// for it.
    fn send_permit(&self, host: &HostId, message: PermitMessage) {
        if let Some(address) = self.peer_address(host) {
            let message = PeerMessage::Permit { host: self.host.clone(), message };
            // Sending fails only while the process ends.
            drop(self.permits.send(AddressedPermit { address, message }));
        }
    }

    /// Takes the receiver of the messages about permits, which are to be sent at once.
    pub(super) fn take_permit_receiver(&self) -> Option<mpsc::UnboundedReceiver<AddressedPermit>> {
        self.permit_receiver.borrow_mut().take()
    }

    fn log_early_turn(&self, call: CallId, turn: &EarlyTurn) {
        if let Some(open_call) = self.calls.borrow().get(&call) {
            info!(
                request = open_call.client_attempt.as_str(), service:% = turn.service,
                customer = turn.customer.as_ref().map(CustomerId::as_str), rank:% = turn.rank,
                waited_ms = turn.waited_ms.get(), queued = turn.queued;
                "request sent before more urgent ones: its rank had less than its share"
            );
        }
    }

    fn on_first_event(&self, call: CallId, stats: &FirstEventStats) {
        let customer = stats.customer.as_ref().map_or("", CustomerId::as_str);
        self.metrics.record_first_event(customer, &stats.route, stats.since_arrival_ms);
        if stats.is_estimate_wrong {
            self.metrics.record_wrong_estimate(&stats.route);
        }
        let now = self.now();
        if let Some(open_call) = self.calls.borrow_mut().get_mut(&call) {
            if let Some(attempt) = &mut open_call.attempt {
                attempt.first_event_at = Some(now);
            }
            info!(
                request = open_call.client_attempt.as_str(), route = stats.route.as_str(),
                since_arrival_ms = stats.since_arrival_ms.get(),
                since_dispatch_ms = stats.since_dispatch_ms.get(),
                expected_ms = stats.expected_ms.get(), backlog_ms = stats.backlog_ms.get(),
                unread_tokens = stats.uncached_tokens, prompt_tokens = stats.prompt_tokens,
                in_flight = stats.in_flight;
                "first event"
            );
        }
    }

    fn send_directive(&self, call: CallId, directive: Directive, is_last: bool) {
        let removed = if is_last { self.calls.borrow_mut().remove(&call) } else { None };
        if let (Directive::Dispatch(dispatch), Some(open_call)) =
            (&directive, self.calls.borrow_mut().get_mut(&call))
        {
            let upstream = dispatch.upstream.clone();
            let dispatched_at = self.now();
            if dispatch.limit.is_some() {
                self.metrics.record_limited_request(&dispatch.upstream);
            }
            open_call.attempt = Some(OpenAttempt { upstream, dispatched_at, first_event_at: None });
        }
        let calls = self.calls.borrow();
        let Some(open_call) = removed.as_ref().or_else(|| calls.get(&call)) else {
            return;
        };
        self.log_directive(open_call, &directive);
        // The task of a request that has ended no longer receives directives.
        drop(open_call.directives.send(directive));
    }

    fn log_directive(&self, open_call: &OpenCall, directive: &Directive) {
        let request = open_call.client_attempt.as_str();
        let took_ms = self.now().since(open_call.opened_at).get();
        match directive {
            Directive::Dispatch(dispatch) => info!(
                request = request, attempt = dispatch.attempt, upstream:% = dispatch.upstream,
                version = dispatch.version.as_str(), session = open_call.session.as_deref(),
                prompt_parts = open_call.prompt_parts.as_str(),
                model = dispatch.model.as_ref().map(hickorydoor::id::ModelId::as_str),
                min_confidence = dispatch.min_confidence,
                urgency = dispatch.priority, claim = dispatch.claim,
                fetch_from = dispatch.fetch_from.map(|source| source.to_string()).as_deref(),
                waited_ms = took_ms, expected_ms = dispatch.expected_ms.get(),
                remaining_ms = dispatch.remaining_ms.get(),
                limit_per_s = dispatch.limit.map(RequestRate::per_s);
                "request dispatched"
            ),
            Directive::Abandon => {
                info!(request = request, took_ms = took_ms; "attempt abandoned");
            }
            Directive::Refuse(refusal) => {
                let gateway = self.gateway.borrow();
                let estimate = refusal.estimate.as_ref();
                info!(
                    request = request, reason:% = refusal.reason,
                    retry_after_ms = refusal.retry_after_ms.map(DurationMs::get),
                    on_arrival = estimate.map(|known| known.on_arrival),
                    expected_ms = estimate.map(|known| known.expected_ms.get()),
                    objective_ms = estimate.map(|known| known.objective_ms.get()),
                    backlog_ms = estimate.map(|known| known.backlog_ms.get()),
                    work_ahead_ms = estimate.map(|known| known.work_ahead_ms.get()),
                    rank = estimate.map(|known| known.rank),
                    status = refusal.reason.status(), took_ms = took_ms,
                    configuration = gateway.catalog().map(Catalog::version),
                    configuration_age_ms =
                        gateway.configuration_age_ms(self.now()).map(DurationMs::get);
                    "request refused"
                );
                self.metrics.record_call(refusal.reason.code());
                if let Some(estimate) = estimate {
                    self.metrics.record_no_room(estimate.on_arrival);
                }
            }
            Directive::Deliver => {
                info!(request = request, took_ms = took_ms; "request answered");
                self.metrics.record_call("answered");
            }
            Directive::Abort => {
                info!(request = request, took_ms = took_ms; "answer broken off");
                self.metrics.record_call("aborted");
            }
        }
    }
}

/// Guard that counts a caller's connection as open while it exists.
#[derive(Debug)]
pub(super) struct ConnectionCount(Rc<Core>);

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}
