//! Simulated deployments and the requests that their callers send.

use hickorydoor::Class;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::engine;

/// Fraction of requests that belong to a session.
const SESSION_SHARE: f64 = 0.85;
const SESSIONS_PER_ENGINE: usize = 12;
const MEAN_PROMPT_TOKENS: f64 = 800.0;
const MEAN_ANSWER_TOKENS: f64 = 200.0;
/// Mean fraction of a prompt that needs prefill if every session returns to the engine that caches
/// its prefix. 0.75 is the fraction that a cached prefix saves, see `CACHED_PROMPT_SHARE`.
const UNCACHED_PROMPT_SHARE: f64 = 1.0 - SESSION_SHARE * 0.75;
/// Names of the models and the cascade in requests, with their shares of the requests.
const MODELS: [(&str, f64); 3] = [("small", 0.42), ("large", 0.48), ("auto", 0.10)];

/// Size, latencies and load of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub data_centres: usize,
    pub engines: usize,
    pub entries: usize,
    pub customers: usize,
    /// Fraction of requests in the batch class.
    pub batch_share: f64,
    /// One-way latency between data centres.
    pub remote_latency_us: u64,
    /// One-way latency within a data centre.
    pub local_latency_us: u64,
    /// Tokens per chunk of an answer; the first chunk holds one token.
    pub chunk_tokens: u64,
    pub duration_s: u64,
    /// Interval of an agent's load reports on a link.
    pub report_interval_ms: u64,
}

/// Deployment of the first user of the project.
pub const COOPERATIVES: Deployment = Deployment {
    name: "cooperatives",
    data_centres: 3,
    engines: 12,
    entries: 3,
    customers: 10,
    batch_share: 0.3,
    remote_latency_us: 500,
    local_latency_us: 100,
    chunk_tokens: 1,
    duration_s: 90,
    report_interval_ms: 1_000,
};

/// Deployment of the second user of the project.
pub const SEATING: Deployment = Deployment {
    name: "seating",
    data_centres: 3,
    engines: 18,
    entries: 3,
    customers: 10,
    batch_share: 0.5,
    remote_latency_us: 750,
    local_latency_us: 100,
    chunk_tokens: 1,
    duration_s: 90,
    report_interval_ms: 1_000,
};

/// One data centre at the planned scale.
pub const LARGE: Deployment = Deployment {
    name: "large",
    data_centres: 1,
    engines: 375,
    entries: 17,
    customers: 40,
    batch_share: 0.3,
    remote_latency_us: 500,
    local_latency_us: 100,
    chunk_tokens: 8,
    duration_s: 80,
    report_interval_ms: 4_000,
};

/// A sampled request of a caller.
#[derive(Clone, Debug)]
pub struct SampledRequest {
    pub customer: usize,
    pub session: Option<usize>,
    pub model: &'static str,
    pub class: Class,
    pub prefix_hash: u64,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
}

impl Deployment {
    /// Requests per second that all engines together can serve.
    pub fn capacity_per_s(&self) -> f64 {
        let prompt = MEAN_PROMPT_TOKENS * UNCACHED_PROMPT_SHARE;
        self.engines as f64 * engine::capacity_per_s(prompt, MEAN_ANSWER_TOKENS)
    }

    /// Samples the next request. Customers follow a Zipf distribution, so a few send most requests.
    /// All requests of a session have the same customer, model, class and prefix.
    pub fn next_request(&self, rng: &mut Pcg64Mcg) -> SampledRequest {
        let sessions = self.engines * SESSIONS_PER_ENGINE;
        let in_session = rng.random::<f64>() < SESSION_SHARE;
        let session = in_session.then(|| rng.random_range(0..sessions));
        let identity =
            session.map_or_else(|| rng.random::<u64>() | 1 << 63, |session| session as u64);
        let mut session_rng = <Pcg64Mcg as rand::SeedableRng>::seed_from_u64(identity);
        let customer = zipf(self.customers, &mut session_rng);
        let model = sample_model(&mut session_rng);
        let batch = session_rng.random::<f64>() < self.batch_share;
        let mean_answer_tokens = MEAN_ANSWER_TOKENS * (0.5 + (customer % 5) as f64 * 0.25);
        SampledRequest {
            customer,
            session,
            model,
            class: if batch { Class::Batch } else { Class::Interactive },
            prefix_hash: identity,
            prompt_tokens: 50 + exponential(MEAN_PROMPT_TOKENS - 50.0, 2_500.0, rng),
            answer_tokens: 1 + exponential(mean_answer_tokens, 1_000.0, rng),
        }
    }
}

/// Samples a whole number from an exponential distribution with this mean, capped at `limit`.
pub fn exponential(mean: f64, limit: f64, rng: &mut Pcg64Mcg) -> u64 {
    let uniform: f64 = rng.random();
    (-(1.0 - uniform).ln() * mean).min(limit) as u64
}

/// Samples an index below `count`; the probability of an index is inversely proportional to its rank.
fn zipf(count: usize, rng: &mut Pcg64Mcg) -> usize {
    let total: f64 = (1..=count).map(|rank| 1.0 / rank as f64).sum();
    let mut remaining = rng.random::<f64>() * total;
    for rank in 1..=count {
        remaining -= 1.0 / rank as f64;
        if remaining <= 0.0 {
            return rank - 1;
        }
    }
    count - 1
}

fn sample_model(rng: &mut Pcg64Mcg) -> &'static str {
    let mut remaining: f64 = rng.random();
    for (name, share) in MODELS {
        remaining -= share;
        if remaining <= 0.0 {
            return name;
        }
    }
    MODELS[0].0
}
