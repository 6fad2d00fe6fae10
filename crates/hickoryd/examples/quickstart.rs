//! Two entries, three agents and the stand-ins for their upstreams and services in one process.
//!
//! `cargo run --release --example quickstart` serves until Ctrl-C. With `-- --once`, it sends one
//! request without and one with streaming, prints the responses and the stored bills, and exits.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use hickory_standins::EngineSettings;
use hickoryd::AgentProcess;
use hickoryd::EntryProcess;

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::AnyError;
use fleet::CUSTOMER_KEY;
use fleet::Fleet;
use fleet::OPERATOR_KEY;

/// Maximum time to wait for the bills, which are normally stored within the billing interval of
/// 200 ms plus one write.
const BILL_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_PAUSE: Duration = Duration::from_millis(20);

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), AnyError> {
    let started = Instant::now();
    let mut engine = EngineSettings::new(["brine-small-1", "brine-large-1"]);
    engine.token_interval = Duration::from_millis(5);
    let fleet = Fleet::start(2, engine).await?;
    println!("base URL        {}/v1", fleet.url(0));
    println!("second entry    {}/v1", fleet.url(1));
    println!("customer key    {CUSTOMER_KEY}");
    println!("key-value store {}", fleet.kv.server().url());
    let entries = fleet.entries.iter().filter_map(EntryProcess::operators_address);
    let agents = fleet.agents.iter().filter_map(AgentProcess::operators_address);
    let ports: Vec<String> = entries.chain(agents).map(|address| address.to_string()).collect();
    println!("operator key    {OPERATOR_KEY}, ports {}", ports.join(" "));
    println!("models          brine-small, brine-large; cascade brine; service registry");
    if std::env::args().any(|argument| argument == "--once") {
        run_once(&fleet, started).await?;
    } else {
        tokio::signal::ctrl_c().await?;
    }
    stop(fleet).await;
    Ok(())
}

async fn run_once(fleet: &Fleet, started: Instant) -> Result<(), AnyError> {
    let unstreamed = request("brine-small", "What pH does a Manzanilla brine need?", false);
    let response = fleet.chat(&unstreamed).await?;
    println!("\nfirst response after {} ms", started.elapsed().as_millis());
    println!("complete response, status {}:\n{}", response.status, response.text());
    let streamed = request("brine-large", "Summarise today's lots.", true);
    let response = fleet.chat(&streamed).await?;
    println!("\nstreamed response, status {}:\n{}", response.status, response.text());
    let bills_stored = tokio::time::timeout(BILL_TIMEOUT, async {
        while !(is_billed(fleet, "brine-small-1") && is_billed(fleet, "brine-large-1")) {
            tokio::time::sleep(POLL_PAUSE).await;
        }
    });
    bills_stored.await?;
    println!("bills as stored:");
    for bill in fleet.bills() {
        println!("{bill}");
    }
    Ok(())
}

fn is_billed(fleet: &Fleet, version: &str) -> bool {
    fleet.bills().iter().any(|bill| bill.contains(version))
}

fn request(model: &str, prompt: &str, stream: bool) -> String {
    let messages = serde_json::json!([{ "role": "user", "content": prompt }]);
    serde_json::json!({ "model": model, "stream": stream, "messages": messages }).to_string()
}

async fn stop(fleet: Fleet) {
    for entry in fleet.entries {
        entry.shutdown().await;
        entry.stopped().await;
    }
    for agent in fleet.agents {
        agent.shutdown().await;
        agent.stopped().await;
    }
}
