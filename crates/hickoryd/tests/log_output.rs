//! The reader of the log has no influence on requests.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::ChildStderr;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use hickory_standins::EngineSettings;
use serde_json::Value;
use tokio::time::sleep;
use tokio::time::timeout;

mod fleet;

use fleet::AnyError;
use fleet::CUSTOMER_KEY;
use fleet::Fleet;
use fleet::FullResponse;
use fleet::read_response;
use fleet::send;

const SAMPLE: &str = include_str!("../samples/entry.yaml");
/// Requests whose log lines are more than a pipe holds.
const REQUESTS: usize = 400;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts an entry and reads its log until it serves; returns it with its address and its log.
fn start(fleet: &Fleet, name: &str) -> Result<(Child, String, BufReader<ChildStderr>), AnyError> {
    let settings = SAMPLE
        .replace("host: entry-1", "host: entry-7")
        .replace("http://127.0.0.1:2379", &fleet.kv.server().url())
        .replace("http://127.0.0.1:8500", &fleet.hosts.server().url())
        .replace("127.0.0.1:8080", "127.0.0.1:0")
        .replace("127.0.0.1:9080", "127.0.0.1:0");
    let file = std::env::temp_dir().join(format!("hickoryd-{name}-{}.yaml", std::process::id()));
    std::fs::write(&file, settings)?;
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_hickoryd"))
        .arg("--settings")
        .arg(&file)
        .stderr(Stdio::piped())
        .spawn()?;
    let log = daemon.stderr.take().ok_or("the standard error of the daemon is not captured")?;
    let mut log = BufReader::new(log);
    let mut line = String::new();
    while !line.contains("entry started") {
        line.clear();
        if log.read_line(&mut line)? == 0 {
            return Err("the daemon exited before it started to serve".into());
        }
    }
    std::fs::remove_file(&file)?;
    let started: Value = serde_json::from_str(&line)?;
    let address = started["http"].as_str().ok_or("the start is logged without an address")?;
    Ok((daemon, address.to_owned(), log))
}

async fn send_chat(address: &str) -> Result<FullResponse, AnyError> {
    let messages = serde_json::json!([{ "role": "user", "content": "a prompt" }]);
    let body = serde_json::json!({ "model": "brine-small", "messages": messages }).to_string();
    let url = format!("http://{address}/v1/chat/completions");
    let response =
        async { read_response(send("POST", &url, CUSTOMER_KEY, &[], &body).await?).await };
    timeout(RESPONSE_TIMEOUT, response).await?
}

async fn wait_until_served(address: &str) {
    let served = async {
        while !matches!(send_chat(address).await, Ok(answer) if answer.status == 200) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(RESPONSE_TIMEOUT, served).await.expect("the entry serves");
}

/// Sends requests one after the other; returns how many got no response.
async fn count_unanswered(address: &str, requests: usize) -> usize {
    let mut unanswered = 0;
    for _ in 0..requests {
        unanswered += usize::from(send_chat(address).await.is_err());
        if unanswered > 2 {
            break;
        }
    }
    unanswered
}

async fn stop(mut daemon: Child) -> Result<Option<i32>, AnyError> {
    Command::new("kill").args(["-TERM", &daemon.id().to_string()]).status()?;
    for _ in 0..400 {
        if let Some(status) = daemon.try_wait()? {
            return Ok(status.code());
        }
        sleep(Duration::from_millis(50)).await;
    }
    daemon.kill()?;
    daemon.wait()?;
    Err("the daemon did not stop".into())
}

/// Guards against a log whose reader has gone and that ends tasks or the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closed_log_ends_no_request() -> Result<(), AnyError> {
    let fleet = Fleet::start(1, EngineSettings::new(["brine-small-1", "brine-large-1"])).await?;
    let (daemon, address, log) = start(&fleet, "closed-log")?;
    wait_until_served(&address).await;
    drop(log);
    let unanswered = count_unanswered(&address, 20).await;
    let code = stop(daemon).await?;
    assert_eq!((unanswered, code), (0, Some(0)), "requests without a response, exit code");
    Ok(())
}

/// Guards against a log that nobody reads and that stops the threads that write to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_that_nobody_reads_delays_no_request() -> Result<(), AnyError> {
    let fleet = Fleet::start(1, EngineSettings::new(["brine-small-1", "brine-large-1"])).await?;
    let (daemon, address, log) = start(&fleet, "blocked-log")?;
    wait_until_served(&address).await;
    let unanswered = count_unanswered(&address, REQUESTS).await;
    let code = stop(daemon).await?;
    drop(log);
    assert_eq!((unanswered, code), (0, Some(0)), "requests without a response, exit code");
    Ok(())
}
