//! Cascades: answers are rated before their release, and every executed step is billed.

mod fleet;
mod property;

use std::collections::BTreeSet;

use hickorydoor::EntryEvent;
use hickorydoor::id::CallerId;
use hickorydoor::id::VersionId;
use hickorydoor::observation::CascadeRecord;
use hickorydoor::observation::Observation;
use hickorydoor::observation::RequestRecord;
use proptest::prelude::*;

use self::fleet::Behaviour;
use self::fleet::Fleet;

const YAML: &str = "
models:
- id: small
  prompt_cost_micros_per_1k_tokens: 1000
  answer_cost_micros_per_1k_tokens: 1000
  versions:
  - {id: small-1, state: active}
- id: large
  prompt_cost_micros_per_1k_tokens: 10000
  answer_cost_micros_per_1k_tokens: 10000
  versions:
  - {id: large-1, state: active}
cascades:
- {id: advice, steps: [small, large], release_score: 0.8}
customers:
- id: cuzco
  key_digests: [KEY_DIGEST]
  models: [small, large]
  cascades: [advice]
";
/// Cost of one answer of the small model, for 30 prompt and answer tokens.
const SMALL_MICROS: u64 = 30;
/// Cost of one answer of the large model, for 30 prompt and answer tokens.
const LARGE_MICROS: u64 = 300;

fn fleet(small: Option<f64>) -> Fleet {
    let mut fleet = Fleet::new(1, &[&["small-1"], &["large-1"]], YAML);
    fleet.behaviour.insert("small-1".to_owned(), Behaviour { fails: false, rating: small });
    fleet
}

fn cascades(fleet: &Fleet) -> Vec<CascadeRecord> {
    let records = fleet.observations.iter().filter_map(|observation| match observation {
        Observation::Cascade(record) => Some((**record).clone()),
        _ => None,
    });
    records.collect()
}

fn requests(fleet: &Fleet) -> Vec<RequestRecord> {
    let records = fleet.observations.iter().filter_map(|observation| match observation {
        Observation::Request(record) => Some((**record).clone()),
        _ => None,
    });
    records.collect()
}

// Guards against escalation although the answer of the cheap step reaches the release score.
#[test]
fn an_answer_above_the_release_score_is_released() {
    let mut fleet = fleet(Some(0.9));
    let answer = fleet.request(0, "advice", None);
    assert_eq!(answer.body, b"small-1");
    assert_eq!(requests(&fleet)[0].cost_micros.get(), SMALL_MICROS);
    let record = &cascades(&fleet)[0];
    assert_eq!((record.step, record.rating), (0, Some(0.9)));
    assert_eq!(record.dearest_cost_micros.get(), LARGE_MICROS);
}

// Guards against records of requests that do not tell which agent served them.
#[test]
fn the_record_names_the_agent_of_the_last_attempt() {
    let mut fleet = fleet(Some(0.9));
    fleet.request(0, "advice", None);
    assert_eq!(requests(&fleet)[0].agent, Some(fleet::agent_host(0)));
    let mut fleet = self::fleet(Some(0.3));
    fleet.request(0, "advice", None);
    assert_eq!(requests(&fleet)[0].agent, Some(fleet::agent_host(1)));
}

// Guards against the delivery of a low-confidence answer, and against executed steps that are not
// billed.
#[test]
fn an_answer_below_the_release_score_is_replaced_and_billed() {
    let mut fleet = fleet(Some(0.3));
    let answer = fleet.request(0, "advice", None);
    assert_eq!(answer.body, b"large-1");
    assert_eq!(requests(&fleet)[0].cost_micros.get(), SMALL_MICROS + LARGE_MICROS);
}

// Guards against the delivery of chunks before the answer is rated, and against an answer that is
// not streamed although the client requested a stream.
#[test]
fn a_stream_is_buffered_until_it_is_rated() {
    let mut fleet = fleet(Some(0.9));
    fleet.ratings_stalled = true;
    fleet.send(0, "advice", None, true);
    let buffered = fleet.take_answer();
    assert!(
        buffered.head.is_none() && buffered.body.is_empty(),
        "part of the answer was sent before its rating"
    );
    // The rating times out. No pass rate is known yet, so the request escalates.
    fleet.run_ms(2_500);
    let answer = fleet.take_answer();
    assert!(answer.head.is_some_and(|head| head.stream), "the answer is not streamed");
    assert_eq!(answer.body, b"large-1");
}

// Guards against cascades that keep waiting for a rating service that does not reply.
#[test]
fn a_stalled_rating_service_is_bypassed() {
    let mut fleet = fleet(Some(0.9));
    fleet.ratings_stalled = true;
    for _ in 0..3 {
        fleet.send(0, "advice", None, false);
        fleet.run_ms(2_500);
        assert!(fleet.take_answer().ended);
    }
    let answer = fleet.request(0, "advice", None);
    assert_eq!(answer.body, b"large-1", "the request did not skip the unrated step");
    assert!(answer.ended);
}

// Guards against escalation past a step with a high learned pass rate while the rating service is
// unavailable, and against a pass rate that is updated by unrated answers.
#[test]
fn a_learned_pass_rate_releases_unrated_answers() {
    let mut fleet = fleet(Some(0.9));
    for _ in 0..100 {
        fleet.request(0, "advice", None);
    }
    fleet.behaviour.insert("small-1".to_owned(), Behaviour { fails: false, rating: None });
    for _ in 0..20 {
        assert_eq!(fleet.request(0, "advice", None).body, b"small-1");
    }
}

// Guards against the cost of a cheap step whose answers never reach the release score.
#[test]
fn a_step_that_never_passes_is_skipped() {
    let mut fleet = fleet(Some(0.1));
    for _ in 0..300 {
        assert_eq!(fleet.request(0, "advice", None).body, b"large-1");
    }
    let small =
        fleet.executed_versions.iter().filter(|version| version.as_str() == "small-1").count();
    assert!(small <= 30, "the cheap step was executed {small} times");
}

// Guards against the refusal of a request that a later step could serve.
#[test]
fn a_failed_step_escalates_to_the_next() {
    let mut fleet = fleet(Some(0.9));
    fleet.behaviour.insert("small-1".to_owned(), Behaviour { fails: true, rating: None });
    assert_eq!(fleet.request(0, "advice", None).body, b"large-1");
    fleet.reload_agent(0, &["large-1"]);
    assert_eq!(fleet.request(0, "advice", None).body, b"large-1");
}

// Guards against billing a buffered answer twice when the client disconnects before the rating.
#[test]
fn a_client_that_disconnects_before_the_rating_is_billed_once() {
    let mut fleet = fleet(Some(0.9));
    fleet.ratings_stalled = true;
    fleet.send(0, "advice", None, false);
    let caller = CallerId::new(1);
    let now = fleet.now;
    let effects = fleet.entries[0].apply(EntryEvent::CallerGone { caller }, now);
    let record = effects.iter().find_map(|effect| match effect {
        hickorydoor::EntryEffect::Record(Observation::Request(record)) => Some(record),
        _ => None,
    });
    assert_eq!(
        record.expect("the request was not recorded at its end").cost_micros.get(),
        SMALL_MICROS
    );
}

proptest! {
    #![proptest_config(property::config(3, 32))]

    // Guards against the release of answers below the release score, unbilled steps and unanswered
    // requests, for arbitrary ratings and outages of the rating service.
    #[test]
    fn every_request_is_answered_and_billed_for_its_executed_steps(
        ratings in prop::collection::vec(prop::option::of(0.0..1.0_f64), 1..40),
        stream in any::<bool>(),
    ) {
        let mut fleet = fleet(None);
        for rating in ratings {
            let behaviour = Behaviour { fails: false, rating };
            fleet.behaviour.insert("small-1".to_owned(), behaviour);
            let before = fleet.executed_versions.len();
            fleet.send(0, "advice", None, stream);
            fleet.run_ms(100);
            let answer = fleet.take_answer();
            prop_assert!(answer.ended, "the request was not answered");
            let executed: BTreeSet<&str> =
                fleet.executed_versions[before..].iter().map(VersionId::as_str).collect();
            let price = |version: &&str| if *version == "small-1" { SMALL_MICROS } else { LARGE_MICROS };
            let cost: u64 = executed.iter().map(price).sum();
            let records = requests(&fleet);
            let record = records.last().expect("the request was not recorded");
            prop_assert_eq!(record.cost_micros.get(), cost);
            let passed = rating.is_some_and(|rating| rating >= 0.8);
            if answer.body == b"small-1" {
                prop_assert!(passed, "released with rating {:?}", rating);
            }
        }
    }
}
