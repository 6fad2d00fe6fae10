//! Guards against responses of the key-value service that are incomplete, or that have no status of
//! HTTP, and are taken for answers.

use bytes::Bytes;
use hickory_kv::Client;
use hickory_kv::ClientSettings;
use hickory_standins::RawEnd;
use hickory_standins::RawResponse;
use hickory_standins::RawServer;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvFault;
use hickorydoor::store::kv_call::KvOperation;
use hickorydoor::store::kv_call::KvOutcome;
use hickorydoor::time::DurationMs;

/// More than the buffers of a connection hold.
const VALUE_BYTES: usize = 6 << 20;

/// Returns a client of a server with a response.
fn start(response: RawResponse) -> (RawServer, Client) {
    let server = RawServer::start(response).expect("a port can be opened");
    let mut settings = ClientSettings::new([server.url()]).expect("the URL is valid");
    settings.call_timeout_ms = DurationMs::new(1_000);
    (server, Client::new(settings))
}

/// Writes a value that is longer than the server reads.
async fn put(client: &Client) -> KvOutcome {
    let value = Bytes::from(vec![b'x'; VALUE_BYTES]);
    let then = vec![KvOperation::Put { key: "key".into(), value, lease: None }];
    client.call(KvCall::Transaction { compares: Vec::new(), then, otherwise: Vec::new() }).await
}

const LOST: KvOutcome = KvOutcome::Fault(KvFault::OutcomeUnknown);

#[tokio::test]
async fn another_status_is_no_answer() {
    let lines = [
        "HTTP/1.1 000 X",
        "HTTP/1.1 099 X",
        "HTTP/1.1 101 X",
        "HTTP/1.1 199 X",
        "HTTP/1.1 600 X",
        "HTTP/1.1 999 X",
        "HTTP/1.1 2000 X",
        "HTTP/1.1 20 X",
        "HTTP/1.1 abc X",
        "HTTP/1.1 ",
    ];
    for line in lines {
        let bytes = format!("{line}\r\nContent-Length: 2\r\n\r\n{{}}").leak();
        let response = RawResponse { reads_body: true, bytes, end: RawEnd::Close };
        let (_server, client) = start(response);
        assert_eq!(client.call(KvCall::Revoke { lease: 1 }).await, LOST, "{line:?}");
        assert!(client.list_after("", None, 1).await.is_err(), "{line:?}");
        let watched = client.watch("", 1).await.next().await;
        assert_eq!(watched, KvOutcome::Fault(KvFault::WatchLost), "{line:?}");
    }
}

/// Guards against calls that stay with an endpoint whose responses are none.
#[tokio::test]
async fn another_status_moves_calls_to_the_next_endpoint() {
    let response = |bytes| RawResponse { reads_body: true, bytes, end: RawEnd::Close };
    let bad = "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}";
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    let first = RawServer::start(response(bad)).expect("a port can be opened");
    let second = RawServer::start(response(good)).expect("a port can be opened");
    let settings = ClientSettings::new([first.url(), second.url()]).expect("the URLs are valid");
    let client = Client::new(settings);
    let outcomes = [
        client.list_after("", None, 1).await.is_ok(),
        client.list_after("", None, 1).await.is_ok(),
    ];
    assert_eq!(outcomes, [false, true]);
}

/// The body is a whole JSON value, which nothing but the end of its connection could tell from a
/// part.
#[tokio::test]
async fn response_that_ends_before_the_upload_is_no_answer() {
    const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\n{}";
    const FRAMED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    for end in [RawEnd::Reset, RawEnd::LateReset, RawEnd::Close, RawEnd::CloseThenReset] {
        let response = RawResponse { reads_body: false, bytes: UNFRAMED, end };
        let (_server, client) = start(response);
        assert_eq!(put(&client).await, LOST, "{end:?}");
    }
    for (bytes, reads_body, end) in [(UNFRAMED, true, RawEnd::Close), (FRAMED, false, RawEnd::Open)]
    {
        let (_server, client) = start(RawResponse { reads_body, bytes, end });
        let outcome = put(&client).await;
        assert!(matches!(outcome, KvOutcome::Reply(_)), "{bytes:?}: {outcome:?}");
    }
}

/// Guards against interim responses without end, which hyper skips without a limit.
#[tokio::test]
async fn interim_responses_without_end_are_given_up_on() {
    let bytes = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100_000).leak();
    let response = RawResponse { reads_body: true, bytes, end: RawEnd::Open };
    let (_server, client) = start(response);
    assert_eq!(client.call(KvCall::Revoke { lease: 1 }).await, LOST);
}
