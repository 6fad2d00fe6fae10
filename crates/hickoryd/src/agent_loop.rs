//! Task that owns the agent reducer and carries out its effects.
//!
//! Links, upstream calls, the key-value service and the operator port send their inputs to this
//! task. Events that effects cause are applied before the next input.

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
use crate::kv_executor::KvExecutor;
use crate::link_table::LinkChange;
use crate::link_table::LinkTable;
use crate::reducer_loop;
use crate::status::Status;
use crate::telemetry::Telemetry;
use crate::upstream_call::UpstreamCall;

/// Call to the upstream that is in progress.
#[derive(Debug)]
pub struct RunningCall {
    window: Arc<FlowControlWindow>,
    task: AbortHandle,
}

/// State of the task that owns the agent reducer.
#[derive(Debug)]
pub struct AgentLoop {
    pub reducer: Agent,
    pub host: HostId,
    pub clock: Clock,
    /// Root of the upstream, without a trailing slash.
    pub base_uri: CompactString,
    /// Client for calls and orders to the upstream.
    pub kv: KvExecutor<AgentInput>,
    pub telemetry: Telemetry,
    /// Sender for tasks that report to this one.
    pub inputs: mpsc::Sender<AgentInput>,
    /// Links to entries.
    pub links: LinkTable<AgentMessage>,
    /// Calls to the upstream that are in progress.
    pub calls: HashMap<AttemptId, RunningCall>,
    /// Events to apply before the next input, most of them caused by effects.
    pub pending_events: VecDeque<AgentEvent>,
    /// Set by [`AgentEffect::Stopped`]; ends the task.
    pub stopped: bool,
}

impl AgentLoop {
    /// Runs until the reducer has stopped, then aborts the calls that are still in progress.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<AgentInput>) {
        let mut ticks = reducer_loop::ticks();
        let mut batch = Vec::with_capacity(reducer_loop::MAX_BATCH);
        while !self.stopped {
            tokio::select! {
                _ = ticks.tick() => self.apply(AgentEvent::Tick),
                _ = inputs.recv_many(&mut batch, reducer_loop::MAX_BATCH) => {
                    for input in batch.drain(..) {
                        self.handle_input(input);
                    }
                }
            }
        }
        for call in self.calls.values() {
            call.task.abort();
        }
    }

    fn handle_input(&mut self, input: AgentInput) {
        match input {
            AgentInput::Event(event) => {
                self.remove_ended_call(&event);
                self.apply(*event);
            }
            AgentInput::Link(report) => match self.links.apply(report) {
                Some(LinkChange::Up(entry)) => self.apply(AgentEvent::LinkUp { entry }),
                Some(LinkChange::Message(entry, message)) => {
                    self.apply(AgentEvent::Message { entry, message });
                }
                Some(LinkChange::Down(entry)) => self.apply(AgentEvent::LinkDown { entry }),
                None => {}
            },
            AgentInput::OperatorQuery(query) => query.respond(&self.telemetry, || self.status()),
        }
    }

    fn remove_ended_call(&mut self, event: &AgentEvent) {
        if let AgentEvent::UpstreamEnded { attempt, .. }
        | AgentEvent::UpstreamFailed { attempt, .. } = event
        {
            self.calls.remove(attempt);
        }
    }

    fn apply(&mut self, event: AgentEvent) {
        self.pending_events.push_back(event);
        while let Some(event) = self.pending_events.pop_front() {
            let now = self.clock.now();
            for effect in self.reducer.apply(event, now) {
                self.execute(effect);
            }
        }
    }

    fn execute(&mut self, effect: AgentEffect) {
        match effect {
            AgentEffect::Send { entry, message } => self.send(entry, message),
            AgentEffect::Disconnect { entry } => self.disconnect(entry),
            AgentEffect::CallUpstream { attempt, call, timeout_ms, read_bytes } => {
                self.start_call(attempt, call, timeout_ms, read_bytes);
            }
            AgentEffect::AllowRead { attempt, bytes } => {
                if let Some(call) = self.calls.get(&attempt) {
                    call.window.extend(bytes);
                }
            }
            AgentEffect::CancelUpstream { attempt } => {
                if let Some(call) = self.calls.remove(&attempt) {
                    call.task.abort();
                }
            }
            AgentEffect::Order { fencing, order } => {
                let base_uri = self.base_uri.clone();
                tokio::spawn(async move { engine::send(&base_uri, fencing, &order).await });
            }
            AgentEffect::Kv { call, operation } => self.kv.call(call, operation),
            AgentEffect::Record(observation) => {
                self.telemetry.record(&observation, self.clock.now());
            }
            AgentEffect::Stopped => self.stopped = true,
        }
    }

    /// Closes a link and reports its loss to the reducer. The report from the task of the link is
    /// ignored later, since its connection is no longer the current one.
    fn disconnect(&mut self, entry: HostId) {
        if self.links.close(&entry) {
            self.pending_events.push_back(AgentEvent::LinkDown { entry });
        }
    }

    fn send(&mut self, entry: HostId, message: AgentMessage) {
        let carried_bytes = match &message {
            AgentMessage::Chunk { data, .. } => data.len(),
            _ => 0,
        };
        if !self.links.send(&entry, message, carried_bytes) {
            self.pending_events.push_back(AgentEvent::LinkDown { entry });
        }
    }

    fn start_call(
        &mut self,
        attempt: AttemptId,
        call: Call,
        timeout_ms: DurationMs,
        read_bytes: ByteCount,
    ) {
        let window = Arc::new(FlowControlWindow::new(read_bytes));
        let upstream_call = UpstreamCall {
            attempt: attempt.clone(),
            call,
            timeout: timeout_ms.into(),
            window: Arc::clone(&window),
            base_uri: self.base_uri.clone(),
            events: self.inputs.clone(),
        };
        let task = tokio::spawn(upstream_call.run()).abort_handle();
        self.calls.insert(attempt, RunningCall { window, task });
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
