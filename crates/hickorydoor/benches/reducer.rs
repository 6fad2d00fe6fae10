//! Benchmarks the entry's reducer: time and allocations per request with 256 linked upstreams.
//!
//! Each iteration applies the five events of one request: its arrival, the start, the only chunk and
//! the end of the answer, and the agent's next load report. For a new session, the entry also
//! processes the replies of the agents that own its pin.

#[path = "support/counting_allocator.rs"]
mod counting_allocator;

use std::hint::black_box;
use std::net::SocketAddr;

use bytes::Bytes;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use hickorydoor::AgentMessage;
use hickorydoor::CallerRequest;
use hickorydoor::Class;
use hickorydoor::Configuration;
use hickorydoor::Entry;
use hickorydoor::EntryEffect;
use hickorydoor::EntryEvent;
use hickorydoor::EntryMessage;
use hickorydoor::EntrySettings;
use hickorydoor::KeyDigest;
use hickorydoor::RawConfiguration;
use hickorydoor::TimeMs;
use hickorydoor::billing::usage::Usage;
use hickorydoor::entry::caller_request::ChatRequest;
use hickorydoor::entry::caller_request::RequestPayload;
use hickorydoor::host_record::HostRecord;
use hickorydoor::host_record::HostRole;
use hickorydoor::host_record::HostState;
use hickorydoor::id::AttemptId;
use hickorydoor::id::CallerId;
use hickorydoor::id::HostId;
use hickorydoor::id::Incarnation;
use hickorydoor::id::Revision;
use hickorydoor::id::SessionId;
use hickorydoor::load_report::LoadReport;
use hickorydoor::message::AgentHello;
use hickorydoor::message::ConfigUpdate;
use hickorydoor::message::Offer;
use hickorydoor::quantity::ByteCount;
use hickorydoor::quantity::Tokens;

use crate::counting_allocator::allocations;

const UPSTREAMS: usize = 256;
const API_KEY: &str = "sk-bench";
const BODY: &[u8] = br#"{"model":"brine","messages":[{"role":"user","content":"hello"}]}"#;
const ANSWER: &[u8] = br#"{"choices":[{"message":{"content":"answer"}}]}"#;
/// Requests over which allocations are averaged.
const COUNTED_REQUESTS: u64 = 10_000;

/// An entry under test with simulated agents and a virtual clock.
struct Bench {
    entry: Entry,
    now: TimeMs,
    next_caller: u64,
}

impl Bench {
    fn new() -> Self {
        let settings =
            EntrySettings::new(id("entry-1"), Incarnation::new(1), id("arauco-1"), id("la-rioja"));
        let now = TimeMs::new(1_000);
        let mut bench = Self { entry: Entry::new(settings, 42, now), now, next_caller: 0 };
        let records = (0..UPSTREAMS).map(|index| host_record(&agent(index))).collect();
        bench.apply(EntryEvent::HostList(records));
        for index in 0..UPSTREAMS {
            bench.connect(&agent(index));
        }
        let update = ConfigUpdate::Snapshot(Box::new(configuration()));
        bench.deliver(&agent(0), AgentMessage::ConfigUpdate(update));
        bench
    }

    fn apply(&mut self, event: EntryEvent) -> Vec<EntryEffect> {
        self.entry.apply(event, self.now)
    }

    fn deliver(&mut self, agent: &HostId, message: AgentMessage) -> Vec<EntryEffect> {
        self.apply(EntryEvent::Message { agent: agent.clone(), message })
    }

    fn connect(&mut self, agent: &HostId) {
        self.apply(EntryEvent::LinkUp { agent: agent.clone() });
        let hello = AgentHello {
            agent: agent.clone(),
            upstream: id(agent.as_str()),
            incarnation: Incarnation::new(1),
            data_centre: id("arauco-1"),
            region: id("la-rioja"),
            offer: Offer::Engine { versions: vec![id("brine-1")] },
            revision: Revision::new(1),
            draining: false,
        };
        self.deliver(agent, AgentMessage::Hello(hello));
        self.deliver(agent, AgentMessage::Load(Box::new(load_report(0))));
    }

    /// Processes one request from its arrival to its bill.
    fn process_request(&mut self, session: Option<SessionId>) {
        self.next_caller += 1;
        let caller = CallerId::new(self.next_caller);
        let request = Box::new(request(caller, session));
        let effects = self.apply(EntryEvent::Request(request));
        let effects = self.accept_pins(effects);
        let (agent, attempt) = dispatched(&effects);
        let started = AgentMessage::Started {
            attempt: attempt.clone(),
            status: 200,
            content_type: "application/json".into(),
        };
        self.deliver(&agent, started);
        let chunk = AgentMessage::Chunk {
            attempt: attempt.clone(),
            offset: ByteCount::default(),
            tokens: Tokens::new(8),
            data: Bytes::from_static(ANSWER),
        };
        self.deliver(&agent, chunk);
        let ended = AgentMessage::Ended {
            attempt,
            length: ByteCount::new(ANSWER.len() as u64),
            usage: Usage { prompt_tokens: Tokens::new(8), answer_tokens: Tokens::new(8) },
        };
        black_box(self.deliver(&agent, ended));
        // The agent's next load report includes the attempt. Without it, the entry would add the
        // load of every attempt to its estimate for the agent.
        let received = self.entry.members().get(&agent).map_or(0, |member| member.sent);
        self.deliver(&agent, AgentMessage::Load(Box::new(load_report(received))));
    }

    /// Accepts the pin of a new session on behalf of its owner agents; returns the other effects.
    fn accept_pins(&mut self, effects: Vec<EntryEffect>) -> Vec<EntryEffect> {
        let mut remaining = Vec::new();
        for effect in effects {
            match effect {
                EntryEffect::Send { agent, message: EntryMessage::Pin { key, pin, .. } } => {
                    let reply = AgentMessage::PinReply { key, pin, known: false };
                    remaining.extend(self.deliver(&agent, reply));
                }
                other => remaining.push(other),
            }
        }
        remaining
    }

    fn new_session(&self) -> SessionId {
        id(&format!("user-{}", self.next_caller))
    }
}

fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_error| panic!("{text:?} is not a valid id"))
}

fn agent(index: usize) -> HostId {
    id(&format!("agent-{index}"))
}

fn host_record(host: &HostId) -> HostRecord {
    HostRecord {
        host: host.clone(),
        role: HostRole::Agent,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: id("arauco-1"),
        region: id("la-rioja"),
        state: HostState::Live,
    }
}

fn load_report(received_from_entry: u64) -> LoadReport {
    LoadReport {
        leaving: false,
        revision: Revision::new(1),
        admission_limit: 64,
        warm_limit: 64,
        prefill_tokens_per_s: 10_000.0,
        token_interval_ms: 20.0,
        versions: vec![id("brine-1")],
        received_from_entry,
        ..LoadReport::default()
    }
}

fn configuration() -> Configuration {
    let digest = KeyDigest::of_key(API_KEY);
    let yaml = format!(
        "revision: 1\n\
         models: [{{id: brine, prompt_cost_micros_per_1k_tokens: 1, \
         answer_cost_micros_per_1k_tokens: 2, versions: [{{id: brine-1, state: active}}]}}]\n\
         customers: [{{id: c, key_digests: [{digest}], models: [brine], limits: {{}}, weight: 1}}]\n"
    );
    let raw = RawConfiguration::from_yaml(&yaml).unwrap_or_else(|error| panic!("{error}"));
    let mut configuration = Configuration::try_from(raw).unwrap_or_else(|error| panic!("{error}"));
    configuration.revision = Revision::new(1);
    configuration
}

fn request(caller: CallerId, session: Option<SessionId>) -> CallerRequest {
    CallerRequest {
        caller,
        key: KeyDigest::of_key(API_KEY),
        session,
        class: Class::Interactive,
        deadline_ms: None,
        payload: RequestPayload::Chat(ChatRequest {
            model: "brine".into(),
            stream: false,
            include_usage: false,
            prompt_tokens: Tokens::new(8),
            max_tokens: None,
            prefix_hash: 7,
            body: Bytes::from_static(BODY),
        }),
    }
}

fn dispatched(effects: &[EntryEffect]) -> (HostId, AttemptId) {
    let dispatch = effects.iter().find_map(|effect| match effect {
        EntryEffect::Send { agent, message: EntryMessage::Dispatch(dispatch) } => {
            Some((agent.clone(), dispatch.attempt.clone()))
        }
        _ => None,
    });
    dispatch.unwrap_or_else(|| panic!("the request was not dispatched: {effects:?}"))
}

fn reducer(criterion: &mut Criterion) {
    let mut bench = Bench::new();
    bench.process_request(None);
    let before = allocations();
    for _ in 0..COUNTED_REQUESTS {
        bench.process_request(None);
    }
    let allocations = allocations() - before;
    println!("allocations per request: {:.1}", allocations as f64 / COUNTED_REQUESTS as f64);
    criterion.bench_function("entry: one request, 256 upstreams", |bencher| {
        bencher.iter(|| bench.process_request(None));
    });
    let known_session = bench.new_session();
    criterion.bench_function("entry: one request of a known session", |bencher| {
        bencher.iter(|| bench.process_request(Some(known_session.clone())));
    });
    criterion.bench_function("entry: one request of a new session", |bencher| {
        bencher.iter(|| {
            let session = bench.new_session();
            bench.process_request(Some(session));
        });
    });
}

criterion_group!(benches, reducer);
criterion_main!(benches);
