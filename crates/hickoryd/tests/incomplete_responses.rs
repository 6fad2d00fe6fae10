//! Guards against responses of an agent's upstream that are incomplete, or that have no status of
//! HTTP, and reach the caller as answers.

mod fleet;

use std::time::Duration;

use hickory_standins::EngineSettings;
use hickory_standins::RawEnd;
use hickory_standins::RawResponse;
use hickory_standins::RawServer;
use tokio::time::sleep;

use crate::fleet::AnyError;
use crate::fleet::CUSTOMER_KEY;
use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::fleet::read_response;
use crate::fleet::send;

/// More than the buffers of a connection hold, so that a part stays unwritten.
const LONG_UPLOAD_BYTES: usize = 6 << 20;
/// Less than the buffers of a connection hold: it is written at once, and arrives in part.
const SHORT_UPLOAD_BYTES: usize = 60_000;

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\npart";
const CHUNK: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
const HALF: &str = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart";
const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart";
const EVENTS: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: part\n\n";

const fn response(reads_body: bool, bytes: &'static str, end: RawEnd) -> RawResponse {
    RawResponse { reads_body, bytes, end }
}

async fn start(first: RawResponse) -> Result<(Fleet, RawServer), AnyError> {
    let raw = RawServer::start(first)?;
    let options = FleetOptions {
        service_url: Some(raw.url()),
        body_limit_bytes: Some(LONG_UPLOAD_BYTES),
        ..FleetOptions::default()
    };
    let engine = EngineSettings::new(["brine-small-1", "brine-large-1"]);
    Ok((Fleet::start_with(1, engine, options).await?, raw))
}

/// Posts a body until the raw server has got it; returns the status and the body of the response,
/// or `None` if the response was broken off.
async fn post(
    fleet: &Fleet,
    raw: &RawServer,
    length: usize,
) -> Result<Option<(u16, String)>, AnyError> {
    let url = format!("{}/services/registry/lots", fleet.url(0));
    let body = "x".repeat(length);
    let before = raw.requests();
    for _ in 0..100 {
        let response = send("POST", &url, CUSTOMER_KEY, &[], &body).await?;
        let response = read_response(response).await;
        if raw.requests() > before {
            return Ok(response.ok().map(|response| (response.status, response.text())));
        }
        // The agent counts as faulty for a while.
        sleep(Duration::from_millis(100)).await;
    }
    Err("no request reaches the service".into())
}

/// Returns whether a response says that the outcome of a call is not known.
fn is_unknown((status, body): &(u16, String)) -> bool {
    *status == 409 && body.contains("outcome_unknown")
}

#[tokio::test]
async fn response_to_an_upload_is_whole_by_its_framing_or_by_an_orderly_end() -> Result<(), AnyError>
{
    let ends = [RawEnd::Reset, RawEnd::LateReset, RawEnd::Close, RawEnd::CloseThenReset];
    let answers = [response(true, UNFRAMED, RawEnd::Close), response(false, WHOLE, RawEnd::Open)];
    let (fleet, raw) = start(answers[0]).await?;
    let mut wrong = Vec::new();
    for length in [SHORT_UPLOAD_BYTES, LONG_UPLOAD_BYTES] {
        for answer in answers {
            raw.set_response(answer);
            let outcome = post(&fleet, &raw, length).await?;
            assert_eq!(outcome, Some((200, "part".to_owned())), "{answer:?}, {length} bytes");
        }
        for bytes in [UNFRAMED, CHUNK, HALF, EVENTS] {
            for end in ends {
                raw.set_response(response(false, bytes, end));
                let outcome = post(&fleet, &raw, length).await?;
                if matches!(&outcome, Some(answer) if !is_unknown(answer)) {
                    wrong.push(format!("{bytes:?}, {end:?}, {length} bytes: {outcome:?}"));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

#[tokio::test]
async fn status_outside_100_to_599_is_no_answer() -> Result<(), AnyError> {
    let lines = [
        "000 X", "001 X", "099 X", "101 X", "199 X", "600 X", "700 X", "999 X", "1000 X", "20 X",
        "abc X", "2x0 X", "-20 X", " X", "",
    ];
    let (fleet, raw) = start(response(true, WHOLE, RawEnd::Open)).await?;
    let mut wrong = Vec::new();
    for line in lines {
        let bytes = format!("HTTP/1.1 {line}\r\nContent-Length: 4\r\n\r\npart").leak();
        raw.set_response(response(true, bytes, RawEnd::Close));
        let outcome = post(&fleet, &raw, 10).await?;
        if !outcome.as_ref().is_some_and(is_unknown) {
            wrong.push(format!("{line:?}: {outcome:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}
