//! Time-limited exceptions in the configuration: they apply until they end, and not longer.

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
use hickorydoor::entry::caller_request::RequestPayload;
use hickorydoor::entry::caller_request::ServiceRequest;
use hickorydoor::host_record::HostRecord;
use hickorydoor::host_record::HostRole;
use hickorydoor::host_record::HostState;
use hickorydoor::id::CallerId;
use hickorydoor::id::HostId;
use hickorydoor::id::Incarnation;
use hickorydoor::id::Revision;
use hickorydoor::message::AgentHello;
use hickorydoor::message::ConfigUpdate;
use hickorydoor::message::EntryHello;
use hickorydoor::message::Offer;

const KEY: &str = "sk-test";
const START_MS: u64 = 1_000_000;
const ENDS_AT_MS: u64 = START_MS + 10_000;

fn configuration() -> Configuration {
    let text = format!(
        "revision: 1\nservices:\n  - {{name: registry, repeatable_methods: [GET]}}\n\
         customers:\n  - id: arauco\n    key_digests: [{}]\n    services: [registry]\n\
         exceptions:\n  - id: out\n    reason: disk replacement\n    ends_at_ms: {ENDS_AT_MS}\n    \
         change: {{kind: upstream_out, upstream: registry-1}}\n  - id: longer\n    \
         reason: slow link\n    ends_at_ms: {ENDS_AT_MS}\n    \
         change: {{kind: interactive_deadline, customer: arauco, deadline_ms: 77000}}\n",
        KeyDigest::of_key(KEY),
    );
    let raw = RawConfiguration::from_yaml(&text).expect("invalid YAML");
    Configuration::try_from(raw).expect("inconsistent configuration")
}

fn snapshot() -> ConfigUpdate {
    ConfigUpdate::Snapshot(Box::new(configuration()))
}

fn offer() -> Offer {
    Offer::Service { service: "registry".parse().expect("id") }
}

/// Draining state in the newest hello among the effects; `None` if there is no hello.
fn announced_draining(effects: &[AgentEffect]) -> Option<bool> {
    effects.iter().rev().find_map(|effect| match effect {
        AgentEffect::Send { message: AgentMessage::Hello(hello), .. } => Some(hello.draining),
        _ => None,
    })
}

/// Guards against an exception that is stored and listed but has no effect on the agent.
#[test]
fn an_upstream_out_exception_drains_the_agent_until_it_ends() {
    let now = TimeMs::new(START_MS);
    let settings = AgentSettings::new(
        "agent-1".parse().expect("id"),
        "registry-1".parse().expect("id"),
        Incarnation::new(START_MS),
        "arauco-1".parse().expect("id"),
        "la-rioja".parse().expect("id"),
        offer(),
    );
    let mut agent = Agent::new(settings, now);
    let entry: HostId = "entry-1".parse().expect("id");
    agent.apply(AgentEvent::LinkUp { entry: entry.clone() }, now);
    let hello = EntryMessage::Hello(EntryHello {
        entry: entry.clone(),
        incarnation: Incarnation::new(1),
        data_centre: "arauco-1".parse().expect("id"),
        revision: Revision::new(1),
        heartbeat_interval_ms: DurationMs::from_secs(1),
    });
    agent.apply(AgentEvent::Message { entry: entry.clone(), message: hello }, now);
    agent
        .apply(AgentEvent::Message { entry, message: EntryMessage::ConfigUpdate(snapshot()) }, now);
    let tick_at = |agent: &mut Agent, at_ms: u64| agent.apply(AgentEvent::Tick, TimeMs::new(at_ms));
    assert_eq!(announced_draining(&tick_at(&mut agent, START_MS + 100)), Some(true));
    assert_eq!(announced_draining(&tick_at(&mut agent, START_MS + 200)), None);
    assert_eq!(announced_draining(&tick_at(&mut agent, ENDS_AT_MS)), Some(false));
}

/// Time left in the dispatch of a request that arrives at `at_ms` without a deadline of its own.
fn dispatched_time_left(at_ms: u64) -> DurationMs {
    let now = TimeMs::new(at_ms);
    let settings = EntrySettings::new(
        "entry-1".parse().expect("id"),
        Incarnation::new(1),
        "arauco-1".parse().expect("id"),
        "la-rioja".parse().expect("id"),
    );
    let mut entry = Entry::new(settings, 1, now);
    let agent: HostId = "agent-1".parse().expect("id");
    let record = HostRecord {
        host: agent.clone(),
        role: HostRole::Agent,
        address: ([127, 0, 0, 1], 7080).into(),
        data_centre: "arauco-1".parse().expect("id"),
        region: "la-rioja".parse().expect("id"),
        state: HostState::Live,
    };
    entry.apply(EntryEvent::HostList(vec![record]), now);
    entry.apply(EntryEvent::LinkUp { agent: agent.clone() }, now);
    let hello = AgentMessage::Hello(AgentHello {
        agent: agent.clone(),
        upstream: "registry-2".parse().expect("id"),
        incarnation: Incarnation::new(1),
        data_centre: "arauco-1".parse().expect("id"),
        region: "la-rioja".parse().expect("id"),
        offer: offer(),
        revision: Revision::new(1),
        draining: false,
    });
    entry.apply(EntryEvent::Message { agent: agent.clone(), message: hello }, now);
    entry
        .apply(EntryEvent::Message { agent, message: AgentMessage::ConfigUpdate(snapshot()) }, now);
    let request = CallerRequest {
        caller: CallerId::new(1),
        key: KeyDigest::of_key(KEY),
        session: None,
        class: Class::Interactive,
        deadline_ms: None,
        payload: RequestPayload::Service(ServiceRequest {
            service: "registry".parse().expect("id"),
            method: "GET".into(),
            path: "/stock".into(),
            content_type: None,
            idempotency_key: None,
            body: bytes::Bytes::new(),
        }),
    };
    let effects = entry.apply(EntryEvent::Request(Box::new(request)), now);
    let sent = effects.into_iter().find_map(|effect| match effect {
        EntryEffect::Send { message: EntryMessage::Dispatch(dispatch), .. } => {
            Some(dispatch.time_left_ms)
        }
        _ => None,
    });
    sent.expect("the request was not dispatched")
}

/// Guards against a customer-specific deadline that is ignored or that stays in force after its
/// exception has ended.
#[test]
fn a_deadline_exception_applies_until_it_ends() {
    assert_eq!(dispatched_time_left(START_MS), DurationMs::new(77_000));
    assert_eq!(dispatched_time_left(ENDS_AT_MS), configuration().defaults.interactive_deadline_ms);
}
