//! Discrete-event simulation of entries, agents and engines in virtual time.
//!
//! Entries and agents are the production reducers, and engines are models of inference engines. The
//! key-value service gives fixed replies and the rating service random scores, each after a fixed
//! latency.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use bytes::Bytes;
use hickorydoor::Agent;
use hickorydoor::AgentEffect;
use hickorydoor::AgentEvent;
use hickorydoor::AgentMessage;
use hickorydoor::CallerRequest;
use hickorydoor::Class;
use hickorydoor::Configuration;
use hickorydoor::DurationMs;
use hickorydoor::Entry;
use hickorydoor::EntryEffect;
use hickorydoor::EntryEvent;
use hickorydoor::EntryMessage;
use hickorydoor::KeyDigest;
use hickorydoor::TimeMs;
use hickorydoor::agent::event::ReportFault;
use hickorydoor::agent::event::UpstreamFault;
use hickorydoor::entry::caller_request::ChatRequest;
use hickorydoor::entry::caller_request::RequestPayload as Payload;
use hickorydoor::entry::event::RatingFault;
use hickorydoor::id::AttemptId;
use hickorydoor::id::CallerId;
use hickorydoor::id::HostId;
use hickorydoor::message::Call;
use hickorydoor::message::ConfigUpdate;
use hickorydoor::observation::Observation;
use hickorydoor::quantity::Tokens;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvFault;
use hickorydoor::store::kv_call::KvOutcome;
use hickorydoor::store::kv_call::KvReply;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::deployment::Deployment;
use crate::deployment::SampledRequest;
use crate::deployment::exponential;
use crate::engine::Engine;
use crate::engine::Sequence;
use crate::fault::FAULT_END_S;
use crate::fault::FAULT_START_S;
use crate::fault::Fault;
use crate::fleet;
use crate::fleet::Policy;
use crate::report::Report;

/// Start of the virtual time, so that the reducers see plausible wall-clock times.
const EPOCH_MS: u64 = 1_700_000_000_000;
const TICK_US: u64 = 50_000;
const ENGINE_REPORT_US: u64 = 250_000;
/// Age of an engine's report on arrival at its agent.
const REPORT_DELAY_US: u64 = 400_000;
const KV_LATENCY_US: u64 = 3_000;
const RATING_LATENCY_US: u64 = 40_000;
/// Requests before this time fill the caches and raise the admission limits; they are not measured.
const WARM_UP_US: u64 = 15_000_000;
const BYTES_PER_TOKEN: usize = 4;
/// Fraction of rated answers that are released.
const RELEASED_SHARE: f64 = 0.6;
/// Delay until a change of the configuration reaches entries and agents.
const CONFIG_DELAY_US: u64 = 500_000;

#[derive(Debug)]
enum Event {
    Arrival,
    ToEntry(usize, EntryEvent),
    ToAgent(usize, AgentEvent),
    /// The end of a step, with the engine's epoch at its start.
    EngineStep(usize, u64),
    EngineReport(usize),
    EntryTick(usize),
    AgentTick(usize),
    FaultStart,
    FaultEnd,
    /// The end of an engine's restart.
    EngineUp(usize),
}

/// An event with its time in microseconds and its sequence number, which orders simultaneous events.
#[derive(Debug)]
struct ScheduledEvent(u64, u64, Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A request that has not ended.
#[derive(Debug)]
struct OpenRequest {
    sample: SampledRequest,
    arrived_us: u64,
    last_chunk_us: Option<u64>,
    deadline_us: u64,
    measured: bool,
}

#[derive(Debug)]
pub struct World {
    deployment: Deployment,
    fault: Fault,
    load: f64,
    arrivals_rng: Pcg64Mcg,
    ratings_rng: Pcg64Mcg,
    now_us: u64,
    /// Sequence number of the latest event.
    last_event: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    engines: Vec<Engine>,
    entry_index: HashMap<HostId, usize>,
    agent_index: HashMap<HostId, usize>,
    open_requests: HashMap<(usize, CallerId), OpenRequest>,
    next_caller: u64,
    keys: Vec<KeyDigest>,
    configuration: Configuration,
    pub report: Report,
}

impl World {
    pub fn new(deployment: Deployment, fault: Fault, policy: Policy, load: f64, seed: u64) -> Self {
        let start = TimeMs::new(EPOCH_MS);
        let entries: Vec<Entry> = (0..deployment.entries)
            .map(|index| {
                let settings = fleet::entry_settings(&deployment, index, policy);
                Entry::new(settings, seed + index as u64, start)
            })
            .collect();
        let agents: Vec<Agent> = (0..deployment.engines)
            .map(|index| Agent::new(fleet::agent_settings(&deployment, index, policy), start))
            .collect();
        let engines = (0..deployment.engines)
            .map(|index| {
                Engine::new(fleet::version_of(&deployment, index), deployment.chunk_tokens)
            })
            .collect();
        let mut world = Self {
            fault,
            load,
            arrivals_rng: Pcg64Mcg::seed_from_u64(seed),
            ratings_rng: Pcg64Mcg::seed_from_u64(seed + 1),
            now_us: 0,
            last_event: 0,
            queue: BinaryHeap::new(),
            entry_index: (0..entries.len())
                .map(|index| (fleet::entry_host(index), index))
                .collect(),
            agent_index: (0..agents.len()).map(|index| (fleet::agent_host(index), index)).collect(),
            entries,
            agents,
            engines,
            open_requests: HashMap::new(),
            next_caller: 0,
            keys: (0..deployment.customers).map(fleet::customer_key).collect(),
            configuration: fleet::configuration(&deployment),
            report: Report::new(deployment.duration_s, deployment.customers),
            deployment,
        };
        world.start();
        world
    }

    fn start(&mut self) {
        self.push_configuration(0);
        let records = fleet::host_records(&self.deployment);
        for index in 0..self.entries.len() {
            // An entry may link to only some of the agents; the rotation makes entries choose
            // different ones.
            let mut records = records.clone();
            records.rotate_left(index * self.agents.len() / self.entries.len());
            self.schedule(1_000, Event::ToEntry(index, EntryEvent::HostList(records)));
            self.schedule(index as u64 * 1_700, Event::EntryTick(index));
        }
        for index in 0..self.agents.len() {
            let offset_us = index as u64 * 7_919 % TICK_US;
            self.schedule(offset_us, Event::AgentTick(index));
            self.schedule(offset_us * 5, Event::EngineReport(index));
        }
        self.schedule(500_000, Event::Arrival);
        self.schedule(FAULT_START_S * 1_000_000, Event::FaultStart);
        self.schedule(FAULT_END_S * 1_000_000, Event::FaultEnd);
    }

    /// Runs the simulation to its end and returns the measurements.
    pub fn run(mut self) -> Report {
        let end_us = self.deployment.duration_s * 1_000_000;
        while let Some(Reverse(ScheduledEvent(at_us, _, event))) = self.queue.pop() {
            if at_us >= end_us {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
        self.report
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.last_event += 1;
        self.queue.push(Reverse(ScheduledEvent(self.now_us + delay_us, self.last_event, event)));
    }

    const fn now(&self) -> TimeMs {
        TimeMs::new(EPOCH_MS + self.now_us / 1_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::ToEntry(entry, event) => self.apply_entry(entry, event),
            Event::ToAgent(agent, event) => self.apply_agent(agent, event),
            Event::EngineStep(engine, epoch) => self.finish_engine_step(engine, epoch),
            Event::EngineReport(engine) => self.send_engine_report(engine),
            Event::EntryTick(entry) => {
                self.schedule(TICK_US, Event::EntryTick(entry));
                self.apply_entry(entry, EntryEvent::Tick);
            }
            Event::AgentTick(agent) => {
                self.schedule(TICK_US, Event::AgentTick(agent));
                self.apply_agent(agent, AgentEvent::Tick);
            }
            Event::FaultStart => self.start_fault(),
            Event::FaultEnd => self.end_fault(),
            Event::EngineUp(engine) => {
                self.engines[engine].down = false;
                self.start_engine_step(engine);
            }
        }
    }

    fn on_arrival(&mut self) {
        let during_fault = (FAULT_START_S..FAULT_END_S).contains(&(self.now_us / 1_000_000));
        let load = if self.fault == Fault::Burst && during_fault { 1.6 } else { self.load };
        let mean_us = 1e6 / (self.deployment.capacity_per_s() * load);
        let interval_us = exponential(mean_us, mean_us * 20.0, &mut self.arrivals_rng);
        self.schedule(interval_us.max(1), Event::Arrival);
        let sample = self.deployment.next_request(&mut self.arrivals_rng);
        let entry = self.arrivals_rng.random_range(0..self.entries.len());
        let caller = CallerId::new(self.next_caller);
        self.next_caller += 1;
        let deadline_ms = match sample.class {
            Class::Interactive => DurationMs::from_secs(60),
            Class::Batch => DurationMs::from_secs(120),
        };
        let request = self.caller_request(caller, &sample, deadline_ms);
        let due_us = self.now_us + deadline_ms.get() * 1_000;
        let end_us = self.deployment.duration_s * 1_000_000;
        let measured = self.now_us >= WARM_UP_US && due_us.min(self.now_us + 20_000_000) < end_us;
        self.report.arrived += u64::from(self.now_us >= WARM_UP_US);
        if measured {
            self.report.measured += 1;
            self.report.refused_by_customer[sample.customer].0 += 1;
        }
        let arrived_us = self.now_us;
        let open =
            OpenRequest { sample, arrived_us, last_chunk_us: None, deadline_us: due_us, measured };
        self.open_requests.insert((entry, caller), open);
        self.apply_entry(entry, EntryEvent::Request(Box::new(request)));
    }

    fn caller_request(
        &self,
        caller: CallerId,
        sample: &SampledRequest,
        deadline_ms: DurationMs,
    ) -> CallerRequest {
        CallerRequest {
            caller,
            key: self.keys[sample.customer],
            session: sample.session.map(fleet::session_id),
            class: sample.class,
            deadline_ms: Some(deadline_ms),
            payload: Payload::Chat(ChatRequest {
                model: sample.model.into(),
                stream: sample.class == Class::Interactive,
                include_usage: false,
                prompt_tokens: Tokens::new(sample.prompt_tokens),
                max_tokens: None,
                prefix_hash: sample.prefix_hash,
                // The simulated engine reads the length of the answer from the body.
                body: Bytes::copy_from_slice(&sample.answer_tokens.to_le_bytes()),
            }),
        }
    }

    fn apply_entry(&mut self, entry: usize, event: EntryEvent) {
        let now = self.now();
        for effect in self.entries[entry].apply(event, now) {
            self.on_entry_effect(entry, effect);
        }
    }

    fn on_entry_effect(&mut self, entry: usize, effect: EntryEffect) {
        match effect {
            EntryEffect::Body { caller, data } => self.on_chunk(entry, caller, data.len()),
            EntryEffect::End { caller } => self.on_end(entry, caller),
            EntryEffect::Refuse { caller, .. } => {
                if let Some(open) =
                    self.open_requests.remove(&(entry, caller)).filter(|open| open.measured)
                {
                    self.report.refused += 1;
                    self.report.refused_by_customer[open.sample.customer].1 += 1;
                }
            }
            EntryEffect::Abort { caller, .. } => {
                if self.open_requests.remove(&(entry, caller)).is_some_and(|open| open.measured) {
                    self.report.lost += 1;
                }
            }
            EntryEffect::Connect { agent, .. } => self.connect(entry, &agent),
            EntryEffect::Send { agent, message } => {
                let agent = self.agent_index[&agent];
                let delay_us = self.latency_us(entry, agent);
                let event = AgentEvent::Message { entry: fleet::entry_host(entry), message };
                self.schedule(delay_us, Event::ToAgent(agent, event));
            }
            EntryEffect::Rate { request, ordinal, .. } => {
                let unavailable = self.fault == Fault::RaterUnavailable && self.fault_is_active();
                let score =
                    if self.ratings_rng.random::<f64>() < RELEASED_SHARE { 0.9 } else { 0.3 };
                let rating = if unavailable { Err(RatingFault::Unavailable) } else { Ok(score) };
                let event = EntryEvent::Rated { request, ordinal, rating };
                self.schedule(RATING_LATENCY_US, Event::ToEntry(entry, event));
            }
            EntryEffect::Kv { call, operation } => {
                if let Some(outcome) = self.kv_outcome(&operation) {
                    self.schedule(
                        KV_LATENCY_US,
                        Event::ToEntry(entry, EntryEvent::Kv { call, outcome }),
                    );
                }
            }
            EntryEffect::Record(observation) => self.on_observation(&observation),
            EntryEffect::Respond { .. } | EntryEffect::Disconnect { .. } | EntryEffect::Stopped => {
            }
        }
    }

    fn on_observation(&mut self, observation: &Observation) {
        match observation {
            Observation::Dispatched { .. } if self.now_us >= WARM_UP_US => {
                self.report.attempts += 1;
            }
            Observation::Request(record) if self.now_us >= WARM_UP_US => {
                self.report.cost_micros += record.cost_micros.get();
            }
            _ => {}
        }
    }

    fn fault_is_active(&self) -> bool {
        (FAULT_START_S..FAULT_END_S).contains(&(self.now_us / 1_000_000))
    }

    fn kv_outcome(&self, operation: &KvCall) -> Option<KvOutcome> {
        if self.fault == Fault::KvUnavailable && self.fault_is_active() {
            return Some(KvOutcome::Fault(KvFault::OutcomeUnknown));
        }
        match operation {
            KvCall::Transaction { compares, then, .. } => {
                let results = vec![Vec::new(); then.len()];
                let succeeded = !compares.is_empty();
                Some(KvOutcome::Reply(KvReply::Transaction {
                    succeeded,
                    store_revision: 1,
                    results,
                }))
            }
            KvCall::Grant { ttl_ms } => {
                Some(KvOutcome::Reply(KvReply::Lease { lease: 1, ttl_ms: *ttl_ms }))
            }
            KvCall::KeepAlive { lease } => {
                let ttl_ms = DurationMs::from_secs(10);
                Some(KvOutcome::Reply(KvReply::Lease { lease: *lease, ttl_ms }))
            }
            KvCall::Revoke { .. } | KvCall::Unwatch => Some(KvOutcome::Reply(KvReply::Done)),
            KvCall::Watch { .. } => None,
        }
    }

    fn connect(&mut self, entry: usize, agent: &HostId) {
        let index = self.agent_index[agent];
        let link_up = AgentEvent::LinkUp { entry: fleet::entry_host(entry) };
        self.schedule(100, Event::ToAgent(index, link_up));
        self.schedule(200, Event::ToEntry(entry, EntryEvent::LinkUp { agent: agent.clone() }));
    }

    const fn latency_us(&self, entry: usize, agent: usize) -> u64 {
        let same_data_centre =
            entry % self.deployment.data_centres == agent % self.deployment.data_centres;
        if same_data_centre {
            self.deployment.local_latency_us
        } else {
            self.deployment.remote_latency_us
        }
    }

    fn on_chunk(&mut self, entry: usize, caller: CallerId, length: usize) {
        let tokens = (length / BYTES_PER_TOKEN).max(1) as u64;
        let now_us = self.now_us;
        if let Some(open) = self.open_requests.get_mut(&(entry, caller))
            && open.sample.class == Class::Interactive
            // Answers of cascades are buffered until they are rated.
            && open.sample.model != "auto"
            && open.measured
        {
            match open.last_chunk_us {
                None => {
                    let wait_us = now_us - open.arrived_us;
                    self.report.first_token_us += wait_us;
                    let second = (open.arrived_us / 1_000_000) as usize;
                    self.report.first_token_us_by_second[second] += wait_us;
                }
                Some(last_us) => {
                    self.report.token_interval_us += (now_us - last_us) / tokens;
                }
            }
            open.last_chunk_us = Some(now_us);
        }
        let bytes = hickorydoor::quantity::ByteCount::new(length as u64);
        self.apply_entry(entry, EntryEvent::CallerRead { caller, bytes });
    }

    fn on_end(&mut self, entry: usize, caller: CallerId) {
        let Some(open) = self.open_requests.remove(&(entry, caller)).filter(|open| open.measured)
        else {
            return;
        };
        self.report.served += 1;
        self.report.in_time += u64::from(self.now_us <= open.deadline_us);
    }

    fn apply_agent(&mut self, agent: usize, event: AgentEvent) {
        let now = self.now();
        for effect in self.agents[agent].apply(event, now) {
            self.on_agent_effect(agent, effect);
        }
    }

    fn on_agent_effect(&mut self, agent: usize, effect: AgentEffect) {
        match effect {
            AgentEffect::Send { entry, message } => self.send_to_entry(agent, &entry, message),
            AgentEffect::CallUpstream { attempt, call, .. } => {
                self.call_engine(agent, attempt, &call);
            }
            AgentEffect::CancelUpstream { attempt } => self.engines[agent].cancel(&attempt),
            AgentEffect::Kv { call, operation } => {
                if let Some(outcome) = self.kv_outcome(&operation) {
                    self.schedule(
                        KV_LATENCY_US,
                        Event::ToAgent(agent, AgentEvent::Kv { call, outcome }),
                    );
                }
            }
            _ => {}
        }
    }

    fn send_to_entry(&mut self, agent: usize, entry: &HostId, message: AgentMessage) {
        let entry = self.entry_index[entry];
        let delay_us = self.latency_us(entry, agent);
        let event = EntryEvent::Message { agent: fleet::agent_host(agent), message };
        self.schedule(delay_us, Event::ToEntry(entry, event));
    }

    fn call_engine(&mut self, agent: usize, attempt: AttemptId, call: &Call) {
        let Call::Model(call) = call else {
            return;
        };
        if self.engines[agent].down {
            let event = AgentEvent::UpstreamFailed { attempt, fault: UpstreamFault::NotSent };
            self.schedule(100, Event::ToAgent(agent, event));
            return;
        }
        let answer_tokens = call.body.as_ref().try_into().map_or(1, u64::from_le_bytes);
        let sequence = Sequence {
            attempt,
            class: if call.stream { Class::Interactive } else { Class::Batch },
            prefix_hash: call.prefix_hash,
            prompt_tokens: call.prompt_tokens.get(),
            remaining_prefill_tokens: 0,
            remaining_answer_tokens: answer_tokens,
            produced_tokens: 0,
        };
        let engine = &mut self.engines[agent];
        engine.accept(sequence);
        if engine.warmth < 1.0 && engine.sequence_count() > engine.batch_capacity() {
            self.report.above_capacity += 1;
        }
        self.start_engine_step(agent);
    }

    fn start_engine_step(&mut self, engine: usize) {
        if let Some(step_us) = self.engines[engine].begin_step() {
            let epoch = self.engines[engine].epoch;
            self.schedule(step_us, Event::EngineStep(engine, epoch));
        }
    }

    fn finish_engine_step(&mut self, engine: usize, epoch: u64) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        if self.engines[engine].hung {
            self.schedule(TICK_US, Event::EngineStep(engine, epoch));
            return;
        }
        for output in self.engines[engine].finish_step() {
            if output.first {
                let started = AgentEvent::UpstreamStarted {
                    attempt: output.attempt.clone(),
                    status: 200,
                    content_type: "text/event-stream".into(),
                };
                self.apply_agent(engine, started);
            }
            let chunk = AgentEvent::UpstreamChunk {
                attempt: output.attempt.clone(),
                tokens: Tokens::new(output.tokens),
                data: Bytes::from(vec![0; output.tokens as usize * BYTES_PER_TOKEN]),
            };
            self.apply_agent(engine, chunk);
            if output.done {
                let ended = AgentEvent::UpstreamEnded { attempt: output.attempt, usage: None };
                self.apply_agent(engine, ended);
            }
        }
        self.start_engine_step(engine);
    }

    fn send_engine_report(&mut self, engine: usize) {
        self.schedule(ENGINE_REPORT_US, Event::EngineReport(engine));
        let state = &self.engines[engine];
        if state.hung {
            return;
        }
        let report = if state.down { Err(ReportFault::NotListening) } else { Ok(state.report()) };
        self.schedule(REPORT_DELAY_US, Event::ToAgent(engine, AgentEvent::UpstreamReport(report)));
    }

    fn start_fault(&mut self) {
        match self.fault {
            Fault::ColdRestart => self.restart_engines(|engine| engine % 4 == 0),
            Fault::SilentCold => {
                let cold = self.engines.iter_mut().step_by(6);
                cold.for_each(Engine::mark_cold);
            }
            Fault::DataCentreOut => self.set_data_centre_out(true),
            Fault::EngineHang => self.engines[0].hung = true,
            _ => {}
        }
    }

    fn end_fault(&mut self) {
        match self.fault {
            Fault::DataCentreOut => {
                let data_centres = self.deployment.data_centres;
                self.restart_engines(|engine| engine % data_centres == 0);
                self.set_data_centre_out(false);
            }
            Fault::EngineHang => {
                self.engines[0].hung = false;
                self.start_engine_step(0);
            }
            _ => {}
        }
    }

    fn restart_engines(&mut self, selected: impl Fn(usize) -> bool) {
        for index in (0..self.engines.len()).filter(|index| selected(*index)) {
            let lost = self.engines[index].restart();
            self.engines[index].down = true;
            for attempt in lost {
                let fault = UpstreamFault::ConnectionLost;
                self.schedule(
                    100,
                    Event::ToAgent(index, AgentEvent::UpstreamFailed { attempt, fault }),
                );
            }
            self.schedule(
                100,
                Event::ToAgent(index, AgentEvent::UpstreamReport(Err(ReportFault::NotListening))),
            );
            self.schedule(2_000_000, Event::EngineUp(index));
        }
    }

    fn set_data_centre_out(&mut self, out: bool) {
        fleet::set_data_centre_out(&mut self.configuration, 0, out);
        self.push_configuration(CONFIG_DELAY_US);
    }

    fn push_configuration(&mut self, delay_us: u64) {
        let update = ConfigUpdate::Snapshot(Box::new(self.configuration.clone()));
        for index in 0..self.entries.len() {
            let message = AgentMessage::ConfigUpdate(update.clone());
            let event = EntryEvent::Message { agent: fleet::agent_host(0), message };
            self.schedule(delay_us, Event::ToEntry(index, event));
        }
        for index in 0..self.agents.len() {
            let message = EntryMessage::ConfigUpdate(update.clone());
            let event = AgentEvent::Message { entry: fleet::entry_host(0), message };
            self.schedule(delay_us, Event::ToAgent(index, event));
        }
    }
}
