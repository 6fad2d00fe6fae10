//! Guards against a flow-control window that stays too small after a lost link.
//!
//! Credits used to be increments, so a credit that was lost with its link was never made up for.
//! They are totals now, and the newest one is sent again on resume.

use bytes::Bytes;
use hickorydoor::Agent;
use hickorydoor::AgentEffect;
use hickorydoor::AgentEvent;
use hickorydoor::AgentSettings;
use hickorydoor::Class;
use hickorydoor::DurationMs;
use hickorydoor::EntryMessage;
use hickorydoor::TimeMs;
use hickorydoor::id::AttemptId;
use hickorydoor::id::HostId;
use hickorydoor::id::Incarnation;
use hickorydoor::id::RequestId;
use hickorydoor::id::Serial;
use hickorydoor::message::Call;
use hickorydoor::message::Dispatch;
use hickorydoor::message::Offer;
use hickorydoor::message::ServiceCall;
use hickorydoor::quantity::ByteCount;
use hickorydoor::quantity::Tokens;

const NOW: TimeMs = TimeMs::new(1_000);

fn allowed(effects: &[AgentEffect]) -> u64 {
    let bytes = effects.iter().map(|effect| match effect {
        AgentEffect::AllowRead { bytes, .. } => bytes.get(),
        _ => 0,
    });
    bytes.sum()
}

#[test]
fn credits_are_totals() {
    let entry: HostId = "entry-1".parse().expect("id");
    let settings = AgentSettings::new(
        "agent-1".parse().expect("id"),
        "upstream-1".parse().expect("id"),
        Incarnation::new(1),
        "arauco".parse().expect("id"),
        "norte".parse().expect("id"),
        Offer::Service { service: "registry".parse().expect("name") },
    );
    let mut agent = Agent::new(settings, NOW);
    agent.apply(AgentEvent::LinkUp { entry: entry.clone() }, NOW);
    let request = RequestId {
        entry: entry.clone(),
        incarnation: Incarnation::new(1),
        serial: Serial::new(1),
    };
    let attempt = AttemptId { request, ordinal: 0 };
    let call = ServiceCall {
        service: "registry".parse().expect("name"),
        method: "GET".into(),
        path: "/lots".into(),
        content_type: None,
        idempotency_key: None,
        repeatable: true,
        body: Bytes::new(),
    };
    let dispatch = Dispatch {
        attempt: attempt.clone(),
        customer: "almazara".parse().expect("id"),
        class: Class::Interactive,
        session: None,
        time_left_ms: DurationMs::from_secs(30),
        call: Call::Service(call),
    };
    let message = EntryMessage::Dispatch(Box::new(dispatch));
    agent.apply(AgentEvent::Message { entry: entry.clone(), message }, NOW);
    let data = Bytes::from(vec![0; 300]);
    let chunk =
        AgentEvent::UpstreamChunk { attempt: attempt.clone(), tokens: Tokens::new(0), data };
    agent.apply(chunk, NOW);
    // The credits for the first 200 bytes were lost; the next credit arrives twice.
    let mut total = 0;
    for _ in 0..2 {
        let read_bytes = ByteCount::new(300);
        let message = EntryMessage::Credit { attempt: attempt.clone(), read_bytes };
        let event = AgentEvent::Message { entry: entry.clone(), message };
        total += allowed(&agent.apply(event, NOW));
    }
    assert_eq!(total, 300);
}
