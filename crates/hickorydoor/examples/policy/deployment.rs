//! Deployments and their workloads.

use hickorydoor::Class;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::engine;

/// Share of requests that belong to a session.
const SESSION_SHARE: f64 = 0.85;
/// Sessions for each engine.
const SESSIONS_PER_ENGINE: usize = 12;
const MEAN_PROMPT_TOKENS: f64 = 800.0;
const MEAN_ANSWER_TOKENS: f64 = 200.0;
/// Mean share of a prompt that no cache holds when every session returns to its engine.
const UNCACHED_SHARE: f64 = 1.0 - SESSION_SHARE * 0.75;
/// Names that callers use, with their shares of the requests.
const NAMES: [(&str, f64); 3] = [("small", 0.42), ("large", 0.48), ("auto", 0.10)];

#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub data_centres: usize,
    pub engines: usize,
    pub entries: usize,
    pub customers: usize,
    /// Share of batch requests.
    pub batch_share: f64,
    /// One way between data centres.
    pub far_latency_us: u64,
    /// One way within a data centre.
    pub near_latency_us: u64,
    /// Tokens in one piece of an answer.
    pub chunk_tokens: u64,
    pub duration_s: u64,
    /// Time between two load reports on a link.
    pub report_interval_ms: u64,
}

/// The first user.
pub const COOPERATIVES: Deployment = Deployment {
    name: "cooperatives",
    data_centres: 3,
    engines: 12,
    entries: 3,
    customers: 10,
    batch_share: 0.3,
    far_latency_us: 500,
    near_latency_us: 100,
    chunk_tokens: 1,
    duration_s: 90,
    report_interval_ms: 1_000,
};

/// The second user.
pub const SEATING: Deployment = Deployment {
    name: "seating",
    data_centres: 3,
    engines: 18,
    entries: 3,
    customers: 10,
    batch_share: 0.5,
    far_latency_us: 750,
    near_latency_us: 100,
    chunk_tokens: 1,
    duration_s: 90,
    report_interval_ms: 1_000,
};

/// One data centre of the planned scale.
pub const LARGE: Deployment = Deployment {
    name: "large",
    data_centres: 1,
    engines: 375,
    entries: 17,
    customers: 40,
    batch_share: 0.3,
    far_latency_us: 500,
    near_latency_us: 100,
    chunk_tokens: 8,
    duration_s: 80,
    report_interval_ms: 4_000,
};

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct Ask {
    pub customer: usize,
    pub session: Option<usize>,
    pub model: &'static str,
    pub class: Class,
    pub prefix: u64,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
}

impl Deployment {
    /// Requests a second at the whole capacity.
    pub fn capacity_per_s(&self) -> f64 {
        let prompt = MEAN_PROMPT_TOKENS * UNCACHED_SHARE;
        self.engines as f64 * engine::capacity_per_s(prompt, MEAN_ANSWER_TOKENS)
    }

    /// The next request. Customers follow a Zipf law, so a few are large.
    pub fn next_ask(&self, rng: &mut Pcg64Mcg) -> Ask {
        let sessions = self.engines * SESSIONS_PER_ENGINE;
        let in_session = rng.random::<f64>() < SESSION_SHARE;
        let session = in_session.then(|| rng.random_range(0..sessions));
        let identity =
            session.map_or_else(|| rng.random::<u64>() | 1 << 63, |session| session as u64);
        let mut traits = <Pcg64Mcg as rand::SeedableRng>::seed_from_u64(identity);
        let customer = zipf(self.customers, &mut traits);
        let model = pick_name(&mut traits);
        let batch = traits.random::<f64>() < self.batch_share;
        let answer_mean = MEAN_ANSWER_TOKENS * (0.5 + (customer % 5) as f64 * 0.25);
        Ask {
            customer,
            session,
            model,
            class: if batch { Class::Batch } else { Class::Interactive },
            prefix: identity,
            prompt_tokens: 50 + exponential(MEAN_PROMPT_TOKENS - 50.0, 2_500.0, rng),
            answer_tokens: 1 + exponential(answer_mean, 1_000.0, rng),
        }
    }
}

/// A whole number from an exponential law with this mean, cut at `limit`.
pub fn exponential(mean: f64, limit: f64, rng: &mut Pcg64Mcg) -> u64 {
    let uniform: f64 = rng.random();
    (-(1.0 - uniform).ln() * mean).min(limit) as u64
}

fn zipf(count: usize, rng: &mut Pcg64Mcg) -> usize {
    let total: f64 = (1..=count).map(|rank| 1.0 / rank as f64).sum();
    let mut left = rng.random::<f64>() * total;
    for rank in 1..=count {
        left -= 1.0 / rank as f64;
        if left <= 0.0 {
            return rank - 1;
        }
    }
    count - 1
}

fn pick_name(rng: &mut Pcg64Mcg) -> &'static str {
    let mut left: f64 = rng.random();
    for (name, share) in NAMES {
        left -= share;
        if left <= 0.0 {
            return name;
        }
    }
    NAMES[0].0
}
