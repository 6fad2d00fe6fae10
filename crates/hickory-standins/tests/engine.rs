//! Tests of the engine stand-in: completions, slots, faults and orders.

mod support;

use std::time::Duration;

use hickory_standins::ColdStart;
use hickory_standins::Engine;
use hickory_standins::EngineSettings;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use support::get_json;
use support::post;
use support::send;

async fn start_engine() -> Engine {
    Engine::start(EngineSettings::new(["brine-1"])).await.expect("a port is free")
}

fn chat_request(prompt: &str) -> Value {
    json!({"model": "brine-1", "messages": [{"role": "user", "content": prompt}]})
}

async fn complete(engine: &Engine, request: &Value) -> Option<(StatusCode, Vec<u8>)> {
    let url = format!("{}/v1/chat/completions", engine.server().url());
    post(url, request).await.map(|(status, body)| (status, body.to_vec()))
}

// Guards against answers or token counts that differ between a single response and a stream.
#[tokio::test]
async fn whole_and_streamed_answers_agree() {
    let engine = start_engine().await;
    let (status, body) = complete(&engine, &chat_request("how salty")).await.expect("a response");
    assert_eq!(status, StatusCode::OK);
    let whole: Value = serde_json::from_slice(&body).expect("JSON");
    let mut streamed = chat_request("how salty");
    streamed["stream"] = true.into();
    streamed["stream_options"] = json!({"include_usage": true});
    let (_, body) = complete(&engine, &streamed).await.expect("a response");
    let text = String::from_utf8(body).expect("UTF-8");
    let events: Vec<&str> =
        text.split_terminator("\n\n").filter_map(|event| event.strip_prefix("data: ")).collect();
    let (last, chunks) = events.split_last().expect("events");
    assert_eq!(*last, "[DONE]");
    let chunks: Vec<Value> =
        chunks.iter().map(|chunk| serde_json::from_str(chunk).expect("JSON")).collect();
    let joined: String =
        chunks.iter().filter_map(|c| c["choices"][0]["delta"]["content"].as_str()).collect();
    assert_eq!(whole["choices"][0]["message"]["content"], joined);
    assert_eq!(chunks.last().expect("a chunk")["usage"], whole["usage"]);
    assert_eq!(whole["usage"]["completion_tokens"], 8);
    assert_eq!(engine.execution_count("how salty"), 2);
}

// Guards against more concurrent executions than slots, and against load reports without the queue.
#[tokio::test]
async fn requests_wait_for_a_slot() {
    let engine = start_engine().await;
    engine.update(|settings| {
        settings.slots = 1;
        settings.hang = true;
    });
    let (first, second) = (chat_request("one"), chat_request("two"));
    let responses = async { tokio::join!(complete(&engine, &first), complete(&engine, &second)) };
    let release = async {
        loop {
            let load = get_json(format!("{}/load", engine.server().url())).await;
            if load["running"] == 1 && load["queued"] == 1 {
                assert_eq!(load["queued_prompt_tokens"], 1);
                break;
            }
            tokio::task::yield_now().await;
        }
        engine.update(|settings| settings.hang = false);
    };
    let ((one, two), ()) = tokio::join!(responses, release);
    assert_eq!(one.expect("a response").0, StatusCode::OK);
    assert_eq!(two.expect("a response").0, StatusCode::OK);
    assert_eq!(engine.counts().peak_running, 1);
    assert_eq!(engine.counts().completions, 2);
}

// Guards against an aborted response that a client takes for a complete one, and against errors
// that are not counted.
#[tokio::test]
async fn aborted_responses_and_errors_are_reported() {
    let engine = start_engine().await;
    engine.update(|settings| settings.abort_after_tokens = Some(3));
    let mut streamed = chat_request("cut");
    assert_eq!(complete(&engine, &streamed).await, None);
    streamed["stream"] = true.into();
    assert_eq!(complete(&engine, &streamed).await, None);
    engine.update(|settings| settings.error_rate = 1.0);
    let (status, _) = complete(&engine, &chat_request("error")).await.expect("a response");
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!((engine.counts().aborted, engine.counts().errors), (2, 1));
}

// Guards against an execution that holds its slot after its client has disconnected.
#[tokio::test]
async fn a_disconnected_client_frees_its_slot() {
    let engine = start_engine().await;
    engine.update(|settings| settings.hang = true);
    let request = chat_request("gone");
    let timeout = Duration::from_millis(100);
    assert!(tokio::time::timeout(timeout, complete(&engine, &request)).await.is_err());
    while engine.running() > 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(engine.counts().aborted, 1);
}

// Guards against orders of an agent that has lost its lease: they carry an old fencing number.
#[tokio::test]
async fn stale_orders_are_rejected_if_fencing_is_checked() {
    let engine = start_engine().await;
    let order = async |number: &str, body: Value| {
        let headers = [("x-fencing-number", number), ("content-type", "application/json")];
        let url = format!("{}/orders", engine.server().url());
        send("POST", url, &headers, body.to_string()).await.expect("a response").0
    };
    assert_eq!(order("5", json!({"load": "brine-2"})).await, StatusCode::OK);
    assert_eq!(order("4", json!({"unload": "brine-2"})).await, StatusCode::CONFLICT);
    assert_eq!(engine.versions(), ["brine-1", "brine-2"]);
    engine.update(|settings| settings.checks_fencing = false);
    assert_eq!(order("4", json!({"unload": "brine-2"})).await, StatusCode::OK);
    let models = get_json(format!("{}/v1/models", engine.server().url())).await;
    assert_eq!(models["data"].as_array().expect("an array").len(), 1);
    assert_eq!((engine.counts().orders, engine.counts().stale_orders), (2, 1));
}

// Guards against a cold engine that runs at full speed under full load.
#[test]
fn a_cold_engine_slows_down_above_its_sustainable_concurrency() {
    let mut settings = EngineSettings::new(["brine-1"]);
    settings.cold_start = Some(ColdStart { sustainable_concurrency: 2, slowdown: 10.0 });
    assert_eq!(settings.slowdown(2).to_bits(), 1.0_f64.to_bits());
    assert_eq!(settings.slowdown(3).to_bits(), 10.0_f64.to_bits());
}
