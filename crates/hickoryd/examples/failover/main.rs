//! Failover test of real processes on loopback, which are stopped, killed and paused under load.
//!
//! `cargo build --release --workspace --bins && cargo run --release -p hickoryd --example failover`
//! starts two entries and four agents as processes of their own, with stand-ins for the engines, a
//! plain service, the host list and the key-value service in this process. The phases run one after
//! the other, and each prints the outcomes that clients observed. At the end, the stored bills are
//! compared with the responses that clients received, and the calls that the plain service executed
//! are checked for duplicates.
//!
//! The run takes about four minutes. Two of them are the delay after which agents store the bills of
//! an entry that was killed.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

#[path = "../../tests/fleet/mod.rs"]
mod fleet;

mod bills;
mod clients;
mod deployment;
mod tally;

use bills::BillTotal;
use clients::Clients;
use deployment::Deployment;
use fleet::AnyError;
use tally::Tally;

const STEADY_TIME: Duration = Duration::from_secs(5);
const KV_OUTAGE_TIME: Duration = Duration::from_secs(15);
const PAUSE_TIME: Duration = Duration::from_secs(3);
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Agents store the bills of a lost entry after 120 s; the rest allows for polling and storing.
const BILL_RECOVERY_TIME: Duration = Duration::from_secs(140);

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("failover: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<bool, AnyError> {
    let mut deployment = Deployment::start().await?;
    let clients = Clients::start(deployment.entry_addresses());
    let mut total = Totals::default();
    println!("{}", Tally::HEADER);

    tokio::time::sleep(STEADY_TIME).await;
    report("steady", &clients, &mut total);

    let in_force = deployment.change_configuration().await?;
    tokio::time::sleep(STEADY_TIME).await;
    report("configuration change", &clients, &mut total);

    for agent in 0..deployment.agent_count() {
        deployment.restart_agent(agent).await?;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    report("rolling restart of agents", &clients, &mut total);

    for entry in 0..deployment.entry_count() {
        deployment.restart_entry(entry).await?;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    report("rolling restart of entries", &clients, &mut total);
    let planned_truncations = total.chats.truncated + total.keyed.truncated;
    let planned_unknown = total.chats.unknown + total.keyed.unknown;

    deployment.kv.server().set_down(true).await?;
    tokio::time::sleep(KV_OUTAGE_TIME).await;
    deployment.kv.server().set_down(false).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    report("key-value service down 15 s", &clients, &mut total);

    deployment.pause_agent(0, PAUSE_TIME).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    report("agent paused 3 s", &clients, &mut total);

    deployment.kill_agent(0).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    report("agent killed and restarted", &clients, &mut total);

    deployment.kill_entry(0).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    report("entry killed and restarted", &clients, &mut total);

    clients.stop().await;
    report("drain", &clients, &mut total);
    println!("waiting {} s for the bills of the killed entry", BILL_RECOVERY_TIME.as_secs());
    tokio::time::sleep(BILL_RECOVERY_TIME).await;
    let bills = BillTotal::read(&deployment.kv);
    let duplicates = deployment.duplicate_executions();
    deployment.stop().await?;

    println!("\nconfiguration change in force at every process after {} ms", millis(in_force));
    println!("cut on planned stops: {planned_truncations}, unknown outcomes: {planned_unknown}");
    println!("service calls executed more than once: {duplicates}");
    println!("responses delivered: {}", total.chats);
    println!("bills stored:        {bills}");
    let lost = total.chats.delivered_tokens.saturating_sub(bills.tokens);
    println!("tokens delivered and not billed: {lost}");
    println!(
        "tokens billed for truncated or rejected responses: {}",
        bills.undelivered_tokens(&total.chats)
    );
    Ok(planned_truncations == 0 && duplicates == 0 && lost == 0)
}

fn millis(duration: Duration) -> u128 {
    duration.as_millis()
}

/// Outcomes that clients observed over all phases.
#[derive(Debug, Default)]
struct Totals {
    chats: Tally,
    keyed: Tally,
}

fn report(phase: &str, clients: &Clients, total: &mut Totals) {
    let chats = clients.take_chats();
    let keyed = clients.take_keyed();
    println!("{phase:<28} models  {}", chats.row());
    println!("{:<28} service {}", "", keyed.row());
    total.chats.add(&chats);
    total.keyed.add(&keyed);
}

/// Polls `done` until it returns true, and returns the time that this took.
///
/// # Errors
/// Returns an error after `limit`.
async fn wait_until(
    limit: Duration,
    mut done: impl AsyncFnMut() -> bool,
) -> Result<Duration, AnyError> {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let started = Instant::now();
    while !done().await {
        if started.elapsed() > limit {
            return Err("timed out waiting for a process to become ready".into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(started.elapsed())
}
