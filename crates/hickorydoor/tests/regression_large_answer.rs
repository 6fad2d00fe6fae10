//! Guards against unstreamed responses of more than 8 MiB that stall until their deadline.
//!
//! Such a response exceeds the buffer of the entry, so it is forwarded before it is complete. The
//! bytes after that point were credited neither on arrival nor when the caller read them.

use bytes::Bytes;
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
use hickorydoor::entry::caller_request::RequestPayload;
use hickorydoor::entry::caller_request::ServiceRequest;
use hickorydoor::host_record::HostRecord;
use hickorydoor::host_record::HostRole;
use hickorydoor::host_record::HostState;
use hickorydoor::id::AttemptId;
use hickorydoor::id::CallerId;
use hickorydoor::id::HostId;
use hickorydoor::id::Incarnation;
use hickorydoor::id::Revision;
use hickorydoor::message::AgentHello;
use hickorydoor::message::ConfigUpdate;
use hickorydoor::message::Offer;
use hickorydoor::quantity::ByteCount;
use hickorydoor::quantity::Tokens;

const NOW: TimeMs = TimeMs::new(1_000);
const CALLER: CallerId = CallerId::new(1);
const CHUNK_BYTES: u64 = 1 << 20;
const CHUNKS: u64 = 12;

fn agent() -> HostId {
    "agent-1".parse().expect("id")
}

fn apply(entry: &mut Entry, event: EntryEvent) -> Vec<EntryEffect> {
    entry.apply(event, NOW)
}

fn message(entry: &mut Entry, message: AgentMessage) -> Vec<EntryEffect> {
    apply(entry, EntryEvent::Message { agent: agent(), message })
}

fn configuration() -> Configuration {
    let yaml = format!(
        "revision: 1\nservices: [{{name: registry, repeatable_methods: [GET]}}]\n\
         customers: [{{id: c, key_digests: [{}], services: [registry], limits: {{}}, weight: 1}}]\n",
        KeyDigest::of_key("sk")
    );
    let raw = RawConfiguration::from_yaml(&yaml).expect("YAML");
    let mut configuration = Configuration::try_from(raw).expect("consistent");
    configuration.revision = Revision::new(1);
    configuration
}

fn connected() -> Entry {
    let settings = EntrySettings::new(
        "entry-1".parse().expect("id"),
        Incarnation::new(1),
        "arauco".parse().expect("id"),
        "norte".parse().expect("id"),
    );
    let mut entry = Entry::new(settings, 1, NOW);
    let record = HostRecord {
        host: agent(),
        role: HostRole::Agent,
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "arauco".parse().expect("id"),
        region: "norte".parse().expect("id"),
        state: HostState::Live,
    };
    apply(&mut entry, EntryEvent::HostList(vec![record]));
    apply(&mut entry, EntryEvent::LinkUp { agent: agent() });
    let hello = AgentHello {
        agent: agent(),
        upstream: "upstream-1".parse().expect("id"),
        incarnation: Incarnation::new(1),
        data_centre: "arauco".parse().expect("id"),
        region: "norte".parse().expect("id"),
        offer: Offer::Service { service: "registry".parse().expect("name") },
        revision: Revision::new(1),
        draining: false,
    };
    message(&mut entry, AgentMessage::Hello(hello));
    let update = ConfigUpdate::Snapshot(Box::new(configuration()));
    message(&mut entry, AgentMessage::ConfigUpdate(update));
    entry
}

fn request() -> CallerRequest {
    CallerRequest {
        caller: CALLER,
        key: KeyDigest::of_key("sk"),
        session: None,
        class: Class::Interactive,
        deadline_ms: None,
        payload: RequestPayload::Service(ServiceRequest {
            service: "registry".parse().expect("name"),
            method: "GET".into(),
            path: "/lots".into(),
            content_type: None,
            idempotency_key: None,
            body: Bytes::new(),
        }),
    }
}

fn dispatched(effects: &[EntryEffect]) -> AttemptId {
    let attempt = effects.iter().find_map(|effect| match effect {
        EntryEffect::Send { message: EntryMessage::Dispatch(dispatch), .. } => {
            Some(dispatch.attempt.clone())
        }
        _ => None,
    });
    attempt.expect("the request is placed")
}

/// Returns the newest credit sent to the agent, and the number of bytes forwarded to the caller.
fn credit_and_body(effects: &[EntryEffect]) -> (u64, u64) {
    let mut credit = 0;
    let mut body = 0;
    for effect in effects {
        match effect {
            EntryEffect::Send { message: EntryMessage::Credit { read_bytes, .. }, .. } => {
                credit = read_bytes.get();
            }
            EntryEffect::Body { data, .. } => body += data.len() as u64,
            _ => {}
        }
    }
    (credit, body)
}

#[test]
fn later_bytes_are_credited_when_the_caller_reads_them() {
    let mut entry = connected();
    let effects = apply(&mut entry, EntryEvent::Request(Box::new(request())));
    let attempt = dispatched(&effects);
    let content_type = "application/octet-stream".into();
    let started = AgentMessage::Started { attempt: attempt.clone(), status: 200, content_type };
    message(&mut entry, started);
    let mut credited = 0;
    for index in 0..CHUNKS {
        let chunk = AgentMessage::Chunk {
            attempt: attempt.clone(),
            offset: ByteCount::new(index * CHUNK_BYTES),
            tokens: Tokens::default(),
            data: Bytes::from(vec![7; CHUNK_BYTES as usize]),
        };
        let (held, body) = credit_and_body(&message(&mut entry, chunk));
        let read = EntryEvent::CallerRead { caller: CALLER, bytes: ByteCount::new(body) };
        let (read, _) = credit_and_body(&apply(&mut entry, read));
        credited = credited.max(held).max(read);
        assert_eq!(credited, (index + 1) * CHUNK_BYTES, "after chunk {index}");
    }
}
