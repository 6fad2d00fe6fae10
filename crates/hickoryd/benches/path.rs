//! Added latency and requests a second of the path through entry and agent.
//!
//! `cargo bench -p hickoryd --bench path` sends the same requests to the stand-in engine directly
//! and through entry and agent, in one run on loopback. The load generator, the router's processes
//! and the stand-ins have runtimes of their own. The run lasts about 20 s.

use std::process::ExitCode;
use std::sync::Arc;
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
use tokio::time::MissedTickBehavior;

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::AnyError;
use fleet::CUSTOMER_KEY;
use fleet::Fleet;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const VERSION: &str = "brine-small-1";
const WARM_UP: Duration = Duration::from_secs(1);
const PHASE: Duration = Duration::from_secs(3);
/// Connections of the load generator.
const WORKERS: usize = 64;
const GENERATOR_THREADS: usize = 2;
const FLEET_THREADS: usize = 6;
/// Latencies up to 10 s with three digits, in microseconds.
const MAX_US: u64 = 10_000_000;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Where requests go and what they ask.
struct Target {
    name: &'static str,
    url: String,
    body: Bytes,
}

/// What a phase measured.
struct Measured {
    latency_us: Histogram<u64>,
    requests_per_s: f64,
    errors: u64,
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
    let fleet_runtime = runtime(FLEET_THREADS)?;
    let generator = runtime(GENERATOR_THREADS)?;
    let mut engine = EngineSettings::new([VERSION, "brine-large-1"]);
    engine.first_token_time = Duration::ZERO;
    engine.slots = 4 * WORKERS;
    let fleet = fleet_runtime.block_on(Fleet::start(1, engine))?;
    for stream in [false, true] {
        compare(&generator, &fleet, stream);
    }
    Ok(())
}

fn runtime(threads: usize) -> Result<Runtime, AnyError> {
    Ok(Builder::new_multi_thread().worker_threads(threads).enable_all().build()?)
}

fn compare(generator: &Runtime, fleet: &Fleet, stream: bool) {
    let direct = target("direct", &fleet.engines[0].url(), VERSION, stream);
    let router = target("router", &fleet.url(0), "brine-small", stream);
    println!("\n{} answers of 8 tokens", if stream { "streamed" } else { "whole" });
    generator.block_on(load(&router, None, WARM_UP));
    let full = generator.block_on(load(&router, None, PHASE));
    print("router, full load", &full);
    let direct_full = generator.block_on(load(&direct, None, PHASE));
    print("direct, full load", &direct_full);
    let half = full.requests_per_s / 2.0;
    let direct_half = generator.block_on(load(&direct, Some(half), PHASE));
    print("direct, half load", &direct_half);
    let router_half = generator.block_on(load(&router, Some(half), PHASE));
    print("router, half load", &router_half);
    let added = |quantile: f64| {
        let through = router_half.latency_us.value_at_quantile(quantile) as f64;
        (through - direct_half.latency_us.value_at_quantile(quantile) as f64) / 1000.0
    };
    println!("added at half load: p50 {:.3} ms, p99 {:.3} ms", added(0.5), added(0.99));
}

fn target(name: &'static str, url: &str, model: &str, stream: bool) -> Target {
    let messages = serde_json::json!([{ "role": "user", "content": "What pH does a brine need?" }]);
    let body = serde_json::json!({ "model": model, "stream": stream, "messages": messages });
    Target { name, url: format!("{url}/v1/chat/completions"), body: body.to_string().into() }
}

fn print(phase: &str, measured: &Measured) {
    println!(
        "{phase:18} {:8.0} requests/s  p50 {:6} us  p99 {:6} us  errors {}",
        measured.requests_per_s,
        measured.latency_us.value_at_quantile(0.5),
        measured.latency_us.value_at_quantile(0.99),
        measured.errors,
    );
}

/// Sends requests at this rate, or as fast as they are answered.
async fn load(target: &Target, requests_per_s: Option<f64>, length: Duration) -> Measured {
    let client: HttpClient =
        Client::builder(TokioExecutor::new()).pool_max_idle_per_host(WORKERS).build_http();
    let target =
        Arc::new(Target { name: target.name, url: target.url.clone(), body: target.body.clone() });
    let started = Instant::now();
    let period = requests_per_s.map(|rate| Duration::from_secs_f64(WORKERS as f64 / rate));
    let workers: Vec<_> = (0..WORKERS)
        .map(|index| {
            let offset = period.unwrap_or_default().mul_f64(index as f64 / WORKERS as f64);
            tokio::spawn(work(
                client.clone(),
                Arc::clone(&target),
                period,
                offset,
                started + length,
            ))
        })
        .collect();
    let mut latency_us = histogram();
    let mut errors = 0;
    for worker in workers {
        let (own, failed) = worker.await.unwrap_or_else(|error| panic!("{}: {error}", target.name));
        latency_us.add(&own).unwrap_or_else(|error| panic!("{}: {error}", target.name));
        errors += failed;
    }
    let requests_per_s = latency_us.len() as f64 / started.elapsed().as_secs_f64();
    Measured { latency_us, requests_per_s, errors }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_US, 3).unwrap_or_else(|error| panic!("histogram: {error}"))
}

async fn work(
    client: HttpClient,
    target: Arc<Target>,
    period: Option<Duration>,
    offset: Duration,
    until: Instant,
) -> (Histogram<u64>, u64) {
    tokio::time::sleep(offset).await;
    let mut ticks = period.map(tokio::time::interval);
    if let Some(ticks) = &mut ticks {
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    }
    let mut latency_us = histogram();
    let mut errors = 0;
    while Instant::now() < until {
        if let Some(ticks) = &mut ticks {
            ticks.tick().await;
        }
        let sent = Instant::now();
        if ask(&client, &target).await {
            latency_us.saturating_record(sent.elapsed().as_micros() as u64);
        } else {
            errors += 1;
        }
    }
    (latency_us, errors)
}

/// Sends one request and reads its whole answer; returns whether it was served.
async fn ask(client: &HttpClient, target: &Target) -> bool {
    let request = Request::post(&target.url)
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {CUSTOMER_KEY}"))
        .body(Full::new(target.body.clone()));
    let Ok(request) = request else {
        return false;
    };
    let Ok(response) = client.request(request).await else {
        return false;
    };
    let ok = response.status().is_success();
    response.into_body().collect().await.is_ok() && ok
}
