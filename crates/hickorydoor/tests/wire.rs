//! Messages are the same after encoding and decoding, and no input from a peer makes the decoder
//! panic.

use std::fmt::Debug;

use bytes::Bytes;
use hickorydoor::AgentMessage;
use hickorydoor::Class;
use hickorydoor::DurationMs;
use hickorydoor::EntryMessage;
use hickorydoor::TimeMs;
use hickorydoor::billing::usage::Usage;
use hickorydoor::id::AttemptId;
use hickorydoor::id::Incarnation;
use hickorydoor::id::RequestId;
use hickorydoor::id::Revision;
use hickorydoor::id::Serial;
use hickorydoor::load_report::LoadReport;
use hickorydoor::message::AgentRefusal;
use hickorydoor::message::AttemptFault;
use hickorydoor::message::Call;
use hickorydoor::message::Dispatch;
use hickorydoor::message::ModelCall;
use hickorydoor::message::ServiceCall;
use hickorydoor::message::Settlement;
use hickorydoor::message::VersionRating;
use hickorydoor::quantity::ByteCount;
use hickorydoor::quantity::Tokens;
use hickorydoor::rollouts::evidence::Evidence;
use hickorydoor::rollouts::session_pin::Pin;
use hickorydoor::rollouts::session_pin::PinKey;
use hickorydoor::wire::AgentFrame;
use hickorydoor::wire::EntryFrame;
use proptest::prelude::*;
use prost::Message;

mod property;

const SEED: u64 = 0x7769_7265;
const CASES: u32 = 128;

fn id_text() -> impl Strategy<Value = String> {
    "[A-Za-z0-9._:@-]{1,32}"
}

fn attempt() -> impl Strategy<Value = AttemptId> {
    (id_text(), any::<u64>(), any::<u64>(), any::<u32>()).prop_map(
        |(entry, incarnation, serial, ordinal)| AttemptId {
            request: RequestId {
                entry: entry.parse().unwrap(),
                incarnation: Incarnation::new(incarnation),
                serial: Serial::new(serial),
            },
            ordinal,
        },
    )
}

fn payload() -> impl Strategy<Value = Bytes> {
    prop::collection::vec(any::<u8>(), 0..256).prop_map(Bytes::from)
}

fn model_call() -> impl Strategy<Value = Call> {
    (id_text(), any::<bool>(), any::<bool>(), any::<u64>(), any::<u64>(), payload()).prop_map(
        |(version, stream, include_usage, prompt, prefix_hash, body)| {
            Call::Model(ModelCall {
                version: version.parse().unwrap(),
                stream,
                include_usage,
                prompt_tokens: Tokens::new(prompt),
                answer_tokens: Tokens::new(prompt / 2),
                prefix_hash,
                body,
            })
        },
    )
}

fn service_call() -> impl Strategy<Value = Call> {
    let key = prop::option::of("[a-zA-Z0-9 é]{1,32}");
    (id_text(), "/[a-z/?=&]{0,32}", key, any::<bool>(), payload()).prop_map(
        |(service, path, key, repeatable, body)| {
            Call::Service(ServiceCall {
                service: service.parse().unwrap(),
                method: "POST".into(),
                path: path.into(),
                content_type: Some("application/json".into()),
                idempotency_key: key.map(|key| key.parse().unwrap()),
                repeatable,
                body,
            })
        },
    )
}

fn dispatch() -> impl Strategy<Value = EntryMessage> {
    let class = prop_oneof![Just(Class::Interactive), Just(Class::Batch)];
    let session = prop::option::of("[a-z ]{1,64}");
    let call = prop_oneof![model_call(), service_call()];
    (attempt(), id_text(), class, session, any::<u64>(), call).prop_map(
        |(attempt, customer, class, session, time_left, call)| {
            EntryMessage::Dispatch(Box::new(Dispatch {
                attempt,
                customer: customer.parse().unwrap(),
                class,
                session: session.map(|session| session.parse().unwrap()),
                time_left_ms: DurationMs::new(time_left),
                call,
            }))
        },
    )
}

fn settlement() -> impl Strategy<Value = Settlement> {
    let serials = prop::collection::vec(any::<u64>().prop_map(Serial::new), 0..6);
    (attempt(), any::<u64>(), serials).prop_map(|(attempt, below, serials)| Settlement {
        entry: attempt.request.entry,
        incarnation: attempt.request.incarnation,
        settled_below: Serial::new(below),
        serials,
    })
}

fn pin() -> impl Strategy<Value = (PinKey, Option<Pin>)> {
    let pin = (any::<u32>(), any::<u64>(), any::<u64>(), id_text()).prop_map(
        |(generation, since, revision, version)| Pin {
            generation,
            since_ms: TimeMs::new(since),
            revision: Revision::new(revision),
            version: version.parse().unwrap(),
        },
    );
    (any::<u128>().prop_map(PinKey::from_raw), prop::option::of(pin))
}

fn evidence() -> impl Strategy<Value = AgentMessage> {
    let digest = (id_text(), any::<[u32; 4]>(), prop::collection::vec(0.0..1.0_f64, 0..4));
    digest.prop_map(|(version, [revision, attempts, errors, slow], scores)| {
        let mut evidence = Evidence {
            counted_from: Revision::new(u64::from(revision)),
            attempts: u64::from(attempts),
            errors: u64::from(errors),
            slow: u64::from(slow),
            ..Evidence::default()
        };
        for score in scores {
            evidence.add_rating(score);
        }
        AgentMessage::Evidence(vec![(version.parse().unwrap(), evidence)])
    })
}

fn entry_message() -> impl Strategy<Value = EntryMessage> {
    prop_oneof![
        dispatch(),
        attempt().prop_map(|attempt| EntryMessage::Cancel { attempt }),
        (attempt(), any::<u64>()).prop_map(|(attempt, bytes)| EntryMessage::Credit {
            attempt,
            read_bytes: ByteCount::new(bytes)
        }),
        settlement().prop_map(EntryMessage::Settled),
        (attempt(), any::<u64>()).prop_map(|(attempt, offset)| EntryMessage::Resume {
            attempt,
            offset: ByteCount::new(offset)
        }),
        any::<u64>().prop_map(|raw| EntryMessage::Heartbeat { revision: Revision::new(raw) }),
        any::<u64>().prop_map(|raw| EntryMessage::ConfigPull { current: Revision::new(raw) }),
        Just(EntryMessage::LeaveNotice),
        (pin(), any::<bool>()).prop_map(|((key, pin), confirmed)| EntryMessage::Pin {
            key,
            pin,
            confirmed
        }),
        (id_text(), 0.0..1.0_f64).prop_map(|(version, score)| {
            EntryMessage::Ratings(vec![VersionRating { version: version.parse().unwrap(), score }])
        }),
    ]
}

fn load_report() -> impl Strategy<Value = AgentMessage> {
    (any::<u64>(), any::<u32>(), any::<f32>(), prop::collection::vec(id_text(), 0..4)).prop_map(
        |(observed, running, rate, versions)| {
            let rate = if rate.is_finite() { f64::from(rate) } else { 0.0 };
            AgentMessage::Load(Box::new(LoadReport {
                leaving: true,
                observed_at_ms: TimeMs::new(observed),
                running,
                prefill_tokens_per_s: rate,
                versions: versions.iter().map(|text| text.parse().unwrap()).collect(),
                ..LoadReport::default()
            }))
        },
    )
}

fn agent_message() -> impl Strategy<Value = AgentMessage> {
    let usage =
        Usage { prompt_tokens: Tokens::new(7), answer_tokens: Tokens::new(u64::from(u32::MAX)) };
    let refusal = prop_oneof![Just(AgentRefusal::AtLimit), Just(AgentRefusal::UpstreamDown)];
    let fault = prop_oneof![Just(AttemptFault::UpstreamError), Just(AttemptFault::KeyReused)];
    prop_oneof![
        (attempt(), refusal, any::<u64>()).prop_map(|(attempt, reason, wait)| {
            AgentMessage::Refused { attempt, reason, retry_after_ms: DurationMs::new(wait) }
        }),
        (attempt(), any::<u16>()).prop_map(|(attempt, status)| AgentMessage::Started {
            attempt,
            status,
            content_type: "text/event-stream".into()
        }),
        (attempt(), any::<u64>(), any::<u64>(), payload()).prop_map(
            |(attempt, offset, tokens, data)| AgentMessage::Chunk {
                attempt,
                offset: ByteCount::new(offset),
                tokens: Tokens::new(tokens),
                data,
            }
        ),
        (attempt(), any::<u64>()).prop_map(move |(attempt, length)| AgentMessage::Ended {
            attempt,
            length: ByteCount::new(length),
            usage
        }),
        (attempt(), fault).prop_map(move |(attempt, fault)| AgentMessage::Failed {
            attempt,
            fault,
            usage
        }),
        load_report(),
        evidence(),
        (pin(), any::<bool>()).prop_map(|((key, pin), known)| AgentMessage::PinReply {
            key,
            pin,
            known
        }),
        Just(AgentMessage::Draining),
    ]
}

/// Encodes `message` as a frame of type `F` and decodes it again.
fn round_trip<M, F>(message: M) -> M
where
    M: Clone,
    F: Message + Default + From<M>,
    M: TryFrom<F>,
    <M as TryFrom<F>>::Error: Debug,
{
    let encoded = F::from(message).encode_to_vec();
    M::try_from(F::decode(encoded.as_slice()).unwrap()).unwrap()
}

proptest! {
    #![proptest_config(property::config(SEED, CASES))]

    /// Guards against fields that are lost or swapped in the conversion to or from frames.
    #[test]
    fn entry_messages_round_trip(message in entry_message()) {
        prop_assert_eq!(round_trip::<EntryMessage, EntryFrame>(message.clone()), message);
    }

    /// Guards against fields that are lost or swapped in the conversion to or from frames.
    #[test]
    fn agent_messages_round_trip(message in agent_message()) {
        prop_assert_eq!(round_trip::<AgentMessage, AgentFrame>(message.clone()), message);
    }

    /// Guards against a malformed frame of a peer that makes the process panic.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        if let Ok(frame) = EntryFrame::decode(bytes.as_slice()) {
            let _validated = EntryMessage::try_from(frame);
        }
        if let Ok(frame) = AgentFrame::decode(bytes.as_slice()) {
            let _validated = AgentMessage::try_from(frame);
        }
    }

    /// Guards against a frame with one corrupted byte that makes the process panic.
    #[test]
    fn corrupted_frames_never_panic(
        message in entry_message(),
        position in any::<prop::sample::Index>(),
        value in any::<u8>(),
    ) {
        let mut encoded = EntryFrame::from(message).encode_to_vec();
        if !encoded.is_empty() {
            let index = position.index(encoded.len());
            encoded[index] = value;
        }
        if let Ok(frame) = EntryFrame::decode(encoded.as_slice()) {
            let _validated = EntryMessage::try_from(frame);
        }
    }
}

/// Guards against invalid ids and missing bodies that pass validation.
#[test]
fn invalid_values_are_rejected() {
    let cancel = EntryMessage::Cancel {
        attempt: "entry-1/1/2/3".parse().expect("the attempt id is well formed"),
    };
    let mut frame = EntryFrame::from(cancel);
    if let Some(hickorydoor::wire::EntryBody::Cancel(attempt)) = &mut frame.body {
        attempt.entry = "no spaces allowed".into();
    }
    assert!(EntryMessage::try_from(frame).is_err());
    assert!(EntryMessage::try_from(EntryFrame::default()).is_err());
    assert!(AgentMessage::try_from(AgentFrame::default()).is_err());
}
