//! Rollouts: versions that perform worse are stopped, equal ones are not, and canaries get their
//! configured share.

mod fleet;
mod property;

use proptest::prelude::*;

use self::fleet::Answer;
use self::fleet::Behaviour;
use self::fleet::Fleet;

const YAML: &str = "
models:
- id: chat
  prompt_cost_micros_per_1k_tokens: 100
  answer_cost_micros_per_1k_tokens: 300
  versions:
  - {id: chat-1, state: active}
  - {id: chat-2, state: canary, canary_share: 0.2}
customers:
- id: cuzco
  key_digests: [KEY_DIGEST]
  models: [chat]
";
const BOTH_VERSIONS: [&str; 2] = ["chat-1", "chat-2"];
const ENTRIES: usize = 2;

fn fleet() -> Fleet {
    Fleet::new(ENTRIES, &[&BOTH_VERSIONS[..]; 4], YAML)
}

fn set_rating(fleet: &mut Fleet, version: &str, rating: f64) {
    let behaviour = Behaviour { fails: false, rating: Some(rating) };
    fleet.behaviour.insert(version.to_owned(), behaviour);
}

/// Sends one request every 100 ms, to the entries in turn. Returns how many attempts the canary
/// executed.
fn traffic(fleet: &mut Fleet, requests: usize) -> usize {
    let before = fleet.executed_versions.len();
    for number in 0..requests {
        fleet.request(number % ENTRIES, "chat", None);
        fleet.run_ms(100);
    }
    fleet.executed_versions[before..].iter().filter(|version| version.as_str() == "chat-2").count()
}

// Guards against a rollout that continues although the canary gets worse ratings.
#[test]
fn a_bad_canary_is_halted_in_the_configuration() {
    let mut fleet = fleet();
    set_rating(&mut fleet, "chat-2", 0.3);
    traffic(&mut fleet, 600);
    assert_eq!(fleet.version_state(0, "chat-2"), "halted");
    let records = fleet.store.records();
    let halts: Vec<_> = records.iter().filter(|r| r.operator.as_str() == "rollout-guard").collect();
    assert_eq!(halts.len(), 1, "expected exactly one halt record");
    assert!(halts[0].reason.contains("worse than its baseline"), "{}", halts[0].reason);
    assert_eq!(traffic(&mut fleet, 50), 0, "the halted version got requests");
    fleet.restart_entry(0);
    assert_eq!(traffic(&mut fleet, 50), 0, "the halt was lost in the restart");
}

// Guards against false alarms: the canary is as good as its baseline.
#[test]
fn an_equal_canary_is_not_stopped() {
    let mut fleet = fleet();
    let canary_attempts = traffic(&mut fleet, 1_500);
    assert_eq!(fleet.version_state(0, "chat-2"), "canary");
    assert!(canary_attempts > 200, "the canary executed only {canary_attempts} of 1500 requests");
}

// Guards against entries that keep using a bad version because the halt cannot be stored.
#[test]
fn entries_stop_a_bad_canary_while_the_store_is_down() {
    let mut fleet = fleet();
    set_rating(&mut fleet, "chat-2", 0.3);
    fleet.set_store_down(true);
    traffic(&mut fleet, 1_000);
    assert_eq!(fleet.version_state(0, "chat-2"), "canary");
    assert_eq!(traffic(&mut fleet, 50), 0, "entries did not stop the canary");
    fleet.set_store_down(false);
    fleet.run_ms(10_000);
    assert_eq!(
        fleet.version_state(1, "chat-2"),
        "halted",
        "the halt was not stored after the outage"
    );
}

// Guards against an entry that restarts during an outage of the store and then ignores the evidence
// in the counters of the agents.
#[test]
fn a_restarted_entry_uses_the_agents_counters() {
    let mut fleet = fleet();
    set_rating(&mut fleet, "chat-2", 0.3);
    fleet.set_store_down(true);
    traffic(&mut fleet, 1_000);
    fleet.restart_entry(0);
    fleet.run_ms(15_000);
    let before = fleet.executed_versions.len();
    for _ in 0..50 {
        fleet.request(0, "chat", None);
    }
    assert!(fleet.executed_versions[before..].iter().all(|version| version.as_str() == "chat-1"));
}

// Guards against a rollout that continues for lack of ratings although every request on the canary
// fails.
#[test]
fn a_failing_canary_is_stopped_within_seconds() {
    let mut fleet = fleet();
    fleet.behaviour.insert("chat-2".to_owned(), Behaviour { fails: true, rating: None });
    let canary_attempts = traffic(&mut fleet, 300);
    assert!(canary_attempts < 60, "{canary_attempts} attempts failed");
    assert_eq!(fleet.version_state(0, "chat-2"), "halted");
}

// Guards against a second halt after the reply to the first was lost.
#[test]
fn a_lost_reply_leads_to_a_single_halt() {
    let mut fleet = fleet();
    set_rating(&mut fleet, "chat-2", 0.3);
    while fleet.version_state(0, "chat-2") == "canary" && fleet.executed_versions.len() < 2_000 {
        fleet.store.lose_next_reply = true;
        traffic(&mut fleet, 10);
    }
    traffic(&mut fleet, 100);
    let records = fleet.store.records();
    let halts = records.iter().filter(|r| r.operator.as_str() == "rollout-guard").count();
    assert_eq!(halts, 1);
}

// Guards against a missing rollback of a version that gets worse after its rollout.
#[test]
fn a_version_that_degrades_after_its_rollout_is_rolled_back() {
    let mut fleet = fleet();
    let pinned = fleet.request(0, "chat", Some("user-1")).version();
    fleet.set_version("chat-2", "active", None);
    for number in 0..20 {
        fleet.request(0, "chat", Some(&format!("user-{number}")));
    }
    fleet.set_version("chat-1", "draining", None);
    traffic(&mut fleet, 300);
    set_rating(&mut fleet, "chat-2", 0.3);
    for number in 0..1_500 {
        // The sessions that remain on the draining version serve as the baseline.
        fleet.request(number % ENTRIES, "chat", Some(&format!("user-{}", number % 20)));
        fleet.request(number % ENTRIES, "chat", None);
        fleet.run_ms(100);
    }
    assert_eq!(fleet.version_state(0, "chat-2"), "halted");
    assert_eq!(fleet.version_state(0, "chat-1"), "active");
    assert!(fleet.request(1, "chat", Some("user-new")).ended);
    assert!(pinned.is_some());
}

// Guards against sessions that stay on a version that no engine serves any more.
#[test]
fn sessions_leave_a_version_without_engines() {
    let offers: [&[&str]; 3] = [&["chat-1"], &["chat-1"], &["chat-2"]];
    let mut fleet = Fleet::new(ENTRIES, &offers, YAML);
    let sessions: Vec<String> = (0..30).map(|number| format!("user-{number}")).collect();
    let on_canary = |answer: &Answer| answer.version().as_deref() == Some("chat-2");
    let mut canary = sessions.clone();
    canary.retain(|session| on_canary(&fleet.request(0, "chat", Some(session))));
    assert!(!canary.is_empty(), "no session was assigned to the canary");
    fleet.reload_agent(2, &["chat-1"]);
    assert!(
        fleet.request(0, "chat", Some(&canary[0])).refusal.is_some(),
        "the version has no engine, so the request must be refused"
    );
    fleet.run_ms(70_000);
    assert_eq!(fleet.version_state(0, "chat-2"), "canary", "the configuration must not change");
    for session in &canary {
        let first = fleet.request(0, "chat", Some(session));
        assert!(first.head.is_some_and(|head| head.session_moved), "{session} did not move");
        let second = fleet.request(1, "chat", Some(session));
        assert!(second.head.is_some_and(|head| !head.session_moved), "{session} moved twice");
    }
    fleet.reload_agent(2, &["chat-2"]);
    fleet.run_ms(5_000);
    for session in &canary {
        let later = fleet.request(1, "chat", Some(session)).version();
        assert_eq!(later.as_deref(), Some("chat-1"), "{session} moved back");
    }
}

// Guards against evidence from before a halt that stops a version again after operators have
// restored it.
#[test]
fn a_restored_version_is_evaluated_on_new_evidence() {
    let mut fleet = fleet();
    set_rating(&mut fleet, "chat-2", 0.3);
    while fleet.version_state(0, "chat-2") == "canary" && fleet.executed_versions.len() < 2_000 {
        traffic(&mut fleet, 1);
    }
    assert_eq!(fleet.version_state(0, "chat-2"), "halted");
    set_rating(&mut fleet, "chat-2", 0.9);
    fleet.set_version("chat-2", "canary", Some(0.2));
    traffic(&mut fleet, 300);
    assert_eq!(fleet.version_state(0, "chat-2"), "canary");
}

// Guards against a halt that overwrites a withdrawal by operators.
#[test]
fn a_withdrawal_by_operators_is_not_overwritten() {
    let mut fleet = fleet();
    set_rating(&mut fleet, "chat-2", 0.3);
    fleet.set_store_down(true);
    traffic(&mut fleet, 1_000);
    fleet.set_version("chat-2", "withdrawn", None);
    fleet.set_store_down(false);
    fleet.run_ms(20_000);
    assert_eq!(fleet.version_state(0, "chat-2"), "withdrawn");
}

// Guards against rating requests above the configured rate and against answers that wait for them.
#[test]
fn sampled_ratings_are_rate_limited_and_do_not_delay_answers() {
    let mut fleet = fleet();
    fleet.ratings_stalled = true;
    for _ in 0..200 {
        assert!(fleet.request(0, "chat", None).ended, "the answer waited for its rating");
    }
    assert!(
        fleet.rating_requests <= 10,
        "more than a burst of two seconds at 5/s: {}",
        fleet.rating_requests
    );
}

fn measured_canary_share(fleet: &mut Fleet, requests: usize, sessions: bool) -> f64 {
    let before = fleet.executed_versions.len();
    for number in 0..requests {
        let session = sessions.then(|| format!("user-{number}"));
        fleet.request(number % ENTRIES, "chat", session.as_deref());
    }
    let canary = fleet.executed_versions[before..]
        .iter()
        .filter(|version| version.as_str() == "chat-2")
        .count();
    canary as f64 / requests as f64
}

proptest! {
    #![proptest_config(property::config(2, 16))]

    // Guards against a canary whose share of the sessions, or of the requests without a session,
    // differs from the configured one.
    #[test]
    fn a_canary_gets_its_share(share in 0.0..1.0_f64, sessions in any::<bool>()) {
        let mut fleet = fleet();
        fleet.set_version("chat-2", "canary", Some(share));
        let requests = 400;
        let measured = measured_canary_share(&mut fleet, requests, sessions);
        // Five standard deviations of a binomial proportion.
        let margin = 5.0 * (share * (1.0 - share) / requests as f64).sqrt() + 0.005;
        prop_assert!((measured - share).abs() <= margin, "share {measured}, configured {share}");
    }

    // Guards against a canary that gets the requests of a baseline without engines.
    #[test]
    fn a_canary_does_not_replace_a_missing_baseline(share in 0.0..0.5_f64) {
        let mut fleet = Fleet::new(ENTRIES, &[&["chat-2"]], YAML);
        fleet.set_version("chat-2", "canary", Some(share));
        let measured = measured_canary_share(&mut fleet, 200, false);
        let margin = 5.0 * (share * (1.0 - share) / 200.0).sqrt() + 0.005;
        prop_assert!(measured <= share + margin, "share {measured}, configured {share}");
    }
}

const TWO_CUSTOMERS: &str = "
models:
- id: chat
  prompt_cost_micros_per_1k_tokens: 100
  answer_cost_micros_per_1k_tokens: 300
  versions:
  - {id: chat-1, state: active}
  - {id: chat-2, state: canary, canary_share: 0.5}
  - {id: chat-3, state: draining}
customers:
- id: cuzco
  key_digests: [KEY_DIGEST]
  models: [chat]
- id: puno
  key_digests: [OTHER_DIGEST]
  models: [chat]
  versions: [chat-1, chat-3]
";
const STATES: [&str; 5] = ["active", "canary", "draining", "halted", "withdrawn"];

#[derive(Clone, Debug)]
enum Step {
    Request { entry: usize, second_customer: bool, session: Option<usize> },
    SetVersion { version: usize, state: usize, share: f64 },
    FailVersion { version: usize, fails: bool },
    SetStoreDown(bool),
    Wait,
}

fn step() -> impl Strategy<Value = Step> {
    let request = (0..ENTRIES, any::<bool>(), prop::option::of(0..5_usize));
    prop_oneof![
        12 => request.prop_map(|(entry, second_customer, session)| Step::Request {
            entry,
            second_customer,
            session,
        }),
        2 => (0..3_usize, 0..STATES.len(), 0.0..1.0)
            .prop_map(|(version, state, share)| Step::SetVersion { version, state, share }),
        1 => (0..3_usize, any::<bool>())
            .prop_map(|(version, fails)| Step::FailVersion { version, fails }),
        1 => any::<bool>().prop_map(Step::SetStoreDown),
        1 => Just(Step::Wait),
    ]
}

fn apply(fleet: &mut Fleet, step: &Step) {
    const VERSIONS: [&str; 3] = ["chat-1", "chat-2", "chat-3"];
    match *step {
        Step::Request { entry, second_customer, session } => {
            fleet.use_second_customer = second_customer;
            let session = session.map(|number| format!("user-{number}"));
            fleet.send(entry, "chat", session.as_deref(), false);
            // Every request is answered or refused immediately, whatever the states are.
            let answer = fleet.take_answer();
            assert!(
                answer.ended || answer.refusal.is_some(),
                "the request was neither answered nor refused"
            );
            if let Some(version) = answer.version().filter(|_| second_customer) {
                assert_ne!(version, "chat-2", "the customer is not allowed this version");
            }
        }
        Step::SetVersion { version, state, share } => {
            let state = STATES[state];
            fleet.set_version(VERSIONS[version], state, (state == "canary").then_some(share));
        }
        Step::FailVersion { version, fails } => {
            let behaviour = Behaviour { fails, rating: Some(0.9) };
            fleet.behaviour.insert(VERSIONS[version].to_owned(), behaviour);
        }
        Step::SetStoreDown(down) => fleet.set_store_down(down),
        Step::Wait => fleet.run_ms(3_000),
    }
}

proptest! {
    #![proptest_config(property::config(4, 48))]

    // Guards against requests on versions that are withdrawn, halted or not allowed for the
    // customer. The fleet checks each dispatch against the configuration of the entry, and each
    // call against that of the agent.
    #[test]
    fn requests_run_only_on_permitted_versions(steps in prop::collection::vec(step(), 1..80)) {
        let all: [&[&str]; 3] = [&["chat-1", "chat-2", "chat-3"]; 3];
        let mut fleet = Fleet::new(ENTRIES, &all, TWO_CUSTOMERS);
        for step in &steps {
            apply(&mut fleet, step);
        }
    }
}
