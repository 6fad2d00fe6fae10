//! Calls to the key-value stand-in, with injected faults.

use std::time::Duration;

use bytes::Bytes;
use hickory_kv::CallError;
use hickory_kv::Client;
use hickory_kv::ClientSettings;
use hickory_standins::Kv;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvCompare;
use hickorydoor::store::kv_call::KvFault;
use hickorydoor::store::kv_call::KvOperation;
use hickorydoor::store::kv_call::KvOutcome;
use hickorydoor::store::kv_call::KvReply;
use hickorydoor::time::DurationMs;

fn client(kv: &Kv) -> Client {
    Client::new(ClientSettings::new([kv.server().url()]).expect("the URL is valid"))
}

fn put(key: &str, value: &'static [u8], lease: Option<u64>) -> KvOperation {
    KvOperation::Put { key: key.into(), value: Bytes::from_static(value), lease }
}

fn create(key: &str, value: &'static [u8]) -> KvCall {
    KvCall::Transaction {
        compares: vec![KvCompare::Absent { key: key.into() }],
        then: vec![put(key, value, None)],
        otherwise: vec![KvOperation::Get { key: key.into() }],
    }
}

fn unconditional(then: Vec<KvOperation>) -> KvCall {
    KvCall::Transaction { compares: Vec::new(), then, otherwise: Vec::new() }
}

fn transaction(outcome: KvOutcome) -> (bool, u64, Vec<Vec<(String, Bytes)>>) {
    let KvOutcome::Reply(KvReply::Transaction { succeeded, store_revision, results }) = outcome
    else {
        panic!("expected a transaction's reply, got {outcome:?}");
    };
    let pairs = results
        .into_iter()
        .map(|pairs| pairs.into_iter().map(|pair| (pair.key.to_string(), pair.value)).collect());
    (succeeded, store_revision, pairs.collect())
}

async fn grant(client: &Client, ttl_ms: u64) -> u64 {
    let outcome = client.call(KvCall::Grant { ttl_ms: DurationMs::new(ttl_ms) }).await;
    let KvOutcome::Reply(KvReply::Lease { lease, ttl_ms: granted_ms }) = outcome else {
        panic!("expected a lease, got {outcome:?}");
    };
    assert!(granted_ms.get() >= ttl_ms);
    lease
}

// Guards against a create-if-absent transaction that overwrites an existing key or does not return
// its value.
#[tokio::test]
async fn creating_twice_returns_the_first_value() {
    let kv = Kv::start().await.expect("a port is free");
    let client = client(&kv);
    let (first, _, _) = transaction(client.call(create("/a", b"one")).await);
    let (second, _, results) = transaction(client.call(create("/a", b"two")).await);
    assert!(first);
    assert!(!second);
    assert_eq!(results, [[("/a".to_owned(), Bytes::from_static(b"one"))]]);
}

// Guards against a wrong end of a prefix range, an ignored limit, and single reads that are sent as
// transactions.
#[tokio::test]
async fn lists_return_exactly_the_keys_with_the_prefix() {
    let kv = Kv::start().await.expect("a port is free");
    let client = client(&kv);
    let puts = ["/a", "/a/1", "/a/2", "/a0", "/b"].map(|key| put(key, b"v", None));
    transaction(client.call(unconditional(puts.to_vec())).await);
    let list = |limit| KvOperation::List { prefix: "/a/".into(), limit };
    let reads = vec![list(0), list(1), KvOperation::Get { key: "/b".into() }];
    let (_, _, results) = transaction(client.call(unconditional(reads)).await);
    let keys: Vec<Vec<&str>> =
        results.iter().map(|pairs| pairs.iter().map(|(key, _)| key.as_str()).collect()).collect();
    assert_eq!(keys, [vec!["/a/1", "/a/2"], vec!["/a/1"], vec!["/b"]]);
    let (_, _, results) = transaction(client.call(unconditional(vec![list(0)])).await);
    assert_eq!(results[0].len(), 2);
    assert_eq!(kv.counts().ranges, 1);
}

// Guards against pages that overlap or skip keys.
#[tokio::test]
async fn pages_list_every_key_once() {
    let kv = Kv::start().await.expect("a port is free");
    let client = client(&kv);
    let puts = ["/a/1", "/a/10", "/a/2", "/b"].map(|key| put(key, b"v", None));
    transaction(client.call(unconditional(puts.to_vec())).await);
    let mut keys: Vec<String> = Vec::new();
    loop {
        let after = keys.last().map(String::as_str);
        let page = client.list_after("/a/", after, 2).await.expect("the service is up");
        if page.is_empty() {
            break;
        }
        keys.extend(page.into_iter().map(|pair| pair.key.to_string()));
    }
    assert_eq!(keys, ["/a/1", "/a/10", "/a/2"]);
}

// Guards against a comparison with a revision other than the one that was read.
#[tokio::test]
async fn modified_at_detects_a_change_in_between() {
    let kv = Kv::start().await.expect("a port is free");
    let client = client(&kv);
    let (_, store_revision, _) =
        transaction(client.call(unconditional(vec![put("/h", b"1", None)])).await);
    let replace = |value| KvCall::Transaction {
        compares: vec![
            KvCompare::Present { key: "/h".into() },
            KvCompare::ModifiedAt { key: "/h".into(), store_revision },
        ],
        then: vec![put("/h", value, None)],
        otherwise: Vec::new(),
    };
    assert!(transaction(client.call(replace(b"2")).await).0);
    assert!(!transaction(client.call(replace(b"3")).await).0);
    assert_eq!(kv.get("/h"), Some(Bytes::from_static(b"2")));
}

// Guards against reporting a refused connection as an unknown outcome, or a lost response as not
// sent.
#[tokio::test]
async fn faults_say_whether_the_call_may_have_had_an_effect() {
    let kv = Kv::start().await.expect("a port is free");
    let client = client(&kv);
    kv.drop_responses(1);
    let response_lost = client.call(create("/a", b"one")).await;
    assert_eq!(response_lost, KvOutcome::Fault(KvFault::OutcomeUnknown));
    assert_eq!(kv.get("/a"), Some(Bytes::from_static(b"one")));
    kv.reject_calls(1);
    assert_eq!(client.call(create("/b", b"one")).await, KvOutcome::Fault(KvFault::Rejected));
    kv.server().set_down(true).await.expect("the port closes");
    assert_eq!(client.call(create("/b", b"one")).await, KvOutcome::Fault(KvFault::NotSent));
    assert_eq!(kv.get("/b"), None);
    kv.server().set_down(false).await.expect("the port opens");
    assert!(transaction(client.call(create("/b", b"one")).await).0);
}

// Guards against calls without a timeout and responses without a size limit.
#[tokio::test]
async fn late_and_large_responses_are_rejected() {
    let kv = Kv::start().await.expect("a port is free");
    let mut settings = ClientSettings::new([kv.server().url()]).expect("the URL is valid");
    settings.call_timeout_ms = DurationMs::new(50);
    settings.response_limit_bytes = 512;
    let client = Client::new(settings);
    let large = vec![put("/large", &[7; 1024], None)];
    transaction(client.call(unconditional(large)).await);
    let read = unconditional(vec![KvOperation::Get { key: "/large".into() }]);
    let result = client.try_call(&read).await;
    assert_eq!(result, Err(CallError::ResponseTooLarge { limit_bytes: 512 }));
    kv.set_delay(Duration::from_mins(1));
    let late = client.try_call(&create("/a", b"one")).await;
    assert_eq!(late, Err(CallError::TimedOut));
}

// Guards against a call that fails although another endpoint is reachable.
#[tokio::test]
async fn the_next_endpoint_takes_over() {
    let down = Kv::start().await.expect("a port is free");
    let up = Kv::start().await.expect("a port is free");
    down.server().set_down(true).await.expect("the port closes");
    let settings =
        ClientSettings::new([down.server().url(), up.server().url()]).expect("the URLs are valid");
    let client = Client::new(settings);
    assert!(transaction(client.call(create("/a", b"one")).await).0);
    assert!(up.get("/a").is_some());
}

// Guards against keys that outlive their lease, and an expired lease that is reported as renewed.
#[tokio::test]
async fn keys_are_deleted_with_their_lease() {
    let kv = Kv::start().await.expect("a port is free");
    let client = client(&kv);
    let lease = grant(&client, 60_000).await;
    transaction(client.call(unconditional(vec![put("/l", b"v", Some(lease))])).await);
    let renewed = client.call(KvCall::KeepAlive { lease }).await;
    let ttl_ms = DurationMs::from_secs(60);
    assert_eq!(renewed, KvOutcome::Reply(KvReply::Lease { lease, ttl_ms }));
    kv.expire_leases();
    assert_eq!(kv.get("/l"), None);
    let expired = client.call(KvCall::KeepAlive { lease }).await;
    let ttl_ms = DurationMs::default();
    assert_eq!(expired, KvOutcome::Reply(KvReply::Lease { lease, ttl_ms }));
    let second = grant(&client, 1_500).await;
    transaction(client.call(unconditional(vec![put("/l", b"v", Some(second))])).await);
    let revoked = client.call(KvCall::Revoke { lease: second }).await;
    assert_eq!(revoked, KvOutcome::Reply(KvReply::Done));
    assert_eq!(kv.get("/l"), None);
    let again = client.call(KvCall::Revoke { lease: second }).await;
    assert_eq!(again, KvOutcome::Fault(KvFault::Rejected));
}
