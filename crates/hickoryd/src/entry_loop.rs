//! The task that owns an entry's reducer and carries out its effects.

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
use crate::kv_port::KvPort;
use crate::link_table::LinkChange;
use crate::link_table::LinkTable;
use crate::platform::RatingRequest;
use crate::platform::rate;
use crate::reducer_loop;
use crate::status::PeerStatus;
use crate::status::Status;
use crate::telemetry::Telemetry;
use crate::tls::TlsWatch;

/// The task that owns an entry's reducer.
#[derive(Debug)]
pub struct EntryLoop {
    /// The reducer.
    pub reducer: Entry,
    /// The entry's host.
    pub host: HostId,
    /// The clock.
    pub clock: Clock,
    /// Root of the rating service, if there is one.
    pub rating_uri: Option<CompactString>,
    /// The client for the rating service.
    pub client: HttpClient,
    /// The key-value service.
    pub kv: KvPort<EntryInput>,
    /// Where observations go.
    pub journal: Telemetry,
    /// For tasks that report back.
    pub inputs: mpsc::Sender<EntryInput>,
    /// The configuration in force, for the HTTP front.
    pub configuration: watch::Sender<Arc<Configuration>>,
    /// TLS identity for links, if they use TLS.
    pub tls: Option<TlsWatch>,
    /// Open links.
    pub links: LinkTable<EntryMessage>,
    /// Callers whose answers are on their way.
    pub callers: CallerTable,
    /// Events that effects led to.
    pub followups: VecDeque<EntryEvent>,
    /// Set once the reducer has stopped.
    pub stopped: bool,
}

impl EntryLoop {
    /// Runs until the reducer has stopped.
    pub async fn run(
        mut self,
        mut inputs: mpsc::Receiver<EntryInput>,
        mut notes: mpsc::UnboundedReceiver<CallerUpdate>,
    ) {
        let mut ticks = reducer_loop::ticks();
        let mut batch = Vec::with_capacity(reducer_loop::MAX_BATCH);
        let mut note_batch = Vec::with_capacity(reducer_loop::MAX_BATCH);
        while !self.stopped {
            tokio::select! {
                _ = ticks.tick() => self.apply(EntryEvent::Tick),
                _ = notes.recv_many(&mut note_batch, reducer_loop::MAX_BATCH), if !notes.is_closed() => {
                    for note in note_batch.drain(..) {
                        self.take_note(note);
                    }
                }
                _ = inputs.recv_many(&mut batch, reducer_loop::MAX_BATCH) => {
                    for input in batch.drain(..) {
                        self.take(input);
                    }
                }
            }
        }
    }

    fn take_note(&mut self, note: CallerUpdate) {
        match note {
            CallerUpdate::Read { caller, bytes } => {
                self.apply(EntryEvent::CallerRead { caller, bytes });
            }
            CallerUpdate::Gone { caller } => {
                self.callers.remove(caller);
                self.apply(EntryEvent::CallerGone { caller });
            }
        }
    }

    fn take(&mut self, input: EntryInput) {
        match input {
            EntryInput::Event(event) => self.apply(*event),
            EntryInput::Request { request, answer } => {
                // A caller that hung up before its request was taken is not worth an attempt.
                if !answer.is_closed() {
                    self.callers.add(request.caller, answer);
                    self.apply(EntryEvent::Request(request));
                }
            }
            EntryInput::Link(report) => match self.links.take(report) {
                Some(LinkChange::Up(agent)) => self.apply(EntryEvent::LinkUp { agent }),
                Some(LinkChange::Message(agent, message)) => {
                    self.apply(EntryEvent::Message { agent, message });
                }
                Some(LinkChange::Down(agent)) => self.apply(EntryEvent::LinkDown { agent }),
                None => {}
            },
            EntryInput::ConnectFailed { agent } => self.apply(EntryEvent::LinkDown { agent }),
            EntryInput::OperatorQuery(question) => question.answer(&self.journal, || self.status()),
        }
    }

    fn apply(&mut self, event: EntryEvent) {
        self.followups.push_back(event);
        while let Some(event) = self.followups.pop_front() {
            let now = self.clock.now();
            for effect in self.reducer.apply(event, now) {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: EntryEffect) {
        match effect {
            EntryEffect::Respond { caller, head } => {
                let sent = self.callers.respond(caller, head);
                self.check_caller(caller, sent);
            }
            EntryEffect::Body { caller, data } => {
                let sent = self.callers.body(caller, data);
                self.check_caller(caller, sent);
            }
            EntryEffect::End { caller } => self.callers.end(caller),
            EntryEffect::Refuse { caller, request, refusal } => {
                self.callers.refuse(caller, request, refusal);
            }
            EntryEffect::Abort { caller, refusal } => self.callers.cut(caller, refusal),
            EntryEffect::Connect { agent, address } => {
                let identity = self.tls.as_ref().map(|tls| tls.borrow().clone());
                tokio::spawn(run_link(agent, address, identity, self.inputs.clone()));
            }
            EntryEffect::Disconnect { agent } => self.disconnect(agent),
            EntryEffect::Send { agent, message } => self.send(agent, message),
            EntryEffect::Rate { request, ordinal, version, prompt, answer } => {
                let asked = RatingRequest { request, ordinal, version, prompt, answer };
                let client = self.client.clone();
                tokio::spawn(rate(client, self.rating_uri.clone(), asked, self.inputs.clone()));
            }
            EntryEffect::Kv { call, operation } => self.kv.call(call, operation),
            EntryEffect::Record(observation) => self.record(&observation),
            EntryEffect::Stopped => self.stopped = true,
        }
    }

    fn check_caller(&mut self, caller: CallerId, sent: Result<(), CallerDisconnected>) {
        if sent.is_err() {
            self.callers.remove(caller);
            self.followups.push_back(EntryEvent::CallerGone { caller });
        }
    }

    /// Closes a link. Its task's report comes from a connection that is no longer current and is
    /// ignored, so the loss is reported here.
    fn disconnect(&mut self, agent: HostId) {
        if self.links.close(&agent) {
            self.followups.push_back(EntryEvent::LinkDown { agent });
        }
    }

    fn send(&mut self, agent: HostId, message: EntryMessage) {
        let carried_bytes = match &message {
            EntryMessage::Dispatch(dispatch) => body_bytes(&dispatch.call),
            _ => 0,
        };
        if !self.links.send(&agent, message, carried_bytes) {
            self.followups.push_back(EntryEvent::LinkDown { agent });
        }
    }

    fn record(&mut self, observation: &Observation) {
        if matches!(observation, Observation::RevisionInForce { .. }) {
            let configuration = Arc::new(self.reducer.configuration().clone());
            self.configuration.send_replace(configuration);
        }
        self.journal.record(observation, self.clock.now());
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
