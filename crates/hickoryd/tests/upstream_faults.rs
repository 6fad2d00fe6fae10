//! Upstreams that repeat a response on a connection, or send bytes without end, harm no other
//! caller.

mod fleet;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickory_standins::EngineSettings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::fleet::AnyError;
use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::fleet::read_response;
use crate::fleet::send;

/// Reads the head of a request without a body; returns its path.
async fn read_path(stream: &mut TcpStream) -> std::io::Result<Option<String>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(None);
        }
    }
    let text = String::from_utf8_lossy(&head);
    Ok(text.split(' ').nth(1).map(str::to_owned))
}

fn response_to(path: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{path}", path.len())
}

async fn start_with_service(service_url: String) -> Result<Fleet, AnyError> {
    let options = FleetOptions { service_url: Some(service_url), ..FleetOptions::default() };
    Fleet::start_with(1, EngineSettings::new(["brine-small-1", "brine-large-1"]), options).await
}

async fn get(fleet: &Fleet, path: &str) -> Result<(u16, String), AnyError> {
    let url = format!("{}/services/registry/{path}", fleet.url(0));
    let response = read_response(send("GET", &url, CUSTOMER_KEY, &[], "").await?).await?;
    Ok((response.status, response.text()))
}

/// Guards against a caller that gets the response to an earlier request, because the upstream sent
/// that response again when the next request on the connection had arrived.
#[tokio::test]
async fn second_copy_of_a_response_does_not_reach_the_next_caller() -> Result<(), AnyError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let url = format!("http://{}", listener.local_addr()?);
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            tokio::spawn(async move {
                let mut previous = String::new();
                while let Ok(Some(path)) = read_path(&mut stream).await {
                    let response = response_to(&path);
                    let bytes = format!("{previous}{response}");
                    if stream.write_all(bytes.as_bytes()).await.is_err() {
                        return;
                    }
                    previous = response;
                }
            });
        }
    });
    let fleet = start_with_service(url).await?;
    for number in 0..10 {
        let path = format!("lot-{number}");
        let (status, body) = get(&fleet, &path).await?;
        assert_eq!((status, body.as_str()), (200, format!("/{path}").as_str()));
    }
    Ok(())
}

/// Guards against a call that has run and is answered 408, 421, 429 or 503 through an entry, which its
/// caller takes for "not run". A call that may be repeated keeps the status of its service.
#[tokio::test]
async fn failed_call_that_must_not_be_repeated_is_not_answered_as_not_run() -> Result<(), AnyError>
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let url = format!("http://{}", listener.local_addr()?);
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            let Ok(Some(path)) = read_path(&mut stream).await else {
                continue;
            };
            let status = path.trim_start_matches('/');
            let response = format!("HTTP/1.1 {status} Failed\r\nContent-Length: 3\r\n\r\nbad");
            drop(stream.write_all(response.as_bytes()).await);
        }
    });
    let fleet = start_with_service(url).await?;
    for status in [408, 421, 429, 503] {
        let url = format!("{}/services/registry/{status}", fleet.url(0));
        let response = read_response(send("POST", &url, CUSTOMER_KEY, &[], "").await?).await?;
        assert!(![408, 421, 429, 503].contains(&response.status), "{status}: {}", response.status);
        assert_ne!(response.header("x-hickorydoor-run"), "not-run", "{status}");
        if status < 500 {
            let (kept, _body) = get(&fleet, &status.to_string()).await?;
            assert_eq!(kept, status);
        }
    }
    Ok(())
}

/// Guards against a response without a length that is rejected, or that looks complete after a
/// reset.
#[tokio::test]
async fn response_that_ends_with_its_connection_is_whole_unless_it_was_reset()
-> Result<(), AnyError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let url = format!("http://{}", listener.local_addr()?);
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            let Ok(Some(path)) = read_path(&mut stream).await else {
                continue;
            };
            let response = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{path}");
            drop(stream.write_all(response.as_bytes()).await);
            if path == "/reset" {
                sleep(Duration::from_millis(50)).await;
                drop(stream.set_zero_linger());
            }
        }
    });
    let fleet = start_with_service(url).await?;
    assert_eq!(get(&fleet, "whole").await?, (200, "/whole".to_owned()));
    let reset = get(&fleet, "reset").await;
    assert!(!matches!(reset, Ok((200, _))), "{reset:?}");
    Ok(())
}

/// Guards against an agent whose only thread is kept busy by one upstream that never stops.
#[tokio::test]
async fn responses_without_end_fail_and_leave_the_agent_working() -> Result<(), AnyError> {
    let is_endless = Arc::new(AtomicBool::new(true));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let url = format!("http://{}", listener.local_addr()?);
    let shared = Arc::clone(&is_endless);
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            let is_endless = Arc::clone(&shared);
            tokio::spawn(async move {
                let Ok(Some(path)) = read_path(&mut stream).await else {
                    return;
                };
                if !is_endless.load(Ordering::Relaxed) {
                    drop(stream.write_all(response_to(&path).as_bytes()).await);
                    return;
                }
                let (first, repeated) = match path.as_str() {
                    "/interim" => ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
                    "/headers" => ("HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n"),
                    _ => ("HTTP/1.1 200 OK\r\nX-Long: ", "x"),
                };
                let many = repeated.repeat(1_000);
                let mut result = stream.write_all(first.as_bytes()).await;
                while result.is_ok() {
                    result = stream.write_all(many.as_bytes()).await;
                }
            });
        }
    });
    let fleet = start_with_service(url).await?;
    for path in ["interim", "headers", "value"] {
        let (status, body) = get(&fleet, path).await?;
        assert!((500..600).contains(&status), "{path}: {status} {body}");
    }
    is_endless.store(false, Ordering::Relaxed);
    let mut last = None;
    for _ in 0..200 {
        let answer = get(&fleet, "sound").await?;
        if answer == (200, "/sound".to_owned()) {
            return Ok(());
        }
        last = Some(answer);
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("the service is not used again: {last:?}");
}

/// Guards against a response that ends in its head and reaches the caller as a success.
#[tokio::test]
async fn response_that_ends_in_its_head_is_no_success() -> Result<(), AnyError> {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 24\r\n\r";
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let url = format!("http://{}", listener.local_addr()?);
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            let Ok(Some(path)) = read_path(&mut stream).await else {
                continue;
            };
            let interim =
                if path.contains("interim") { "HTTP/1.1 103 Early Hints\r\n\r\n" } else { "" };
            let length = path.rsplit('-').next().and_then(|text| text.parse().ok());
            let head = &HEAD[..length.unwrap_or(HEAD.len()).min(HEAD.len())];
            drop(stream.write_all(format!("{interim}{head}").as_bytes()).await);
        }
    });
    let fleet = start_with_service(url).await?;
    for length in 0..=HEAD.len() {
        for kind in ["plain", "interim"] {
            let (status, body) = get(&fleet, &format!("{kind}-{length}")).await?;
            assert!((500..600).contains(&status), "{kind}, {length} bytes: {status} {body}");
        }
    }
    Ok(())
}

/// Guards against a connection that is closed after an interim response, without a final one.
#[tokio::test]
async fn status_101_of_a_service_is_no_answer_for_the_caller() -> Result<(), AnyError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let url = format!("http://{}", listener.local_addr()?);
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            drop(read_path(&mut stream).await);
            let head = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n";
            drop(stream.write_all(head.as_bytes()).await);
        }
    });
    let fleet = start_with_service(url).await?;
    let (status, body) = get(&fleet, "lot-1").await?;
    assert!((500..600).contains(&status), "{status} {body}");
    Ok(())
}
