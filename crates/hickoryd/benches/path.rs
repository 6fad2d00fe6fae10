//! Latency that entry and agent add to a request, and their throughput.
//!
//! `cargo bench -p hickoryd --bench path` sends the same requests to the stand-in engine directly
//! and through entry and agent, in one run on loopback. The load generator, the entry and agents, and
//! the stand-ins have runtimes of their own. The run takes about 40 s. It also prints the CPU time
//! for each request, which is more meaningful than latency on a busy host.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use hickory_standins::EngineSettings;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use mimalloc::MiMalloc;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::AnyError;
use fleet::CUSTOMER_KEY;
use fleet::Fleet;
use fleet::FleetOptions;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const VERSION: &str = "brine-small-1";
const WARM_UP_TIME: Duration = Duration::from_secs(1);
const PHASE_TIME: Duration = Duration::from_secs(3);
/// Workers of the load generator, each with one request in flight.
const WORKERS: usize = 64;
const GENERATOR_THREADS: usize = 2;
const STAND_IN_THREADS: usize = 2;
/// Upper bound of the latency histograms, 10 s.
const MAX_US: u64 = 10_000_000;

/// Number of different prompts.
const PROMPT_COUNT: usize = 64;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// URL and bodies of the requests of a phase.
struct Target {
    name: &'static str,
    url: String,
    /// Bodies whose prompts have different prefixes. With a single prefix, all requests would prefer
    /// the same upstream.
    bodies: Vec<Bytes>,
    next: AtomicUsize,
}

/// Measurements of a phase.
struct Measurements {
    latency_us: Histogram<u64>,
    requests_per_s: f64,
    errors: u64,
    /// CPU time for each request by thread name, in microseconds.
    cpu_us: BTreeMap<String, f64>,
}

fn main() -> ExitCode {
    match bench() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("path: {error}");
            ExitCode::FAILURE
        }
    }
}

fn bench() -> Result<(), AnyError> {
    let stand_ins = runtime("stand-ins", STAND_IN_THREADS)?;
    let generator = runtime("generator", GENERATOR_THREADS)?;
    let mut engine = EngineSettings::new([VERSION, "brine-large-1"]);
    engine.first_token_delay = Duration::ZERO;
    engine.slots = 4 * WORKERS;
    let options = FleetOptions { separate_runtimes: true, ..FleetOptions::default() };
    let fleet = stand_ins.block_on(Fleet::start_with(1, engine, options))?;
    for stream in [false, true] {
        compare(&generator, &fleet, stream);
    }
    Ok(())
}

fn runtime(name: &str, threads: usize) -> Result<Runtime, AnyError> {
    let mut builder = Builder::new_multi_thread();
    Ok(builder.worker_threads(threads).thread_name(name).enable_all().build()?)
}

fn compare(generator: &Runtime, fleet: &Fleet, stream: bool) {
    let direct = target("direct", &fleet.engines[0].server().url(), VERSION, stream);
    let router = target("router", &fleet.url(0), "brine-small", stream);
    println!("\n{} answers of 8 tokens", if stream { "streamed" } else { "whole" });
    generator.block_on(run_phase(&router, WORKERS, None, WARM_UP_TIME));
    let full = generator.block_on(run_phase(&router, WORKERS, None, PHASE_TIME));
    print_phase("router, full load", &full);
    let direct_full = generator.block_on(run_phase(&direct, WORKERS, None, PHASE_TIME));
    print_phase("direct, full load", &direct_full);
    let half = full.requests_per_s / 2.0;
    let direct_half = generator.block_on(run_phase(&direct, WORKERS, Some(half), PHASE_TIME));
    print_phase("direct, half load", &direct_half);
    let router_half = generator.block_on(run_phase(&router, WORKERS, Some(half), PHASE_TIME));
    print_phase("router, half load", &router_half);
    let direct_one = generator.block_on(run_phase(&direct, 1, None, PHASE_TIME));
    print_phase("direct, one by one", &direct_one);
    let router_one = generator.block_on(run_phase(&router, 1, None, PHASE_TIME));
    print_phase("router, one by one", &router_one);
    print_added_latency("half load", &direct_half, &router_half);
    print_added_latency("one by one", &direct_one, &router_one);
}

fn print_added_latency(phase: &str, direct: &Measurements, router: &Measurements) {
    let added_ms = |quantile: f64| {
        let router_us = router.latency_us.value_at_quantile(quantile) as f64;
        (router_us - direct.latency_us.value_at_quantile(quantile) as f64) / 1000.0
    };
    println!(
        "added, {phase}: p10 {:.3} ms, p50 {:.3} ms, p99 {:.3} ms",
        added_ms(0.1),
        added_ms(0.5),
        added_ms(0.99),
    );
}

fn target(name: &'static str, url: &str, model: &str, stream: bool) -> Target {
    let body = |lot: usize| {
        let question = format!("Lot {lot}: what pH does its brine need?");
        let messages = serde_json::json!([{ "role": "user", "content": question }]);
        let body = serde_json::json!({ "model": model, "stream": stream, "messages": messages });
        Bytes::from(body.to_string())
    };
    let bodies = (0..PROMPT_COUNT).map(body).collect();
    let next = AtomicUsize::new(0);
    Target { name, url: format!("{url}/v1/chat/completions"), bodies, next }
}

fn print_phase(phase: &str, measurements: &Measurements) {
    println!(
        "{phase:18} {:8.0} requests/s  p10 {:6} us  p50 {:6} us  p99 {:6} us  errors {}",
        measurements.requests_per_s,
        measurements.latency_us.value_at_quantile(0.1),
        measurements.latency_us.value_at_quantile(0.5),
        measurements.latency_us.value_at_quantile(0.99),
        measurements.errors,
    );
    let cpu: Vec<String> =
        measurements.cpu_us.iter().map(|(name, used_us)| format!("{name} {used_us:.0}")).collect();
    println!("{:18} CPU us per request: {}", "", cpu.join(", "));
}

/// Returns the CPU time used so far by the threads of each name, in microseconds.
fn thread_cpu_us() -> BTreeMap<String, f64> {
    let mut used = BTreeMap::new();
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else {
        return used;
    };
    for thread in threads.flatten() {
        let Ok(stat) = std::fs::read_to_string(thread.path().join("stat")) else {
            continue;
        };
        let Some((head, rest)) = stat.rsplit_once(')') else {
            continue;
        };
        let name = head.split_once('(').map_or("", |(_, name)| name).to_owned();
        // The 12th and 13th field after the name are user and system time, in ticks of 10 ms.
        let ticks: f64 = rest.split_whitespace().skip(11).take(2).flat_map(str::parse::<f64>).sum();
        *used.entry(name).or_insert(0.0) += ticks * 10_000.0;
    }
    used
}

/// Sends requests at the given rate. Without a rate, each worker sends its next request as soon as
/// the previous one is answered.
async fn run_phase(
    target: &Target,
    worker_count: usize,
    requests_per_s: Option<f64>,
    duration: Duration,
) -> Measurements {
    let client: HttpClient =
        Client::builder(TokioExecutor::new()).pool_max_idle_per_host(WORKERS).build_http();
    let target = Arc::new(Target {
        name: target.name,
        url: target.url.clone(),
        bodies: target.bodies.clone(),
        next: AtomicUsize::new(0),
    });
    let before = thread_cpu_us();
    let started = Instant::now();
    let permits = requests_per_s.map(|rate| release_permits(rate, started + duration));
    let worker =
        || run_worker(client.clone(), Arc::clone(&target), permits.clone(), started + duration);
    let workers: Vec<_> = (0..worker_count).map(|_index| tokio::spawn(worker())).collect();
    let mut latency_us = histogram();
    let mut errors = 0;
    for worker in workers {
        let (own, failed) = worker.await.unwrap_or_else(|error| panic!("{}: {error}", target.name));
        latency_us.add(&own).unwrap_or_else(|error| panic!("{}: {error}", target.name));
        errors += failed;
    }
    let requests_per_s = latency_us.len() as f64 / started.elapsed().as_secs_f64();
    let requests = latency_us.len().max(1) as f64;
    let cpu_us = thread_cpu_us()
        .into_iter()
        .map(|(name, used)| (name.clone(), (used - before.get(&name).unwrap_or(&0.0)) / requests))
        .filter(|(_, used)| *used >= 0.5)
        .collect();
    Measurements { latency_us, requests_per_s, errors, cpu_us }
}

/// Releases one permit for each request at the given rate. This runs in a thread of its own, because
/// the timers of tokio round to milliseconds and would release permits in bursts.
fn release_permits(requests_per_s: f64, until: Instant) -> Arc<Semaphore> {
    let permits = Arc::new(Semaphore::new(0));
    let period = Duration::from_secs_f64(1.0 / requests_per_s);
    let semaphore = Arc::clone(&permits);
    std::thread::spawn(move || {
        let mut next = Instant::now();
        while next < until {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            semaphore.add_permits(1);
            next += period;
        }
        semaphore.close();
    });
    permits
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_US, 3).unwrap_or_else(|error| panic!("histogram: {error}"))
}

async fn run_worker(
    client: HttpClient,
    target: Arc<Target>,
    permits: Option<Arc<Semaphore>>,
    until: Instant,
) -> (Histogram<u64>, u64) {
    let mut latency_us = histogram();
    let mut errors = 0;
    while Instant::now() < until {
        if let Some(permits) = &permits {
            let Ok(permit) = permits.acquire().await else {
                break;
            };
            permit.forget();
        }
        let sent = Instant::now();
        if send_request(&client, &target).await {
            latency_us.saturating_record(sent.elapsed().as_micros() as u64);
        } else {
            errors += 1;
        }
    }
    (latency_us, errors)
}

/// Sends a request and reads the whole response. Returns true if it was successful.
async fn send_request(client: &HttpClient, target: &Target) -> bool {
    let index = target.next.fetch_add(1, Ordering::Relaxed) % PROMPT_COUNT;
    let request = Request::post(&target.url)
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {CUSTOMER_KEY}"))
        .body(Full::new(target.bodies[index].clone()));
    let Ok(request) = request else {
        return false;
    };
    let Ok(response) = client.request(request).await else {
        return false;
    };
    let is_success = response.status().is_success();
    response.into_body().collect().await.is_ok() && is_success
}
