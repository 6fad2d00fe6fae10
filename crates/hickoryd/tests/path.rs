//! The path of a request through entry and agent.

use std::time::Duration;

use hickory_standins::EngineSettings;
use http_body_util::BodyExt;
use serde_json::Value;
use serde_json::json;

mod fleet;

use fleet::Answer;
use fleet::AnyError;
use fleet::CUSTOMER_KEY;
use fleet::Fleet;
use fleet::OPERATOR_KEY;
use fleet::send;
use fleet::whole;

const VERSIONS: [&str; 2] = ["brine-small-1", "brine-large-1"];

async fn fleet() -> Result<Fleet, AnyError> {
    Fleet::start(1, EngineSettings::new(VERSIONS)).await
}

fn chat(model: &str, prompt: &str, stream: bool) -> Value {
    let messages = json!([{ "role": "user", "content": prompt }]);
    json!({ "model": model, "stream": stream, "messages": messages })
}

/// The JSON events of a stream; the closing `[DONE]` is checked and left out.
fn events(answer: &Answer) -> Vec<Value> {
    let text = answer.text();
    let mut data: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(data.pop(), Some("[DONE]"), "{text}");
    data.iter().map(|event| serde_json::from_str(event).unwrap_or_default()).collect()
}

fn content(events: &[Value]) -> String {
    let pieces = events.iter().filter_map(|event| event["choices"][0]["delta"]["content"].as_str());
    pieces.collect()
}

#[tokio::test]
async fn a_whole_answer_names_its_version_and_request() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let answer = fleet.chat(&chat("brine-small", "own words", false).to_string()).await?;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.header("x-hickorydoor-version"), "brine-small-1");
    assert_eq!(answer.header("x-hickorydoor-request-id"), "entry-1/1/0");
    assert_eq!(answer.header("content-length"), answer.body.len().to_string());
    let text = answer.json()["choices"][0]["message"]["content"].to_string();
    assert!(text.contains("own words"), "{text}");
    Ok(())
}

/// Guards against a usage event that reaches a caller who did not ask for it, and against one that
/// is lost for a caller who did.
#[tokio::test]
async fn usage_is_streamed_only_when_asked_for() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let mut request = chat("brine-small", "hello", true);
    let answer = fleet.chat(&request.to_string()).await?;
    assert_eq!(answer.header("content-type"), "text/event-stream");
    let without = events(&answer);
    assert!(content(&without).starts_with("hello"));
    assert!(without.iter().all(|event| event.get("usage").is_none()));
    request["stream_options"] = json!({ "include_usage": true });
    let with = events(&fleet.chat(&request.to_string()).await?);
    let usage = with.last().map(|event| event["usage"]["completion_tokens"].clone());
    assert_eq!(usage, Some(json!(8)));
    Ok(())
}

/// Guards against an answer that stalls or is cut when it is longer than the credit window.
#[tokio::test]
async fn a_stream_longer_than_the_window_arrives_whole() -> Result<(), AnyError> {
    let mut engine = EngineSettings::new(VERSIONS);
    engine.answer_tokens = 2_000;
    let fleet = Fleet::start(1, engine).await?;
    let answer = fleet.chat(&chat("brine-small", "hello", true).to_string()).await?;
    assert!(answer.body.len() > 128 << 10, "{} bytes", answer.body.len());
    assert!(content(&events(&answer)).ends_with(" t1999"));
    Ok(())
}

/// Guards against a caller that reads nothing and thereby blocks others on the same link.
#[tokio::test]
async fn a_slow_caller_does_not_block_others() -> Result<(), AnyError> {
    let mut engine = EngineSettings::new(VERSIONS);
    // More bytes than the socket buffers between engine and caller hold.
    engine.answer_tokens = 200_000;
    let fleet = Fleet::start(1, engine).await?;
    let url = format!("{}/v1/chat/completions", fleet.url(0));
    let body = chat("brine-small", "slow", true).to_string();
    let slow = send("POST", &url, CUSTOMER_KEY, &[], &body).await?;
    let mut request = chat("brine-small", "quick", true);
    request["max_tokens"] = json!(100);
    for _ in 0..8 {
        let answer = fleet.chat(&request.to_string()).await?;
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert!(content(&events(&answer)).ends_with(" t99"));
    }
    let running: usize = fleet.engines.iter().map(hickory_standins::Engine::running).sum();
    assert_eq!(running, 1, "the slow caller's answer waits at the engine");
    drop(slow);
    Ok(())
}

/// Guards against a cut stream that looks complete to the caller.
#[tokio::test]
async fn a_cut_stream_ends_with_an_error_event() -> Result<(), AnyError> {
    let mut engine = EngineSettings::new(VERSIONS);
    engine.answer_tokens = 100;
    engine.token_interval = Duration::from_millis(2);
    engine.abort_after_tokens = Some(20);
    let fleet = Fleet::start(1, engine).await?;
    let answer = fleet.chat(&chat("brine-small", "hello", true).to_string()).await?;
    let text = answer.text();
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
        let answer = fleet.chat(&chat("brine-small", "hello", false).to_string()).await?;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    fleet.engines[1].server().set_down(true).await?;
    let answer = fleet.chat(&chat("brine-small", "hello", false).to_string()).await?;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("x-hickorydoor-run"), "not-run");
    assert!(!answer.header("retry-after").is_empty());
    Ok(())
}

/// Guards against a whole answer that reaches a caller who asked for a stream.
#[tokio::test]
async fn a_cascade_can_be_streamed() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    fleet.rating.set_version_score("brine-small-1", 0.1);
    let answer = fleet.chat(&chat("brine", "judge me", true).to_string()).await?;
    assert_eq!(answer.header("content-type"), "text/event-stream");
    assert_eq!(answer.header("x-hickorydoor-version"), "brine-large-1");
    assert!(content(&events(&answer)).starts_with("judge me"));
    Ok(())
}

#[tokio::test]
async fn models_lists_what_the_customer_may_use() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let url = format!("{}/v1/models", fleet.url(0));
    let answer = whole(send("GET", &url, CUSTOMER_KEY, &[], "").await?).await?;
    let body = answer.json();
    let ids: Vec<&str> = body["data"]
        .as_array()
        .map(|models| models.iter().filter_map(|model| model["id"].as_str()).collect())
        .unwrap_or_default();
    assert_eq!(ids, ["brine-small", "brine-large", "brine"]);
    Ok(())
}

#[tokio::test]
async fn a_service_call_is_passed_through() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let url = format!("{}/services/registry/lots/7?page=2", fleet.url(0));
    let answer = whole(send("GET", &url, CUSTOMER_KEY, &[], "").await?).await?;
    assert_eq!((answer.status, answer.json()), (200, json!({ "call": 1 })));
    let calls = fleet.service.calls();
    let seen: Vec<_> =
        calls.iter().map(|call| (call.method.as_str(), call.path.as_str())).collect();
    assert_eq!(seen, [("GET", "/lots/7?page=2")]);
    Ok(())
}

#[tokio::test]
async fn operators_see_why_a_request_went_where_it_went() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let answer = fleet.chat(&chat("brine-small", "hello", false).to_string()).await?;
    let request = answer.header("x-hickorydoor-request-id").to_owned();
    let address = fleet.entries[0].operators_address().ok_or("no operators' port")?;
    let base = format!("http://{address}");
    let notes =
        whole(send("GET", &format!("{base}/requests/{request}"), OPERATOR_KEY, &[], "").await?);
    let notes = notes.await?.json();
    assert_eq!(notes[0]["step"], "dispatched");
    assert_eq!(notes[1]["reason"], "served");
    let times = whole(send("GET", &format!("{base}/histograms"), OPERATOR_KEY, &[], "").await?);
    let times = times.await?.json();
    assert_eq!(times[0]["customer"], "cooperativa");
    assert_eq!(times[0]["total"]["count"], 1);
    let refused = send("GET", &format!("{base}/status"), CUSTOMER_KEY, &[], "").await?;
    assert_eq!(refused.status().as_u16(), 401);
    let ready = send("GET", &format!("{base}/ready"), "", &[], "").await?;
    assert_eq!(ready.status().as_u16(), 200);
    Ok(())
}

/// Guards against a graceful shutdown that interrupts a running answer.
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
    let answer = whole(response).await?;
    assert!(content(&events(&answer)).ends_with(" t59"));
    tokio::time::timeout(Duration::from_secs(10), entry.stopped()).await?;
    for agent in std::mem::take(&mut fleet.agents) {
        agent.shutdown().await;
        tokio::time::timeout(Duration::from_secs(5), agent.stopped()).await?;
    }
    Ok(())
}

/// Guards against entries that read the whole host list each time although it has not changed.
#[tokio::test]
async fn an_unchanged_host_list_is_not_read_again() -> Result<(), AnyError> {
    let fleet = fleet().await?;
    let before = fleet.hosts.not_modified_count();
    while fleet.hosts.not_modified_count() < before + 3 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let answer = fleet.chat(&chat("brine-small", "hello", false).to_string()).await?;
    assert_eq!(answer.status, 200);
    Ok(())
}
