//! Cascades judge answers before they release them, and bill every step that ran.

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
/// Price of the 30 tokens of one answer on each model.
const SMALL_MICROS: u64 = 30;
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

// Guards against a good cheap answer that is not used.
#[test]
fn a_good_cheap_answer_is_released() {
    let mut fleet = fleet(Some(0.9));
    let answer = fleet.ask(0, "advice", None);
    assert_eq!(answer.body, b"small-1");
    assert_eq!(requests(&fleet)[0].cost_micros.get(), SMALL_MICROS);
    let record = &cascades(&fleet)[0];
    assert_eq!((record.step, record.rating), (0, Some(0.9)));
    assert_eq!(record.dearest_cost_micros.get(), LARGE_MICROS);
}

// Guards against a bad cheap answer that reaches the caller, and against steps that are not billed.
#[test]
fn a_bad_cheap_answer_is_replaced_and_billed() {
    let mut fleet = fleet(Some(0.3));
    let answer = fleet.ask(0, "advice", None);
    assert_eq!(answer.body, b"large-1");
    assert_eq!(requests(&fleet)[0].cost_micros.get(), SMALL_MICROS + LARGE_MICROS);
}

// Guards against bytes of a judged answer that leave early, and against an answer of another kind
// than the caller asked for.
#[test]
fn a_stream_is_held_until_it_is_judged() {
    let mut fleet = fleet(Some(0.9));
    fleet.ratings_stalled = true;
    fleet.send(0, "advice", None, true);
    let held = fleet.take_answer();
    assert!(held.head.is_none() && held.body.is_empty(), "nothing leaves before the rating");
    // The rating times out; the pass rate is not known, so the dearer step answers.
    fleet.run_ms(2_500);
    let answer = fleet.take_answer();
    assert!(answer.head.is_some_and(|head| head.stream), "the kind is the one asked for");
    assert_eq!(answer.body, b"large-1");
}

// Guards against a rating service that never answers and stops all cascades.
#[test]
fn a_stalled_rating_service_is_left_out() {
    let mut fleet = fleet(Some(0.9));
    fleet.ratings_stalled = true;
    for _ in 0..3 {
        fleet.send(0, "advice", None, false);
        fleet.run_ms(2_500);
        assert!(fleet.take_answer().ended);
    }
    let answer = fleet.ask(0, "advice", None);
    assert_eq!(answer.body, b"large-1", "the answer comes at once from the dearer step");
    assert!(answer.ended);
}

// Guards against a known good step that is given up because the rating service is away, and
// against learning from what was not rated.
#[test]
fn a_learned_pass_rate_releases_without_ratings() {
    let mut fleet = fleet(Some(0.9));
    for _ in 0..100 {
        fleet.ask(0, "advice", None);
    }
    fleet.behaviour.insert("small-1".to_owned(), Behaviour { fails: false, rating: None });
    for _ in 0..20 {
        assert_eq!(fleet.ask(0, "advice", None).body, b"small-1");
    }
}

// Guards against paying for a cheap step whose answers never pass.
#[test]
fn a_step_that_never_passes_is_skipped() {
    let mut fleet = fleet(Some(0.1));
    for _ in 0..300 {
        assert_eq!(fleet.ask(0, "advice", None).body, b"large-1");
    }
    let small = fleet.runs.iter().filter(|version| version.as_str() == "small-1").count();
    assert!(small <= 30, "the cheap step ran {small} times");
}

// Guards against a refusal while a later step could answer.
#[test]
fn a_step_that_fails_goes_on_with_the_next() {
    let mut fleet = fleet(Some(0.9));
    fleet.behaviour.insert("small-1".to_owned(), Behaviour { fails: true, rating: None });
    assert_eq!(fleet.ask(0, "advice", None).body, b"large-1");
    fleet.reload_agent(0, &["large-1"]);
    assert_eq!(fleet.ask(0, "advice", None).body, b"large-1");
}

// Guards against billing a held answer again when its caller leaves before the rating.
#[test]
fn a_caller_that_leaves_before_the_rating_is_billed_once() {
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
    assert_eq!(record.expect("the request ends").cost_micros.get(), SMALL_MICROS);
}

proptest! {
    #![proptest_config(property::config(3, 32))]

    // Guards against answers below the release score, steps without a bill and lost requests,
    // whatever the rating service does.
    #[test]
    fn every_request_is_answered_and_billed_for_its_steps(
        ratings in prop::collection::vec(prop::option::of(0.0..1.0_f64), 1..40),
        stream in any::<bool>(),
    ) {
        let mut fleet = fleet(None);
        for rating in ratings {
            let behaviour = Behaviour { fails: false, rating };
            fleet.behaviour.insert("small-1".to_owned(), behaviour);
            let before = fleet.runs.len();
            fleet.send(0, "advice", None, stream);
            fleet.run_ms(100);
            let answer = fleet.take_answer();
            prop_assert!(answer.ended, "the request is answered");
            let ran: BTreeSet<&str> = fleet.runs[before..].iter().map(VersionId::as_str).collect();
            let price = |version: &&str| if *version == "small-1" { SMALL_MICROS } else { LARGE_MICROS };
            let cost: u64 = ran.iter().map(price).sum();
            let records = requests(&fleet);
            let record = records.last().expect("the request is recorded");
            prop_assert_eq!(record.cost_micros.get(), cost);
            let rated = rating.is_some_and(|rating| rating >= 0.8);
            if answer.body == b"small-1" {
                prop_assert!(rated, "released at {:?}", rating);
            }
        }
    }
}
