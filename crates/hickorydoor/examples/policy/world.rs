//! Entries, agents and engines in virtual time.

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
use hickorydoor::agent::event::UpstreamFault;
use hickorydoor::entry::caller_request::ChatRequest;
use hickorydoor::entry::caller_request::RequestPayload as CallerAsk;
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

use crate::deployment::Ask;
use crate::deployment::Deployment;
use crate::deployment::exponential;
use crate::engine::Engine;
use crate::engine::Sequence;
use crate::fault::FAULT_AT_S;
use crate::fault::FAULT_END_S;
use crate::fault::Fault;
use crate::fleet;
use crate::fleet::Policy;
use crate::report::Report;

/// Virtual start, so that the reducers see plausible wall-clock times.
const EPOCH_MS: u64 = 1_700_000_000_000;
const TICK_US: u64 = 50_000;
const ENGINE_REPORT_US: u64 = 250_000;
/// Time between an engine's state and its report.
const REPORT_LAG_US: u64 = 400_000;
const KV_US: u64 = 3_000;
const RATING_US: u64 = 40_000;
/// Requests before this time fill caches and raise the admission limits; they are not measured.
const WARM_UP_US: u64 = 15_000_000;
const BYTES_PER_TOKEN: usize = 4;
/// Share of cheap answers that the rating releases.
const PASS_SHARE: f64 = 0.6;
const CONFIG_DELAY_US: u64 = 500_000;

#[derive(Debug)]
enum Step {
    Arrival,
    ToEntry(usize, EntryEvent),
    ToAgent(usize, AgentEvent),
    Engine(usize, u64),
    EngineReport(usize),
    EntryTick(usize),
    AgentTick(usize),
    FaultBegins,
    FaultEnds,
    EngineUp(usize),
}

#[derive(Debug)]
struct Due(u64, u64, Step);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// What the experiment knows about an open request.
#[derive(Debug)]
struct Open {
    ask: Ask,
    arrived_us: u64,
    last_piece_us: Option<u64>,
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
    sequence: u64,
    queue: BinaryHeap<Reverse<Due>>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    engines: Vec<Engine>,
    entry_index: HashMap<HostId, usize>,
    agent_index: HashMap<HostId, usize>,
    open: HashMap<(usize, CallerId), Open>,
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
            sequence: 0,
            queue: BinaryHeap::new(),
            entry_index: (0..entries.len())
                .map(|index| (fleet::entry_host(index), index))
                .collect(),
            agent_index: (0..agents.len()).map(|index| (fleet::agent_host(index), index)).collect(),
            entries,
            agents,
            engines,
            open: HashMap::new(),
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
            // Entries that link to a part of the agents only start at different places.
            let mut records = records.clone();
            records.rotate_left(index * self.agents.len() / self.entries.len());
            self.at(1_000, Step::ToEntry(index, EntryEvent::HostList(records)));
            self.at(index as u64 * 1_700, Step::EntryTick(index));
        }
        for index in 0..self.agents.len() {
            let offset_us = index as u64 * 7_919 % TICK_US;
            self.at(offset_us, Step::AgentTick(index));
            self.at(offset_us * 5, Step::EngineReport(index));
        }
        self.at(500_000, Step::Arrival);
        self.at(FAULT_AT_S * 1_000_000, Step::FaultBegins);
        self.at(FAULT_END_S * 1_000_000, Step::FaultEnds);
    }

    /// Runs to the end and returns the figures.
    pub fn run(mut self) -> Report {
        let end_us = self.deployment.duration_s * 1_000_000;
        while let Some(Reverse(Due(at_us, _, step))) = self.queue.pop() {
            if at_us >= end_us {
                break;
            }
            self.now_us = at_us;
            self.step(step);
        }
        self.report
    }

    fn at(&mut self, delay_us: u64, step: Step) {
        self.sequence += 1;
        self.queue.push(Reverse(Due(self.now_us + delay_us, self.sequence, step)));
    }

    const fn now(&self) -> TimeMs {
        TimeMs::new(EPOCH_MS + self.now_us / 1_000)
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrival => self.arrive(),
            Step::ToEntry(entry, event) => self.apply_entry(entry, event),
            Step::ToAgent(agent, event) => self.apply_agent(agent, event),
            Step::Engine(engine, epoch) => self.finish_engine_step(engine, epoch),
            Step::EngineReport(engine) => self.report_engine(engine),
            Step::EntryTick(entry) => {
                self.at(TICK_US, Step::EntryTick(entry));
                self.apply_entry(entry, EntryEvent::Tick);
            }
            Step::AgentTick(agent) => {
                self.at(TICK_US, Step::AgentTick(agent));
                self.apply_agent(agent, AgentEvent::Tick);
            }
            Step::FaultBegins => self.begin_fault(),
            Step::FaultEnds => self.end_fault(),
            Step::EngineUp(engine) => {
                self.engines[engine].down = false;
                self.run_engine(engine);
            }
        }
    }

    fn arrive(&mut self) {
        let during_fault = (FAULT_AT_S..FAULT_END_S).contains(&(self.now_us / 1_000_000));
        let load = if self.fault == Fault::Burst && during_fault { 1.6 } else { self.load };
        let mean_us = 1e6 / (self.deployment.capacity_per_s() * load);
        let pause_us = exponential(mean_us, mean_us * 20.0, &mut self.arrivals_rng);
        self.at(pause_us.max(1), Step::Arrival);
        let ask = self.deployment.next_ask(&mut self.arrivals_rng);
        let entry = self.arrivals_rng.random_range(0..self.entries.len());
        let caller = CallerId::new(self.next_caller);
        self.next_caller += 1;
        let deadline_ms = match ask.class {
            Class::Interactive => DurationMs::from_secs(60),
            Class::Batch => DurationMs::from_secs(120),
        };
        let request = self.caller_request(caller, &ask, deadline_ms);
        let due_us = self.now_us + deadline_ms.get() * 1_000;
        let end_us = self.deployment.duration_s * 1_000_000;
        let measured = self.now_us >= WARM_UP_US && due_us.min(self.now_us + 20_000_000) < end_us;
        self.report.arrived += u64::from(self.now_us >= WARM_UP_US);
        if measured {
            self.report.asked += 1;
            self.report.refused_by_customer[ask.customer].0 += 1;
        }
        let arrived_us = self.now_us;
        let open = Open { ask, arrived_us, last_piece_us: None, deadline_us: due_us, measured };
        self.open.insert((entry, caller), open);
        self.apply_entry(entry, EntryEvent::Request(Box::new(request)));
    }

    fn caller_request(
        &self,
        caller: CallerId,
        ask: &Ask,
        deadline_ms: DurationMs,
    ) -> CallerRequest {
        CallerRequest {
            caller,
            key: self.keys[ask.customer],
            session: ask.session.map(fleet::session_id),
            class: ask.class,
            deadline_ms: Some(deadline_ms),
            payload: CallerAsk::Chat(ChatRequest {
                model: ask.model.into(),
                stream: ask.class == Class::Interactive,
                include_usage: false,
                prompt_tokens: Tokens::new(ask.prompt_tokens),
                max_tokens: None,
                prefix_hash: ask.prefix,
                // The body carries the length of the answer to the model of the engine.
                body: Bytes::copy_from_slice(&ask.answer_tokens.to_le_bytes()),
            }),
        }
    }

    fn apply_entry(&mut self, entry: usize, event: EntryEvent) {
        let now = self.now();
        for effect in self.entries[entry].apply(event, now) {
            self.entry_effect(entry, effect);
        }
    }

    fn entry_effect(&mut self, entry: usize, effect: EntryEffect) {
        match effect {
            EntryEffect::Body { caller, data } => self.deliver(entry, caller, data.len()),
            EntryEffect::End { caller } => self.end(entry, caller),
            EntryEffect::Refuse { caller, .. } => {
                if let Some(open) = self.open.remove(&(entry, caller)).filter(|open| open.measured)
                {
                    self.report.refused += 1;
                    self.report.refused_by_customer[open.ask.customer].1 += 1;
                }
            }
            EntryEffect::Abort { caller, .. } => {
                if self.open.remove(&(entry, caller)).is_some_and(|open| open.measured) {
                    self.report.lost += 1;
                }
            }
            EntryEffect::Connect { agent, .. } => self.connect(entry, &agent),
            EntryEffect::Send { agent, message } => {
                let agent = self.agent_index[&agent];
                let delay_us = self.latency_us(entry, agent);
                let event = AgentEvent::Message { entry: fleet::entry_host(entry), message };
                self.at(delay_us, Step::ToAgent(agent, event));
            }
            EntryEffect::Rate { request, ordinal, .. } => {
                let down = self.fault == Fault::RaterUnavailable && self.fault_is_on();
                let score = if self.ratings_rng.random::<f64>() < PASS_SHARE { 0.9 } else { 0.3 };
                let rating = if down { Err(RatingFault::Unavailable) } else { Ok(score) };
                let event = EntryEvent::Rated { request, ordinal, rating };
                self.at(RATING_US, Step::ToEntry(entry, event));
            }
            EntryEffect::Kv { call, operation } => {
                if let Some(outcome) = self.kv_outcome(&operation) {
                    self.at(KV_US, Step::ToEntry(entry, EntryEvent::Kv { call, outcome }));
                }
            }
            EntryEffect::Record(observation) => self.observe(&observation),
            EntryEffect::Respond { .. } | EntryEffect::Disconnect { .. } | EntryEffect::Stopped => {
            }
        }
    }

    fn observe(&mut self, observation: &Observation) {
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

    fn fault_is_on(&self) -> bool {
        (FAULT_AT_S..FAULT_END_S).contains(&(self.now_us / 1_000_000))
    }

    fn kv_outcome(&self, operation: &KvCall) -> Option<KvOutcome> {
        if self.fault == Fault::KvUnavailable && self.fault_is_on() {
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
        let up = AgentEvent::LinkUp { entry: fleet::entry_host(entry) };
        self.at(100, Step::ToAgent(index, up));
        self.at(200, Step::ToEntry(entry, EntryEvent::LinkUp { agent: agent.clone() }));
    }

    const fn latency_us(&self, entry: usize, agent: usize) -> u64 {
        let near = entry % self.deployment.data_centres == agent % self.deployment.data_centres;
        if near { self.deployment.near_latency_us } else { self.deployment.far_latency_us }
    }

    fn deliver(&mut self, entry: usize, caller: CallerId, length: usize) {
        let tokens = (length / BYTES_PER_TOKEN).max(1) as u64;
        let now_us = self.now_us;
        if let Some(open) = self.open.get_mut(&(entry, caller))
            && open.ask.class == Class::Interactive
            // Answers of cascades are held until they are rated.
            && open.ask.model != "auto"
            && open.measured
        {
            match open.last_piece_us {
                None => {
                    let wait_us = now_us - open.arrived_us;
                    self.report.first_token_us += wait_us;
                    let second = (open.arrived_us / 1_000_000) as usize;
                    self.report.by_second[second] += wait_us;
                }
                Some(last_us) => {
                    self.report.interval_us += (now_us - last_us) / tokens;
                }
            }
            open.last_piece_us = Some(now_us);
        }
        let bytes = hickorydoor::quantity::ByteCount::new(length as u64);
        self.apply_entry(entry, EntryEvent::CallerRead { caller, bytes });
    }

    fn end(&mut self, entry: usize, caller: CallerId) {
        let Some(open) = self.open.remove(&(entry, caller)).filter(|open| open.measured) else {
            return;
        };
        self.report.served += 1;
        self.report.in_time += u64::from(self.now_us <= open.deadline_us);
    }

    fn apply_agent(&mut self, agent: usize, event: AgentEvent) {
        let now = self.now();
        for effect in self.agents[agent].apply(event, now) {
            self.agent_effect(agent, effect);
        }
    }

    fn agent_effect(&mut self, agent: usize, effect: AgentEffect) {
        match effect {
            AgentEffect::Send { entry, message } => self.send_to_entry(agent, &entry, message),
            AgentEffect::CallUpstream { attempt, call, .. } => {
                self.call_engine(agent, attempt, &call);
            }
            AgentEffect::CancelUpstream { attempt } => self.engines[agent].cancel(&attempt),
            AgentEffect::Kv { call, operation } => {
                if let Some(outcome) = self.kv_outcome(&operation) {
                    self.at(KV_US, Step::ToAgent(agent, AgentEvent::Kv { call, outcome }));
                }
            }
            _ => {}
        }
    }

    fn send_to_entry(&mut self, agent: usize, entry: &HostId, message: AgentMessage) {
        let entry = self.entry_index[entry];
        let delay_us = self.latency_us(entry, agent);
        let event = EntryEvent::Message { agent: fleet::agent_host(agent), message };
        self.at(delay_us, Step::ToEntry(entry, event));
    }

    fn call_engine(&mut self, agent: usize, attempt: AttemptId, call: &Call) {
        let Call::Model(call) = call else {
            return;
        };
        if self.engines[agent].down {
            let event = AgentEvent::UpstreamFailed { attempt, fault: UpstreamFault::NotSent };
            self.at(100, Step::ToAgent(agent, event));
            return;
        }
        let length = call.body.as_ref().try_into().map_or(1, u64::from_le_bytes);
        let sequence = Sequence {
            attempt,
            class: if call.stream { Class::Interactive } else { Class::Batch },
            prefix: call.prefix_hash,
            prompt_tokens: call.prompt_tokens.get(),
            prefill_left: 0,
            answer_left: length,
            produced: 0,
        };
        let engine = &mut self.engines[agent];
        engine.accept(sequence);
        if engine.warmth < 1.0 && engine.load() > engine.bound() {
            self.report.above_bound += 1;
        }
        self.run_engine(agent);
    }

    fn run_engine(&mut self, engine: usize) {
        if let Some(step_us) = self.engines[engine].begin_step() {
            let epoch = self.engines[engine].epoch;
            self.at(step_us, Step::Engine(engine, epoch));
        }
    }

    fn finish_engine_step(&mut self, engine: usize, epoch: u64) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        if self.engines[engine].hung {
            self.at(TICK_US, Step::Engine(engine, epoch));
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
        self.run_engine(engine);
    }

    fn report_engine(&mut self, engine: usize) {
        self.at(ENGINE_REPORT_US, Step::EngineReport(engine));
        let state = &self.engines[engine];
        if state.hung {
            return;
        }
        let report = (!state.down).then(|| state.report());
        self.at(REPORT_LAG_US, Step::ToAgent(engine, AgentEvent::UpstreamReport(report)));
    }

    fn begin_fault(&mut self) {
        match self.fault {
            Fault::ColdRestart => self.restart_engines(|engine| engine % 4 == 0),
            Fault::SilentCold => {
                let cold = self.engines.iter_mut().step_by(6);
                cold.for_each(Engine::go_cold);
            }
            Fault::DataCentreOut => self.set_out(true),
            Fault::EngineHang => self.engines[0].hung = true,
            _ => {}
        }
    }

    fn end_fault(&mut self) {
        match self.fault {
            Fault::DataCentreOut => {
                let data_centres = self.deployment.data_centres;
                self.restart_engines(|engine| engine % data_centres == 0);
                self.set_out(false);
            }
            Fault::EngineHang => {
                self.engines[0].hung = false;
                self.run_engine(0);
            }
            _ => {}
        }
    }

    fn restart_engines(&mut self, chosen: impl Fn(usize) -> bool) {
        for index in (0..self.engines.len()).filter(|index| chosen(*index)) {
            let lost = self.engines[index].restart();
            self.engines[index].down = true;
            for attempt in lost {
                let fault = UpstreamFault::ConnectionLost;
                self.at(100, Step::ToAgent(index, AgentEvent::UpstreamFailed { attempt, fault }));
            }
            self.at(100, Step::ToAgent(index, AgentEvent::UpstreamReport(None)));
            self.at(2_000_000, Step::EngineUp(index));
        }
    }

    fn set_out(&mut self, out: bool) {
        fleet::set_out(&mut self.configuration, 0, out);
        self.push_configuration(CONFIG_DELAY_US);
    }

    fn push_configuration(&mut self, delay_us: u64) {
        let update = ConfigUpdate::Snapshot(Box::new(self.configuration.clone()));
        for index in 0..self.entries.len() {
            let message = AgentMessage::ConfigUpdate(update.clone());
            let event = EntryEvent::Message { agent: fleet::agent_host(0), message };
            self.at(delay_us, Step::ToEntry(index, event));
        }
        for index in 0..self.agents.len() {
            let message = EntryMessage::ConfigUpdate(update.clone());
            let event = AgentEvent::Message { entry: fleet::entry_host(0), message };
            self.at(delay_us, Step::ToAgent(index, event));
        }
    }
}
