//! Real processes on loopback that are stopped, killed, paused and cut off under load.
//!
//! `cargo build --release --workspace --bins && cargo run --release -p hickoryd --example failover`
//! starts two entries and four agents as processes of their own, with stand-ins for the engines, a
//! plain service, the host list and the key-value service in this process. One phase follows the
//! other; each prints what callers saw. At the end the stored bills are compared with the answers
//! that callers received, and the calls that the plain service ran are checked for double runs.
//!
//! The run takes about four minutes, of which two are the time after which agents write the bills
//! of an entry that was killed.

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

const STEADY: Duration = Duration::from_secs(5);
const KV_OUTAGE: Duration = Duration::from_secs(15);
const PAUSE: Duration = Duration::from_secs(3);
const SETTLE: Duration = Duration::from_secs(3);
/// Agents write the bills of a lost entry after 120 s; the rest is for polling and storing.
const RECOVERY: Duration = Duration::from_secs(140);

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

    tokio::time::sleep(STEADY).await;
    report("steady", &clients, &mut total);

    let in_force = deployment.change_configuration().await?;
    tokio::time::sleep(STEADY).await;
    report("configuration change", &clients, &mut total);

    for agent in 0..deployment.agent_count() {
        deployment.restart_agent(agent).await?;
    }
    tokio::time::sleep(SETTLE).await;
    report("rolling restart of agents", &clients, &mut total);

    for entry in 0..deployment.entry_count() {
        deployment.restart_entry(entry).await?;
    }
    tokio::time::sleep(SETTLE).await;
    report("rolling restart of entries", &clients, &mut total);
    let planned_cuts = total.chats.cut + total.keyed.cut;
    let planned_unknown = total.chats.unknown + total.keyed.unknown;

    deployment.kv.server().set_down(true).await?;
    tokio::time::sleep(KV_OUTAGE).await;
    deployment.kv.server().set_down(false).await?;
    tokio::time::sleep(SETTLE).await;
    report("key-value service down 15 s", &clients, &mut total);

    deployment.pause_agent(0, PAUSE).await?;
    tokio::time::sleep(SETTLE).await;
    report("agent paused 3 s", &clients, &mut total);

    deployment.kill_agent(0).await?;
    tokio::time::sleep(SETTLE).await;
    report("agent killed and restarted", &clients, &mut total);

    deployment.kill_entry(0).await?;
    tokio::time::sleep(SETTLE).await;
    report("entry killed and restarted", &clients, &mut total);

    clients.stop().await;
    report("drain", &clients, &mut total);
    println!("waiting {} s for the bills of the killed entry", RECOVERY.as_secs());
    tokio::time::sleep(RECOVERY).await;
    let bills = BillTotal::read(&deployment.kv);
    let double_runs = deployment.double_runs();
    deployment.stop().await?;

    println!("\nconfiguration change in force at every process after {} ms", millis(in_force));
    println!("cut on planned stops: {planned_cuts}, unknown outcomes: {planned_unknown}");
    println!("service calls run twice: {double_runs}");
    println!("answers delivered: {}", total.chats);
    println!("bills stored:      {bills}");
    let lost = total.chats.delivered_tokens.saturating_sub(bills.tokens);
    println!("tokens delivered and not billed: {lost}");
    println!(
        "tokens billed of answers that were cut or refused: {}",
        bills.extra_tokens(&total.chats)
    );
    Ok(planned_cuts == 0 && double_runs == 0 && lost == 0)
}

fn millis(duration: Duration) -> u128 {
    duration.as_millis()
}

/// What callers saw over all phases.
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

/// Waits until `done` holds.
///
/// # Errors
/// Fails if it does not hold within `limit`.
async fn wait_until(
    limit: Duration,
    mut done: impl AsyncFnMut() -> bool,
) -> Result<Duration, AnyError> {
    const POLL_PAUSE: Duration = Duration::from_millis(20);
    let started = Instant::now();
    while !done().await {
        if started.elapsed() > limit {
            return Err("a process did not get ready in time".into());
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    Ok(started.elapsed())
}
