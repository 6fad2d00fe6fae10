//! Compares cascade policies by cost, answer quality and missed deadlines.
//!
//! The learned policy competes with fixed rules, with a policy that knows the pass rate of each
//! request, and with an oracle that knows which answers of the cheap step are good enough. Some runs
//! have a slow, unavailable or biased rating service.
//!
//! Run with `cargo run --release -p hickorydoor --example cascade`. Writes `target/cascade.csv`.

use std::fmt::Write;

use hickorydoor::Class;
use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::cascades::policy::CascadePolicy;
use hickorydoor::cascades::policy::CascadeRequest;
use hickorydoor::id::CascadeId;
use hickorydoor::id::CustomerId;
use hickorydoor::quantity::Tokens;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const REQUESTS: u64 = 200_000;
const CUSTOMERS: usize = 10;
/// Fraction of interactive requests with a deadline of `SHORT_DEADLINE_MS`.
const SHORT_DEADLINE_SHARE: f64 = 0.1;
const SHORT_DEADLINE_MS: u64 = 12_000;
/// Time between two requests at one entry.
const ARRIVAL_INTERVAL_MS: u64 = 100;
const RELEASE_SCORE: f64 = 0.8;
const RATING_NOISE: f64 = 0.03;
const RATING_LATENCY_MS: u64 = 150;
/// Rating timeout of the reducer; the slow rating service always exceeds it.
const RATING_TIMEOUT_MS: u64 = 2_000;
/// A fault starts after this fraction of the requests and lasts for the same fraction.
const FAULT_SHARE: f64 = 0.3;
/// Fraction of the answers of the expensive step that are rated as a reference.
const REFERENCE_SHARE: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// Runs the cheap step only.
    Cheapest,
    /// Runs the expensive step only.
    MostExpensive,
    /// Runs the cheap step, then the expensive one if the rating is too low.
    Fixed,
    Learned,
    /// The learned policy without the prompt size as a feature.
    LearnedWithoutSize,
    /// Knows the pass rate of each request, but not whether its cheap answer passes.
    KnownPassRate,
    /// Knows whether the cheap answer passes.
    Oracle,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Slow,
    Unavailable,
    /// Adds this value to every score.
    Biased(f64),
}

/// Distribution from which requests are sampled.
#[derive(Clone, Copy, Debug)]
struct Workload {
    name: &'static str,
    /// Cost of the expensive step relative to the cheap one.
    price_ratio: f64,
    /// Offset of the difficulty on a logit scale; higher values lower the pass rate of the cheap
    /// step.
    hardness: f64,
}

/// A sampled request with the true quality of the answers of both steps.
struct SampledRequest {
    customer: usize,
    class: Class,
    prompt_tokens: u64,
    cheap_quality: f64,
    expensive_quality: f64,
    pass_rate: f64,
    cheap_cost: f64,
    expensive_cost: f64,
    cheap_ms: u64,
    expensive_ms: u64,
    deadline_ms: u64,
}

#[derive(Default)]
struct Totals {
    cost: f64,
    quality: f64,
    low_quality: u64,
    missed_deadlines: u64,
}

fn standard_normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Samples a request. The difficulty depends on the customer and the class, and grows with the
/// length of the prompt.
fn sample_request(workload: Workload, rng: &mut impl Rng) -> SampledRequest {
    let customer = rng.random_range(0..CUSTOMERS);
    let class = if rng.random_bool(0.3) { Class::Batch } else { Class::Interactive };
    let prompt_tokens = 2_f64.powf(rng.random_range(5.0..12.0));
    let answer_tokens = 50.0 + 400.0 * rng.random::<f64>();
    let hardness = customer as f64 - 4.5
        + workload.hardness
        + (prompt_tokens.log2() - 8.5) * 0.8
        + if class == Class::Batch { 1.0 } else { 0.0 };
    let pass_rate = 1.0 / (1.0 + hardness.exp());
    let easy = rng.random_bool(pass_rate);
    let mean = if easy { 0.92 } else { 0.6 };
    let cheap_quality = (mean + 0.04 * standard_normal(rng)).clamp(0.0, 1.0);
    let expensive_quality = (0.9 + 0.04 * standard_normal(rng)).clamp(0.0, 1.0);
    let cheap_cost = prompt_tokens + 3.0 * answer_tokens;
    // The default deadlines of the configuration, or a shorter one set by the caller.
    let deadline_ms = match class {
        Class::Batch => 600_000,
        Class::Interactive if rng.random_bool(SHORT_DEADLINE_SHARE) => SHORT_DEADLINE_MS,
        Class::Interactive => 30_000,
    };
    SampledRequest {
        customer,
        class,
        prompt_tokens: prompt_tokens as u64,
        cheap_quality,
        expensive_quality,
        pass_rate,
        cheap_cost,
        expensive_cost: cheap_cost * workload.price_ratio,
        cheap_ms: (answer_tokens * 8.0 * rng.random_range(0.7..1.3)) as u64,
        expensive_ms: (answer_tokens * 25.0 * rng.random_range(0.7..1.3)) as u64,
        deadline_ms,
    }
}

struct Simulation {
    policy: Policy,
    fault: Fault,
    learned: CascadePolicy,
    customers: Vec<CustomerId>,
    cascade: CascadeId,
    rng: Pcg64Mcg,
    totals: Totals,
}

impl Simulation {
    fn new(policy: Policy, fault: Fault) -> Self {
        let customer = |n| format!("customer-{n}").parse().expect("the id is valid");
        Self {
            policy,
            fault,
            learned: CascadePolicy::default(),
            customers: (0..CUSTOMERS).map(customer).collect(),
            cascade: "cascade".parse().expect("the id is valid"),
            rng: Pcg64Mcg::seed_from_u64(11),
            totals: Totals::default(),
        }
    }

    fn record_outcome(&mut self, sample: &SampledRequest, quality: f64, cost: f64, time_ms: u64) {
        self.totals.cost += cost;
        self.totals.quality += quality;
        self.totals.low_quality += u64::from(quality < RELEASE_SCORE);
        self.totals.missed_deadlines += u64::from(time_ms > sample.deadline_ms);
    }

    /// Returns the rating, or `None` if it does not arrive in time, and the time spent waiting for it.
    fn rate(&mut self, quality: f64, fault: Fault) -> (Option<f64>, u64) {
        let score = quality + RATING_NOISE * standard_normal(&mut self.rng);
        match fault {
            Fault::None => (Some(score.clamp(0.0, 1.0)), RATING_LATENCY_MS),
            Fault::Biased(shift) => (Some((score + shift).clamp(0.0, 1.0)), RATING_LATENCY_MS),
            Fault::Slow => (None, RATING_TIMEOUT_MS),
            Fault::Unavailable => (None, 1),
        }
    }

    fn serve(&mut self, sample: &SampledRequest, number: u64) {
        let progress = number as f64 / REQUESTS as f64;
        let in_fault_window = (FAULT_SHARE..2.0 * FAULT_SHARE).contains(&progress);
        let fault = if in_fault_window { self.fault } else { Fault::None };
        let cheap_passes = sample.cheap_quality >= RELEASE_SCORE;
        let cheap_pays_off = sample.cheap_cost < sample.pass_rate * sample.expensive_cost;
        let policy = match self.policy {
            Policy::Oracle if cheap_passes => Policy::Cheapest,
            Policy::KnownPassRate if cheap_pays_off => Policy::Fixed,
            Policy::Oracle | Policy::KnownPassRate => Policy::MostExpensive,
            policy => policy,
        };
        match policy {
            Policy::Cheapest => self.record_outcome(
                sample,
                sample.cheap_quality,
                sample.cheap_cost,
                sample.cheap_ms,
            ),
            Policy::MostExpensive => self.record_outcome(
                sample,
                sample.expensive_quality,
                sample.expensive_cost,
                sample.expensive_ms,
            ),
            Policy::Fixed => self.serve_fixed(sample, fault),
            _ => self.serve_learned(sample, fault, number),
        }
    }

    /// Always runs the cheap step first, and releases its answer if it cannot be rated.
    fn serve_fixed(&mut self, sample: &SampledRequest, fault: Fault) {
        let (rating, rating_ms) = self.rate(sample.cheap_quality, fault);
        if rating.is_none_or(|rating| rating >= RELEASE_SCORE) {
            self.record_outcome(
                sample,
                sample.cheap_quality,
                sample.cheap_cost,
                sample.cheap_ms + rating_ms,
            );
        } else {
            let time_ms = sample.cheap_ms + rating_ms + sample.expensive_ms;
            self.record_outcome(
                sample,
                sample.expensive_quality,
                sample.cheap_cost + sample.expensive_cost,
                time_ms,
            );
        }
    }

    fn serve_learned(&mut self, sample: &SampledRequest, fault: Fault, number: u64) {
        let now = TimeMs::new(number * ARRIVAL_INTERVAL_MS);
        let customer = self.customers[sample.customer].clone();
        let cascade = self.cascade.clone();
        let with_size = self.policy == Policy::Learned;
        let prompt_tokens = Tokens::new(if with_size { sample.prompt_tokens } else { 0 });
        let class = sample.class;
        let request =
            CascadeRequest { customer: &customer, class, cascade: &cascade, prompt_tokens };
        let costs = [sample.cheap_cost, sample.expensive_cost];
        let remaining = DurationMs::new(sample.deadline_ms);
        let choice = self.learned.choose_step(request, 0, &costs, remaining, now, &mut self.rng);
        let (mut cost, mut time_ms) = (0.0, 0);
        if choice.step == 0 {
            cost += sample.cheap_cost;
            time_ms += sample.cheap_ms;
            let key = request.step(0);
            self.learned.record_step_time(key, DurationMs::new(sample.cheap_ms));
            let (released, rating_ms) = self.rate_answer(sample, fault, key, choice.rated, now);
            time_ms += rating_ms;
            if released {
                self.record_outcome(sample, sample.cheap_quality, cost, time_ms);
                return;
            }
        }
        self.learned.record_step_time(request.step(1), DurationMs::new(sample.expensive_ms));
        if self.rng.random_bool(REFERENCE_SHARE)
            && let (Some(score), _) = self.rate(sample.expensive_quality, fault)
        {
            self.learned.add_reference_rating(&cascade, score);
        }
        self.record_outcome(
            sample,
            sample.expensive_quality,
            cost + sample.expensive_cost,
            time_ms + sample.expensive_ms,
        );
    }

    /// Returns whether the cheap answer is released, and the time spent on its rating.
    fn rate_answer(
        &mut self,
        sample: &SampledRequest,
        fault: Fault,
        key: hickorydoor::cascades::policy::StepKey,
        rated: bool,
        now: TimeMs,
    ) -> (bool, u64) {
        if !rated {
            return (self.learned.releases_unrated(key), 0);
        }
        let (rating, rating_ms) = self.rate(sample.cheap_quality, fault);
        let released = if let Some(score) = rating {
            self.learned.ratings.on_rating(DurationMs::new(rating_ms));
            self.learned.on_rating(key, &self.cascade, score, RELEASE_SCORE)
        } else {
            self.learned.ratings.on_fault(now);
            self.learned.releases_unrated(key)
        };
        (released, rating_ms)
    }
}

fn print_results<'a>(
    workload: &str,
    fault: &str,
    names: impl Iterator<Item = &'a str>,
    runs: &[Simulation],
    csv: &mut String,
) {
    // The order of the runs is that of the policies in `main`.
    let most_expensive = runs[1].totals.cost;
    let oracle = runs[6].totals.cost;
    for (name, run) in names.zip(runs) {
        let totals = &run.totals;
        let requests = REQUESTS as f64;
        let cost = totals.cost / most_expensive * 100.0;
        let of_oracle = totals.cost / oracle * 100.0;
        let quality = totals.quality / requests;
        let bad = totals.low_quality as f64 / requests * 100.0;
        let late = totals.missed_deadlines as f64 / requests * 100.0;
        println!(
            "{workload:9} {fault:13} {name:17} {cost:7.2} {of_oracle:9.2} {quality:8.4} {bad:6.2} \
             {late:6.2}"
        );
        let line = writeln!(
            csv,
            "{workload},{fault},{name},{cost:.3},{of_oracle:.3},{quality:.5},{bad:.3},{late:.3}"
        );
        line.expect("writing to a string does not fail");
    }
}

fn main() -> std::io::Result<()> {
    let policies = [
        ("always cheapest", Policy::Cheapest),
        ("always dearest", Policy::MostExpensive),
        ("fixed cascade", Policy::Fixed),
        ("learned, no size", Policy::LearnedWithoutSize),
        ("learned", Policy::Learned),
        ("known pass rates", Policy::KnownPassRate),
        ("oracle", Policy::Oracle),
    ];
    let faults = [
        ("none", Fault::None),
        ("slow", Fault::Slow),
        ("unavailable", Fault::Unavailable),
        ("biased +0.25", Fault::Biased(0.25)),
        ("biased -0.25", Fault::Biased(-0.25)),
    ];
    let mut csv = String::from("workload,fault,policy,cost,of_oracle,quality,bad,late\n");
    println!("{REQUESTS} requests a line; faults last for {FAULT_SHARE} of them");
    println!(
        "{:9} {:13} {:17} {:>7} {:>9} {:>8} {:>6} {:>6}",
        "workload", "rating fault", "policy", "%cost", "%oracle", "quality", "%bad", "%late"
    );
    let workload = |name, price_ratio, hardness| Workload { name, price_ratio, hardness };
    let scenarios = [
        (workload("hard 7.5", 7.5, -1.0), &faults[..1]),
        (workload("hard 20", 20.0, -1.0), &faults[..1]),
        (workload("easy 20", 20.0, -3.0), &faults[..1]),
        (workload("easy 7.5", 7.5, -3.0), &faults[..]),
    ];
    for (workload, faults) in scenarios {
        for (fault_name, fault) in faults {
            let mut runs: Vec<Simulation> =
                policies.iter().map(|(_, p)| Simulation::new(*p, *fault)).collect();
            let mut rng = Pcg64Mcg::seed_from_u64(5);
            for number in 0..REQUESTS {
                let sample = sample_request(workload, &mut rng);
                for run in &mut runs {
                    run.serve(&sample, number);
                }
            }
            let names = policies.iter().map(|(name, _)| *name);
            print_results(workload.name, fault_name, names, &runs, &mut csv);
        }
    }
    std::fs::write("target/cascade.csv", csv)
}
