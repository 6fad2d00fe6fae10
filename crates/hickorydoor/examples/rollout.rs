//! Compares rules that stop a rollout: how soon each stops a worse version, and how often a good one.
//!
//! The rules are the sequential test, a fixed-sample test, a repeated fixed-sample test and a simple
//! threshold.
//!
//! Run with `cargo run --release -p hickorydoor --example rollout`; the optional argument is the
//! number of seeded rollouts for each line. Writes `target/rollout.csv`.

use std::fmt::Write;

use hickorydoor::rollouts::evidence::Evidence;
use hickorydoor::rollouts::guard::FLEET_FALSE_ALARM_RATE;
use hickorydoor::rollouts::sequential_test::SequentialTest;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const ROLLOUTS: u64 = 2_000;
const THREADS: u64 = 4;
/// Requests between two evaluations: 10 s at 20 requests/s.
const BATCH_REQUESTS: u64 = 200;
/// A rollout that is not stopped ends after this many requests to the new version.
const MAX_EXPOSED: u64 = 2_000;
/// A worse version should be stopped within this many exposed requests.
const TARGET_EXPOSED: u64 = 300;
const CANARY_SHARE: f64 = 0.05;
const BASELINE_RATING: f64 = 0.85;
const BASELINE_ERROR_SHARE: f64 = 0.01;
const BASELINE_SLOW_SHARE: f64 = 0.05;
/// 99% quantile of the standard normal distribution, for one-sided tests at 1%.
const NORMAL_QUANTILE_99: f64 = 2.326;
/// The threshold rule stops a version whose mean rating is lower than the baseline's by this
/// fraction, or whose share of errors or slow first tokens is higher by this difference.
const THRESHOLD: f64 = 0.03;
const THRESHOLD_MIN_SAMPLES: u64 = 50;

/// How much worse a version is than its baseline.
#[derive(Clone, Copy, Debug, Default)]
struct Degradation {
    /// Relative loss of the mean rating.
    rating_loss: f64,
    /// Additional share of errors.
    error_share: f64,
    /// Additional share of slow first tokens.
    slow_share: f64,
    /// Number of exposed requests before the degradation starts. Stops are counted from there on.
    onset: u64,
}

/// Conditions that version and baseline share.
#[derive(Clone, Copy, Debug)]
struct Conditions {
    /// Standard deviation of ratings.
    rating_deviation: f64,
    /// Quality, errors and slowness drift during the rollout, equally for both.
    drifts: bool,
}

#[derive(Clone, Copy, Debug)]
enum Rule {
    Sequential,
    FixedSample,
    RepeatedFixedSample,
    Threshold,
}

impl Rule {
    const ALL: [Self; 4] =
        [Self::Sequential, Self::FixedSample, Self::RepeatedFixedSample, Self::Threshold];

    const fn name(self) -> &'static str {
        match self {
            Self::Sequential => "sequential",
            Self::FixedSample => "fixed sample",
            Self::RepeatedFixedSample => "repeated fixed",
            Self::Threshold => "threshold",
        }
    }
}

/// Samples a beta distribution by means of two gamma distributions.
fn beta(rng: &mut impl Rng, mean: f64, deviation: f64) -> f64 {
    let size = mean * (1.0 - mean) / (deviation * deviation) - 1.0;
    let a = gamma(rng, mean * size);
    let b = gamma(rng, (1.0 - mean) * size);
    a / (a + b)
}

/// Samples a gamma distribution with the method of Marsaglia and Tsang, including their boost for
/// shapes below 1.
fn gamma(rng: &mut impl Rng, shape: f64) -> f64 {
    if shape < 1.0 {
        let boost = rng.random::<f64>().powf(1.0 / shape);
        return gamma(rng, shape + 1.0) * boost;
    }
    let d = shape - 1.0 / 3.0;
    let c = 1.0 / (9.0 * d).sqrt();
    loop {
        let x = standard_normal(rng);
        let v = (1.0 + c * x).powi(3);
        if v > 0.0 && (1.0 - rng.random::<f64>()).ln() < 0.5 * x * x + d - d * v + d * v.ln() {
            return d * v;
        }
    }
}

fn standard_normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

fn observe(
    evidence: &mut Evidence,
    conditions: Conditions,
    degradation: Degradation,
    progress: f64,
    rng: &mut impl Rng,
) {
    let drift = if conditions.drifts { (progress * std::f64::consts::TAU).sin() } else { 0.0 };
    evidence.attempts += 1;
    if rng.random_bool(BASELINE_ERROR_SHARE * (1.0 + 0.9 * drift) + degradation.error_share) {
        evidence.errors += 1;
        return;
    }
    if rng.random_bool(BASELINE_SLOW_SHARE * (1.0 + 0.9 * drift) + degradation.slow_share) {
        evidence.slow += 1;
    }
    let mean = (BASELINE_RATING + 0.05 * drift) * (1.0 - degradation.rating_loss);
    evidence.add_rating(beta(rng, mean, conditions.rating_deviation));
}

/// Returns the z-score of a difference of two shares or means.
fn z_score(difference: f64, variances: [f64; 2], counts: [u64; 2]) -> f64 {
    let variance = variances[0] / counts[0].max(1) as f64 + variances[1] / counts[1].max(1) as f64;
    if variance <= 0.0 { 0.0 } else { difference / variance.sqrt() }
}

fn share_z_score(version: (u64, u64), baseline: (u64, u64)) -> f64 {
    let pooled = (version.0 + baseline.0) as f64 / (version.1 + baseline.1).max(1) as f64;
    let difference =
        version.0 as f64 / version.1.max(1) as f64 - baseline.0 as f64 / baseline.1.max(1) as f64;
    z_score(difference, [pooled * (1.0 - pooled); 2], [version.1, baseline.1])
}

fn mean_and_variance(evidence: &Evidence) -> (f64, f64) {
    let count = evidence.ratings.max(1) as f64;
    let mean = evidence.rating_sum / count;
    (mean, evidence.rating_square_sum / count - mean * mean)
}

/// Returns the largest z-score of the ratings, errors and slow first tokens.
fn max_z_score(version: &Evidence, baseline: &Evidence) -> f64 {
    let (mean, variance) = mean_and_variance(version);
    let (baseline_mean, baseline_variance) = mean_and_variance(baseline);
    let counts = [version.ratings, baseline.ratings];
    let ratings = z_score(baseline_mean - mean, [variance, baseline_variance], counts);
    let attempts = (version.attempts, baseline.attempts);
    let errors = share_z_score((version.errors, attempts.0), (baseline.errors, attempts.1));
    let slow = share_z_score((version.slow, attempts.0), (baseline.slow, attempts.1));
    ratings.max(errors).max(slow)
}

fn exceeds_threshold(version: &Evidence, baseline: &Evidence) -> bool {
    let share = |count: u64, of: u64| count as f64 / of.max(1) as f64;
    let (mean, _) = mean_and_variance(version);
    let (baseline_mean, _) = mean_and_variance(baseline);
    let errors =
        share(version.errors, version.attempts) - share(baseline.errors, baseline.attempts);
    let slow = share(version.slow, version.attempts) - share(baseline.slow, baseline.attempts);
    mean < baseline_mean * (1.0 - THRESHOLD) || errors > THRESHOLD || slow > THRESHOLD
}

/// Returns the number of exposed requests at which each rule stops the version, or `None` if it never
/// does.
fn run(conditions: Conditions, degradation: Degradation, seed: u64) -> [Option<u64>; 4] {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut stops = [None; 4];
    let mut test = SequentialTest::new();
    let (mut version, mut baseline) = (Evidence::default(), Evidence::default());
    // Bonferroni correction: three signals share the 1%, so each is tested at 0.33%.
    let critical_z = NORMAL_QUANTILE_99 + 0.387;
    let mut fixed_sample_evaluated = false;
    while version.attempts < MAX_EXPOSED + degradation.onset {
        let current = if version.attempts >= degradation.onset {
            degradation
        } else {
            Degradation::default()
        };
        let (mut new_version, mut new_baseline) = (Evidence::default(), Evidence::default());
        let progress = version.attempts as f64 / MAX_EXPOSED as f64;
        for _ in 0..BATCH_REQUESTS {
            if rng.random_bool(CANARY_SHARE) {
                observe(&mut new_version, conditions, current, progress, &mut rng);
            } else {
                observe(&mut new_baseline, conditions, Degradation::default(), progress, &mut rng);
            }
        }
        test.add_batch(&new_version, &new_baseline);
        version.merge(&new_version);
        baseline.merge(&new_baseline);
        if version.attempts < degradation.onset && test.is_worse(FLEET_FALSE_ALARM_RATE) {
            // A stop before the onset is a false alarm and ends the run for all rules.
            return [Some(0); 4];
        }
        let exposed = version.attempts.saturating_sub(degradation.onset);
        let exceeds_critical_z = max_z_score(&version, &baseline) > critical_z;
        let has_enough_samples = exposed >= THRESHOLD_MIN_SAMPLES;
        // The fixed sample is evaluated once, after the last batch that is expected to end before
        // the target.
        let evaluates_fixed_sample =
            !fixed_sample_evaluated && exposed + BATCH_REQUESTS / 15 >= TARGET_EXPOSED;
        let decisions = [
            test.is_worse(FLEET_FALSE_ALARM_RATE),
            evaluates_fixed_sample && exceeds_critical_z,
            has_enough_samples && exceeds_critical_z,
            has_enough_samples && exceeds_threshold(&version, &baseline),
        ];
        fixed_sample_evaluated |= evaluates_fixed_sample;
        for (stop, decision) in stops.iter_mut().zip(decisions) {
            if decision {
                stop.get_or_insert(exposed);
            }
        }
    }
    stops
}

fn quantile(sorted: &[u64], fraction: f64) -> String {
    let index = (sorted.len() as f64 * fraction) as usize;
    match sorted.get(index).copied() {
        Some(u64::MAX) | None => format!(">{MAX_EXPOSED}"),
        Some(exposed) => exposed.to_string(),
    }
}

fn simulate(
    name: &str,
    conditions: Conditions,
    degradation: Degradation,
    rollouts: u64,
    csv: &mut String,
) {
    let mut stops: [Vec<u64>; 4] = Default::default();
    let run_part = |thread: u64| {
        let seeds = (thread..rollouts).step_by(THREADS as usize);
        seeds.map(|seed| run(conditions, degradation, seed)).collect::<Vec<_>>()
    };
    let runs: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREADS).map(|thread| scope.spawn(move || run_part(thread))).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a run does not panic"))
            .collect()
    });
    for run in runs {
        for (all, stop) in stops.iter_mut().zip(run) {
            all.push(stop.unwrap_or(u64::MAX));
        }
    }
    for (rule, all) in Rule::ALL.into_iter().zip(&mut stops) {
        all.sort_unstable();
        let percent_within = |limit: u64| {
            all.iter().filter(|stop| **stop <= limit).count() as f64 * 100.0 / rollouts as f64
        };
        // The batch that reaches the target ends a few requests past it; its stops do not count.
        let within_target = percent_within(TARGET_EXPOSED);
        let ever = percent_within(u64::MAX - 1);
        let (median, p95) = (quantile(all, 0.5), quantile(all, 0.95));
        let rule = rule.name();
        println!("{name:26} {rule:15} {within_target:7.2} {ever:7.2} {median:>7} {p95:>7}");
        let line = writeln!(csv, "{name},{rule},{within_target:.3},{ever:.3},{median},{p95}");
        line.expect("writing to a string does not fail");
    }
}

fn main() -> std::io::Result<()> {
    let argument = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let rollouts = argument.unwrap_or(ROLLOUTS);
    println!(
        "{rollouts} rollouts a line, canary share {CANARY_SHARE}, batches of {BATCH_REQUESTS}"
    );
    println!(
        "{:26} {:15} {:>7} {:>7} {:>7} {:>7}",
        "version", "rule", "%<=300", "%ever", "median", "p95"
    );
    let mut csv = String::from("version,rule,stopped_within_300,stopped,median,p95\n");
    for deviation in [0.08, 0.12, 0.16, 0.2] {
        let conditions = Conditions { rating_deviation: deviation, drifts: false };
        for loss in [0.0, 0.01, 0.05, 0.2] {
            let name = format!("ratings -{:.0}% sd {deviation}", loss * 100.0);
            simulate(
                &name,
                conditions,
                Degradation { rating_loss: loss, ..Degradation::default() },
                rollouts,
                &mut csv,
            );
        }
    }
    let conditions = Conditions { rating_deviation: 0.12, drifts: false };
    for points in [0.01, 0.05, 0.2] {
        let name = format!("errors +{:.0} points", points * 100.0);
        simulate(
            &name,
            conditions,
            Degradation { error_share: points, ..Degradation::default() },
            rollouts,
            &mut csv,
        );
        let name = format!("slow +{:.0} points", points * 100.0);
        simulate(
            &name,
            conditions,
            Degradation { slow_share: points, ..Degradation::default() },
            rollouts,
            &mut csv,
        );
    }
    let late_degradation =
        Degradation { rating_loss: 0.05, onset: 5_000, ..Degradation::default() };
    simulate("ratings -5% after 5000", conditions, late_degradation, rollouts, &mut csv);
    let drifting = Conditions { rating_deviation: 0.12, drifts: true };
    simulate("equal, with drift", drifting, Degradation::default(), rollouts, &mut csv);
    std::fs::write("target/rollout.csv", csv)
}
