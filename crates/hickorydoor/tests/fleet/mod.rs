//! Deterministic in-process fleet of entry and agent reducers.
//!
//! Messages are delivered immediately and in order, engines answer immediately, and
//! [`store::Store`] replaces the key-value service. Time advances only through [`Fleet::run_ms`].

#![allow(dead_code, reason = "each test binary uses a part of the fleet")]

pub mod store;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;
use hickorydoor::Agent;
use hickorydoor::AgentEffect;
use hickorydoor::AgentEvent;
use hickorydoor::AgentMessage;
use hickorydoor::AgentSettings;
use hickorydoor::CallerRequest;
use hickorydoor::Class;
use hickorydoor::Configuration;
use hickorydoor::DurationMs;
use hickorydoor::Entry;
use hickorydoor::EntryEffect;
use hickorydoor::EntryEvent;
use hickorydoor::EntryMessage;
use hickorydoor::EntrySettings;
use hickorydoor::KeyDigest;
use hickorydoor::RawConfiguration;
use hickorydoor::TimeMs;
use hickorydoor::agent::event::UpstreamFault;
use hickorydoor::billing::usage::Usage;
use hickorydoor::entry::caller_request::ChatRequest;
use hickorydoor::entry::caller_request::RequestPayload;
use hickorydoor::entry::effect::ResponseHead;
use hickorydoor::entry::event::RatingFault;
use hickorydoor::host_record::HostRecord;
use hickorydoor::host_record::HostRole;
use hickorydoor::host_record::HostState;
use hickorydoor::id::AttemptId;
use hickorydoor::id::CallerId;
use hickorydoor::id::CustomerId;
use hickorydoor::id::HostId;
use hickorydoor::id::Incarnation;
use hickorydoor::id::VersionId;
use hickorydoor::message::Call;
use hickorydoor::message::Dispatch;
use hickorydoor::message::Offer;
use hickorydoor::observation::Observation;
use hickorydoor::quantity::Tokens;
use hickorydoor::refusal::Refusal;

use self::store::Store;

const KEY: &str = "key-1";
/// API key of the second customer, whose digest replaces `OTHER_DIGEST`.
const SECOND_KEY: &str = "key-2";
const TICK_MS: u64 = 100;

/// Simulated behaviour of the engines and of the rating service for one version.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Whether every attempt fails.
    pub fails: bool,
    /// Rating of every answer; `None` while the rating service is unavailable.
    pub rating: Option<f64>,
}

/// What a client has received so far.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub head: Option<ResponseHead>,
    pub body: Vec<u8>,
    pub ended: bool,
    pub refusal: Option<Refusal>,
}

impl Answer {
    pub fn version(&self) -> Option<String> {
        self.head.as_ref()?.version.as_ref().map(ToString::to_string)
    }
}

enum Delivery {
    Entry(usize, EntryEvent),
    Agent(usize, AgentEvent),
}

pub struct Fleet {
    pub now: TimeMs,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    pub store: Store,
    pub behaviour: BTreeMap<String, Behaviour>,
    pub observations: Vec<Observation>,
    /// Version of each attempt that an engine executed, in order.
    pub executed_versions: Vec<VersionId>,
    /// Set while the rating service does not reply.
    pub ratings_stalled: bool,
    /// Number of requests to the rating service.
    pub rating_requests: u64,
    /// Set while replies of owner agents to pin queries are lost.
    pub drop_pin_replies: bool,
    /// Set while requests are sent with the key of the second customer.
    pub use_second_customer: bool,
    offers: Vec<Vec<String>>,
    incarnations: u64,
    next_caller: u64,
    answers: BTreeMap<CallerId, Answer>,
    customers: BTreeMap<AttemptId, CustomerId>,
    queue: VecDeque<Delivery>,
}

pub fn entry_host(index: usize) -> HostId {
    format!("entry-{index}").parse().expect("the id is valid")
}

pub fn agent_host(index: usize) -> HostId {
    format!("agent-{index}").parse().expect("the id is valid")
}

fn index_of(host: &HostId) -> usize {
    let number = host.as_str().rsplit('-').next().expect("the host has a number");
    number.parse().expect("the host has a number")
}

impl Fleet {
    /// Starts a fleet with this configuration in force. Each offer lists the versions that one
    /// engine serves.
    pub fn new(entries: usize, offers: &[&[&str]], yaml: &str) -> Self {
        let mut fleet = Self {
            now: TimeMs::new(1_000_000),
            entries: Vec::new(),
            agents: Vec::new(),
            store: Store::default(),
            behaviour: BTreeMap::new(),
            observations: Vec::new(),
            executed_versions: Vec::new(),
            ratings_stalled: false,
            rating_requests: 0,
            drop_pin_replies: false,
            use_second_customer: false,
            offers: offers.iter().map(|o| o.iter().map(ToString::to_string).collect()).collect(),
            incarnations: 0,
            next_caller: 0,
            answers: BTreeMap::new(),
            customers: BTreeMap::new(),
            queue: VecDeque::new(),
        };
        fleet.store.put_configuration(&configuration(yaml));
        for index in 0..offers.len() {
            let agent = fleet.new_agent(index);
            fleet.agents.push(agent);
        }
        for index in 0..entries {
            let entry = fleet.new_entry(index);
            fleet.entries.push(entry);
            fleet.send_host_list(index);
        }
        fleet.run_ms(300);
        fleet
    }

    fn next_incarnation(&mut self) -> Incarnation {
        self.incarnations += 1;
        Incarnation::new(self.incarnations)
    }

    fn new_entry(&mut self, index: usize) -> Entry {
        let incarnation = self.next_incarnation();
        let data_centre = "dc-1".parse().expect("the id is valid");
        let region = "region-1".parse().expect("the id is valid");
        let settings = EntrySettings::new(entry_host(index), incarnation, data_centre, region);
        Entry::new(settings, incarnation.get(), self.now)
    }

    fn new_agent(&mut self, index: usize) -> Agent {
        let incarnation = self.next_incarnation();
        let versions = self.offers[index].iter().map(|v| v.parse().expect("the id is valid"));
        let mut settings = AgentSettings::new(
            agent_host(index),
            format!("engine-{index}").parse().expect("the id is valid"),
            incarnation,
            "dc-1".parse().expect("the id is valid"),
            "region-1".parse().expect("the id is valid"),
            Offer::Engine { versions: versions.collect() },
        );
        settings.cold_limit = settings.warm_limit;
        Agent::new(settings, self.now)
    }

    fn send_host_list(&mut self, index: usize) {
        let record = |agent: usize| HostRecord {
            host: agent_host(agent),
            role: HostRole::Agent,
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "dc-1".parse().expect("the id is valid"),
            region: "region-1".parse().expect("the id is valid"),
            state: HostState::Live,
        };
        let records = (0..self.agents.len()).map(record).collect();
        self.queue.push_back(Delivery::Entry(index, EntryEvent::HostList(records)));
    }

    /// Replaces an entry with a new process without any state.
    pub fn restart_entry(&mut self, index: usize) {
        for agent in 0..self.agents.len() {
            let entry = entry_host(index);
            self.queue.push_back(Delivery::Agent(agent, AgentEvent::LinkDown { entry }));
        }
        self.store.remove_watches(index);
        self.entries[index] = self.new_entry(index);
        self.send_host_list(index);
        self.run_ms(300);
    }

    /// Replaces an agent with a new process without any state.
    pub fn restart_agent(&mut self, index: usize) {
        self.agents[index] = self.new_agent(index);
        for entry in 0..self.entries.len() {
            let agent = agent_host(index);
            self.queue.push_back(Delivery::Entry(entry, EntryEvent::LinkDown { agent }));
        }
        self.run_ms(500);
    }

    /// Changes the versions that an engine serves and restarts its agent.
    pub fn reload_agent(&mut self, index: usize, versions: &[&str]) {
        self.offers[index] = versions.iter().map(ToString::to_string).collect();
        self.restart_agent(index);
    }

    /// Starts or ends an outage of the store; both interrupt all watches.
    pub fn set_store_down(&mut self, down: bool) {
        self.store.down = down;
        let interrupted = self.store.interrupt_watches();
        self.notify(interrupted);
        self.deliver_pending();
    }

    /// Sets the state of a version, as an operator would, and waits until the change has spread.
    pub fn set_version(&mut self, version: &str, state: &str, share: Option<f64>) {
        let events = self.store.set_version(version, state, share);
        self.notify(events);
        self.run_ms(1_300);
    }

    fn notify(&mut self, events: Vec<(usize, EntryEvent)>) {
        for (entry, event) in events {
            self.queue.push_back(Delivery::Entry(entry, event));
        }
    }

    /// Advances time in ticks of [`TICK_MS`].
    pub fn run_ms(&mut self, duration_ms: u64) {
        self.deliver_pending();
        for _ in 0..duration_ms.div_ceil(TICK_MS) {
            self.now = self.now + DurationMs::new(TICK_MS);
            self.store.expire(self.now);
            for entry in 0..self.entries.len() {
                self.queue.push_back(Delivery::Entry(entry, EntryEvent::Tick));
            }
            for agent in 0..self.agents.len() {
                self.queue.push_back(Delivery::Agent(agent, AgentEvent::Tick));
            }
            self.deliver_pending();
        }
    }

    /// Delivers pending events until none are left.
    pub fn deliver_pending(&mut self) {
        while let Some(delivery) = self.queue.pop_front() {
            match delivery {
                Delivery::Entry(index, event) => {
                    let effects = self.entries[index].apply(event, self.now);
                    for effect in effects {
                        self.on_entry_effect(index, effect);
                    }
                }
                Delivery::Agent(index, event) => {
                    let effects = self.agents[index].apply(event, self.now);
                    for effect in effects {
                        self.on_agent_effect(index, effect);
                    }
                }
            }
        }
    }

    fn on_entry_effect(&mut self, index: usize, effect: EntryEffect) {
        match effect {
            EntryEffect::Respond { caller, head } => self.answer(caller).head = Some(head),
            EntryEffect::Body { caller, data } => self.answer(caller).body.extend_from_slice(&data),
            EntryEffect::End { caller } => self.answer(caller).ended = true,
            EntryEffect::Refuse { caller, refusal, .. }
            | EntryEffect::Abort { caller, refusal } => {
                self.answer(caller).refusal = Some(refusal);
            }
            EntryEffect::Connect { agent, .. } => {
                let entry = entry_host(index);
                let event = AgentEvent::LinkUp { entry };
                self.queue.push_back(Delivery::Agent(index_of(&agent), event));
                self.queue.push_back(Delivery::Entry(index, EntryEvent::LinkUp { agent }));
            }
            EntryEffect::Send { agent, message } => {
                if let EntryMessage::Dispatch(dispatch) = &message {
                    self.check_dispatch(index, dispatch);
                }
                let event = AgentEvent::Message { entry: entry_host(index), message };
                self.queue.push_back(Delivery::Agent(index_of(&agent), event));
            }
            EntryEffect::Rate { request, ordinal, version, .. } => {
                self.rating_requests += 1;
                if !self.ratings_stalled {
                    let rating = self.behaviour_of(&version).rating;
                    let rating = rating.ok_or(RatingFault::Unavailable);
                    let event = EntryEvent::Rated { request, ordinal, rating };
                    self.queue.push_back(Delivery::Entry(index, event));
                }
            }
            EntryEffect::Kv { call, operation } => {
                let events = self.store.call(index, call, operation, self.now);
                self.notify(events);
            }
            EntryEffect::Record(observation) => self.observations.push(observation),
            _ => {}
        }
    }

    fn answer(&mut self, caller: CallerId) -> &mut Answer {
        self.answers.entry(caller).or_default()
    }

    fn behaviour_of(&self, version: &VersionId) -> Behaviour {
        let known = self.behaviour.get(version.as_str()).copied();
        known.unwrap_or(Behaviour { fails: false, rating: Some(0.9) })
    }

    fn on_agent_effect(&mut self, index: usize, effect: AgentEffect) {
        match effect {
            AgentEffect::Send { message: AgentMessage::PinReply { .. }, .. }
                if self.drop_pin_replies => {}
            AgentEffect::Send { entry, message } => {
                let event = EntryEvent::Message { agent: agent_host(index), message };
                self.queue.push_back(Delivery::Entry(index_of(&entry), event));
            }
            AgentEffect::CallUpstream { attempt, call, .. } => {
                self.on_call(index, attempt, &call);
            }
            _ => {}
        }
    }

    /// Asserts that the configuration of the entry permits the dispatch.
    fn check_dispatch(&mut self, index: usize, dispatch: &Dispatch) {
        if let Call::Model(call) = &dispatch.call {
            let configuration = self.entries[index].configuration();
            assert_permitted(configuration, &dispatch.customer, &call.version);
        }
        self.customers.insert(dispatch.attempt.clone(), dispatch.customer.clone());
    }

    fn on_call(&mut self, index: usize, attempt: AttemptId, call: &Call) {
        let Call::Model(call) = call else {
            return;
        };
        let customer = self.customers.get(&attempt).expect("no entry dispatched the attempt");
        assert_permitted(self.agents[index].configuration(), customer, &call.version);
        self.executed_versions.push(call.version.clone());
        let events = if self.behaviour_of(&call.version).fails {
            vec![AgentEvent::UpstreamFailed { attempt, fault: UpstreamFault::ServerError }]
        } else {
            let usage = Usage { prompt_tokens: Tokens::new(10), answer_tokens: Tokens::new(20) };
            let data = Bytes::from(call.version.to_string());
            let content_type = "application/json".into();
            vec![
                AgentEvent::UpstreamStarted { attempt: attempt.clone(), status: 200, content_type },
                AgentEvent::UpstreamChunk {
                    attempt: attempt.clone(),
                    tokens: Tokens::new(20),
                    data,
                },
                AgentEvent::UpstreamEnded { attempt, usage: Some(usage) },
            ]
        };
        for event in events {
            self.queue.push_back(Delivery::Agent(index, event));
        }
    }

    /// Sends a chat request and returns what the client has received once all events are delivered.
    pub fn request(&mut self, entry: usize, model: &str, session: Option<&str>) -> Answer {
        self.send(entry, model, session, false);
        self.take_answer()
    }

    /// Sends a chat request and delivers pending events, without advancing time.
    pub fn send(&mut self, entry: usize, model: &str, session: Option<&str>, stream: bool) {
        self.next_caller += 1;
        let chat = ChatRequest {
            model: model.into(),
            stream,
            include_usage: false,
            prompt_tokens: Tokens::new(10),
            max_tokens: None,
            prefix_hash: 0,
            body: Bytes::from_static(b"{}"),
        };
        let request = CallerRequest {
            caller: CallerId::new(self.next_caller),
            key: KeyDigest::of_key(if self.use_second_customer { SECOND_KEY } else { KEY }),
            session: session.map(|text| text.parse().expect("the session is valid")),
            class: Class::Interactive,
            deadline_ms: None,
            payload: RequestPayload::Chat(chat),
        };
        self.queue.push_back(Delivery::Entry(entry, EntryEvent::Request(Box::new(request))));
        self.deliver_pending();
    }

    /// Removes and returns what the client of the latest request has received so far.
    pub fn take_answer(&mut self) -> Answer {
        self.answers.remove(&CallerId::new(self.next_caller)).unwrap_or_default()
    }

    /// Returns the state of a version in the configuration of an entry.
    pub fn version_state(&self, entry: usize, version: &str) -> String {
        let version: VersionId = version.parse().expect("the id is valid");
        let configuration = self.entries[entry].configuration();
        let known = configuration.version(&version).expect("the version is declared");
        known.1.state.to_string()
    }
}

fn assert_permitted(configuration: &Configuration, customer: &CustomerId, version: &VersionId) {
    let (model, known) = configuration.version(version).expect("the version is configured");
    let customer = configuration.customers.get(customer).expect("the customer is configured");
    assert!(customer.allows_version(model, known), "{version} is not allowed");
    assert!(known.state.serves_sessions(), "{version} is {}", known.state);
}

/// Parses and validates a configuration. `KEY_DIGEST` and `OTHER_DIGEST` are replaced with the
/// digests of the two customers' keys.
pub fn configuration(yaml: &str) -> Configuration {
    let yaml = yaml.replace("OTHER_DIGEST", &KeyDigest::of_key(SECOND_KEY).to_string());
    let yaml = yaml.replace("KEY_DIGEST", &KeyDigest::of_key(KEY).to_string());
    let raw = RawConfiguration::from_yaml(&yaml).expect("the text is a configuration");
    Configuration::try_from(raw).expect("the configuration is valid")
}
