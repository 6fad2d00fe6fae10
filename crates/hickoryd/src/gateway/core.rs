//! The reducer of a gateway, shared by the tasks of one thread.

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

/// What the task of a request is to do next.
#[derive(Debug)]
pub enum Directive {
    /// Send the request to an upstream.
    Dispatch(Box<Dispatch>),
    /// Break off the attempt under way.
    Abandon,
    /// Answer without an upstream.
    Refuse(CallRefusal),
    /// Pass on the answer of the last attempt.
    Deliver,
    /// Break off the answer.
    Abort,
}

/// Events of an adapter and effects for it.
#[derive(Debug)]
pub struct AdapterPort {
    /// Records of rollouts to write.
    pub rollout_steps: mpsc::UnboundedReceiver<RolloutStep>,
}

#[derive(Debug)]
struct OpenCall {
    directives: mpsc::UnboundedSender<Directive>,
    client_attempt: CompactString,
    session: Option<CompactString>,
    opened_at: TimeMs,
}

/// The reducer with its clock and the open requests.
#[derive(Debug)]
pub struct Core {
    gateway: RefCell<Gateway>,
    clock: BootClock,
    calls: RefCell<HashMap<CallId, OpenCall>>,
    next_call: Cell<u64>,
    connections: Cell<usize>,
    rollout_steps: mpsc::UnboundedSender<RolloutStep>,
    stopping: watch::Sender<bool>,
    gateways: RefCell<Vec<std::net::IpAddr>>,
    pub(super) metrics: GatewayMetrics,
}

impl Core {
    /// A core around a new reducer.
    ///
    /// # Errors
    /// Fails if the metrics cannot be registered.
    pub fn new(settings: GatewaySettings) -> Result<(Rc<Self>, AdapterPort), prometheus::Error> {
        let (sender, rollout_steps) = mpsc::unbounded_channel();
        let core = Self {
            gateway: RefCell::new(Gateway::new(settings)),
            clock: BootClock::new(),
            calls: RefCell::default(),
            next_call: Cell::new(0),
            connections: Cell::new(0),
            rollout_steps: sender,
            stopping: watch::Sender::new(false),
            gateways: RefCell::default(),
            metrics: GatewayMetrics::new()?,
        };
        Ok((Rc::new(core), AdapterPort { rollout_steps }))
    }

    /// The current time.
    pub fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// Passes an event to the reducer and hands out its effects.
    pub fn apply(&self, event: GatewayEvent) {
        log_event(&event);
        let effects = self.gateway.borrow_mut().apply(event, self.now());
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// Whether the last call to the store was answered.
    pub fn is_store_reachable(&self) -> bool {
        self.gateway.borrow().is_store_reachable()
    }

    /// Whether new connections are welcome.
    pub fn is_ready(&self) -> bool {
        self.gateway.borrow().is_ready(self.now())
    }

    /// Begins a graceful shutdown.
    pub fn stop(&self) {
        self.apply(GatewayEvent::Stop);
        self.stopping.send_replace(true);
    }

    /// Turns true when the process is to stop.
    pub fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }

    /// Whether the process is to stop.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Requests that have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.borrow().len()
    }

    /// Open connections of callers.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Counts a caller's connection until the guard is dropped.
    pub(super) fn count_connection(self: &Rc<Self>) -> ConnectionCount {
        self.connections.set(self.connections.get() + 1);
        ConnectionCount(Rc::clone(self))
    }

    /// What callers may send now.
    pub fn limits(&self) -> CallerLimits {
        self.gateway.borrow().catalog().map(Catalog::limits).unwrap_or_default()
    }

    /// Sets the addresses of the other gateways.
    pub fn set_peer_addresses(&self, addresses: Vec<std::net::IpAddr>) {
        *self.gateways.borrow_mut() = addresses;
    }

    /// Addresses of the other gateways.
    pub fn peer_addresses(&self) -> Vec<std::net::IpAddr> {
        self.gateways.borrow().clone()
    }

    /// The report for the other gateways.
    pub(super) fn digest(&self) -> PeerDigest {
        self.gateway.borrow_mut().digest(self.now())
    }

    /// All metrics as text.
    pub(super) fn metrics_text(&self) -> String {
        let age_ms = self.gateway.borrow().configuration_age_ms(self.now());
        self.metrics.text(self.open_calls(), age_ms)
    }

    /// Takes in a request; directives for it arrive on the receiver.
    pub(super) fn open(&self, request: Call) -> (CallId, mpsc::UnboundedReceiver<Directive>) {
        let call = CallId(self.next_call.get());
        self.next_call.set(call.0 + 1);
        let (directives, receiver) = mpsc::unbounded_channel();
        let client_attempt = request.client_attempt.clone();
        let session = request.session.clone();
        let known = OpenCall { directives, client_attempt, session, opened_at: self.now() };
        self.calls.borrow_mut().insert(call, known);
        self.apply(GatewayEvent::Arrived { call, request: Box::new(request) });
        (call, receiver)
    }

    /// Takes in the end of an attempt.
    pub(super) fn end_attempt(
        &self,
        call: CallId,
        outcome: AttemptOutcome,
        last_event: Option<u64>,
        delivered: bool,
    ) {
        if let Some(known) = self.calls.borrow().get(&call) {
            info!(
                request = known.client_attempt.as_str(), outcome:? = outcome,
                last_event = last_event, delivered = delivered;
                "attempt ended"
            );
        }
        self.metrics.on_attempt(attempt_label(outcome));
        self.apply(GatewayEvent::AttemptEnded { call, outcome, last_event, delivered });
    }

    /// Forgets a request, and tells the reducer if it had not ended.
    pub(super) fn close(&self, call: CallId) {
        if let Some(known) = self.calls.borrow_mut().remove(&call) {
            let took_ms = self.now().since(known.opened_at);
            info!(
                request = known.client_attempt.as_str(), took_ms = took_ms.get();
                "caller left before the answer"
            );
            self.metrics.on_call("caller_gone");
        } else {
            return;
        }
        self.apply(GatewayEvent::CallerGone { call });
    }

    fn carry_out(&self, effect: GatewayEffect) {
        match effect {
            GatewayEffect::Dispatch { call, dispatch } => {
                self.direct(call, Directive::Dispatch(dispatch), false);
            }
            GatewayEffect::Abandon { call } => self.direct(call, Directive::Abandon, false),
            GatewayEffect::Refuse { call, refusal } => {
                self.direct(call, Directive::Refuse(refusal), true);
            }
            GatewayEffect::Deliver { call } => self.direct(call, Directive::Deliver, true),
            GatewayEffect::Abort { call } => self.direct(call, Directive::Abort, true),
            GatewayEffect::FirstEvent { call, stats } => self.on_first_event(call, &stats),
            GatewayEffect::Ended { stats } => {
                let customer = stats.customer.as_ref().map_or("", CustomerId::as_str);
                self.metrics.on_end(customer, &stats.route, stats.took_ms);
            }
            GatewayEffect::WriteRollout(step) => {
                info!(
                    service:% = step.record.service, version = step.record.target.as_str(),
                    phase:? = step.record.phase, order = step.record.order_revision;
                    "rollout advances"
                );
                // Without an adapter there is no store to write to.
                drop(self.rollout_steps.send(step));
            }
        }
    }

    fn on_first_event(&self, call: CallId, stats: &FirstEventStats) {
        let customer = stats.customer.as_ref().map_or("", CustomerId::as_str);
        self.metrics.on_first_event(customer, &stats.route, stats.since_arrival_ms);
        if let Some(known) = self.calls.borrow().get(&call) {
            info!(
                request = known.client_attempt.as_str(), route = stats.route.as_str(),
                since_arrival_ms = stats.since_arrival_ms.get(),
                since_dispatch_ms = stats.since_dispatch_ms.get(),
                expected_ms = stats.expected_ms.get(), backlog_ms = stats.backlog_ms.get(),
                unread_tokens = stats.uncached_tokens, prompt_tokens = stats.prompt_tokens,
                in_flight = stats.in_flight;
                "first event"
            );
        }
    }

    fn direct(&self, call: CallId, directive: Directive, last: bool) {
        let known = if last { self.calls.borrow_mut().remove(&call) } else { None };
        let calls = self.calls.borrow();
        let Some(open) = known.as_ref().or_else(|| calls.get(&call)) else {
            return;
        };
        self.log_directive(open, &directive);
        // The task of a request that has ended takes no directives.
        drop(open.directives.send(directive));
    }

    fn log_directive(&self, open: &OpenCall, directive: &Directive) {
        let request = open.client_attempt.as_str();
        let took_ms = self.now().since(open.opened_at).get();
        match directive {
            Directive::Dispatch(dispatch) => info!(
                request = request, attempt = dispatch.attempt, upstream:% = dispatch.upstream,
                version = dispatch.version.as_str(), session = open.session.as_deref(),
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
                self.metrics.on_call(refusal.reason.code());
            }
            Directive::Deliver => {
                info!(request = request, took_ms = took_ms; "request answered");
                self.metrics.on_call("answered");
            }
            Directive::Abort => {
                info!(request = request, took_ms = took_ms; "answer broken off");
                self.metrics.on_call("aborted");
            }
        }
    }
}

/// Counts a caller's connection while it exists.
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
