//! Compares ways to keep a session on its version: how many sessions change their version without
//! need during one day with a rollout.
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
const REQUESTS: usize = 20;
const AGENTS: usize = 18;
const ENTRIES: usize = 4;
/// Shares of the canary through the day.
const STEPS: [u32; 5] = [0, 5, 20, 50, 100];
/// 2,300 of 12,572 hosts are restarted or replaced on an ordinary day.
const RESTARTS_A_DAY: f64 = 0.18;

/// How a session's version is kept.
#[derive(Clone, Copy, Debug)]
enum Method {
    /// The version follows from the session id and the share in force.
    Derived,
    /// A token for the share of callers that return it; derived for the others.
    Token { returning: f64 },
    /// Pins at this many homes, asked by entries that have no copy.
    Homes { homes: usize },
}

/// A day in the life of one data centre.
#[derive(Clone, Copy, Debug)]
struct Day {
    /// Share of the model's agents to which an entry is linked.
    linked: f64,
    /// Agents that restart at the same moment at noon, with half as many entries.
    restarted_at_noon: usize,
}

struct World {
    method: Method,
    homes: HashMap<(HostId, PinKey), bool>,
    caches: HashMap<(usize, PinKey), bool>,
    linked: Vec<Vec<HostId>>,
    canary: VersionId,
}

fn agent(index: usize) -> HostId {
    format!("agent-{index}").parse().expect("the id is valid")
}

impl World {
    fn new(day: Day, method: Method, rng: &mut Pcg64Mcg) -> Self {
        let linked = (0..ENTRIES).map(|_| {
            let agents = (0..AGENTS).filter(|_| rng.random_bool(day.linked));
            agents.map(agent).collect()
        });
        let linked = linked.collect();
        let canary = "canary".parse().expect("the id is valid");
        Self { method, homes: HashMap::new(), caches: HashMap::new(), linked, canary }
    }

    fn restart(&mut self, index: usize) {
        if index >= AGENTS {
            self.caches.retain(|(entry, _), _| *entry != index - AGENTS);
            return;
        }
        let host = agent(index);
        self.homes.retain(|(home, _), _| *home != host);
    }

    /// Whether a request at this time runs on the canary.
    fn ask(&mut self, key: PinKey, entry: usize, token: &mut Option<bool>, at: f64) -> bool {
        let step = (at * STEPS.len() as f64) as usize;
        let share = Share::from_percent(STEPS[step.min(STEPS.len() - 1)]);
        let derived = share.contains_hash(share_hash(key.get(), &self.canary));
        match self.method {
            Method::Derived => derived,
            Method::Token { returning } => {
                let draw = share_hash(key.get(), &"token".parse().expect("the id is valid"));
                let returns = Share::try_from(returning).is_ok_and(|s| s.contains_hash(draw));
                if returns { *token.get_or_insert(derived) } else { derived }
            }
            Method::Homes { homes } => self.ask_homes(key, entry, derived, homes),
        }
    }

    fn ask_homes(&mut self, key: PinKey, entry: usize, derived: bool, homes: usize) -> bool {
        let agents = self.linked[entry].iter().map(|host| (host, Incarnation::new(0)));
        let homes: Vec<_> = rank_owners(key, agents, homes);
        let held = homes.iter().find_map(|(home, _)| self.homes.get(&(home.clone(), key)));
        let cached = self.caches.get(&(entry, key));
        let version = *cached.or(held).unwrap_or(&derived);
        for (home, _) in homes {
            self.homes.entry((home, key)).or_insert(version);
        }
        self.caches.insert((entry, key), version);
        version
    }
}

/// Sessions whose version changed, of all.
fn changed(day: Day, method: Method, seed: u64) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World::new(day, method, &mut rng);
    let mut events: Vec<(f64, Option<u64>, usize)> = Vec::new();
    for session in 0..SESSIONS {
        // A session lasts up to a third of the day.
        let start: f64 = rng.random();
        for _ in 0..REQUESTS {
            let at = start + rng.random::<f64>() / 3.0;
            events.push((at.min(0.999), Some(session), rng.random_range(0..ENTRIES)));
        }
    }
    events.extend(restarts(day, &mut rng));
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut versions: HashMap<u64, bool> = HashMap::new();
    let mut moved: HashMap<u64, bool> = HashMap::new();
    let mut tokens: HashMap<u64, Option<bool>> = HashMap::new();
    for (at, session, index) in events {
        let Some(session) = session else {
            world.restart(index);
            continue;
        };
        let key = PinKey::from_raw(xxhash_rust::xxh3::xxh3_128(&session.to_le_bytes()));
        let token = tokens.entry(session).or_default();
        let version = world.ask(key, index, token, at);
        let before = versions.insert(session, version);
        *moved.entry(session).or_default() |= before.is_some_and(|before| before != version);
    }
    moved.values().filter(|moved| **moved).count() as f64 / SESSIONS as f64
}

fn restarts(day: Day, rng: &mut impl Rng) -> Vec<(f64, Option<u64>, usize)> {
    let mut events = Vec::new();
    for index in 0..AGENTS + ENTRIES {
        if rng.random_bool(RESTARTS_A_DAY) {
            events.push((rng.random(), None, index));
        }
    }
    events.extend((0..day.restarted_at_noon).map(|index| (0.5, None, index)));
    events.extend((0..day.restarted_at_noon / 2).map(|index| (0.5, None, AGENTS + index)));
    events
}

fn main() {
    let methods = [
        ("derived from the session id", Method::Derived),
        ("token, 20% of callers return it", Method::Token { returning: 0.2 }),
        ("token, all callers return it", Method::Token { returning: 1.0 }),
        ("one home agent", Method::Homes { homes: 1 }),
        ("two home agents", Method::Homes { homes: 2 }),
        ("three home agents", Method::Homes { homes: 3 }),
        ("four home agents", Method::Homes { homes: 4 }),
    ];
    let days = [
        ("all linked", Day { linked: 1.0, restarted_at_noon: 0 }),
        ("4 agents, 2 entries restart at noon", Day { linked: 1.0, restarted_at_noon: 4 }),
        ("68% linked", Day { linked: 0.68, restarted_at_noon: 0 }),
    ];
    println!("sessions that change version, % ({SESSIONS} sessions, {AGENTS} agents)");
    for (name, method) in methods {
        let shares = days.iter().map(|(day, settings)| {
            let share = changed(*settings, method, 7);
            format!("{day} {:.3}", share * 100.0)
        });
        let shares: Vec<String> = shares.collect();
        println!("{name:33} {}", shares.join("  "));
    }
}
