//! Watches of the key-value stand-in, with injected faults.

use bytes::Bytes;
use hickory_kv::Client;
use hickory_kv::ClientSettings;
use hickory_standins::Kv;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvFault;
use hickorydoor::store::kv_call::KvOperation;
use hickorydoor::store::kv_call::KvOutcome;

fn client(kv: &Kv) -> Client {
    Client::new(ClientSettings::new([kv.server().url()]).expect("the URL is valid"))
}

async fn execute(client: &Client, operation: KvOperation) {
    let call =
        KvCall::Transaction { compares: Vec::new(), then: vec![operation], otherwise: Vec::new() };
    assert!(matches!(client.call(call).await, KvOutcome::Reply(_)));
}

async fn put(client: &Client, key: &str, value: &'static [u8]) {
    let value = Bytes::from_static(value);
    execute(client, KvOperation::Put { key: key.into(), value, lease: None }).await;
}

fn changed_keys(outcome: &KvOutcome) -> (Vec<&str>, Vec<&str>) {
    let KvOutcome::Watched { written, deleted, .. } = outcome else {
        panic!("expected watched changes, got {outcome:?}");
    };
    let written = written.iter().map(|pair| pair.key.as_str()).collect();
    (written, deleted.iter().map(compact_str::CompactString::as_str).collect())
}

// Guards against missing the changes that are made between a read and the start of the watch.
#[tokio::test]
async fn a_watch_reports_from_its_start_revision() {
    let kv = Kv::start().await.expect("a port is free");
    let client = client(&kv);
    put(&client, "/w/1", b"a").await;
    put(&client, "/other", b"a").await;
    let mut watch = client.watch("/w/", 1).await;
    assert_eq!(changed_keys(&watch.next().await), (vec!["/w/1"], vec![]));
    put(&client, "/other", b"b").await;
    put(&client, "/w/2", b"b").await;
    assert_eq!(changed_keys(&watch.next().await), (vec!["/w/2"], vec![]));
    execute(&client, KvOperation::Delete { key: "/w/1".into() }).await;
    assert_eq!(changed_keys(&watch.next().await), (vec![], vec!["/w/1"]));
}

// Guards against a watch that hangs or resumes after its connection was cut, instead of reporting
// that it is lost.
#[tokio::test]
async fn a_cut_watch_is_lost_for_good() {
    let kv = Kv::start().await.expect("a port is free");
    let client = client(&kv);
    let lost = KvOutcome::Fault(KvFault::WatchLost);
    let mut watch = client.watch("/w/", 0).await;
    kv.interrupt_watches();
    assert_eq!(watch.next().await, lost);
    put(&client, "/w/1", b"a").await;
    assert_eq!(watch.next().await, lost);
    let mut watch = client.watch("/w/", 0).await;
    kv.server().set_down(true).await.expect("the port closes");
    assert_eq!(watch.next().await, lost);
    assert_eq!(client.watch("/w/", 0).await.next().await, lost);
}

// Guards against a watch that silently misses changes which the service has compacted.
#[tokio::test]
async fn a_watch_from_a_compacted_revision_is_lost() {
    let kv = Kv::start().await.expect("a port is free");
    let client = client(&kv);
    put(&client, "/w/1", b"a").await;
    kv.compact();
    let lost = KvOutcome::Fault(KvFault::WatchLost);
    assert_eq!(client.watch("/w/", 1).await.next().await, lost);
    let mut watch = client.watch("/w/", 3).await;
    put(&client, "/w/2", b"b").await;
    assert_eq!(changed_keys(&watch.next().await), (vec!["/w/2"], vec![]));
}
