//! Core of a gateway process: owns the reducer and is shared by all tasks of the thread.
//!
//! Events are applied one at a time. Effects that a request's task carries out are sent to it as
//! directives, rollout records go to the platform adapter, and measurements are recorded here.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use compact_str::CompactString;
use hickorydoor::TimeMs;
use hickorydoor::gateway::Gateway;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::GatewaySettings;
use hickorydoor::gateway::call::Call;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::catalog::CallerLimits;
use hickorydoor::gateway::catalog::Catalog;
use hickorydoor::gateway::effect::Dispatch;
use hickorydoor::gateway::effect::FirstEventStats;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::peer_digest::PeerDigest;
use hickorydoor::gateway::refusal::CallRefusal;
use hickorydoor::gateway::rollout::RolloutStep;
use hickorydoor::id::CustomerId;
use log::info;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::gateway::boot_clock::BootClock;
use crate::gateway::metrics::GatewayMetrics;

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
}

#[derive(Debug)]
struct OpenCall {
    directives: mpsc::UnboundedSender<Directive>,
    client_attempt: CompactString,
    session: Option<CompactString>,
    opened_at: TimeMs,
}

/// Reducer of a gateway with its clock, metrics and open requests.
#[derive(Debug)]
pub struct Core {
    gateway: RefCell<Gateway>,
    clock: BootClock,
    calls: RefCell<HashMap<CallId, OpenCall>>,
    next_call: Cell<u64>,
    connections: Cell<usize>,
    rollout_steps: mpsc::UnboundedSender<RolloutStep>,
    stopping: watch::Sender<bool>,
    peer_addresses: RefCell<Vec<std::net::IpAddr>>,
    pub(super) metrics: GatewayMetrics,
}

impl Core {
    /// Creates a core with a new reducer, and the receiver of the effects for the platform adapter.
    ///
    /// # Errors
    /// Fails if the metrics cannot be registered.
    pub fn new(settings: GatewaySettings) -> Result<(Rc<Self>, AdapterEffects), prometheus::Error> {
        let (sender, rollout_steps) = mpsc::unbounded_channel();
        let core = Self {
            gateway: RefCell::new(Gateway::new(settings)),
            clock: BootClock::new(),
            calls: RefCell::default(),
            next_call: Cell::new(0),
            connections: Cell::new(0),
            rollout_steps: sender,
            stopping: watch::Sender::new(false),
            peer_addresses: RefCell::default(),
            metrics: GatewayMetrics::new()?,
        };
        Ok((Rc::new(core), AdapterEffects { rollout_steps }))
    }

    /// Returns the current time on the clock by which the reducer measures time.
    pub fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// Applies an event to the reducer and carries out the resulting effects.
    pub fn apply(&self, event: GatewayEvent) {
        log_event(&event);
        let effects = self.gateway.borrow_mut().apply(event, self.now());
        for effect in effects {
            self.handle_effect(effect);
        }
    }

    /// Returns whether the last call to the store was answered.
    pub fn is_store_reachable(&self) -> bool {
        self.gateway.borrow().is_store_reachable()
    }

    /// Returns whether the platform should route new connections to this gateway.
    pub fn is_ready(&self) -> bool {
        self.gateway.borrow().is_ready(self.now())
    }

    /// Starts the graceful shutdown. The reducer still accepts requests until `stop_notice_ms` of
    /// its settings has passed.
    pub fn stop(&self) {
        self.apply(GatewayEvent::Stop);
        self.stopping.send_replace(true);
    }

    /// Returns a receiver whose value becomes true when the graceful shutdown starts.
    pub fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
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

    /// Returns the limits on callers from the configuration in force, or the default limits while
    /// the gateway has no configuration.
    pub fn limits(&self) -> CallerLimits {
        self.gateway.borrow().catalog().map(Catalog::limits).unwrap_or_default()
    }

    /// Sets the addresses of the other gateways, to which digests are sent.
    pub fn set_peer_addresses(&self, addresses: Vec<std::net::IpAddr>) {
        *self.peer_addresses.borrow_mut() = addresses;
    }

    /// Returns the addresses of the other gateways, as last set by the adapter.
    pub fn peer_addresses(&self) -> Vec<std::net::IpAddr> {
        self.peer_addresses.borrow().clone()
    }

    /// Creates the next digest for the other gateways.
    pub(super) fn digest(&self) -> PeerDigest {
        self.gateway.borrow_mut().digest(self.now())
    }

    /// Returns all metrics in the Prometheus text format.
    pub(super) fn metrics_text(&self) -> String {
        let age_ms = self.gateway.borrow().configuration_age_ms(self.now());
        self.metrics.encode(self.open_calls(), age_ms)
    }

    /// Registers a request and applies its arrival. The returned receiver yields the directives for
    /// the task of the request.
    pub(super) fn start_call(&self, request: Call) -> (CallId, mpsc::UnboundedReceiver<Directive>) {
        let call = CallId(self.next_call.get());
        self.next_call.set(call.0 + 1);
        let (directives, receiver) = mpsc::unbounded_channel();
        let client_attempt = request.client_attempt.clone();
        let session = request.session.clone();
        let open_call = OpenCall { directives, client_attempt, session, opened_at: self.now() };
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
            info!(
                request = open_call.client_attempt.as_str(), outcome:? = outcome,
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
            GatewayEffect::WriteRollout(step) => {
                info!(
                    service:% = step.record.service, version = step.record.target.as_str(),
                    phase:? = step.record.phase, order = step.record.order_revision;
                    "rollout advances"
                );
                // Sending fails only without an adapter, and then there is no store to write to.
                drop(self.rollout_steps.send(step));
            }
        }
    }

    fn on_first_event(&self, call: CallId, stats: &FirstEventStats) {
        let customer = stats.customer.as_ref().map_or("", CustomerId::as_str);
        self.metrics.record_first_event(customer, &stats.route, stats.since_arrival_ms);
        if let Some(open_call) = self.calls.borrow().get(&call) {
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
                model = dispatch.model.as_ref().map(hickorydoor::id::ModelId::as_str),
                min_confidence = dispatch.min_confidence,
                fetch_from = dispatch.fetch_from.map(|source| source.to_string()).as_deref(),
                waited_ms = took_ms, expected_ms = dispatch.expected_ms.get(),
                remaining_ms = dispatch.remaining_ms.get();
                "request dispatched"
            ),
            Directive::Abandon => {
                info!(request = request, took_ms = took_ms; "attempt abandoned");
            }
            Directive::Refuse(refusal) => {
                let gateway = self.gateway.borrow();
                info!(
                    request = request, reason:% = refusal.reason,
                    status = refusal.reason.status(), took_ms = took_ms,
                    configuration = gateway.catalog().map(Catalog::version),
                    configuration_age_ms =
                        gateway.configuration_age_ms(self.now()).map(hickorydoor::DurationMs::get);
                    "request refused"
                );
                self.metrics.record_call(refusal.reason.code());
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

const fn attempt_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Served => "served",
        AttemptOutcome::Weak => "weak",
        AttemptOutcome::Failed { .. } => "failed",
        AttemptOutcome::NotRun(_) => "not_run",
        AttemptOutcome::Unknown(_) => "unknown",
    }
}

fn log_event(event: &GatewayEvent) {
    match event {
        GatewayEvent::Configured(catalog) => {
            info!(version = catalog.version(); "configuration read");
        }
        GatewayEvent::Deregistered(upstream) => {
            info!(upstream:% = upstream; "upstream deregistered");
        }
        GatewayEvent::RolloutOrdered(order) => info!(
            service:% = order.service, version = order.target.as_str(), order = order.revision;
            "rollout ordered"
        ),
        GatewayEvent::RolloutRecorded(record) => info!(
            service:% = record.service, version = record.target.as_str(),
            phase:? = record.phase, order = record.order_revision;
            "rollout recorded"
        ),
        GatewayEvent::DataCentreOut(id) => info!(data_centre:% = id; "data centre taken out"),
        GatewayEvent::DataCentreIn(id) => info!(data_centre:% = id; "data centre taken back"),
        GatewayEvent::Gateways(gateways) => info!(count = gateways.len(); "gateways known"),
        GatewayEvent::Stop => info!("stop requested"),
        _ => {}
    }
}
