//! Tests of the daemon's binary: it serves requests, writes no prompts or keys to its log, and
//! stops without losing billing data.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use hickory_standins::EngineSettings;
use serde_json::Value;

mod fleet;

use fleet::AnyError;
use fleet::CUSTOMER_KEY;
use fleet::Fleet;
use fleet::FullResponse;
use fleet::read_response;
use fleet::send;

const SAMPLE: &str = include_str!("../samples/entry.yaml");
const PROMPT: &str = "a prompt that must not be logged";
const START_TIMEOUT: Duration = Duration::from_secs(10);

fn settings(fleet: &Fleet) -> String {
    SAMPLE
        .replace("host: entry-1", "host: entry-7")
        .replace("http://127.0.0.1:2379", &fleet.kv.server().url())
        .replace("http://127.0.0.1:8500", &fleet.hosts.server().url())
        .replace("127.0.0.1:8080", "127.0.0.1:0")
        .replace("127.0.0.1:9080", "127.0.0.1:0")
        .replace("level: info", "level: debug")
}

/// Starts the daemon; returns it with its HTTP address and the lines that it logs afterwards.
fn start(
    text: &str,
) -> Result<(Child, String, impl Iterator<Item = String> + Send + use<>), AnyError> {
    let file = std::env::temp_dir().join(format!("hickoryd-binary-{}.yaml", std::process::id()));
    std::fs::write(&file, text)?;
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_hickoryd"))
        .arg("--settings")
        .arg(&file)
        .stderr(Stdio::piped())
        .spawn()?;
    let log = daemon.stderr.take().ok_or("the standard error of the daemon is not captured")?;
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    let started = lines
        .find(|line| line.contains("entry started"))
        .ok_or("the daemon exited before it started to serve")?;
    std::fs::remove_file(&file)?;
    let started: Value = serde_json::from_str(&started)?;
    let address =
        started["http"].as_str().ok_or("the start is logged without an address")?.to_owned();
    Ok((daemon, address, lines))
}

async fn send_chat(address: &str) -> Result<FullResponse, AnyError> {
    let messages = serde_json::json!([{ "role": "user", "content": PROMPT }]);
    let body = serde_json::json!({ "model": "brine-small", "messages": messages }).to_string();
    let url = format!("http://{address}/v1/chat/completions");
    read_response(send("POST", &url, CUSTOMER_KEY, &[], &body).await?).await
}

// The stand-ins need a thread of their own while the test blocks on the daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_daemon_serves_and_stops_gracefully() -> Result<(), AnyError> {
    let fleet = Fleet::start(1, EngineSettings::new(["brine-small-1", "brine-large-1"])).await?;
    let (mut daemon, address, log) = start(&settings(&fleet))?;
    let served = async {
        loop {
            match send_chat(&address).await {
                Ok(answer) if answer.status == 200 => return answer,
                _ => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    };
    let answer = tokio::time::timeout(START_TIMEOUT, served).await?;
    assert!(answer.text().contains(PROMPT));
    for signal in ["-HUP", "-USR1", "-USR2"] {
        Command::new("kill").args([signal, &daemon.id().to_string()]).status()?;
    }
    assert_eq!(send_chat(&address).await?.status, 200, "a signal to reopen files ends no process");
    Command::new("kill").args(["-TERM", &daemon.id().to_string()]).status()?;
    let stopped = tokio::task::spawn_blocking(move || {
        let log: Vec<String> = log.collect();
        daemon.wait().map(|status| (status, log))
    });
    let (status, log) = stopped.await??;
    assert_eq!(status.code(), Some(0), "{log:?}");
    let lines: Result<Vec<Value>, _> = log.iter().map(|line| serde_json::from_str(line)).collect();
    let lines = lines?;
    let request = lines
        .iter()
        .find(|line| line["outcome"] == "served")
        .ok_or("the served request is not logged")?;
    assert_eq!(request["customer"], "cooperativa");
    assert_eq!(request["version"], "brine-small-1");
    assert_eq!(request["request"], answer.header("x-hickorydoor-request-id"));
    assert_eq!(request["answer_tokens"], 8);
    let text = log.join("\n");
    assert!(!text.contains(PROMPT) && !text.contains(CUSTOMER_KEY), "{text}");
    // Guards against a process that exits before the bill of its last request is stored.
    assert!(
        fleet.kv.keys().iter().any(|key| key.contains("bills/entry-7")),
        "the bill of the request is not stored"
    );
    Ok(())
}
