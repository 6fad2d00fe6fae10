//! Measures the heap memory of state that grows with the fleet.
//!
//! Prints the heap bytes of configurations with an increasing number of customers, of an entry with
//! an increasing number of listed agents, and of an agent's usage store with an increasing number of
//! unsettled requests. `docs/CAPACITY.md` uses the bytes per additional item.
//!
//! Run with `cargo run --release -p hickorydoor --example state_size`.

#![allow(unsafe_code, reason = "a counting allocator has to implement GlobalAlloc")]

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use hickorydoor::AgentMessage;
use hickorydoor::Class;
use hickorydoor::Configuration;
use hickorydoor::Entry;
use hickorydoor::EntryEffect;
use hickorydoor::EntryEvent;
use hickorydoor::EntrySettings;
use hickorydoor::KeyDigest;
use hickorydoor::RawConfiguration;
use hickorydoor::TimeMs;
use hickorydoor::agent::usage_store::UsageCopy;
use hickorydoor::agent::usage_store::UsageStore;
use hickorydoor::billing::usage::Usage;
use hickorydoor::host_record::HostRecord;
use hickorydoor::host_record::HostRole;
use hickorydoor::host_record::HostState;
use hickorydoor::id::AttemptId;
use hickorydoor::id::HostId;
use hickorydoor::id::Incarnation;
use hickorydoor::id::RequestId;
use hickorydoor::id::Revision;
use hickorydoor::id::Serial;
use hickorydoor::load_report::LoadReport;
use hickorydoor::message::AgentHello;
use hickorydoor::message::ConfigUpdate;
use hickorydoor::message::Offer;
use hickorydoor::quantity::Tokens;

const START_TIME: TimeMs = TimeMs::new(1_000_000);

struct CountingAllocator;

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Returns the heap bytes held by the value that `make` returns.
fn heap_bytes<T>(make: impl FnOnce() -> T) -> usize {
    let before = LIVE_BYTES.load(Ordering::Relaxed);
    let value = make();
    let bytes = LIVE_BYTES.load(Ordering::Relaxed).saturating_sub(before);
    drop(value);
    bytes
}

fn main() {
    println!("configuration: 20 versions, each customer with one key, five models and limits");
    for customers in [100, 1_000, 10_000] {
        let bytes = heap_bytes(|| configuration(customers));
        println!("  {customers:>6} customers {bytes:>12} bytes");
    }
    println!("entry: agents listed, at most 256 linked; no configuration");
    for agents in [64, 128, 256, 1_334, 12_000] {
        let bytes = heap_bytes(|| entry_with_agents(agents));
        println!("  {agents:>6} agents    {bytes:>12} bytes");
    }
    println!("agent: requests whose bills are not stored yet");
    for requests in [1_000, 10_000, 100_000] {
        let bytes = heap_bytes(|| unsettled_usage(requests));
        println!("  {requests:>6} requests  {bytes:>12} bytes");
    }
}

fn configuration(customers: u32) -> Configuration {
    let mut raw = RawConfiguration { revision: Some(Revision::new(1)), ..Default::default() };
    for model in 0..10 {
        let text = format!(
            "models:\n  - id: model-{model}\n    prompt_cost_micros_per_1k_tokens: 1\n    \
             answer_cost_micros_per_1k_tokens: 2\n    versions:\n      - {{id: model-{model}-1, \
             state: draining}}\n      - {{id: model-{model}-2, state: active}}\n"
        );
        raw.models.extend(RawConfiguration::from_yaml(&text).expect("the text is valid").models);
    }
    for customer in 0..customers {
        let text = format!(
            "customers:\n  - id: customer-{customer}\n    key_digests: [{}]\n    models: [model-0, \
             model-1, model-2, model-3, model-4]\n    limits: {{requests_per_s: 10}}\n",
            KeyDigest::of_key(&customer.to_string()),
        );
        let parsed = RawConfiguration::from_yaml(&text).expect("the text is valid");
        raw.customers.extend(parsed.customers);
    }
    Configuration::try_from(raw).expect("the configuration is consistent")
}

fn entry_with_agents(agents: u32) -> Entry {
    let settings = EntrySettings::new(
        "entry-0".parse().expect("the id is valid"),
        Incarnation::new(1),
        "dc-0".parse().expect("the id is valid"),
        "region-0".parse().expect("the id is valid"),
    );
    let mut entry = Entry::new(settings, 1, START_TIME);
    let snapshot = ConfigUpdate::Snapshot(Box::new(configuration(0)));
    let records = (0..agents).map(host_record).collect();
    let effects = entry.apply(EntryEvent::HostList(records), START_TIME);
    let connects = effects.into_iter().filter_map(|effect| match effect {
        EntryEffect::Connect { agent, .. } => Some(agent),
        _ => None,
    });
    for agent in connects.collect::<Vec<HostId>>() {
        entry.apply(EntryEvent::LinkUp { agent: agent.clone() }, START_TIME);
        let hello = AgentMessage::Hello(hello(&agent));
        entry.apply(EntryEvent::Message { agent: agent.clone(), message: hello }, START_TIME);
        let update = AgentMessage::ConfigUpdate(snapshot.clone());
        entry.apply(EntryEvent::Message { agent: agent.clone(), message: update }, START_TIME);
        let load = AgentMessage::Load(Box::new(LoadReport {
            leaving: false,
            versions: vec!["model-0-1".parse().expect("the id is valid")],
            admission_limit: 64,
            warm_limit: 64,
            ..LoadReport::default()
        }));
        entry.apply(EntryEvent::Message { agent, message: load }, START_TIME);
    }
    entry
}

fn host_record(index: u32) -> HostRecord {
    HostRecord {
        host: format!("agent-{index}").parse().expect("the id is valid"),
        role: HostRole::Agent,
        address: SocketAddr::from(([127, 0, 0, 1], 7080)),
        data_centre: format!("dc-{}", index / 375).parse().expect("the id is valid"),
        region: format!("region-{}", index / 1_334).parse().expect("the id is valid"),
        state: HostState::Live,
    }
}

fn hello(agent: &HostId) -> AgentHello {
    AgentHello {
        agent: agent.clone(),
        upstream: agent.as_str().parse().expect("the id is valid"),
        incarnation: Incarnation::new(1),
        data_centre: "dc-0".parse().expect("the id is valid"),
        region: "region-0".parse().expect("the id is valid"),
        offer: Offer::Engine { versions: vec!["model-0-1".parse().expect("the id is valid")] },
        revision: Revision::new(1),
        draining: false,
    }
}

fn unsettled_usage(requests: u64) -> UsageStore {
    let mut store = UsageStore::default();
    let entry: HostId = "entry-0".parse().expect("the id is valid");
    for serial in 0..requests {
        let request = RequestId {
            entry: entry.clone(),
            incarnation: Incarnation::new(1),
            // An agent sees about one in 256 requests of an entry.
            serial: Serial::new(serial * 256),
        };
        let copy = UsageCopy {
            customer: format!("customer-{}", serial % 10).parse().expect("the id is valid"),
            class: Class::Interactive,
            version: Some("model-0-1".parse().expect("the id is valid")),
            usage: Usage { prompt_tokens: Tokens::new(500), answer_tokens: Tokens::new(256) },
        };
        store.insert(&AttemptId { request, ordinal: 0 }, copy);
    }
    store
}
