//! Task that owns the entry reducer and carries out its effects.
//!
//! The HTTP API, links, the host list, the rating service, the key-value service and the operator
//! port send their inputs to this task. Events that effects cause are applied before the next input.

use std::collections::VecDeque;
use std::sync::Arc;

use compact_str::CompactString;
use hickorydoor::Configuration;
use hickorydoor::Entry;
use hickorydoor::EntryEffect;
use hickorydoor::EntryEvent;
use hickorydoor::EntryMessage;
use hickorydoor::id::CallerId;
use hickorydoor::id::HostId;
use hickorydoor::message::Call;
use hickorydoor::observation::Observation;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::caller_table::CallerDisconnected;
use crate::caller_table::CallerTable;
use crate::clock::Clock;
use crate::entry_input::CallerUpdate;
use crate::entry_input::EntryInput;
use crate::entry_link::run_link;
use crate::http_client::HttpClient;
use crate::kv_executor::KvExecutor;
use crate::link_table::LinkChange;
use crate::link_table::LinkTable;
use crate::platform::RatingRequest;
use crate::platform::request_rating;
use crate::reducer_loop;
use crate::status::PeerStatus;
use crate::status::Status;
use crate::telemetry::Telemetry;
use crate::tls::TlsWatch;

/// State of the task that owns the entry reducer.
#[derive(Debug)]
pub struct EntryLoop {
    pub reducer: Entry,
    pub host: HostId,
    pub clock: Clock,
    /// Root of the rating service; without one, every rating fails as unavailable.
    pub rating_uri: Option<CompactString>,
    /// Client for the rating service.
    pub client: HttpClient,
    pub kv: KvExecutor<EntryInput>,
    pub telemetry: Telemetry,
    /// Sender for tasks that report to this one.
    pub inputs: mpsc::Sender<EntryInput>,
    /// Publishes the configuration in force to the HTTP API.
    pub configuration: watch::Sender<Arc<Configuration>>,
    /// TLS identity for links; links use plain TCP if absent.
    pub tls: Option<TlsWatch>,
    /// Links to agents.
    pub links: LinkTable<EntryMessage>,
    /// Callers with an open request.
    pub callers: CallerTable,
    /// Events to apply before the next input, most of them caused by effects.
    pub pending_events: VecDeque<EntryEvent>,
    /// Set by [`EntryEffect::Stopped`]; ends the task.
    pub stopped: bool,
}

impl EntryLoop {
    /// Runs until the reducer has stopped.
    pub async fn run(
        mut self,
        mut inputs: mpsc::Receiver<EntryInput>,
        mut caller_updates: mpsc::UnboundedReceiver<CallerUpdate>,
    ) {
        let mut ticks = reducer_loop::ticks();
        let mut batch = Vec::with_capacity(reducer_loop::MAX_BATCH);
        let mut update_batch = Vec::with_capacity(reducer_loop::MAX_BATCH);
        while !self.stopped {
            tokio::select! {
                _ = ticks.tick() => self.apply(EntryEvent::Tick),
                _ = caller_updates.recv_many(&mut update_batch, reducer_loop::MAX_BATCH), if !caller_updates.is_closed() => {
                    for update in update_batch.drain(..) {
                        self.handle_caller_update(update);
                    }
                }
                _ = inputs.recv_many(&mut batch, reducer_loop::MAX_BATCH) => {
                    for input in batch.drain(..) {
                        self.handle_input(input);
                    }
                }
            }
        }
    }

    fn handle_caller_update(&mut self, update: CallerUpdate) {
        match update {
            CallerUpdate::Read { caller, bytes } => {
                self.apply(EntryEvent::CallerRead { caller, bytes });
            }
            CallerUpdate::Disconnected { caller } => {
                self.callers.remove(caller);
                self.apply(EntryEvent::CallerGone { caller });
            }
        }
    }

    fn handle_input(&mut self, input: EntryInput) {
        match input {
            EntryInput::Event(event) => self.apply(*event),
            EntryInput::Request { request, response } => {
                // A caller that disconnected while its request was queued costs no attempt.
                if !response.is_closed() {
                    self.callers.add(request.caller, response);
                    self.apply(EntryEvent::Request(request));
                }
            }
            EntryInput::Link(report) => match self.links.apply(report) {
                Some(LinkChange::Up(agent)) => self.apply(EntryEvent::LinkUp { agent }),
                Some(LinkChange::Message(agent, message)) => {
                    self.apply(EntryEvent::Message { agent, message });
                }
                Some(LinkChange::Down(agent)) => self.apply(EntryEvent::LinkDown { agent }),
                None => {}
            },
            EntryInput::ConnectFailed { agent } => self.apply(EntryEvent::LinkDown { agent }),
            EntryInput::OperatorQuery(query) => query.respond(&self.telemetry, || self.status()),
        }
    }

    fn apply(&mut self, event: EntryEvent) {
        self.pending_events.push_back(event);
        while let Some(event) = self.pending_events.pop_front() {
            let now = self.clock.now();
            for effect in self.reducer.apply(event, now) {
                self.execute(effect);
            }
        }
    }

    fn execute(&mut self, effect: EntryEffect) {
        match effect {
            EntryEffect::Respond { caller, head } => {
                let sent = self.callers.respond(caller, head);
                self.handle_send_result(caller, sent);
            }
            EntryEffect::Body { caller, data } => {
                let sent = self.callers.send_data(caller, data);
                self.handle_send_result(caller, sent);
            }
            EntryEffect::End { caller } => self.callers.end(caller),
            EntryEffect::Refuse { caller, request, refusal } => {
                self.callers.reject(caller, request, refusal);
            }
            EntryEffect::Abort { caller, refusal } => self.callers.abort(caller, refusal),
            EntryEffect::Connect { agent, address } => {
                let identity = self.tls.as_ref().map(|tls| tls.borrow().clone());
                tokio::spawn(run_link(agent, address, identity, self.inputs.clone()));
            }
            EntryEffect::Disconnect { agent } => self.disconnect(agent),
            EntryEffect::Send { agent, message } => self.send(agent, message),
            EntryEffect::Rate { request, ordinal, version, prompt, answer } => {
                let rating_request = RatingRequest { request, ordinal, version, prompt, answer };
                let client = self.client.clone();
                tokio::spawn(request_rating(
                    client,
                    self.rating_uri.clone(),
                    rating_request,
                    self.inputs.clone(),
                ));
            }
            EntryEffect::Kv { call, operation } => self.kv.call(call, operation),
            EntryEffect::Record(observation) => self.record(&observation),
            EntryEffect::Stopped => self.stopped = true,
        }
    }

    /// Removes a caller to which nothing could be sent, and notifies the reducer.
    fn handle_send_result(&mut self, caller: CallerId, sent: Result<(), CallerDisconnected>) {
        if sent.is_err() {
            self.callers.remove(caller);
            self.pending_events.push_back(EntryEvent::CallerGone { caller });
        }
    }

    /// Closes a link and reports its loss to the reducer. The report from the task of the link is
    /// ignored later, since its connection is no longer the current one.
    fn disconnect(&mut self, agent: HostId) {
        if self.links.close(&agent) {
            self.pending_events.push_back(EntryEvent::LinkDown { agent });
        }
    }

    fn send(&mut self, agent: HostId, message: EntryMessage) {
        let carried_bytes = match &message {
            EntryMessage::Dispatch(dispatch) => body_bytes(&dispatch.call),
            _ => 0,
        };
        if !self.links.send(&agent, message, carried_bytes) {
            self.pending_events.push_back(EntryEvent::LinkDown { agent });
        }
    }

    fn record(&mut self, observation: &Observation) {
        if matches!(observation, Observation::RevisionInForce { .. }) {
            let configuration = Arc::new(self.reducer.configuration().clone());
            self.configuration.send_replace(configuration);
        }
        self.telemetry.record(observation, self.clock.now());
    }

    fn status(&self) -> Status {
        let members: Vec<PeerStatus> = self
            .reducer
            .members()
            .iter()
            .map(|(host, member)| PeerStatus {
                host: host.clone(),
                connected: member.connected,
                draining: member.draining,
                in_flight: member.in_flight,
            })
            .collect();
        let configured = self.reducer.revision() > hickorydoor::id::Revision::default();
        Status {
            role: "entry",
            host: self.host.clone(),
            revision: self.reducer.revision(),
            in_flight: self.reducer.requests_in_flight(),
            ready: configured && members.iter().any(|member| member.connected),
            members,
        }
    }
}

const fn body_bytes(call: &Call) -> usize {
    match call {
        Call::Model(call) => call.body.len(),
        Call::Service(call) => call.body.len(),
    }
}
