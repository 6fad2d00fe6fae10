//! Sessions stay on the model version to which they are pinned.

mod fleet;
mod property;

use std::collections::BTreeMap;

use proptest::prelude::*;

use self::fleet::Fleet;

const YAML: &str = "
models:
- id: chat
  prompt_cost_micros_per_1k_tokens: 100
  answer_cost_micros_per_1k_tokens: 300
  versions:
  - {id: chat-1, state: active}
  - {id: chat-2, state: canary, canary_share: 0.3}
  - {id: chat-3, state: withdrawn}
customers:
- id: cuzco
  key_digests: [KEY_DIGEST]
  models: [chat]
";
const VERSIONS: [&str; 3] = ["chat-1", "chat-2", "chat-3"];
const SESSIONS: usize = 6;
const ENTRIES: usize = 3;
const AGENTS: usize = 4;

fn fleet() -> Fleet {
    Fleet::new(ENTRIES, &[&VERSIONS[..]; AGENTS], YAML)
}

#[derive(Clone, Debug)]
enum Step {
    Request { session: usize, entry: usize },
    RestartEntry(usize),
    RestartAgent(usize),
    SetVersion { version: usize, state: usize, share: f64 },
}

const STATES: [&str; 5] = ["active", "canary", "draining", "halted", "withdrawn"];

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..SESSIONS, 0..ENTRIES)
            .prop_map(|(session, entry)| Step::Request { session, entry }),
        1 => (0..ENTRIES).prop_map(Step::RestartEntry),
        1 => (0..AGENTS).prop_map(Step::RestartAgent),
        3 => (0..VERSIONS.len(), 0..STATES.len(), 0.0..1.0)
            .prop_map(|(version, state, share)| Step::SetVersion { version, state, share }),
    ]
}

/// What the test has observed of one session.
#[derive(Debug, Default)]
struct ObservedSession {
    version: Option<String>,
    /// Whether the version was halted or withdrawn after the last answer.
    version_stopped: bool,
}

struct SessionTest {
    fleet: Fleet,
    states: [&'static str; 3],
    observed: BTreeMap<usize, ObservedSession>,
}

impl SessionTest {
    fn check_request(&mut self, session: usize, entry: usize) -> Result<(), TestCaseError> {
        let name = format!("user-{session}");
        let answer = self.fleet.request(entry, "chat", Some(&name));
        let observed = self.observed.entry(session).or_default();
        let Some(version) = answer.version() else {
            prop_assert!(!self.states.contains(&"active"), "refused: {:?}", answer.refusal);
            return Ok(());
        };
        let state =
            self.states[VERSIONS.iter().position(|v| *v == version).expect("undeclared version")];
        prop_assert!(!matches!(state, "halted" | "withdrawn"), "{version} is {state}");
        let moved = answer.head.expect("an answer with a version has no head").session_moved;
        if let Some(before) = &observed.version {
            let changed = *before != version;
            prop_assert!(
                !changed || observed.version_stopped,
                "{name} moved from {before} to {version}"
            );
            prop_assert_eq!(changed, moved, "session_moved of {} on {}", name, version);
        }
        *observed = ObservedSession { version: Some(version), version_stopped: false };
        Ok(())
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Request { session, entry } => self.check_request(session, entry)?,
            Step::RestartEntry(entry) => self.fleet.restart_entry(entry),
            Step::RestartAgent(agent) => {
                self.fleet.restart_agent(agent);
                // The other owner agent still stores each pin; the next request of a session
                // restores the lost copy.
                for session in self.observed.keys().copied().collect::<Vec<_>>() {
                    self.check_request(session, session % ENTRIES)?;
                }
            }
            Step::SetVersion { version, state, share } => {
                let state = STATES[state];
                let share = (state == "canary").then_some(share);
                self.fleet.set_version(VERSIONS[version], state, share);
                self.states[version] = state;
                if matches!(state, "halted" | "withdrawn") {
                    for observed in self.observed.values_mut() {
                        observed.version_stopped |=
                            observed.version.as_deref() == Some(VERSIONS[version]);
                    }
                }
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(property::config(1, 64))]

    // Guards against sessions that change version because another entry serves them, processes
    // restart or a rollout advances.
    #[test]
    fn a_session_changes_version_only_when_it_is_stopped(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let states = ["active", "canary", "withdrawn"];
        let mut test = SessionTest { fleet: fleet(), states, observed: BTreeMap::new() };
        for step in &steps {
            test.apply(step)?;
        }
    }
}

// Guards against a session that an entry moves again because it has not observed the first move.
#[test]
fn a_withdrawn_version_moves_its_sessions_once() {
    let mut fleet = fleet();
    let sessions: Vec<String> = (0..40).map(|n| format!("user-{n}")).collect();
    for session in &sessions {
        for entry in 0..ENTRIES {
            fleet.request(entry, "chat", Some(session));
        }
    }
    fleet.set_version("chat-3", "canary", Some(0.5));
    fleet.set_version("chat-2", "withdrawn", None);
    let mut sum = 0;
    for session in &sessions {
        let answers: Vec<_> =
            (0..ENTRIES).map(|e| fleet.request(e, "chat", Some(session))).collect();
        let versions: Vec<_> = answers.iter().map(fleet::Answer::version).collect();
        assert!(versions.iter().all(|version| *version == versions[0]), "{versions:?}");
        let moving = answers
            .iter()
            .filter(|a| a.head.as_ref().expect("the request was not served").session_moved);
        let moved = moving.count();
        assert!(moved <= 1, "{session} moved {moved} times");
        sum += moved;
    }
    assert!(sum > 0, "no session was on the withdrawn version");
}

// Guards against the refusal of pinned sessions on a model that accepts no new ones.
#[test]
fn a_draining_model_keeps_its_sessions_through_other_entries() {
    let mut fleet = fleet();
    let before = fleet.request(0, "chat", Some("user-1")).version();
    assert!(before.is_some(), "the first request was not served");
    for version in ["chat-1", "chat-2"] {
        fleet.set_version(version, "draining", None);
    }
    fleet.restart_entry(0);
    assert_eq!(fleet.request(1, "chat", Some("user-1")).version(), before);
    assert_eq!(fleet.request(0, "chat", Some("user-1")).version(), before);
    let refused = fleet.request(1, "chat", Some("user-2"));
    assert!(refused.refusal.is_some(), "the new session was not refused");
}

// Guards against requests that wait without a limit for owner agents that do not reply.
#[test]
fn unresponsive_owner_agents_delay_a_request_only_briefly() {
    let mut fleet = Fleet::new(1, &[&VERSIONS[..]; 2], YAML);
    fleet.drop_pin_replies = true;
    fleet.send(0, "chat", Some("user-1"), false);
    fleet.run_ms(200);
    assert!(fleet.take_answer().ended, "the request still waits for its owner agents");
}
