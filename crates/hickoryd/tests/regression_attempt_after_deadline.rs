//! Guards against an attempt that reaches its upstream after its caller has given up.

use std::time::Duration;

use bytes::Bytes;
use hickoryd::gateway::HeaderNames;
use hickoryd::gateway::upstream_request::RequestTemplate;
use hickoryd::gateway::upstream_request::send;
use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::effect::Dispatch;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::NotRun;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::Instant;

fn dispatch(listener: &TcpListener, remaining_ms: u64) -> Dispatch {
    Dispatch {
        attempt: 1,
        upstream: "e-1".parse().unwrap(),
        address: listener.local_addr().unwrap(),
        customer: None,
        model: None,
        fetch_from: None,
        priority: 5,
        claim: 1.0,
        deadline_at: TimeMs::new(100_000 + remaining_ms),
        remaining_ms: DurationMs::new(remaining_ms),
        connect_timeout_ms: DurationMs::new(300),
        pause_timeout_ms: DurationMs::new(1_000),
        min_confidence: None,
        last_event: None,
        streaming: false,
        expected_ms: DurationMs::new(10),
        version: "v1".into(),
        limit: None,
    }
}

/// Sends a request whose deadline is `deadline`; returns the outcome and what the upstream gets.
async fn send_until(remaining_ms: u64, deadline: Instant) -> (Option<AttemptOutcome>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dispatch = dispatch(&listener, remaining_ms);
    let names = HeaderNames::default();
    let (parts, ()) = http::Request::post("/book/1").body(()).unwrap().into_parts();
    let template = RequestTemplate::new(&parts, Bytes::new(), &names);
    let upstream = tokio::spawn(async move {
        let (mut stream, _peer) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\n") && stream.read_buf(&mut bytes).await.unwrap() > 0 {}
        String::from_utf8(bytes).unwrap()
    });
    let tasks = LocalSet::new();
    let (_notice, sent) = tasks.run_until(send(&template, &dispatch, &names, deadline)).await;
    let outcome = sent.err();
    drop(tasks);
    (outcome, upstream.await.unwrap())
}

#[tokio::test]
async fn attempt_is_not_sent_after_its_deadline() {
    let (outcome, received) = send_until(5_000, Instant::now()).await;
    assert_eq!(outcome, Some(AttemptOutcome::NotRun(NotRun::Expired)));
    assert_eq!(received, "");
}

#[tokio::test]
async fn upstream_is_told_the_time_that_is_left_when_the_request_is_sent() {
    let deadline = Instant::now() + Duration::from_secs(4);
    let (outcome, received) = send_until(5_000, deadline).await;
    assert!(matches!(outcome, Some(AttemptOutcome::Unknown(_))), "{outcome:?}");
    let name = "x-hickorydoor-timeout-ms: ";
    let told = received.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    assert!(told.parse::<u64>().unwrap() <= 4_000, "{received}");
}
