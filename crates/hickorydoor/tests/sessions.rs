//! Sessions keep their versions.

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
    Ask { session: usize, entry: usize },
    RestartEntry(usize),
    RestartAgent(usize),
    SetVersion { version: usize, state: usize, share: f64 },
}

const STATES: [&str; 5] = ["active", "canary", "draining", "halted", "withdrawn"];

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..SESSIONS, 0..ENTRIES).prop_map(|(session, entry)| Step::Ask { session, entry }),
        1 => (0..ENTRIES).prop_map(Step::RestartEntry),
        1 => (0..AGENTS).prop_map(Step::RestartAgent),
        3 => (0..VERSIONS.len(), 0..STATES.len(), 0.0..1.0)
            .prop_map(|(version, state, share)| Step::SetVersion { version, state, share }),
    ]
}

/// What a test knows about one session.
#[derive(Debug, Default)]
struct Seen {
    version: Option<String>,
    /// Set when the version was halted or withdrawn since the last answer.
    gone: bool,
}

struct Run {
    fleet: Fleet,
    states: [&'static str; 3],
    seen: BTreeMap<usize, Seen>,
}

impl Run {
    fn ask(&mut self, session: usize, entry: usize) -> Result<(), TestCaseError> {
        let name = format!("user-{session}");
        let answer = self.fleet.ask(entry, "chat", Some(&name));
        let seen = self.seen.entry(session).or_default();
        let Some(version) = answer.version() else {
            prop_assert!(!self.states.contains(&"active"), "refused: {:?}", answer.refusal);
            return Ok(());
        };
        let state = self.states[VERSIONS.iter().position(|v| *v == version).expect("known")];
        prop_assert!(!matches!(state, "halted" | "withdrawn"), "{version} is {state}");
        let moved = answer.head.expect("the version is in the head").session_moved;
        if let Some(before) = &seen.version {
            let changed = *before != version;
            prop_assert!(!changed || seen.gone, "{name} left {before} for {version}");
            prop_assert_eq!(changed, moved, "session_moved of {} on {}", name, version);
        }
        *seen = Seen { version: Some(version), gone: false };
        Ok(())
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Ask { session, entry } => self.ask(session, entry)?,
            Step::RestartEntry(entry) => self.fleet.restart_entry(entry),
            Step::RestartAgent(agent) => {
                self.fleet.restart_agent(agent);
                // One home keeps each pin; the next request restores the other copy.
                for session in self.seen.keys().copied().collect::<Vec<_>>() {
                    self.ask(session, session % ENTRIES)?;
                }
            }
            Step::SetVersion { version, state, share } => {
                let state = STATES[state];
                let share = (state == "canary").then_some(share);
                self.fleet.set_version(VERSIONS[version], state, share);
                self.states[version] = state;
                if matches!(state, "halted" | "withdrawn") {
                    for seen in self.seen.values_mut() {
                        seen.gone |= seen.version.as_deref() == Some(VERSIONS[version]);
                    }
                }
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(property::config(1, 64))]

    // Guards against sessions that change their version when another entry serves them, when
    // processes restart or when a rollout goes on.
    #[test]
    fn a_session_changes_version_only_when_it_is_gone(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let states = ["active", "canary", "withdrawn"];
        let mut run = Run { fleet: fleet(), states, seen: BTreeMap::new() };
        for step in &steps {
            run.apply(step)?;
        }
    }
}

// Guards against a session that moves again through an entry that missed its first move.
#[test]
fn a_withdrawn_version_moves_its_sessions_once() {
    let mut fleet = fleet();
    let sessions: Vec<String> = (0..40).map(|n| format!("user-{n}")).collect();
    for session in &sessions {
        for entry in 0..ENTRIES {
            fleet.ask(entry, "chat", Some(session));
        }
    }
    fleet.set_version("chat-3", "canary", Some(0.5));
    fleet.set_version("chat-2", "withdrawn", None);
    let mut sum = 0;
    for session in &sessions {
        let answers: Vec<_> = (0..ENTRIES).map(|e| fleet.ask(e, "chat", Some(session))).collect();
        let versions: Vec<_> = answers.iter().map(fleet::Answer::version).collect();
        assert!(versions.iter().all(|version| *version == versions[0]), "{versions:?}");
        let moving = answers.iter().filter(|a| a.head.as_ref().expect("served").session_moved);
        let moved = moving.count();
        assert!(moved <= 1, "{session} moved {moved} times");
        sum += moved;
    }
    assert!(sum > 0, "no session was on the withdrawn version");
}

// Guards against pinned sessions that are refused because their model takes no new sessions.
#[test]
fn a_draining_model_keeps_its_sessions_through_other_entries() {
    let mut fleet = fleet();
    let before = fleet.ask(0, "chat", Some("user-1")).version();
    assert!(before.is_some(), "the first request is served");
    for version in ["chat-1", "chat-2"] {
        fleet.set_version(version, "draining", None);
    }
    fleet.restart_entry(0);
    assert_eq!(fleet.ask(1, "chat", Some("user-1")).version(), before);
    assert_eq!(fleet.ask(0, "chat", Some("user-1")).version(), before);
    let refused = fleet.ask(1, "chat", Some("user-2"));
    assert!(refused.refusal.is_some(), "a new session is refused");
}

// Guards against entries that wait for homes that never answer.
#[test]
fn a_home_that_does_not_answer_delays_a_request_briefly() {
    let mut fleet = Fleet::new(1, &[&VERSIONS[..]; 2], YAML);
    fleet.mute_pin_replies = true;
    fleet.send(0, "chat", Some("user-1"), false);
    fleet.run_ms(200);
    assert!(fleet.take_answer().ended, "the request goes on without its homes");
}
