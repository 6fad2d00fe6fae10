//! Compares methods that keep a session on its version during a rollout.
//!
//! Simulates one day in one data centre and prints the percentage of sessions that change their
//! version without need.
//!
//! Run with `cargo run --release -p hickorydoor --example session`.

use std::collections::HashMap;

use hickorydoor::id::HostId;
use hickorydoor::id::Incarnation;
use hickorydoor::id::VersionId;
use hickorydoor::quantity::Share;
use hickorydoor::rollouts::session_pin::PinKey;
use hickorydoor::rollouts::session_pin::rank_owners;
use hickorydoor::rollouts::session_pin::share_hash;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SESSIONS: u64 = 20_000;
const REQUESTS_PER_SESSION: usize = 20;
const AGENTS: usize = 18;
const ENTRIES: usize = 4;
/// Percentages of the canary during the day, each for an equal part of it.
const CANARY_PERCENTAGES: [u32; 5] = [0, 5, 20, 50, 100];
/// Probability that a host restarts during the day: 2,300 of 12,572 hosts are restarted or replaced on
/// an ordinary day.
const DAILY_RESTART_PROBABILITY: f64 = 0.18;

/// A method that keeps a session on its version.
#[derive(Clone, Copy, Debug)]
enum Method {
    /// Derives the version from the session id and the current percentage of the canary.
    Derived,
    /// Sends the version to the caller in a token. This fraction of the callers returns it; for the
    /// others the version is derived.
    Token { returning: f64 },
    /// Stores the version of a session in a pin at this many owner agents, which an entry queries
    /// if it has no cached pin.
    Pins { owners: usize },
}

/// Conditions in the data centre during the simulated day.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// Fraction of the model's agents to which an entry is linked.
    linked_share: f64,
    /// Number of agents that restart at the same time at noon, together with half as many entries.
    restarted_at_noon: usize,
}

struct Simulation {
    method: Method,
    /// Pins by owner agent; `true` for the canary.
    pins: HashMap<(HostId, PinKey), bool>,
    /// Pins by the index of the entry that caches them.
    cached_pins: HashMap<(usize, PinKey), bool>,
    /// Agents to which each entry is linked.
    linked_agents: Vec<Vec<HostId>>,
    canary: VersionId,
}

fn agent(index: usize) -> HostId {
    format!("agent-{index}").parse().expect("the id is valid")
}

impl Simulation {
    fn new(scenario: Scenario, method: Method, rng: &mut Pcg64Mcg) -> Self {
        let linked_agents = (0..ENTRIES).map(|_| {
            let agents = (0..AGENTS).filter(|_| rng.random_bool(scenario.linked_share));
            agents.map(agent).collect()
        });
        let linked_agents = linked_agents.collect();
        let canary = "canary".parse().expect("the id is valid");
        Self { method, pins: HashMap::new(), cached_pins: HashMap::new(), linked_agents, canary }
    }

    /// Restarts an agent, or an entry if the index is at least `AGENTS`.
    fn restart(&mut self, index: usize) {
        if index >= AGENTS {
            self.cached_pins.retain(|(entry, _), _| *entry != index - AGENTS);
            return;
        }
        let host = agent(index);
        self.pins.retain(|(owner, _), _| *owner != host);
    }

    /// Returns whether a request at this time of the day runs on the canary.
    fn routes_to_canary(
        &mut self,
        key: PinKey,
        entry: usize,
        token: &mut Option<bool>,
        time: f64,
    ) -> bool {
        let step = (time * CANARY_PERCENTAGES.len() as f64) as usize;
        let share = Share::from_percent(CANARY_PERCENTAGES[step.min(CANARY_PERCENTAGES.len() - 1)]);
        let derived = share.contains_hash(share_hash(key.get(), &self.canary));
        match self.method {
            Method::Derived => derived,
            Method::Token { returning } => {
                let draw = share_hash(key.get(), &"token".parse().expect("the id is valid"));
                let returns = Share::try_from(returning).is_ok_and(|s| s.contains_hash(draw));
                if returns { *token.get_or_insert(derived) } else { derived }
            }
            Method::Pins { owners } => self.pinned_version(key, entry, derived, owners),
        }
    }

    fn pinned_version(&mut self, key: PinKey, entry: usize, derived: bool, owners: usize) -> bool {
        let agents = self.linked_agents[entry].iter().map(|host| (host, Incarnation::new(0)));
        let owners: Vec<_> = rank_owners(key, agents, owners);
        let pinned = owners.iter().find_map(|(owner, _)| self.pins.get(&(owner.clone(), key)));
        let cached = self.cached_pins.get(&(entry, key));
        let version = *cached.or(pinned).unwrap_or(&derived);
        for (owner, _) in owners {
            self.pins.entry((owner, key)).or_insert(version);
        }
        self.cached_pins.insert((entry, key), version);
        version
    }
}

/// Returns the fraction of sessions whose version changed.
fn changed_share(scenario: Scenario, method: Method, seed: u64) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut simulation = Simulation::new(scenario, method, &mut rng);
    // Time of the day, session of a request or `None` for a restart, and index of the host.
    let mut events: Vec<(f64, Option<u64>, usize)> = Vec::new();
    for session in 0..SESSIONS {
        // A session lasts up to a third of the day.
        let start: f64 = rng.random();
        for _ in 0..REQUESTS_PER_SESSION {
            let time = start + rng.random::<f64>() / 3.0;
            events.push((time.min(0.999), Some(session), rng.random_range(0..ENTRIES)));
        }
    }
    events.extend(restarts(scenario, &mut rng));
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut versions: HashMap<u64, bool> = HashMap::new();
    let mut changed: HashMap<u64, bool> = HashMap::new();
    let mut tokens: HashMap<u64, Option<bool>> = HashMap::new();
    for (time, session, index) in events {
        let Some(session) = session else {
            simulation.restart(index);
            continue;
        };
        let key = PinKey::from_raw(xxhash_rust::xxh3::xxh3_128(&session.to_le_bytes()));
        let token = tokens.entry(session).or_default();
        let version = simulation.routes_to_canary(key, index, token, time);
        let before = versions.insert(session, version);
        *changed.entry(session).or_default() |= before.is_some_and(|before| before != version);
    }
    changed.values().filter(|changed| **changed).count() as f64 / SESSIONS as f64
}

fn restarts(scenario: Scenario, rng: &mut impl Rng) -> Vec<(f64, Option<u64>, usize)> {
    let mut events = Vec::new();
    for index in 0..AGENTS + ENTRIES {
        if rng.random_bool(DAILY_RESTART_PROBABILITY) {
            events.push((rng.random(), None, index));
        }
    }
    events.extend((0..scenario.restarted_at_noon).map(|index| (0.5, None, index)));
    events.extend((0..scenario.restarted_at_noon / 2).map(|index| (0.5, None, AGENTS + index)));
    events
}

fn main() {
    let methods = [
        ("derived from the session id", Method::Derived),
        ("token, 20% of callers return it", Method::Token { returning: 0.2 }),
        ("token, all callers return it", Method::Token { returning: 1.0 }),
        ("one owner agent", Method::Pins { owners: 1 }),
        ("two owner agents", Method::Pins { owners: 2 }),
        ("three owner agents", Method::Pins { owners: 3 }),
        ("four owner agents", Method::Pins { owners: 4 }),
    ];
    let scenarios = [
        ("all linked", Scenario { linked_share: 1.0, restarted_at_noon: 0 }),
        (
            "4 agents, 2 entries restart at noon",
            Scenario { linked_share: 1.0, restarted_at_noon: 4 },
        ),
        ("68% linked", Scenario { linked_share: 0.68, restarted_at_noon: 0 }),
    ];
    println!("sessions that change version, % ({SESSIONS} sessions, {AGENTS} agents)");
    for (name, method) in methods {
        let shares = scenarios.iter().map(|(name, scenario)| {
            let share = changed_share(*scenario, method, 7);
            format!("{name} {:.3}", share * 100.0)
        });
        let shares: Vec<String> = shares.collect();
        println!("{name:33} {}", shares.join("  "));
    }
}
