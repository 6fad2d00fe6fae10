//! Measures cost and quality of cascades against simple policies and an oracle that knows which
//! cheap answers are good enough, also with a slow, unavailable or biased rating service.
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
/// Interactive requests with a short deadline.
const SHORT_DEADLINE_SHARE: f64 = 0.1;
const SHORT_DEADLINE_MS: u64 = 12_000;
/// Time between two requests at one entry.
const INTERVAL_MS: u64 = 100;
const RELEASE_SCORE: f64 = 0.8;
const RATING_NOISE: f64 = 0.03;
const RATING_MS: u64 = 150;
/// Time after which the reducer gives up a rating; a slow service does not answer before.
const RATING_TIMEOUT_MS: u64 = 2_000;
/// Faults begin after this share of the requests and end after twice of it.
const FAULT_SHARE: f64 = 0.3;
/// Share of the dearest answers that is rated.
const REFERENCE_SHARE: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    Cheapest,
    Dearest,
    Fixed,
    Learned,
    LearnedWithoutSize,
    /// Knows the pass rate of each request's kind, but not its outcome.
    Known,
    Oracle,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Slow,
    Unavailable,
    Biased(f64),
}

/// Requests of one deployment.
#[derive(Clone, Copy, Debug)]
struct Workload {
    name: &'static str,
    /// Price of the dear step over the cheap one.
    price_ratio: f64,
    /// Shifts the share of requests that the cheap step cannot serve.
    hardness: f64,
}

/// One request with the true quality of both answers.
struct Job {
    customer: usize,
    class: Class,
    prompt_tokens: u64,
    cheap_quality: f64,
    dear_quality: f64,
    pass_rate: f64,
    cheap_cost: f64,
    dear_cost: f64,
    cheap_ms: u64,
    dear_ms: u64,
    deadline_ms: u64,
}

#[derive(Default)]
struct Sums {
    cost: f64,
    quality: f64,
    bad: u64,
    late: u64,
}

fn normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Customers differ in how hard their work is; longer prompts are harder.
fn job(workload: Workload, rng: &mut impl Rng) -> Job {
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
    let cheap_quality = (mean + 0.04 * normal(rng)).clamp(0.0, 1.0);
    let dear_quality = (0.9 + 0.04 * normal(rng)).clamp(0.0, 1.0);
    let cheap_cost = prompt_tokens + 3.0 * answer_tokens;
    // The configured defaults, and callers that set a short deadline.
    let deadline_ms = match class {
        Class::Batch => 600_000,
        Class::Interactive if rng.random_bool(SHORT_DEADLINE_SHARE) => SHORT_DEADLINE_MS,
        Class::Interactive => 30_000,
    };
    Job {
        customer,
        class,
        prompt_tokens: prompt_tokens as u64,
        cheap_quality,
        dear_quality,
        pass_rate,
        cheap_cost,
        dear_cost: cheap_cost * workload.price_ratio,
        cheap_ms: (answer_tokens * 8.0 * rng.random_range(0.7..1.3)) as u64,
        dear_ms: (answer_tokens * 25.0 * rng.random_range(0.7..1.3)) as u64,
        deadline_ms,
    }
}

struct Run {
    policy: Policy,
    fault: Fault,
    learned: CascadePolicy,
    customers: Vec<CustomerId>,
    cascade: CascadeId,
    rng: Pcg64Mcg,
    sums: Sums,
}

impl Run {
    fn new(policy: Policy, fault: Fault) -> Self {
        let customer = |n| format!("customer-{n}").parse().expect("the id is valid");
        Self {
            policy,
            fault,
            learned: CascadePolicy::default(),
            customers: (0..CUSTOMERS).map(customer).collect(),
            cascade: "cascade".parse().expect("the id is valid"),
            rng: Pcg64Mcg::seed_from_u64(11),
            sums: Sums::default(),
        }
    }

    fn count(&mut self, job: &Job, quality: f64, cost: f64, time_ms: u64) {
        self.sums.cost += cost;
        self.sums.quality += quality;
        self.sums.bad += u64::from(quality < RELEASE_SCORE);
        self.sums.late += u64::from(time_ms > job.deadline_ms);
    }

    /// The rating, if it comes in time, and how long it is waited for.
    fn rate(&mut self, quality: f64, fault: Fault) -> (Option<f64>, u64) {
        let score = quality + RATING_NOISE * normal(&mut self.rng);
        match fault {
            Fault::None => (Some(score.clamp(0.0, 1.0)), RATING_MS),
            Fault::Biased(shift) => (Some((score + shift).clamp(0.0, 1.0)), RATING_MS),
            Fault::Slow => (None, RATING_TIMEOUT_MS),
            Fault::Unavailable => (None, 1),
        }
    }

    fn serve(&mut self, job: &Job, number: u64) {
        let at = number as f64 / REQUESTS as f64;
        let faulty = (FAULT_SHARE..2.0 * FAULT_SHARE).contains(&at);
        let fault = if faulty { self.fault } else { Fault::None };
        let is_good = job.cheap_quality >= RELEASE_SCORE;
        let is_worth = job.cheap_cost < job.pass_rate * job.dear_cost;
        let policy = match self.policy {
            Policy::Oracle if is_good => Policy::Cheapest,
            Policy::Known if is_worth => Policy::Fixed,
            Policy::Oracle | Policy::Known => Policy::Dearest,
            policy => policy,
        };
        match policy {
            Policy::Cheapest => self.count(job, job.cheap_quality, job.cheap_cost, job.cheap_ms),
            Policy::Dearest => self.count(job, job.dear_quality, job.dear_cost, job.dear_ms),
            Policy::Fixed => self.serve_fixed(job, fault),
            _ => self.serve_learned(job, fault, number),
        }
    }

    /// Tries the cheap step always; without a rating the answer is released.
    fn serve_fixed(&mut self, job: &Job, fault: Fault) {
        let (rating, rating_ms) = self.rate(job.cheap_quality, fault);
        if rating.is_none_or(|rating| rating >= RELEASE_SCORE) {
            self.count(job, job.cheap_quality, job.cheap_cost, job.cheap_ms + rating_ms);
        } else {
            let time_ms = job.cheap_ms + rating_ms + job.dear_ms;
            self.count(job, job.dear_quality, job.cheap_cost + job.dear_cost, time_ms);
        }
    }

    fn serve_learned(&mut self, job: &Job, fault: Fault, number: u64) {
        let now = TimeMs::new(number * INTERVAL_MS);
        let customer = self.customers[job.customer].clone();
        let cascade = self.cascade.clone();
        let sized = self.policy == Policy::Learned;
        let prompt_tokens = Tokens::new(if sized { job.prompt_tokens } else { 0 });
        let class = job.class;
        let request =
            CascadeRequest { customer: &customer, class, cascade: &cascade, prompt_tokens };
        let costs = [job.cheap_cost, job.dear_cost];
        let left = DurationMs::new(job.deadline_ms);
        let choice = self.learned.choose_step(request, 0, &costs, left, now, &mut self.rng);
        let (mut cost, mut time_ms) = (0.0, 0);
        if choice.step == 0 {
            cost += job.cheap_cost;
            time_ms += job.cheap_ms;
            let key = request.step(0);
            self.learned.record_step_time(key, DurationMs::new(job.cheap_ms));
            let (released, rating_ms) = self.judge(job, fault, key, choice.rated, now);
            time_ms += rating_ms;
            if released {
                self.count(job, job.cheap_quality, cost, time_ms);
                return;
            }
        }
        self.learned.record_step_time(request.step(1), DurationMs::new(job.dear_ms));
        if self.rng.random_bool(REFERENCE_SHARE)
            && let (Some(score), _) = self.rate(job.dear_quality, fault)
        {
            self.learned.add_reference_rating(&cascade, score);
        }
        self.count(job, job.dear_quality, cost + job.dear_cost, time_ms + job.dear_ms);
    }

    fn judge(
        &mut self,
        job: &Job,
        fault: Fault,
        key: hickorydoor::cascades::policy::StepKey,
        judged: bool,
        now: TimeMs,
    ) -> (bool, u64) {
        if !judged {
            return (self.learned.releases_unrated(key), 0);
        }
        let (rating, rating_ms) = self.rate(job.cheap_quality, fault);
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

fn report<'a>(
    workload: &str,
    fault: &str,
    names: impl Iterator<Item = &'a str>,
    runs: &[Run],
    csv: &mut String,
) {
    let dearest = runs[1].sums.cost;
    let oracle = runs[6].sums.cost;
    for (name, run) in names.zip(runs) {
        let sums = &run.sums;
        let all = REQUESTS as f64;
        let cost = sums.cost / dearest * 100.0;
        let of_oracle = sums.cost / oracle * 100.0;
        let quality = sums.quality / all;
        let bad = sums.bad as f64 / all * 100.0;
        let late = sums.late as f64 / all * 100.0;
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
        ("always dearest", Policy::Dearest),
        ("fixed cascade", Policy::Fixed),
        ("learned, no size", Policy::LearnedWithoutSize),
        ("learned", Policy::Learned),
        ("known pass rates", Policy::Known),
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
    println!("{REQUESTS} requests a line; faults during the middle {FAULT_SHARE} of them");
    println!(
        "{:9} {:13} {:17} {:>7} {:>9} {:>8} {:>6} {:>6}",
        "workload", "rating fault", "policy", "%cost", "%oracle", "quality", "%bad", "%late"
    );
    let workload = |name, price_ratio, hardness| Workload { name, price_ratio, hardness };
    let lines = [
        (workload("hard 7.5", 7.5, -1.0), &faults[..1]),
        (workload("hard 20", 20.0, -1.0), &faults[..1]),
        (workload("easy 20", 20.0, -3.0), &faults[..1]),
        (workload("easy 7.5", 7.5, -3.0), &faults[..]),
    ];
    for (workload, faults) in lines {
        for (fault_name, fault) in faults {
            let mut runs: Vec<Run> = policies.iter().map(|(_, p)| Run::new(*p, *fault)).collect();
            let mut rng = Pcg64Mcg::seed_from_u64(5);
            for number in 0..REQUESTS {
                let job = job(workload, &mut rng);
                for run in &mut runs {
                    run.serve(&job, number);
                }
            }
            let names = policies.iter().map(|(name, _)| *name);
            report(workload.name, fault_name, names, &runs, &mut csv);
        }
    }
    std::fs::write("target/cascade.csv", csv)
}
