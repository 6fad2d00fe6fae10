//! Requests from a caller through entry and agent to the upstream and back.

use std::time::Duration;

use hickory_standins::EngineSettings;
use http_body_util::BodyExt;
use serde_json::Value;
use serde_json::json;

mod fleet;

use fleet::AnyError;
use fleet::CUSTOMER_KEY;
use fleet::Fleet;
use fleet::FullResponse;
use fleet::OPERATOR_KEY;
use fleet::read_response;
use fleet::send;

const VERSIONS: [&str; 2] = ["brine-small-1", "brine-large-1"];

async fn fleet() -> Result<Fleet, AnyError> {
    Fleet::start(1, EngineSettings::new(VERSIONS)).await
}

fn chat(model: &str, prompt: &str, stream: bool) -> Value {
    let messages = json!([{ "role": "user", "content": prompt }]);
    json!({ "model": model, "stream": stream, "messages": messages })
}

/// Returns the JSON events of a stream, after checking that it ends with `[DONE]`.
fn events(response: &FullResponse) -> Vec<Value> {
    let text = response.text();
    let mut data: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(data.pop(), Some("[DONE]"), "{text}");
    data.iter().map(|event| serde_json::from_str(event).unwrap_or_default()).collect()
}

fn content(events: &[Value]) -> String {
    let deltas = events.iter().filter_map(|event| event["choices"][0]["delta"]["content"].as_str());
    deltas.collect()
}

#[tokio::test]
async fn a_response_names_its_version_and_request() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let response = fleet.chat(&chat("brine-small", "own words", false).to_string()).await?;
    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(response.header("x-hickorydoor-version"), "brine-small-1");
    assert_eq!(response.header("x-hickorydoor-request-id"), "entry-1/1/0");
    assert_eq!(response.header("content-length"), response.body.len().to_string());
    let text = response.json()["choices"][0]["message"]["content"].to_string();
    assert!(text.contains("own words"), "{text}");
    Ok(())
}

/// Guards against sending a usage event to a caller that did not request it, and against dropping it
/// for a caller that did.
#[tokio::test]
async fn usage_is_streamed_only_when_requested() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let mut request = chat("brine-small", "hello", true);
    let response = fleet.chat(&request.to_string()).await?;
    assert_eq!(response.header("content-type"), "text/event-stream");
    let without = events(&response);
    assert!(content(&without).starts_with("hello"));
    assert!(without.iter().all(|event| event.get("usage").is_none()));
    request["stream_options"] = json!({ "include_usage": true });
    let with = events(&fleet.chat(&request.to_string()).await?);
    let usage = with.last().map(|event| event["usage"]["completion_tokens"].clone());
    assert_eq!(usage, Some(json!(8)));
    Ok(())
}

/// Guards against a response that stalls or is truncated if it is longer than the flow-control window.
#[tokio::test]
async fn a_stream_longer_than_the_window_arrives_completely() -> Result<(), AnyError> {
    let mut engine = EngineSettings::new(VERSIONS);
    engine.answer_tokens = 2_000;
    let fleet = Fleet::start(1, engine).await?;
    let response = fleet.chat(&chat("brine-small", "hello", true).to_string()).await?;
    assert!(response.body.len() > 128 << 10, "{} bytes", response.body.len());
    assert!(content(&events(&response)).ends_with(" t1999"));
    Ok(())
}

/// Guards against a caller that does not read and thereby blocks others on the same link.
#[tokio::test]
async fn a_slow_caller_does_not_block_others() -> Result<(), AnyError> {
    let mut engine = EngineSettings::new(VERSIONS);
    // The response exceeds the capacity of the socket buffers between engine and caller.
    engine.answer_tokens = 200_000;
    let fleet = Fleet::start(1, engine).await?;
    let url = format!("{}/v1/chat/completions", fleet.url(0));
    let body = chat("brine-small", "slow", true).to_string();
    let slow = send("POST", &url, CUSTOMER_KEY, &[], &body).await?;
    let mut request = chat("brine-small", "quick", true);
    request["max_tokens"] = json!(100);
    for _ in 0..8 {
        let response = fleet.chat(&request.to_string()).await?;
        assert_eq!(response.status, 200, "{}", response.text());
        assert!(content(&events(&response)).ends_with(" t99"));
    }
    let running: usize = fleet.engines.iter().map(hickory_standins::Engine::running).sum();
    assert_eq!(running, 1, "only the attempt of the slow caller must be running");
    drop(slow);
    Ok(())
}

/// Guards against a truncated stream that looks complete to the caller.
#[tokio::test]
async fn a_truncated_stream_ends_with_an_error_event() -> Result<(), AnyError> {
    let mut engine = EngineSettings::new(VERSIONS);
    engine.answer_tokens = 100;
    engine.token_interval = Duration::from_millis(2);
    engine.abort_after_tokens = Some(20);
    let fleet = Fleet::start(1, engine).await?;
    let response = fleet.chat(&chat("brine-small", "hello", true).to_string()).await?;
    let text = response.text();
    assert!(!text.contains("[DONE]"), "{text}");
    let last = text.lines().filter_map(|line| line.strip_prefix("data: ")).next_back();
    let last: Value = serde_json::from_str(last.unwrap_or_default())?;
    assert_eq!(last["error"]["code"], "upstream_failed");
    Ok(())
}

#[tokio::test]
async fn an_engine_that_is_down_is_avoided() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    fleet.engines[0].server().set_down(true).await?;
    for _ in 0..8 {
        let response = fleet.chat(&chat("brine-small", "hello", false).to_string()).await?;
        assert_eq!(response.status, 200, "{}", response.text());
    }
    fleet.engines[1].server().set_down(true).await?;
    let response = fleet.chat(&chat("brine-small", "hello", false).to_string()).await?;
    assert_eq!(response.status, 503);
    assert_eq!(response.header("x-hickorydoor-run"), "not-run");
    assert!(!response.header("retry-after").is_empty());
    Ok(())
}

/// Guards against a plain JSON response to a caller that requested a stream.
#[tokio::test]
async fn a_cascade_can_be_streamed() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    fleet.rating.set_version_score("brine-small-1", 0.1);
    let response = fleet.chat(&chat("brine", "judge me", true).to_string()).await?;
    assert_eq!(response.header("content-type"), "text/event-stream");
    assert_eq!(response.header("x-hickorydoor-version"), "brine-large-1");
    assert!(content(&events(&response)).starts_with("judge me"));
    Ok(())
}

#[tokio::test]
async fn models_lists_the_models_of_the_customer() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let url = format!("{}/v1/models", fleet.url(0));
    let response = read_response(send("GET", &url, CUSTOMER_KEY, &[], "").await?).await?;
    let body = response.json();
    let ids: Vec<&str> = body["data"]
        .as_array()
        .map(|models| models.iter().filter_map(|model| model["id"].as_str()).collect())
        .unwrap_or_default();
    assert_eq!(ids, ["brine-small", "brine-large", "brine"]);
    Ok(())
}

#[tokio::test]
async fn a_service_call_is_forwarded() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let url = format!("{}/services/registry/lots/7?page=2", fleet.url(0));
    let response = read_response(send("GET", &url, CUSTOMER_KEY, &[], "").await?).await?;
    assert_eq!((response.status, response.json()), (200, json!({ "call": 1 })));
    let calls = fleet.service.calls();
    let received: Vec<_> =
        calls.iter().map(|call| (call.method.as_str(), call.path.as_str())).collect();
    assert_eq!(received, [("GET", "/lots/7?page=2")]);
    Ok(())
}

#[tokio::test]
async fn operators_see_the_steps_of_a_request() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let response = fleet.chat(&chat("brine-small", "hello", false).to_string()).await?;
    let request = response.header("x-hickorydoor-request-id").to_owned();
    let address = fleet.entries[0].operators_address().ok_or("the entry has no operator port")?;
    let base = format!("http://{address}");
    let steps = read_response(
        send("GET", &format!("{base}/requests/{request}"), OPERATOR_KEY, &[], "").await?,
    );
    let steps = steps.await?.json();
    assert_eq!(steps[0]["step"], "dispatched");
    assert_eq!(steps[1]["reason"], "served");
    let timings =
        read_response(send("GET", &format!("{base}/histograms"), OPERATOR_KEY, &[], "").await?);
    let timings = timings.await?.json();
    assert_eq!(timings[0]["customer"], "cooperativa");
    assert_eq!(timings[0]["total"]["count"], 1);
    let rejected = send("GET", &format!("{base}/status"), CUSTOMER_KEY, &[], "").await?;
    assert_eq!(rejected.status().as_u16(), 401);
    let ready = send("GET", &format!("{base}/ready"), "", &[], "").await?;
    assert_eq!(ready.status().as_u16(), 200);
    Ok(())
}

/// Guards against a graceful shutdown that truncates a response in progress.
#[tokio::test]
async fn a_shutdown_lets_a_stream_finish() -> Result<(), AnyError> {
    let mut engine = EngineSettings::new(VERSIONS);
    engine.answer_tokens = 60;
    engine.token_interval = Duration::from_millis(5);
    let mut fleet = Fleet::start(1, engine).await?;
    let url = format!("{}/v1/chat/completions", fleet.url(0));
    let body = chat("brine-small", "hello", true).to_string();
    let mut response = send("POST", &url, CUSTOMER_KEY, &[], &body).await?;
    let first = response.body_mut().frame().await;
    assert!(first.is_some());
    let entry = fleet.entries.remove(0);
    entry.shutdown().await;
    let response = read_response(response).await?;
    assert!(content(&events(&response)).ends_with(" t59"));
    tokio::time::timeout(Duration::from_secs(10), entry.stopped()).await?;
    for agent in std::mem::take(&mut fleet.agents) {
        agent.shutdown().await;
        tokio::time::timeout(Duration::from_secs(5), agent.stopped()).await?;
    }
    Ok(())
}

/// Guards against entries that transfer the whole host list on each poll although it has not changed.
#[tokio::test]
async fn an_unchanged_host_list_is_not_transferred_again() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let before = fleet.hosts.not_modified_count();
    while fleet.hosts.not_modified_count() < before + 3 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let response = fleet.chat(&chat("brine-small", "hello", false).to_string()).await?;
    assert_eq!(response.status, 200);
    Ok(())
}
