//! Measures the overhead of the control plane: calls to the key-value service, bytes on links and
//! time in the reducers.
//!
//! One data centre runs in virtual time without requests. At full scale a data centre has 375 agents
//! and 17.5 entries, and entries link to agents of their own data centre only, so the row with 375
//! agents shows the cost per process at full scale.
//!
//! Run with `cargo run --release -p hickorydoor --example control_cost`.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use hickorydoor::Agent;
use hickorydoor::AgentEffect;
use hickorydoor::AgentEvent;
use hickorydoor::AgentSettings;
use hickorydoor::Entry;
use hickorydoor::EntryEffect;
use hickorydoor::EntryEvent;
use hickorydoor::EntrySettings;
use hickorydoor::RawConfiguration;
use hickorydoor::TimeMs;
use hickorydoor::configuration::change::ChangeRecord;
use hickorydoor::configuration::change::Operation;
use hickorydoor::configuration::data_centre::DataCentre;
use hickorydoor::configuration::head::Head;
use hickorydoor::configuration::item::Item;
use hickorydoor::configuration::raw::RawChangeRecord;
use hickorydoor::configuration::raw::RawItem;
use hickorydoor::host_record::HostRecord;
use hickorydoor::host_record::HostRole;
use hickorydoor::host_record::HostState;
use hickorydoor::id::HostId;
use hickorydoor::id::Incarnation;
use hickorydoor::id::KvCallId;
use hickorydoor::id::Revision;
use hickorydoor::message::Offer;
use hickorydoor::store::keys;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvOperation;
use hickorydoor::store::kv_call::KvOutcome;
use hickorydoor::wire::AgentFrame;
use hickorydoor::wire::EntryFrame;
use prost::Message;

#[path = "../tests/support/kv.rs"]
mod kv;

use kv::FakeKv;

type AnyError = Box<dyn std::error::Error>;

const START_MS: u64 = 1_000_000;
const TICK_MS: u64 = 100;
const WARM_UP_MS: u64 = 20_000;
const MEASURED_MS: u64 = 120_000;
/// Interval of configuration changes, which amounts to about 26,000 changes a day.
const CHANGE_INTERVAL_MS: u64 = 3_300;

/// An event for the entry or agent with this index.
enum Delivery {
    Entry(usize, EntryEvent),
    Agent(usize, AgentEvent),
}

/// Totals over all entries or over all agents.
#[derive(Default)]
struct Cost {
    bytes_out: u64,
    bytes_in: u64,
    reducer_time: Duration,
}

struct Simulation {
    now: TimeMs,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    kv: FakeKv,
    /// Open watches with the index of their entry.
    watches: Vec<(usize, KvCallId)>,
    queue: VecDeque<Delivery>,
    entry_cost: Cost,
    agent_cost: Cost,
    revision: u64,
}

fn index_of(host: &HostId) -> usize {
    let number = host.as_str().rsplit('-').next().and_then(|text| text.parse().ok());
    number.unwrap_or_default()
}

impl Simulation {
    fn new(entries: usize, agents: usize) -> Result<Self, AnyError> {
        let now = TimeMs::new(START_MS);
        let incarnation = Incarnation::new(START_MS);
        let mut simulation = Self {
            now,
            entries: Vec::new(),
            agents: Vec::new(),
            kv: FakeKv::default(),
            watches: Vec::new(),
            queue: VecDeque::new(),
            entry_cost: Cost::default(),
            agent_cost: Cost::default(),
            revision: 0,
        };
        for index in 0..entries {
            let host = format!("entry-{index}").parse()?;
            let settings =
                EntrySettings::new(host, incarnation, "arauco".parse()?, "norte".parse()?);
            simulation.entries.push(Entry::new(settings, index as u64, now));
        }
        for index in 0..agents {
            let settings = AgentSettings::new(
                format!("agent-{index}").parse()?,
                format!("upstream-{index}").parse()?,
                incarnation,
                "arauco".parse()?,
                "norte".parse()?,
                Offer::Engine { versions: vec!["small-1".parse()?] },
            );
            simulation.agents.push(Agent::new(settings, now));
        }
        Ok(simulation)
    }

    fn host_records(&self) -> Result<Vec<HostRecord>, AnyError> {
        let entries =
            (0..self.entries.len()).map(|index| (format!("entry-{index}"), HostRole::Entry));
        let agents =
            (0..self.agents.len()).map(|index| (format!("agent-{index}"), HostRole::Agent));
        let record = |(host, role): (String, HostRole)| {
            Ok(HostRecord {
                host: host.parse()?,
                role,
                address: ([127, 0, 0, 1], 1).into(),
                data_centre: "arauco".parse()?,
                region: "norte".parse()?,
                state: HostState::Live,
            })
        };
        entries.chain(agents).map(record).collect()
    }

    fn commit_change(&mut self, items: Vec<Item>) -> Result<(), AnyError> {
        self.revision += 1;
        let revision = Revision::new(self.revision);
        let put = |key, value: Vec<u8>| KvOperation::Put { key, value: value.into(), lease: None };
        let mut then = Vec::new();
        for item in &items {
            then.push(put(keys::item(&item.key()), serde_json::to_vec(&RawItem::from(item))?));
        }
        let record = ChangeRecord {
            revision,
            change: format!("change-{revision}").parse()?,
            operator: "operator".parse()?,
            reason: "measurement".into(),
            made_at_ms: self.now,
            operations: items.into_iter().map(Operation::Put).collect(),
        };
        let head = Head { revision, change: record.change.clone() };
        let raw = RawChangeRecord::from(&record);
        then.push(put(keys::HEAD.into(), serde_json::to_vec(&head)?));
        then.push(put(keys::change(revision), serde_json::to_vec(&raw)?));
        let call = KvCall::Transaction { compares: Vec::new(), then, otherwise: Vec::new() };
        let before = self.kv.revision;
        self.kv.run(&call, self.now);
        let written = self.kv.written_since(keys::CHANGES_PREFIX, before + 1);
        let store_revision = self.kv.revision;
        for (entry, call) in self.watches.clone() {
            let written = written.clone();
            let outcome = KvOutcome::Watched { store_revision, written, deleted: Vec::new() };
            self.queue.push_back(Delivery::Entry(entry, EntryEvent::Kv { call, outcome }));
        }
        self.deliver_pending();
        Ok(())
    }

    fn run(&mut self, duration_ms: u64) -> Result<(), AnyError> {
        let records = self.host_records()?;
        for step in 0..duration_ms / TICK_MS {
            self.now = TimeMs::new(self.now.get() + TICK_MS);
            if step % 100 == 0 {
                for index in 0..self.entries.len() {
                    let event = EntryEvent::HostList(records.clone());
                    self.queue.push_back(Delivery::Entry(index, event));
                }
            }
            if step % (CHANGE_INTERVAL_MS / TICK_MS) == 0 {
                let data_centre = DataCentre {
                    id: "baigorri".parse()?,
                    region: "norte".parse()?,
                    out: step % 2 == 0,
                };
                self.commit_change(vec![Item::DataCentre(data_centre)])?;
            }
            for index in 0..self.entries.len() {
                self.queue.push_back(Delivery::Entry(index, EntryEvent::Tick));
            }
            for index in 0..self.agents.len() {
                self.queue.push_back(Delivery::Agent(index, AgentEvent::Tick));
            }
            self.deliver_pending();
        }
        Ok(())
    }

    fn deliver_pending(&mut self) {
        while let Some(delivery) = self.queue.pop_front() {
            match delivery {
                Delivery::Entry(index, event) => {
                    let started_at = Instant::now();
                    let effects = self.entries[index].apply(event, self.now);
                    self.entry_cost.reducer_time += started_at.elapsed();
                    for effect in effects {
                        self.on_entry_effect(index, effect);
                    }
                }
                Delivery::Agent(index, event) => {
                    let started_at = Instant::now();
                    let effects = self.agents[index].apply(event, self.now);
                    self.agent_cost.reducer_time += started_at.elapsed();
                    for effect in effects {
                        self.on_agent_effect(index, effect);
                    }
                }
            }
        }
    }

    fn on_entry_effect(&mut self, index: usize, effect: EntryEffect) {
        match effect {
            EntryEffect::Connect { agent, .. } => {
                let Ok(entry) = format!("entry-{index}").parse() else {
                    return;
                };
                let link_up = AgentEvent::LinkUp { entry };
                self.queue.push_back(Delivery::Agent(index_of(&agent), link_up));
                self.queue.push_back(Delivery::Entry(index, EntryEvent::LinkUp { agent }));
            }
            EntryEffect::Send { agent, message } => {
                let bytes = EntryFrame::from(message.clone()).encoded_len() as u64 + 4;
                self.entry_cost.bytes_out += bytes;
                self.agent_cost.bytes_in += bytes;
                let Ok(entry) = format!("entry-{index}").parse() else {
                    return;
                };
                let event = AgentEvent::Message { entry, message };
                self.queue.push_back(Delivery::Agent(index_of(&agent), event));
            }
            EntryEffect::Kv { call, operation: KvCall::Watch { .. } } => {
                self.watches.push((index, call));
            }
            EntryEffect::Kv { call, operation: KvCall::Unwatch } => {
                self.watches.retain(|watch| *watch != (index, call));
            }
            EntryEffect::Kv { call, operation } => {
                if let Some(reply) = self.kv.run(&operation, self.now) {
                    let outcome = KvOutcome::Reply(reply);
                    self.queue.push_back(Delivery::Entry(index, EntryEvent::Kv { call, outcome }));
                }
            }
            _ => {}
        }
    }

    fn on_agent_effect(&mut self, index: usize, effect: AgentEffect) {
        match effect {
            AgentEffect::Send { entry, message } => {
                let bytes = AgentFrame::from(message.clone()).encoded_len() as u64 + 4;
                self.agent_cost.bytes_out += bytes;
                self.entry_cost.bytes_in += bytes;
                let Ok(agent) = format!("agent-{index}").parse() else {
                    return;
                };
                let event = EntryEvent::Message { agent, message };
                self.queue.push_back(Delivery::Entry(index_of(&entry), event));
            }
            AgentEffect::Kv { call, operation } => {
                if let Some(reply) = self.kv.run(&operation, self.now) {
                    let outcome = KvOutcome::Reply(reply);
                    self.queue.push_back(Delivery::Agent(index, AgentEvent::Kv { call, outcome }));
                }
            }
            _ => {}
        }
    }
}

fn measure(entries: usize, agents: usize) -> Result<(), AnyError> {
    let mut simulation = Simulation::new(entries, agents)?;
    let yaml = "models: [{id: small, prompt_cost_micros_per_1k_tokens: 1, \
        answer_cost_micros_per_1k_tokens: 1, versions: [{id: small-1, state: active}]}]";
    let configuration = hickorydoor::Configuration::try_from(RawConfiguration::from_yaml(yaml)?)?;
    simulation.commit_change(configuration.items())?;
    simulation.run(WARM_UP_MS)?;
    simulation.entry_cost = Cost::default();
    simulation.agent_cost = Cost::default();
    simulation.kv.writes = 0;
    simulation.kv.reads = 0;
    simulation.run(MEASURED_MS)?;
    let seconds = MEASURED_MS as f64 / 1000.0;
    let per_process_and_s = |value: f64, processes: usize| value / seconds / processes as f64;
    let format_cost = |cost: &Cost, processes| {
        let out = per_process_and_s(cost.bytes_out as f64, processes);
        let received = per_process_and_s(cost.bytes_in as f64, processes);
        let core_percent = per_process_and_s(cost.reducer_time.as_secs_f64(), processes) * 100.0;
        format!("{out:>7.0} {received:>7.0} {core_percent:>7.3}")
    };
    println!(
        "{entries:>7} {agents:>7} {} {} {:>8.2} {:>8.2}",
        format_cost(&simulation.entry_cost, entries),
        format_cost(&simulation.agent_cost, agents),
        simulation.kv.writes as f64 / seconds,
        simulation.kv.reads as f64 / seconds,
    );
    Ok(())
}

fn main() -> Result<(), AnyError> {
    println!(
        "                 entry: bytes/s     % of   agent: bytes/s     % of      store calls/s"
    );
    println!("entries  agents     out      in    core     out      in    core   writes    reads");
    for (entries, agents) in [(2, 47), (4, 94), (9, 188), (18, 375), (36, 750)] {
        measure(entries, agents)?;
    }
    Ok(())
}
