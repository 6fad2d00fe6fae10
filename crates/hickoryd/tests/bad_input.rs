//! Bad input from callers gets an error in the API's format and runs nothing.

use std::time::Duration;

use hickory_standins::EngineSettings;
use http_body_util::BodyExt;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

mod fleet;

use fleet::AnyError;
use fleet::CUSTOMER_KEY;
use fleet::Fleet;
use fleet::read_response;
use fleet::send;

const VERSIONS: [&str; 2] = ["brine-small-1", "brine-large-1"];

async fn fleet() -> Result<Fleet, AnyError> {
    Fleet::start(1, EngineSettings::new(VERSIONS)).await
}

fn runs(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|engine| engine.counts().started).sum()
}

fn chat(model: &str) -> String {
    json!({ "model": model, "messages": [{ "role": "user", "content": "hello" }] }).to_string()
}

#[tokio::test]
async fn malformed_bodies_are_refused() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    for body in ["", "{", "[]", "{\"model\":\"brine-small\"}", "{\"model\":1,\"messages\":[]}"] {
        let answer = fleet.chat(body).await?;
        assert_eq!(answer.status, 400, "{body}");
        assert_eq!(answer.json()["error"]["type"], "invalid_request_error", "{body}");
        assert_eq!(answer.header("x-hickorydoor-run"), "not-run", "{body}");
    }
    let answer = fleet.chat("{\"model\":\"brine-small\",\"messages\":[]}").await?;
    assert_eq!(answer.json()["error"]["param"], "messages");
    assert_eq!(runs(&fleet), 0);
    Ok(())
}

#[tokio::test]
async fn unknown_models_and_keys_are_refused() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let answer = fleet.chat(&chat("brine-huge")).await?;
    assert_eq!(answer.status, 404);
    assert_eq!(answer.json()["error"]["code"], "model_not_found");
    assert_eq!(answer.json()["error"]["param"], "model");
    let url = format!("{}/v1/chat/completions", fleet.url(0));
    let answer =
        read_response(send("POST", &url, "sk-stranger", &[], &chat("brine-small")).await?).await?;
    assert_eq!(answer.status, 401);
    assert_eq!(answer.json()["error"]["code"], "invalid_api_key");
    assert!(!answer.text().contains("sk-stranger"), "an error never repeats a key");
    assert_eq!(runs(&fleet), 0);
    Ok(())
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let content = "x".repeat(70_000);
    let messages = json!([{ "role": "user", "content": content }]);
    let body = json!({ "model": "brine-small", "messages": messages }).to_string();
    let answer = fleet.chat(&body).await?;
    assert_eq!(answer.status, 413);
    assert_eq!(answer.json()["error"]["code"], "body_too_long");
    assert_eq!(runs(&fleet), 0);
    Ok(())
}

#[tokio::test]
async fn headers_that_are_too_long_or_wrong_are_refused() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let url = format!("{}/v1/chat/completions", fleet.url(0));
    let long = "x".repeat(20_000);
    let headers = [("x-padding", long.as_str())];
    let answer = send("POST", &url, CUSTOMER_KEY, &headers, &chat("brine-small")).await?;
    assert_eq!(answer.status().as_u16(), 431);
    for (name, value) in [
        ("x-hickorydoor-deadline-ms", "soon"),
        ("x-hickorydoor-deadline-ms", "0"),
        ("x-hickorydoor-class", "urgent"),
    ] {
        let headers = [(name, value)];
        let answer = send("POST", &url, CUSTOMER_KEY, &headers, &chat("brine-small")).await?;
        let answer = read_response(answer).await?;
        assert_eq!(answer.status, 400, "{name}: {value}");
        assert_eq!(answer.json()["error"]["param"], name);
    }
    assert_eq!(runs(&fleet), 0);
    Ok(())
}

#[tokio::test]
async fn a_text_that_is_not_http_is_refused() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let mut stream = TcpStream::connect(fleet.entries[0].http_address()).await?;
    stream.write_all(b"\x16\x03\x01\x02\x00\x01\r\n\r\n").await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    assert!(answer.starts_with(b"HTTP/1.1 400"), "{}", String::from_utf8_lossy(&answer));
    Ok(())
}

#[tokio::test]
async fn unknown_paths_and_methods_are_refused() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let url = format!("{}/v1/embeddings", fleet.url(0));
    let answer = read_response(send("POST", &url, CUSTOMER_KEY, &[], "{}").await?).await?;
    assert_eq!(
        (answer.status, answer.json()["error"]["code"].as_str()),
        (404, Some("unknown_path"))
    );
    let url = format!("{}/v1/chat/completions", fleet.url(0));
    let answer = read_response(send("GET", &url, CUSTOMER_KEY, &[], "").await?).await?;
    assert_eq!(answer.status, 405);
    Ok(())
}

#[tokio::test]
async fn a_caller_that_hangs_up_ends_its_run() -> Result<(), AnyError> {
    let mut engine = EngineSettings::new(VERSIONS);
    engine.answer_tokens = 100_000;
    engine.token_interval = Duration::from_millis(1);
    let fleet = Fleet::start(1, engine).await?;
    let messages = json!([{ "role": "user", "content": "hello" }]);
    let body = json!({ "model": "brine-small", "stream": true, "messages": messages }).to_string();
    let url = format!("{}/v1/chat/completions", fleet.url(0));
    let mut response = send("POST", &url, CUSTOMER_KEY, &[], &body).await?;
    assert_eq!(response.status().as_u16(), 200);
    assert!(response.body_mut().frame().await.is_some());
    drop(response);
    let stopped = async {
        while fleet.engines.iter().any(|engine| engine.running() > 0) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // What was delivered is billed although the caller left.
        while !fleet.bills().iter().any(|bill| bill.contains("brine-small-1")) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), stopped).await?;
    Ok(())
}

/// Guards against callers that never read and thereby hold their connections for ever.
#[tokio::test]
async fn a_caller_that_stops_reading_is_cut_off() -> Result<(), AnyError> {
    let mut engine = EngineSettings::new(VERSIONS);
    // More bytes than the socket buffers between engine and caller hold.
    engine.answer_tokens = 200_000;
    let fleet = Fleet::start(1, engine).await?;
    let messages = json!([{ "role": "user", "content": "hello" }]);
    let body = json!({ "model": "brine-small", "stream": true, "messages": messages }).to_string();
    let url = format!("{}/v1/chat/completions", fleet.url(0));
    let response = send("POST", &url, CUSTOMER_KEY, &[], &body).await?;
    let cut = async {
        while fleet.engines.iter().any(|engine| engine.running() > 0) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), cut).await?;
    let completed: u64 = fleet.engines.iter().map(|engine| engine.counts().completions).sum();
    assert_eq!(completed, 0, "the answer is cut, not delivered");
    assert!(
        read_response(response).await.is_err(),
        "the caller sees that its answer is not complete"
    );
    Ok(())
}
