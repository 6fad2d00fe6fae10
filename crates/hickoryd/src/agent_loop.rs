//! The task that owns an agent's reducer and carries out its effects.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use compact_str::CompactString;
use hickorydoor::Agent;
use hickorydoor::AgentEffect;
use hickorydoor::AgentEvent;
use hickorydoor::AgentMessage;
use hickorydoor::DurationMs;
use hickorydoor::id::AttemptId;
use hickorydoor::id::HostId;
use hickorydoor::message::Call;
use hickorydoor::quantity::ByteCount;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::agent_input::AgentInput;
use crate::clock::Clock;
use crate::engine;
use crate::flow_control::FlowControlWindow;
use crate::http_client::HttpClient;
use crate::kv_port::KvPort;
use crate::link_table::LinkChange;
use crate::link_table::LinkTable;
use crate::reducer_loop;
use crate::status::Status;
use crate::telemetry::Telemetry;
use crate::upstream_call::UpstreamCall;

/// A call to the upstream that runs.
#[derive(Debug)]
pub struct RunningCall {
    allowance: Arc<FlowControlWindow>,
    task: AbortHandle,
}

/// The task that owns an agent's reducer.
#[derive(Debug)]
pub struct AgentLoop {
    /// The reducer.
    pub reducer: Agent,
    /// The agent's host.
    pub host: HostId,
    /// The clock.
    pub clock: Clock,
    /// Root of the upstream.
    pub base_uri: CompactString,
    /// The client for the upstream.
    pub client: HttpClient,
    /// The key-value service.
    pub kv: KvPort<AgentInput>,
    /// Where observations go.
    pub journal: Telemetry,
    /// For tasks that report back.
    pub inputs: mpsc::Sender<AgentInput>,
    /// Open links.
    pub links: LinkTable<AgentMessage>,
    /// Calls to the upstream.
    pub calls: HashMap<AttemptId, RunningCall>,
    /// Events that effects led to.
    pub followups: VecDeque<AgentEvent>,
    /// Set once the reducer has stopped.
    pub stopped: bool,
}

impl AgentLoop {
    /// Runs until the reducer has stopped.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<AgentInput>) {
        let mut ticks = reducer_loop::ticks();
        let mut batch = Vec::with_capacity(reducer_loop::MAX_BATCH);
        while !self.stopped {
            tokio::select! {
                _ = ticks.tick() => self.apply(AgentEvent::Tick),
                _ = inputs.recv_many(&mut batch, reducer_loop::MAX_BATCH) => {
                    for input in batch.drain(..) {
                        self.take(input);
                    }
                }
            }
        }
        for call in self.calls.values() {
            call.task.abort();
        }
    }

    fn take(&mut self, input: AgentInput) {
        match input {
            AgentInput::Event(event) => {
                self.forget_ended_call(&event);
                self.apply(*event);
            }
            AgentInput::Link(report) => match self.links.take(report) {
                Some(LinkChange::Up(entry)) => self.apply(AgentEvent::LinkUp { entry }),
                Some(LinkChange::Message(entry, message)) => {
                    self.apply(AgentEvent::Message { entry, message });
                }
                Some(LinkChange::Down(entry)) => self.apply(AgentEvent::LinkDown { entry }),
                None => {}
            },
            AgentInput::OperatorQuery(question) => question.answer(&self.journal, || self.status()),
        }
    }

    fn forget_ended_call(&mut self, event: &AgentEvent) {
        if let AgentEvent::UpstreamEnded { attempt, .. }
        | AgentEvent::UpstreamFailed { attempt, .. } = event
        {
            self.calls.remove(attempt);
        }
    }

    fn apply(&mut self, event: AgentEvent) {
        self.followups.push_back(event);
        while let Some(event) = self.followups.pop_front() {
            let now = self.clock.now();
            for effect in self.reducer.apply(event, now) {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: AgentEffect) {
        match effect {
            AgentEffect::Send { entry, message } => self.send(entry, message),
            AgentEffect::Disconnect { entry } => self.disconnect(entry),
            AgentEffect::CallUpstream { attempt, call, timeout_ms, read_bytes } => {
                self.call(attempt, call, timeout_ms, read_bytes);
            }
            AgentEffect::AllowRead { attempt, bytes } => {
                if let Some(call) = self.calls.get(&attempt) {
                    call.allowance.raise(bytes);
                }
            }
            AgentEffect::CancelUpstream { attempt } => {
                if let Some(call) = self.calls.remove(&attempt) {
                    call.task.abort();
                }
            }
            AgentEffect::Order { fencing, order } => {
                let client = self.client.clone();
                let base_uri = self.base_uri.clone();
                tokio::spawn(
                    async move { engine::order(&client, &base_uri, fencing, &order).await },
                );
            }
            AgentEffect::Kv { call, operation } => self.kv.call(call, operation),
            AgentEffect::Record(observation) => {
                self.journal.record(&observation, self.clock.now());
            }
            AgentEffect::Stopped => self.stopped = true,
        }
    }

    /// Closes a link. Its task's report comes from a connection that is no longer current and is
    /// ignored, so the loss is reported here.
    fn disconnect(&mut self, entry: HostId) {
        if self.links.close(&entry) {
            self.followups.push_back(AgentEvent::LinkDown { entry });
        }
    }

    fn send(&mut self, entry: HostId, message: AgentMessage) {
        let carried_bytes = match &message {
            AgentMessage::Chunk { data, .. } => data.len(),
            _ => 0,
        };
        if !self.links.send(&entry, message, carried_bytes) {
            self.followups.push_back(AgentEvent::LinkDown { entry });
        }
    }

    fn call(
        &mut self,
        attempt: AttemptId,
        call: Call,
        timeout_ms: DurationMs,
        read_bytes: ByteCount,
    ) {
        let allowance = Arc::new(FlowControlWindow::new(read_bytes));
        let upstream_call = UpstreamCall {
            attempt: attempt.clone(),
            call,
            time_limit: timeout_ms.into(),
            allowance: Arc::clone(&allowance),
            base_uri: self.base_uri.clone(),
            client: self.client.clone(),
            events: self.inputs.clone(),
        };
        let task = tokio::spawn(upstream_call.run()).abort_handle();
        self.calls.insert(attempt, RunningCall { allowance, task });
    }

    fn status(&self) -> Status {
        Status {
            role: "agent",
            host: self.host.clone(),
            revision: self.reducer.revision(),
            in_flight: self.reducer.running(),
            ready: self.links.len() > 0,
            members: Vec::new(),
        }
    }
}
