//! Clients that send a bounded load and count the outcomes of their requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::fleet::CUSTOMER_KEY;
use crate::fleet::FullResponse;
use crate::fleet::read_response;
use crate::fleet::send;
use crate::tally::Tally;

const CLIENT_COUNT: u64 = 24;
/// Maximum number of attempts at one call with an idempotency key.
const MAX_ATTEMPTS: u64 = 200;
const THINK_TIME: Duration = Duration::from_millis(5);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Outcome of one attempt at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Served { tokens: u64 },
    NotRun,
    Unknown,
    Failed,
    Truncated,
    Unreachable,
}

#[derive(Debug)]
struct Shared {
    entries: Vec<String>,
    chats: Mutex<Tally>,
    keyed: Mutex<Tally>,
    stopping: AtomicBool,
}

#[derive(Debug)]
pub struct Clients {
    shared: Arc<Shared>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Clients {
    /// Starts the clients, which spread their requests over the entries as a load balancer would.
    pub fn start(entries: Vec<String>) -> Self {
        let shared = Arc::new(Shared {
            entries,
            chats: Mutex::new(Tally::default()),
            keyed: Mutex::new(Tally::default()),
            stopping: AtomicBool::new(false),
        });
        let spawn = |number| tokio::spawn(run_client(Arc::clone(&shared), number));
        let tasks = (0..CLIENT_COUNT).map(spawn).collect();
        Self { shared, tasks: Mutex::new(tasks) }
    }

    /// Returns the outcomes of model requests since the last call.
    pub fn take_chats(&self) -> Tally {
        std::mem::take(&mut lock(&self.shared.chats))
    }

    /// Returns the outcomes of calls with an idempotency key since the last call.
    pub fn take_keyed(&self) -> Tally {
        std::mem::take(&mut lock(&self.shared.keyed))
    }

    /// Stops the clients after each has finished its request.
    pub async fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner));
        for task in tasks {
            // The panic of a client has been printed already.
            drop(task.await);
        }
    }
}

fn lock(tally: &Mutex<Tally>) -> MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

fn record(tally: &Mutex<Tally>, outcome: Outcome, elapsed: Duration) {
    let mut tally = lock(tally);
    match outcome {
        Outcome::Served { tokens } => {
            tally.served += 1;
            tally.delivered_tokens += tokens;
            let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
            tally.longest_ms = tally.longest_ms.max(elapsed_ms);
        }
        Outcome::NotRun => tally.not_run += 1,
        Outcome::Unknown => tally.unknown += 1,
        Outcome::Failed => tally.failed += 1,
        Outcome::Truncated => tally.truncated += 1,
        Outcome::Unreachable => tally.unreachable += 1,
    }
}

async fn run_client(shared: Arc<Shared>, number: u64) {
    let mut round = 0;
    while !shared.stopping.load(Ordering::Relaxed) {
        // Calls with an idempotency key depend on the key-value service, so they have clients of their
        // own.
        match number % 3 {
            0 => chat(&shared, number, round, false).await,
            1 => chat(&shared, number, round, true).await,
            _ => release_lot(&shared, number, round).await,
        }
        round += 1;
        tokio::time::sleep(THINK_TIME).await;
    }
}

async fn chat(shared: &Shared, number: u64, round: u64, stream: bool) {
    let mut body = json!({
        "model": "brine-small",
        "stream": stream,
        "user": format!("session-{number}"),
        "messages": [{ "role": "user", "content": format!("report {number} {round}") }],
    });
    if stream {
        body["stream_options"] = json!({ "include_usage": true });
    }
    let started = Instant::now();
    let url = format!("{}/v1/chat/completions", shared.entry(number + round));
    let outcome = match post(&url, &[], &body.to_string()).await {
        Ok(response) if response.status == 200 => chat_outcome(&response, stream),
        Ok(response) => rejection_outcome(&response),
        Err(outcome) => outcome,
    };
    record(&shared.chats, outcome, started.elapsed());
}

/// Sends a call with an idempotency key, which must be executed at most once, until it is answered or
/// its outcome is unknown.
async fn release_lot(shared: &Shared, number: u64, round: u64) {
    let key = format!("lot-{number}-{round}");
    let body = json!({ "lot": key }).to_string();
    let started = Instant::now();
    for attempt_number in 0..MAX_ATTEMPTS {
        let entry = shared.entry(number + round + attempt_number);
        let url = format!("{entry}/services/registry/lots");
        let outcome = match post(&url, &[("idempotency-key", &key)], &body).await {
            Ok(response) if response.status == 200 => Outcome::Served { tokens: 0 },
            Ok(response) => rejection_outcome(&response),
            Err(outcome) => outcome,
        };
        record(&shared.keyed, outcome, started.elapsed());
        if matches!(outcome, Outcome::Served { .. } | Outcome::Unknown) {
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

impl Shared {
    fn entry(&self, number: u64) -> &str {
        let index = number % self.entries.len() as u64;
        &self.entries[usize::try_from(index).unwrap_or_default()]
    }
}

async fn post(url: &str, headers: &[(&str, &str)], body: &str) -> Result<FullResponse, Outcome> {
    let response = send("POST", url, CUSTOMER_KEY, headers, body).await.map_err(|error| {
        // A refused connection reached no process; a load balancer would try another entry.
        let text = format!("{error:?}");
        if text.contains("ConnectionRefused") { Outcome::Unreachable } else { Outcome::Truncated }
    })?;
    read_response(response).await.map_err(|_error| Outcome::Truncated)
}

fn rejection_outcome(response: &FullResponse) -> Outcome {
    match response.header("x-hickorydoor-run") {
        "not-run" => Outcome::NotRun,
        "unknown" => Outcome::Unknown,
        _ => Outcome::Failed,
    }
}

fn chat_outcome(response: &FullResponse, stream: bool) -> Outcome {
    if !stream {
        return usage_outcome(&response.json()["usage"]);
    }
    let text = response.text();
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    if events.last() != Some(&"[DONE]") {
        return if text.contains("\"error\"") { Outcome::Failed } else { Outcome::Truncated };
    }
    let usage = events.iter().rev().find_map(|event| {
        let event: Value = serde_json::from_str(event).ok()?;
        event["usage"].is_object().then(|| event["usage"].clone())
    });
    usage_outcome(&usage.unwrap_or_default())
}

fn usage_outcome(usage: &Value) -> Outcome {
    match usage["total_tokens"].as_u64() {
        Some(tokens) => Outcome::Served { tokens },
        None => Outcome::Truncated,
    }
}
