//! The fleet: processes, connections and the loop over virtual time.

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

/// Start of virtual time; incarnations are start times and must be above 0.
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

#[derive(Debug)]
pub enum Happening {
    Tick(ProcessId),
    Entry(usize, u64, Box<EntryEvent>),
    Agent(usize, u64, Box<AgentEvent>),
    Opened(usize),
    ToEntry(usize, Box<AgentMessage>),
    ToAgent(usize, Box<EntryMessage>),
    LinkDown(usize, ProcessId),
    Kv(ProcessId, u64, KvCallId, KvCall),
    Start(ProcessId),
    HostList,
}

#[derive(Debug)]
pub struct Connection {
    pub entry: usize,
    pub agent: usize,
    pub incarnations: (u64, u64),
    pub open: bool,
    pub delivers_late: bool,
    pub to_entry_at: u64,
    pub to_agent_at: u64,
}

#[derive(Debug)]
pub struct Watch {
    pub node: ProcessId,
    pub incarnation: u64,
    pub call: KvCallId,
    pub prefix: String,
    pub next_revision: u64,
}

/// How the fleet is set up.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub entries: usize,
    pub engines: usize,
    pub services: usize,
    /// Chance of a frame to arrive a second time.
    pub duplicate_probability: f64,
    /// Chance of an upstream to fail a call.
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

/// The fleet.
pub struct Fleet {
    pub setup: Setup,
    pub now_ms: u64,
    pub kv: FakeKv,
    pub entries: Vec<Process<Entry>>,
    pub agents: Vec<Process<Agent>>,
    pub callers: Callers,
    pub revision: u64,
    /// Bills as the entries reported them, with the request's tokens.
    pub billed: BTreeMap<RequestId, u64>,
    /// Attempts of models that failed before any output, which are not billed.
    pub without_output: BTreeSet<AttemptId>,
    /// Lives of processes that ended by a crash.
    pub crashed: BTreeSet<(ProcessId, u64)>,
    /// Calls at upstreams with time, agent and version, for checks after a change.
    pub upstream_calls: Vec<(u64, usize, Option<VersionId>)>,
    /// Orders to engines with their fencing numbers: time, agent, number.
    pub orders: Vec<(u64, usize, u64)>,
    pub rng: Pcg64Mcg,
    pub queue: BTreeMap<(u64, u64), Happening>,
    pub next_event: u64,
    pub next_caller: u64,
    pub connections: Vec<Connection>,
    pub current: BTreeMap<(usize, usize), usize>,
    pub cancelled: BTreeSet<(usize, AttemptId)>,
    pub watches: Vec<Watch>,
    pub kv_down_until: u64,
    pub kv_loses_until: u64,
    pub highest: BTreeMap<(ProcessId, u64), Revision>,
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
            without_output: BTreeSet::new(),
            crashed: BTreeSet::new(),
            upstream_calls: Vec::new(),
            orders: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BTreeMap::new(),
            next_event: 0,
            next_caller: 0,
            connections: Vec::new(),
            current: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            watches: Vec::new(),
            kv_down_until: 0,
            kv_loses_until: 0,
            highest: BTreeMap::new(),
        };
        fleet.store_configuration();
        for index in 0..setup.entries {
            fleet.push(index as u64, Happening::Tick(ProcessId::Entry(index)));
        }
        for index in 0..agents {
            fleet.push(index as u64 + 10, Happening::Tick(ProcessId::Agent(index)));
        }
        fleet.push(0, Happening::HostList);
        fleet
    }

    pub fn now(&self) -> TimeMs {
        TimeMs::new(self.now_ms)
    }

    pub fn push(&mut self, delay_ms: u64, happening: Happening) {
        self.next_event += 1;
        self.queue.insert((self.now_ms + delay_ms, self.next_event), happening);
    }

    fn store_configuration(&mut self) {
        let digest = KeyDigest::of_key(API_KEY).to_string();
        let raw = RawConfiguration::from_yaml(&CONFIGURATION.replace("DIGEST", &digest));
        let configuration = Configuration::try_from(raw.expect("YAML")).expect("configuration");
        let operations = configuration.items().into_iter().map(Operation::Put).collect();
        self.change(operations);
    }

    /// An operator's change, accepted at once.
    pub fn change(&mut self, operations: Vec<Operation>) {
        self.revision += 1;
        let revision = Revision::new(self.revision);
        let put = |key, value: Vec<u8>| KvOperation::Put { key, value: value.into(), lease: None };
        let mut then = Vec::new();
        for operation in &operations {
            match operation {
                Operation::Put(item) => {
                    let json = serde_json::to_vec(&RawItem::from(item)).expect("JSON");
                    then.push(put(keys::item(&item.key()), json));
                }
                Operation::Delete(key) => {
                    then.push(KvOperation::Delete { key: keys::item(key) });
                }
            }
        }
        let change: hickorydoor::id::ChangeId = format!("change-{revision}").parse().expect("id");
        let head = Head { revision, change: change.clone() };
        let record = ChangeRecord {
            revision,
            change,
            operator: "operator".parse().expect("id"),
            reason: "test".into(),
            made_at_ms: self.now(),
            operations,
        };
        let record = RawChangeRecord::from(&record);
        then.push(put(keys::HEAD.into(), serde_json::to_vec(&head).expect("JSON")));
        then.push(put(keys::change(revision), serde_json::to_vec(&record).expect("JSON")));
        let call = KvCall::Transaction { compares: Vec::new(), then, otherwise: Vec::new() };
        let now = self.now();
        self.kv.run(&call, now);
        self.notify_watches();
    }

    /// Replaces an item of the configuration in force in the key-value service.
    pub fn put_item(&mut self, item: Item) {
        self.change(vec![Operation::Put(item)]);
    }

    /// A model of the configuration in the key-value service.
    pub fn model(&self, id: &str) -> Model {
        let pairs = self.kv.list(&format!("{}model/{id}", keys::CONFIG_PREFIX));
        match decode_item(&pairs[0]) {
            Ok(Item::Model(model)) => model,
            other => panic!("{other:?} is not a model"),
        }
    }

    /// Runs until `at_ms` after the start.
    pub fn run_until(&mut self, at_ms: u64) {
        let end = START_MS + at_ms;
        while let Some((&(at, number), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            self.now_ms = at;
            let happening = self.queue.remove(&(at, number)).expect("first event");
            self.happen(number, happening);
        }
        self.now_ms = end;
    }

    pub fn run_for(&mut self, ms: u64) {
        self.run_until(self.now_ms - START_MS + ms);
    }

    /// Events of a paused process wait for its end under their own numbers, so that what one
    /// connection delivers stays in order over several pauses.
    fn happen(&mut self, number: u64, happening: Happening) {
        match happening {
            Happening::Tick(ProcessId::Entry(index)) => {
                self.push(TICK_MS, Happening::Tick(ProcessId::Entry(index)));
                self.apply_to_entry(index, EntryEvent::Tick);
            }
            Happening::Tick(ProcessId::Agent(index)) => {
                self.push(TICK_MS, Happening::Tick(ProcessId::Agent(index)));
                self.apply_to_agent(index, AgentEvent::Tick);
            }
            Happening::Entry(index, incarnation, event)
                if self.entries[index].incarnation == incarnation =>
            {
                let until = self.entries[index].paused_until;
                if self.now_ms < until {
                    self.queue.insert((until, number), Happening::Entry(index, incarnation, event));
                } else {
                    self.apply_to_entry(index, *event);
                }
            }
            Happening::Agent(index, incarnation, event)
                if self.agents[index].incarnation == incarnation =>
            {
                let until = self.agents[index].paused_until;
                if self.now_ms < until {
                    self.queue.insert((until, number), Happening::Agent(index, incarnation, event));
                } else {
                    self.apply_to_agent(index, *event);
                }
            }
            Happening::Entry(..) | Happening::Agent(..) => {}
            Happening::Opened(connection) => self.opened(connection),
            Happening::ToEntry(connection, message) => self.arrive_at_entry(connection, *message),
            Happening::ToAgent(connection, message) => self.arrive_at_agent(connection, *message),
            Happening::LinkDown(connection, node) => self.link_down(connection, node),
            Happening::Kv(node, incarnation, call, operation) => {
                self.kv_call(node, incarnation, call, operation)
            }
            Happening::Start(node) => self.start(node),
            Happening::HostList => {
                self.push(2_000, Happening::HostList);
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
            self.push(delay_ms, Happening::Entry(index, incarnation, Box::new(event)));
        }
    }

    fn host_records(&self) -> Vec<HostRecord> {
        let record = |host: &HostId, index, role, leaving: bool| HostRecord {
            host: host.clone(),
            role,
            address: SocketAddr::from(([127, 0, 0, 1], index as u16)),
            data_centre: process::data_centre(index).parse().expect("id"),
            region: "norte".parse().expect("id"),
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
        if process.incarnation == 0 || process.stopped || self.now_ms < process.paused_until {
            return;
        }
        let effects = process.state.apply(event, TimeMs::new(self.now_ms));
        let revision = process.state.revision();
        let incarnation = process.incarnation;
        self.note_revision(ProcessId::Entry(index), incarnation, revision);
        for effect in effects {
            self.entry_effect(index, incarnation, effect);
        }
    }

    pub fn apply_to_agent(&mut self, index: usize, event: AgentEvent) {
        let process = &mut self.agents[index];
        if process.incarnation == 0 || process.stopped || self.now_ms < process.paused_until {
            return;
        }
        let effects = process.state.apply(event, TimeMs::new(self.now_ms));
        let revision = process.state.revision();
        let incarnation = process.incarnation;
        self.note_revision(ProcessId::Agent(index), incarnation, revision);
        for effect in effects {
            self.agent_effect(index, incarnation, effect);
        }
    }

    fn note_revision(&mut self, node: ProcessId, incarnation: u64, revision: Revision) {
        let highest = self.highest.entry((node, incarnation)).or_default();
        assert!(revision >= *highest, "revision of {node:?} fell from {highest} to {revision}");
        *highest = revision;
    }

    fn entry_effect(&mut self, index: usize, incarnation: u64, effect: EntryEffect) {
        match effect {
            EntryEffect::Respond { caller, head } => {
                let exchange = self.callers.exchanges.get_mut(&caller.get()).expect("caller");
                assert!(!exchange.head, "second head of {exchange:?}");
                exchange.head = true;
                exchange.request = Some(head.request);
            }
            EntryEffect::Body { caller, data } => {
                self.callers.on_body(caller.get(), &data);
                let bytes = hickorydoor::quantity::ByteCount::new(data.len() as u64);
                let read = EntryEvent::CallerRead { caller, bytes };
                self.push(5, Happening::Entry(index, incarnation, Box::new(read)));
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
                // A connection that is closed in order delivers what was sent.
                if let Some(agent) = self.agent_index(&agent) {
                    self.cut(index, agent, true);
                }
            }
            EntryEffect::Send { agent, message } => self.send_to_agent(index, &agent, message),
            EntryEffect::Kv { call, operation } => {
                let delay_ms = self.rng.random_range(1..5);
                let node = ProcessId::Entry(index);
                self.push(delay_ms, Happening::Kv(node, incarnation, call, operation));
            }
            EntryEffect::Record(Observation::Request(record)) => {
                let tokens = record.usage.prompt_tokens + record.usage.answer_tokens;
                self.billed.insert(record.request, tokens.get());
            }
            EntryEffect::Stopped => self.entries[index].stopped = true,
            EntryEffect::Record(_) | EntryEffect::Rate { .. } => {}
        }
    }

    fn agent_effect(&mut self, index: usize, incarnation: u64, effect: AgentEffect) {
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
                self.cancelled.insert((index, attempt));
            }
            AgentEffect::Kv { call, operation } => {
                let delay_ms = self.rng.random_range(1..5);
                let node = ProcessId::Agent(index);
                self.push(delay_ms, Happening::Kv(node, incarnation, call, operation));
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
