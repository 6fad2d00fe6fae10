//! Invalid input from callers is rejected with an error in the format of the API and executes nothing.

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

fn executed_attempts(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|engine| engine.counts().started).sum()
}

fn chat(model: &str) -> String {
    json!({ "model": model, "messages": [{ "role": "user", "content": "hello" }] }).to_string()
}

#[tokio::test]
async fn malformed_bodies_are_rejected() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    for body in ["", "{", "[]", "{\"model\":\"brine-small\"}", "{\"model\":1,\"messages\":[]}"] {
        let response = fleet.chat(body).await?;
        assert_eq!(response.status, 400, "{body}");
        assert_eq!(response.json()["error"]["type"], "invalid_request_error", "{body}");
        assert_eq!(response.header("x-hickorydoor-run"), "not-run", "{body}");
    }
    let response = fleet.chat("{\"model\":\"brine-small\",\"messages\":[]}").await?;
    assert_eq!(response.json()["error"]["param"], "messages");
    assert_eq!(executed_attempts(&fleet), 0);
    Ok(())
}

#[tokio::test]
async fn unknown_models_and_keys_are_rejected() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let response = fleet.chat(&chat("brine-huge")).await?;
    assert_eq!(response.status, 404);
    assert_eq!(response.json()["error"]["code"], "model_not_found");
    assert_eq!(response.json()["error"]["param"], "model");
    let url = format!("{}/v1/chat/completions", fleet.url(0));
    let response =
        read_response(send("POST", &url, "sk-stranger", &[], &chat("brine-small")).await?).await?;
    assert_eq!(response.status, 401);
    assert_eq!(response.json()["error"]["code"], "invalid_api_key");
    assert!(!response.text().contains("sk-stranger"), "the error repeats the key");
    assert_eq!(executed_attempts(&fleet), 0);
    Ok(())
}

#[tokio::test]
async fn a_body_over_the_limit_is_rejected() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let content = "x".repeat(70_000);
    let messages = json!([{ "role": "user", "content": content }]);
    let body = json!({ "model": "brine-small", "messages": messages }).to_string();
    let response = fleet.chat(&body).await?;
    assert_eq!(response.status, 413);
    assert_eq!(response.json()["error"]["code"], "body_too_long");
    assert_eq!(executed_attempts(&fleet), 0);
    Ok(())
}

#[tokio::test]
async fn headers_that_are_too_long_or_invalid_are_rejected() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let url = format!("{}/v1/chat/completions", fleet.url(0));
    let long = "x".repeat(20_000);
    let headers = [("x-padding", long.as_str())];
    let response = send("POST", &url, CUSTOMER_KEY, &headers, &chat("brine-small")).await?;
    assert_eq!(response.status().as_u16(), 431);
    for (name, value) in [
        ("x-hickorydoor-deadline-ms", "soon"),
        ("x-hickorydoor-deadline-ms", "0"),
        ("x-hickorydoor-class", "urgent"),
    ] {
        let headers = [(name, value)];
        let response = send("POST", &url, CUSTOMER_KEY, &headers, &chat("brine-small")).await?;
        let response = read_response(response).await?;
        assert_eq!(response.status, 400, "{name}: {value}");
        assert_eq!(response.json()["error"]["param"], name);
    }
    assert_eq!(executed_attempts(&fleet), 0);
    Ok(())
}

#[tokio::test]
async fn a_request_that_is_not_http_is_rejected() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let mut stream = TcpStream::connect(fleet.entries[0].http_address()).await?;
    stream.write_all(b"\x16\x03\x01\x02\x00\x01\r\n\r\n").await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    assert!(response.starts_with(b"HTTP/1.1 400"), "{}", String::from_utf8_lossy(&response));
    Ok(())
}

#[tokio::test]
async fn unknown_paths_and_methods_are_rejected() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let url = format!("{}/v1/embeddings", fleet.url(0));
    let response = read_response(send("POST", &url, CUSTOMER_KEY, &[], "{}").await?).await?;
    assert_eq!(
        (response.status, response.json()["error"]["code"].as_str()),
        (404, Some("unknown_path"))
    );
    let url = format!("{}/v1/chat/completions", fleet.url(0));
    let response = read_response(send("GET", &url, CUSTOMER_KEY, &[], "").await?).await?;
    assert_eq!(response.status, 405);
    Ok(())
}

#[tokio::test]
async fn a_disconnected_caller_ends_its_attempt() -> Result<(), AnyError> {
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
        // The delivered tokens are billed although the caller disconnected.
        while !fleet.bills().iter().any(|bill| bill.contains("brine-small-1")) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), stopped).await?;
    Ok(())
}

/// Guards against callers that never read and thereby keep their connections open indefinitely.
#[tokio::test]
async fn a_caller_that_stops_reading_is_disconnected() -> Result<(), AnyError> {
    let mut engine = EngineSettings::new(VERSIONS);
    // The response exceeds the capacity of the socket buffers between engine and caller.
    engine.answer_tokens = 200_000;
    let fleet = Fleet::start(1, engine).await?;
    let messages = json!([{ "role": "user", "content": "hello" }]);
    let body = json!({ "model": "brine-small", "stream": true, "messages": messages }).to_string();
    let url = format!("{}/v1/chat/completions", fleet.url(0));
    let response = send("POST", &url, CUSTOMER_KEY, &[], &body).await?;
    let attempts_ended = async {
        while fleet.engines.iter().any(|engine| engine.running() > 0) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), attempts_ended).await?;
    let completed: u64 = fleet.engines.iter().map(|engine| engine.counts().completions).sum();
    assert_eq!(completed, 0, "a response was delivered completely");
    assert!(
        read_response(response).await.is_err(),
        "the caller cannot detect that its response is truncated"
    );
    Ok(())
}

/// Guards against a truncated answer that looks complete: HTTP/1.0 has no chunks, so a response of
/// unknown length ends with its connection however it ends.
#[tokio::test]
async fn callers_that_speak_http_1_0_are_rejected() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let mut stream = TcpStream::connect(fleet.entries[0].http_address()).await?;
    let body = chat("brine-small");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.0\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    assert!(response.starts_with("HTTP/1.0 505 "), "{response}");
    assert!(response.contains("not-run"), "{response}");
    assert_eq!(executed_attempts(&fleet), 0);
    Ok(())
}
