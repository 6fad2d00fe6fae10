//! Bad versions are stopped, good ones are not, and canaries keep to their share.

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
const BOTH: [&str; 2] = ["chat-1", "chat-2"];
const ENTRIES: usize = 2;

fn fleet() -> Fleet {
    Fleet::new(ENTRIES, &[&BOTH[..]; 4], YAML)
}

fn rate(fleet: &mut Fleet, version: &str, rating: f64) {
    let behaviour = Behaviour { fails: false, rating: Some(rating) };
    fleet.behaviour.insert(version.to_owned(), behaviour);
}

/// Sends one request every 100 ms, in turn to all entries; returns how many ran on the canary.
fn traffic(fleet: &mut Fleet, requests: usize) -> usize {
    let before = fleet.runs.len();
    for number in 0..requests {
        fleet.ask(number % ENTRIES, "chat", None);
        fleet.run_ms(100);
    }
    fleet.runs[before..].iter().filter(|version| version.as_str() == "chat-2").count()
}

// Guards against a rollout of a bad version that nobody stops.
#[test]
fn a_bad_canary_is_halted_in_the_configuration() {
    let mut fleet = fleet();
    rate(&mut fleet, "chat-2", 0.3);
    traffic(&mut fleet, 600);
    assert_eq!(fleet.version_state(0, "chat-2"), "halted");
    let records = fleet.store.records();
    let halts: Vec<_> = records.iter().filter(|r| r.operator.as_str() == "rollout-guard").collect();
    assert_eq!(halts.len(), 1, "one halt is recorded");
    assert!(halts[0].reason.contains("worse than its baseline"), "{}", halts[0].reason);
    assert_eq!(traffic(&mut fleet, 50), 0, "the halted version gets no requests");
    fleet.restart_entry(0);
    assert_eq!(traffic(&mut fleet, 50), 0, "the halt outlives a restart");
}

// Guards against a test that stops good versions.
#[test]
fn an_equal_canary_is_not_stopped() {
    let mut fleet = fleet();
    let exposed = traffic(&mut fleet, 1_500);
    assert_eq!(fleet.version_state(0, "chat-2"), "canary");
    assert!(exposed > 200, "the canary gets its share: {exposed}");
}

// Guards against entries that go on with a bad version because the halt cannot be stored.
#[test]
fn entries_stop_a_bad_canary_while_the_store_is_down() {
    let mut fleet = fleet();
    rate(&mut fleet, "chat-2", 0.3);
    fleet.set_store_down(true);
    traffic(&mut fleet, 1_000);
    assert_eq!(fleet.version_state(0, "chat-2"), "canary");
    assert_eq!(traffic(&mut fleet, 50), 0, "entries protect themselves");
    fleet.set_store_down(false);
    fleet.run_ms(10_000);
    assert_eq!(fleet.version_state(1, "chat-2"), "halted", "the halt is stored later");
}

// Guards against an entry that, restarted during an outage, forgets what the agents have counted.
#[test]
fn a_restarted_entry_learns_from_the_agents_counters() {
    let mut fleet = fleet();
    rate(&mut fleet, "chat-2", 0.3);
    fleet.set_store_down(true);
    traffic(&mut fleet, 1_000);
    fleet.restart_entry(0);
    fleet.run_ms(15_000);
    let before = fleet.runs.len();
    for _ in 0..50 {
        fleet.ask(0, "chat", None);
    }
    assert!(fleet.runs[before..].iter().all(|version| version.as_str() == "chat-1"));
}

// Guards against waiting for ratings while every request to a version fails.
#[test]
fn a_failing_canary_is_stopped_within_seconds() {
    let mut fleet = fleet();
    fleet.behaviour.insert("chat-2".to_owned(), Behaviour { fails: true, rating: None });
    let exposed = traffic(&mut fleet, 300);
    assert!(exposed < 60, "{exposed} attempts failed");
    assert_eq!(fleet.version_state(0, "chat-2"), "halted");
}

// Guards against a halt that is written twice after its reply was lost.
#[test]
fn a_lost_reply_gives_one_halt() {
    let mut fleet = fleet();
    rate(&mut fleet, "chat-2", 0.3);
    while fleet.version_state(0, "chat-2") == "canary" && fleet.runs.len() < 2_000 {
        fleet.store.lose_reply = true;
        traffic(&mut fleet, 10);
    }
    traffic(&mut fleet, 100);
    let records = fleet.store.records();
    let halts = records.iter().filter(|r| r.operator.as_str() == "rollout-guard").count();
    assert_eq!(halts, 1);
}

// Guards against a regression of a version after its rollout, which must roll back.
#[test]
fn a_version_that_turns_bad_in_service_is_replaced_by_the_draining_one() {
    let mut fleet = fleet();
    let pinned = fleet.ask(0, "chat", Some("user-1")).version();
    fleet.set_version("chat-2", "active", None);
    for number in 0..20 {
        fleet.ask(0, "chat", Some(&format!("user-{number}")));
    }
    fleet.set_version("chat-1", "draining", None);
    traffic(&mut fleet, 300);
    rate(&mut fleet, "chat-2", 0.3);
    for number in 0..1_500 {
        // The sessions of the draining version are the baseline.
        fleet.ask(number % ENTRIES, "chat", Some(&format!("user-{}", number % 20)));
        fleet.ask(number % ENTRIES, "chat", None);
        fleet.run_ms(100);
    }
    assert_eq!(fleet.version_state(0, "chat-2"), "halted");
    assert_eq!(fleet.version_state(0, "chat-1"), "active");
    assert!(fleet.ask(1, "chat", Some("user-new")).ended);
    assert!(pinned.is_some());
}

// Guards against sessions that are stranded on a version whose engines are gone.
#[test]
fn sessions_leave_a_version_whose_pool_ran_dry() {
    let offers: [&[&str]; 3] = [&["chat-1"], &["chat-1"], &["chat-2"]];
    let mut fleet = Fleet::new(ENTRIES, &offers, YAML);
    let sessions: Vec<String> = (0..30).map(|number| format!("user-{number}")).collect();
    let on_canary = |answer: &Answer| answer.version().as_deref() == Some("chat-2");
    let mut canary = sessions.clone();
    canary.retain(|session| on_canary(&fleet.ask(0, "chat", Some(session))));
    assert!(!canary.is_empty(), "some sessions run on the canary");
    fleet.reload_agent(2, &["chat-1"]);
    assert!(fleet.ask(0, "chat", Some(&canary[0])).refusal.is_some(), "no engine at first");
    fleet.run_ms(70_000);
    assert_eq!(fleet.version_state(0, "chat-2"), "canary", "other regions may serve it");
    for session in &canary {
        let first = fleet.ask(0, "chat", Some(session));
        assert!(first.head.is_some_and(|head| head.session_moved), "{session} moves");
        let second = fleet.ask(1, "chat", Some(session));
        assert!(second.head.is_some_and(|head| !head.session_moved), "{session} moves once");
    }
    fleet.reload_agent(2, &["chat-2"]);
    fleet.run_ms(5_000);
    for session in &canary {
        let later = fleet.ask(1, "chat", Some(session)).version();
        assert_eq!(later.as_deref(), Some("chat-1"), "{session} does not move back");
    }
}

// Guards against old evidence that stops a version again after operators have restored it.
#[test]
fn a_restored_version_is_judged_anew() {
    let mut fleet = fleet();
    rate(&mut fleet, "chat-2", 0.3);
    while fleet.version_state(0, "chat-2") == "canary" && fleet.runs.len() < 2_000 {
        traffic(&mut fleet, 1);
    }
    assert_eq!(fleet.version_state(0, "chat-2"), "halted");
    rate(&mut fleet, "chat-2", 0.9);
    fleet.set_version("chat-2", "canary", Some(0.2));
    traffic(&mut fleet, 300);
    assert_eq!(fleet.version_state(0, "chat-2"), "canary");
}

// Guards against a guard that overwrites what operators decided.
#[test]
fn a_withdrawal_by_operators_stays() {
    let mut fleet = fleet();
    rate(&mut fleet, "chat-2", 0.3);
    fleet.set_store_down(true);
    traffic(&mut fleet, 1_000);
    fleet.set_version("chat-2", "withdrawn", None);
    fleet.set_store_down(false);
    fleet.run_ms(20_000);
    assert_eq!(fleet.version_state(0, "chat-2"), "withdrawn");
}

// Guards against ratings that exceed their rate or delay callers.
#[test]
fn ratings_outside_cascades_are_bounded_and_delay_nobody() {
    let mut fleet = fleet();
    fleet.ratings_stalled = true;
    for _ in 0..200 {
        assert!(fleet.ask(0, "chat", None).ended, "the answer does not wait for its rating");
    }
    assert!(fleet.rate_calls <= 10, "a burst of two seconds at 5/s: {}", fleet.rate_calls);
}

fn share_of_canary(fleet: &mut Fleet, requests: usize, sessions: bool) -> f64 {
    let before = fleet.runs.len();
    for number in 0..requests {
        let session = sessions.then(|| format!("user-{number}"));
        fleet.ask(number % ENTRIES, "chat", session.as_deref());
    }
    let canary = fleet.runs[before..].iter().filter(|version| version.as_str() == "chat-2").count();
    canary as f64 / requests as f64
}

proptest! {
    #![proptest_config(property::config(2, 16))]

    // Guards against a canary that gets more than its share of sessions or of single requests.
    #[test]
    fn a_canary_keeps_to_its_share(share in 0.0..1.0_f64, sessions in any::<bool>()) {
        let mut fleet = fleet();
        fleet.set_version("chat-2", "canary", Some(share));
        let requests = 400;
        let seen = share_of_canary(&mut fleet, requests, sessions);
        // Five standard deviations of a binomial share.
        let margin = 5.0 * (share * (1.0 - share) / requests as f64).sqrt() + 0.005;
        prop_assert!((seen - share).abs() <= margin, "share {seen} of {share}");
    }

    // Guards against a canary that gets the baseline's requests when the baseline has no engine.
    #[test]
    fn a_canary_does_not_replace_a_missing_baseline(share in 0.0..0.5_f64) {
        let mut fleet = Fleet::new(ENTRIES, &[&["chat-2"]], YAML);
        fleet.set_version("chat-2", "canary", Some(share));
        let seen = share_of_canary(&mut fleet, 200, false);
        let margin = 5.0 * (share * (1.0 - share) / 200.0).sqrt() + 0.005;
        prop_assert!(seen <= share + margin, "share {seen} of {share}");
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
    Ask { entry: usize, other: bool, session: Option<usize> },
    SetVersion { version: usize, state: usize, share: f64 },
    FailVersion { version: usize, fails: bool },
    SetStoreDown(bool),
    Wait,
}

fn step() -> impl Strategy<Value = Step> {
    let ask = (0..ENTRIES, any::<bool>(), prop::option::of(0..5_usize));
    prop_oneof![
        12 => ask.prop_map(|(entry, other, session)| Step::Ask { entry, other, session }),
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
        Step::Ask { entry, other, session } => {
            fleet.as_other = other;
            let session = session.map(|number| format!("user-{number}"));
            fleet.send(entry, "chat", session.as_deref(), false);
            // Answered or refused at once, whatever the states are.
            let answer = fleet.take_answer();
            assert!(answer.ended || answer.refusal.is_some(), "the request hangs");
            if let Some(version) = answer.version().filter(|_| other) {
                assert_ne!(version, "chat-2", "the version is not allowed to the customer");
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

    // Guards against work on versions that are withdrawn, halted or not allowed: the fleet checks
    // each dispatch against the entry's and each call against the agent's configuration.
    #[test]
    fn requests_run_only_where_they_may(steps in prop::collection::vec(step(), 1..80)) {
        let all: [&[&str]; 3] = [&["chat-1", "chat-2", "chat-3"]; 3];
        let mut fleet = Fleet::new(ENTRIES, &all, TWO_CUSTOMERS);
        for step in &steps {
            apply(&mut fleet, step);
        }
    }
}
