//! State of the simulated fleet and its event loop in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use hickorydoor::Agent;
use hickorydoor::AgentEffect;
use hickorydoor::AgentEvent;
use hickorydoor::AgentMessage;
use hickorydoor::Configuration;
use hickorydoor::Entry;
use hickorydoor::EntryEffect;
use hickorydoor::EntryEvent;
use hickorydoor::EntryMessage;
use hickorydoor::KeyDigest;
use hickorydoor::RawConfiguration;
use hickorydoor::TimeMs;
use hickorydoor::configuration::change::ChangeRecord;
use hickorydoor::configuration::change::Operation;
use hickorydoor::configuration::head::Head;
use hickorydoor::configuration::item::Item;
use hickorydoor::configuration::model::Model;
use hickorydoor::configuration::raw::RawChangeRecord;
use hickorydoor::configuration::raw::RawItem;
use hickorydoor::configuration::stored::decode_item;
use hickorydoor::host_record::HostRecord;
use hickorydoor::host_record::HostRole;
use hickorydoor::host_record::HostState;
use hickorydoor::id::AttemptId;
use hickorydoor::id::HostId;
use hickorydoor::id::KvCallId;
use hickorydoor::id::RequestId;
use hickorydoor::id::Revision;
use hickorydoor::id::VersionId;
use hickorydoor::observation::Observation;
use hickorydoor::refusal::RunState;
use hickorydoor::store::keys;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvOperation;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::callers::Callers;
use super::callers::Outcome;
use super::kv::FakeKv;
use super::process;
use super::process::Process;

/// Start of the virtual time. Incarnations are start times, and 0 marks a process that is down.
pub const START_MS: u64 = 1_000_000;
const TICK_MS: u64 = 100;
pub const API_KEY: &str = "key-1";

const CONFIGURATION: &str = "
models:
- id: small
  prompt_cost_micros_per_1k_tokens: 1000
  answer_cost_micros_per_1k_tokens: 2000
  versions:
  - {id: small-1, state: active}
- id: large
  prompt_cost_micros_per_1k_tokens: 3000
  answer_cost_micros_per_1k_tokens: 6000
  versions:
  - {id: large-1, state: active}
services:
- {name: registry, repeatable_methods: [GET]}
data_centres:
- {id: arauco, region: norte}
- {id: baigorri, region: norte}
customers:
- id: almazara
  key_digests: [DIGEST]
  models: [small, large]
  services: [registry]
";

/// A process, by role and index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessId {
    Entry(usize),
    Agent(usize),
}

/// A scheduled event. Events with an incarnation are dropped if the process has restarted.
#[derive(Debug)]
pub enum FleetEvent {
    Tick(ProcessId),
    /// Event for the entry with this index and incarnation.
    Entry(usize, u64, Box<EntryEvent>),
    /// Event for the agent with this index and incarnation.
    Agent(usize, u64, Box<AgentEvent>),
    /// The connection with this index has opened.
    ConnectionOpened(usize),
    /// Arrival of a frame on the connection with this index.
    ToEntry(usize, Box<AgentMessage>),
    /// Arrival of a frame on the connection with this index.
    ToAgent(usize, Box<EntryMessage>),
    /// The process is notified that the connection with this index was cut.
    LinkDown(usize, ProcessId),
    /// A call arrives at the key-value service.
    Kv(ProcessId, u64, KvCallId, KvCall),
    Start(ProcessId),
    /// The host list is sent to all entries.
    HostList,
}

/// A connection between an entry and an agent.
#[derive(Debug)]
pub struct Connection {
    pub entry: usize,
    pub agent: usize,
    /// Incarnations of the entry and the agent.
    pub incarnations: (u64, u64),
    pub open: bool,
    /// After the cut, frames that were sent before are still delivered.
    pub delivers_late: bool,
    /// Arrival time of the latest frame to the entry; later frames do not overtake it.
    pub last_to_entry_ms: u64,
    /// Arrival time of the latest frame to the agent; later frames do not overtake it.
    pub last_to_agent_ms: u64,
}

/// An open watch of a process.
#[derive(Debug)]
pub struct Watch {
    pub process: ProcessId,
    pub incarnation: u64,
    pub call: KvCallId,
    pub prefix: String,
    /// Store revision from which writes have not been sent yet.
    pub next_revision: u64,
}

/// Size of the fleet and probabilities of random faults.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub entries: usize,
    pub engines: usize,
    pub services: usize,
    /// Probability that a frame arrives a second time.
    pub duplicate_probability: f64,
    /// Probability that an upstream fails a call.
    pub upstream_fault_probability: f64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 4,
            services: 2,
            duplicate_probability: 0.02,
            upstream_fault_probability: 0.02,
        }
    }
}

/// Entries, agents, connections, callers and the key-value service in virtual time.
pub struct Fleet {
    pub setup: Setup,
    pub now_ms: u64,
    pub kv: FakeKv,
    pub entries: Vec<Process<Entry>>,
    pub agents: Vec<Process<Agent>>,
    pub callers: Callers,
    /// Latest revision of the configuration.
    pub revision: u64,
    /// Tokens of each request as its entry recorded them.
    pub billed: BTreeMap<RequestId, u64>,
    /// Attempts at models that failed before any output and are not billed.
    pub attempts_without_output: BTreeSet<AttemptId>,
    /// Incarnations of processes that ended in a crash.
    pub crashed_incarnations: BTreeSet<(ProcessId, u64)>,
    /// Calls of upstreams: time, agent, and version of a model or `None` for a service.
    pub upstream_calls: Vec<(u64, usize, Option<VersionId>)>,
    /// Orders to load or unload a version on an engine: time, agent and fencing number.
    pub orders: Vec<(u64, usize, u64)>,
    pub rng: Pcg64Mcg,
    /// Events by time and sequence number.
    pub queue: BTreeMap<(u64, u64), FleetEvent>,
    /// Sequence number of the latest event.
    pub last_event: u64,
    /// Id of the latest caller.
    pub last_caller: u64,
    pub connections: Vec<Connection>,
    /// Index of the current connection by entry and agent.
    pub current_connections: BTreeMap<(usize, usize), usize>,
    /// Attempts that an agent cancelled at its upstream.
    pub cancelled_attempts: BTreeSet<(usize, AttemptId)>,
    pub watches: Vec<Watch>,
    pub kv_down_until_ms: u64,
    pub kv_loses_replies_until_ms: u64,
    /// Highest configuration revision that each incarnation of a process has had.
    pub highest_revisions: BTreeMap<(ProcessId, u64), Revision>,
}

impl Fleet {
    pub fn new(setup: Setup, seed: u64) -> Self {
        let now_ms = START_MS;
        let agents = setup.engines + setup.services;
        let mut fleet = Self {
            setup,
            now_ms,
            kv: FakeKv::default(),
            entries: (0..setup.entries).map(|index| process::new_entry(index, now_ms)).collect(),
            agents: (0..agents).map(|index| process::new_agent(index, now_ms, setup)).collect(),
            callers: Callers::default(),
            revision: 0,
            billed: BTreeMap::new(),
            attempts_without_output: BTreeSet::new(),
            crashed_incarnations: BTreeSet::new(),
            upstream_calls: Vec::new(),
            orders: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BTreeMap::new(),
            last_event: 0,
            last_caller: 0,
            connections: Vec::new(),
            current_connections: BTreeMap::new(),
            cancelled_attempts: BTreeSet::new(),
            watches: Vec::new(),
            kv_down_until_ms: 0,
            kv_loses_replies_until_ms: 0,
            highest_revisions: BTreeMap::new(),
        };
        fleet.store_configuration();
        for index in 0..setup.entries {
            fleet.schedule(index as u64, FleetEvent::Tick(ProcessId::Entry(index)));
        }
        for index in 0..agents {
            fleet.schedule(index as u64 + 10, FleetEvent::Tick(ProcessId::Agent(index)));
        }
        fleet.schedule(0, FleetEvent::HostList);
        fleet
    }

    pub fn now(&self) -> TimeMs {
        TimeMs::new(self.now_ms)
    }

    pub fn schedule(&mut self, delay_ms: u64, event: FleetEvent) {
        self.last_event += 1;
        self.queue.insert((self.now_ms + delay_ms, self.last_event), event);
    }

    fn store_configuration(&mut self) {
        let digest = KeyDigest::of_key(API_KEY).to_string();
        let raw = RawConfiguration::from_yaml(&CONFIGURATION.replace("DIGEST", &digest));
        let configuration = Configuration::try_from(raw.expect("the YAML is valid"))
            .expect("the configuration is valid");
        let operations = configuration.items().into_iter().map(Operation::Put).collect();
        self.change(operations);
    }

    /// Stores a configuration change of an operator and notifies the watches.
    pub fn change(&mut self, operations: Vec<Operation>) {
        self.revision += 1;
        let revision = Revision::new(self.revision);
        let put = |key, value: Vec<u8>| KvOperation::Put { key, value: value.into(), lease: None };
        let mut then = Vec::new();
        for operation in &operations {
            match operation {
                Operation::Put(item) => {
                    let json =
                        serde_json::to_vec(&RawItem::from(item)).expect("serialization succeeds");
                    then.push(put(keys::item(&item.key()), json));
                }
                Operation::Delete(key) => {
                    then.push(KvOperation::Delete { key: keys::item(key) });
                }
            }
        }
        let change: hickorydoor::id::ChangeId =
            format!("change-{revision}").parse().expect("the id is valid");
        let head = Head { revision, change: change.clone() };
        let record = ChangeRecord {
            revision,
            change,
            operator: "operator".parse().expect("the id is valid"),
            reason: "test".into(),
            made_at_ms: self.now(),
            operations,
        };
        let record = RawChangeRecord::from(&record);
        then.push(put(
            keys::HEAD.into(),
            serde_json::to_vec(&head).expect("serialization succeeds"),
        ));
        then.push(put(
            keys::change(revision),
            serde_json::to_vec(&record).expect("serialization succeeds"),
        ));
        let call = KvCall::Transaction { compares: Vec::new(), then, otherwise: Vec::new() };
        let now = self.now();
        self.kv.run(&call, now);
        self.notify_watches();
    }

    /// Stores a change that adds or replaces one item of the configuration.
    pub fn put_item(&mut self, item: Item) {
        self.change(vec![Operation::Put(item)]);
    }

    /// Reads a model from the stored configuration.
    pub fn model(&self, id: &str) -> Model {
        let pairs = self.kv.list(&format!("{}model/{id}", keys::CONFIG_PREFIX));
        match decode_item(&pairs[0]) {
            Ok(Item::Model(model)) => model,
            other => panic!("{other:?} is not a model"),
        }
    }

    /// Processes all events up to `at_ms` after the start of the virtual time.
    pub fn run_until(&mut self, at_ms: u64) {
        let end = START_MS + at_ms;
        while let Some((&(at, number), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            self.now_ms = at;
            let event = self.queue.remove(&(at, number)).expect("the first event is queued");
            self.handle(number, event);
        }
        self.now_ms = end;
    }

    pub fn run_for(&mut self, ms: u64) {
        self.run_until(self.now_ms - START_MS + ms);
    }

    /// Handles an event. An event for a paused process is postponed to the end of the pause under its
    /// original sequence number, so that the frames of a connection stay in order across pauses.
    fn handle(&mut self, number: u64, event: FleetEvent) {
        match event {
            FleetEvent::Tick(ProcessId::Entry(index)) => {
                self.schedule(TICK_MS, FleetEvent::Tick(ProcessId::Entry(index)));
                self.apply_to_entry(index, EntryEvent::Tick);
            }
            FleetEvent::Tick(ProcessId::Agent(index)) => {
                self.schedule(TICK_MS, FleetEvent::Tick(ProcessId::Agent(index)));
                self.apply_to_agent(index, AgentEvent::Tick);
            }
            FleetEvent::Entry(index, incarnation, event)
                if self.entries[index].incarnation == incarnation =>
            {
                let until_ms = self.entries[index].paused_until_ms;
                if self.now_ms < until_ms {
                    self.queue
                        .insert((until_ms, number), FleetEvent::Entry(index, incarnation, event));
                } else {
                    self.apply_to_entry(index, *event);
                }
            }
            FleetEvent::Agent(index, incarnation, event)
                if self.agents[index].incarnation == incarnation =>
            {
                let until_ms = self.agents[index].paused_until_ms;
                if self.now_ms < until_ms {
                    self.queue
                        .insert((until_ms, number), FleetEvent::Agent(index, incarnation, event));
                } else {
                    self.apply_to_agent(index, *event);
                }
            }
            FleetEvent::Entry(..) | FleetEvent::Agent(..) => {}
            FleetEvent::ConnectionOpened(connection) => self.on_connection_opened(connection),
            FleetEvent::ToEntry(connection, message) => self.deliver_to_entry(connection, *message),
            FleetEvent::ToAgent(connection, message) => self.deliver_to_agent(connection, *message),
            FleetEvent::LinkDown(connection, process) => self.on_link_down(connection, process),
            FleetEvent::Kv(process, incarnation, call, operation) => {
                self.on_kv_call(process, incarnation, call, operation);
            }
            FleetEvent::Start(process) => self.start(process),
            FleetEvent::HostList => {
                self.schedule(2_000, FleetEvent::HostList);
                self.send_host_list();
            }
        }
    }

    fn send_host_list(&mut self) {
        let records = self.host_records();
        for index in 0..self.entries.len() {
            let event = EntryEvent::HostList(records.clone());
            let delay_ms = self.rng.random_range(0..1_000);
            let incarnation = self.entries[index].incarnation;
            self.schedule(delay_ms, FleetEvent::Entry(index, incarnation, Box::new(event)));
        }
    }

    fn host_records(&self) -> Vec<HostRecord> {
        let record = |host: &HostId, index, role, leaving: bool| HostRecord {
            host: host.clone(),
            role,
            address: SocketAddr::from(([127, 0, 0, 1], index as u16)),
            data_centre: process::data_centre(index).parse().expect("the id is valid"),
            region: "norte".parse().expect("the id is valid"),
            state: if leaving { HostState::Leaving } else { HostState::Live },
        };
        let entries = self.entries.iter().enumerate();
        let entries = entries.map(|(i, p)| record(&p.host, i, HostRole::Entry, p.leaving));
        let agents = self.agents.iter().enumerate();
        let agents = agents.map(|(i, p)| record(&p.host, i, HostRole::Agent, p.leaving));
        entries.chain(agents).collect()
    }

    pub fn apply_to_entry(&mut self, index: usize, event: EntryEvent) {
        let process = &mut self.entries[index];
        if process.incarnation == 0 || process.stopped || self.now_ms < process.paused_until_ms {
            return;
        }
        let effects = process.state.apply(event, TimeMs::new(self.now_ms));
        let revision = process.state.revision();
        let incarnation = process.incarnation;
        self.check_revision(ProcessId::Entry(index), incarnation, revision);
        for effect in effects {
            self.on_entry_effect(index, incarnation, effect);
        }
    }

    pub fn apply_to_agent(&mut self, index: usize, event: AgentEvent) {
        let process = &mut self.agents[index];
        if process.incarnation == 0 || process.stopped || self.now_ms < process.paused_until_ms {
            return;
        }
        let effects = process.state.apply(event, TimeMs::new(self.now_ms));
        let revision = process.state.revision();
        let incarnation = process.incarnation;
        self.check_revision(ProcessId::Agent(index), incarnation, revision);
        for effect in effects {
            self.on_agent_effect(index, incarnation, effect);
        }
    }

    /// Checks that the configuration revision of a process does not decrease.
    fn check_revision(&mut self, process: ProcessId, incarnation: u64, revision: Revision) {
        let highest = self.highest_revisions.entry((process, incarnation)).or_default();
        assert!(revision >= *highest, "revision of {process:?} fell from {highest} to {revision}");
        *highest = revision;
    }

    fn on_entry_effect(&mut self, index: usize, incarnation: u64, effect: EntryEffect) {
        match effect {
            EntryEffect::Respond { caller, head } => {
                let exchange =
                    self.callers.exchanges.get_mut(&caller.get()).expect("the caller is known");
                assert!(!exchange.head_received, "second head of {exchange:?}");
                exchange.head_received = true;
                exchange.request = Some(head.request);
            }
            EntryEffect::Body { caller, data } => {
                self.callers.on_body(caller.get(), &data);
                let bytes = hickorydoor::quantity::ByteCount::new(data.len() as u64);
                let read = EntryEvent::CallerRead { caller, bytes };
                self.schedule(5, FleetEvent::Entry(index, incarnation, Box::new(read)));
            }
            EntryEffect::End { caller } => self.callers.end(caller.get(), Outcome::Complete),
            EntryEffect::Refuse { caller, request, refusal } => {
                if refusal.run == RunState::NotRun {
                    self.callers.not_run.extend(request);
                }
                self.callers.end(caller.get(), Outcome::Refused(refusal));
            }
            EntryEffect::Abort { caller, refusal } => {
                self.callers.end(caller.get(), Outcome::Aborted(refusal));
            }
            EntryEffect::Connect { agent, .. } => self.connect(index, incarnation, &agent),
            EntryEffect::Disconnect { agent } => {
                // After an orderly close, the frames that were sent are still delivered.
                if let Some(agent) = self.agent_index(&agent) {
                    self.cut(index, agent, true);
                }
            }
            EntryEffect::Send { agent, message } => self.send_to_agent(index, &agent, message),
            EntryEffect::Kv { call, operation } => {
                let delay_ms = self.rng.random_range(1..5);
                let process = ProcessId::Entry(index);
                self.schedule(delay_ms, FleetEvent::Kv(process, incarnation, call, operation));
            }
            EntryEffect::Record(Observation::Request(record)) => {
                let tokens = record.usage.prompt_tokens + record.usage.answer_tokens;
                self.billed.insert(record.request, tokens.get());
            }
            EntryEffect::Stopped => self.entries[index].stopped = true,
            EntryEffect::Record(_) | EntryEffect::Rate { .. } => {}
        }
    }

    fn on_agent_effect(&mut self, index: usize, incarnation: u64, effect: AgentEffect) {
        match effect {
            AgentEffect::Send { entry, message } => self.send_to_entry(index, &entry, message),
            AgentEffect::Disconnect { entry } => {
                let entry = self.entries.iter().position(|process| process.host == entry);
                if let Some(entry) = entry {
                    self.cut(entry, index, false);
                }
            }
            AgentEffect::CallUpstream { attempt, call, .. } => {
                self.call_upstream(index, incarnation, &attempt, &call);
            }
            AgentEffect::CancelUpstream { attempt } => {
                self.cancelled_attempts.insert((index, attempt));
            }
            AgentEffect::Kv { call, operation } => {
                let delay_ms = self.rng.random_range(1..5);
                let process = ProcessId::Agent(index);
                self.schedule(delay_ms, FleetEvent::Kv(process, incarnation, call, operation));
            }
            AgentEffect::Order { fencing, .. } => {
                self.orders.push((self.now_ms, index, fencing.get()));
            }
            AgentEffect::Stopped => self.agents[index].stopped = true,
            AgentEffect::AllowRead { .. } | AgentEffect::Record(_) => {}
        }
    }

    pub fn agent_index(&self, host: &HostId) -> Option<usize> {
        self.agents.iter().position(|process| process.host == *host)
    }
}
