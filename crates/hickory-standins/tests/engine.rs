//! The engine stand-in behaves like the engines it takes the place of.

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

async fn start() -> Engine {
    Engine::start(EngineSettings::new(["brine-1"])).await.expect("a port is free")
}

fn request(prompt: &str) -> Value {
    json!({"model": "brine-1", "messages": [{"role": "user", "content": prompt}]})
}

async fn complete(engine: &Engine, request: &Value) -> Option<(StatusCode, Vec<u8>)> {
    let url = format!("{}/v1/chat/completions", engine.server().url());
    post(url, request).await.map(|(status, body)| (status, body.to_vec()))
}

// Guards against an answer and usage that differ between the whole and the streamed form.
#[tokio::test]
async fn whole_and_streamed_answers_agree() {
    let engine = start().await;
    let (status, body) = complete(&engine, &request("how salty")).await.expect("an answer");
    assert_eq!(status, StatusCode::OK);
    let whole: Value = serde_json::from_slice(&body).expect("JSON");
    let mut streamed = request("how salty");
    streamed["stream"] = true.into();
    streamed["stream_options"] = json!({"include_usage": true});
    let (_, body) = complete(&engine, &streamed).await.expect("an answer");
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

// Guards against more runs than slots and against load reports that hide the queue.
#[tokio::test]
async fn requests_wait_for_a_slot() {
    let engine = start().await;
    engine.update(|settings| {
        settings.slots = 1;
        settings.hang = true;
    });
    let (first, second) = (request("one"), request("two"));
    let both = async { tokio::join!(complete(&engine, &first), complete(&engine, &second)) };
    let released = async {
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
    let ((one, two), ()) = tokio::join!(both, released);
    assert_eq!(one.expect("an answer").0, StatusCode::OK);
    assert_eq!(two.expect("an answer").0, StatusCode::OK);
    assert_eq!(engine.counts().peak_running, 1);
    assert_eq!(engine.counts().completions, 2);
}

// Guards against a cut that looks like the end of an answer, and errors that are not counted.
#[tokio::test]
async fn cuts_and_errors_are_visible() {
    let engine = start().await;
    engine.update(|settings| settings.abort_after_tokens = Some(3));
    let mut streamed = request("cut");
    assert_eq!(complete(&engine, &streamed).await, None);
    streamed["stream"] = true.into();
    assert_eq!(complete(&engine, &streamed).await, None);
    engine.update(|settings| settings.error_rate = 1.0);
    let (status, _) = complete(&engine, &request("error")).await.expect("an answer");
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!((engine.counts().interrupted, engine.counts().errors), (2, 1));
}

// Guards against a run that holds its slot after its caller has gone.
#[tokio::test]
async fn a_caller_that_leaves_ends_its_run() {
    let engine = start().await;
    engine.update(|settings| settings.hang = true);
    let request = request("gone");
    let limit = Duration::from_millis(100);
    assert!(tokio::time::timeout(limit, complete(&engine, &request)).await.is_err());
    while engine.running() > 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(engine.counts().interrupted, 1);
}

// Guards against orders of an agent that lost its lease.
#[tokio::test]
async fn stale_orders_are_refused_where_fencing_is_checked() {
    let engine = start().await;
    let order = async |number: &str, body: Value| {
        let headers = [("x-fencing-number", number), ("content-type", "application/json")];
        let url = format!("{}/orders", engine.server().url());
        send("POST", url, &headers, body.to_string()).await.expect("an answer").0
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

// Guards against a cold engine that carries full load.
#[test]
fn a_cold_engine_slows_down_above_its_bound() {
    let mut settings = EngineSettings::new(["brine-1"]);
    settings.cold_start = Some(ColdStart { sustainable_concurrency: 2, slowdown: 10.0 });
    assert_eq!(settings.slowdown(2).to_bits(), 1.0_f64.to_bits());
    assert_eq!(settings.slowdown(3).to_bits(), 10.0_f64.to_bits());
}
