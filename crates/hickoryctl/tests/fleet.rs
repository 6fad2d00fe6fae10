//! The commands `status`, `wait` and `bills`.

mod support;

use std::net::SocketAddr;

use hickoryctl::ExitStatus;
use hickoryctl::Report;
use hickorydoor::Class;
use hickorydoor::TimeMs;
use hickorydoor::billing::bill::Bill;
use hickorydoor::billing::bill::BillLine;
use hickorydoor::billing::ledger::Batch;
use hickorydoor::billing::usage::Usage;
use hickorydoor::id::Incarnation;
use hickorydoor::id::Sequence;
use hickorydoor::id::Serial;
use hickorydoor::quantity::CostMicros;
use hickorydoor::quantity::Tokens;
use hickorydoor::store::keys;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvOperation;
use hickorydoor::store::kv_call::KvOutcome;
use support::NOW_MS;
use support::Tool;
use support::environment;
use support::run_in;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const KEY: &str = "operators-key";

/// Starts an operators' port that answers every request that has the operators' key with one
/// status.
async fn status_port(status: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the port is open");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; 4096];
            let read = stream.read(&mut request).await.unwrap_or(0);
            let text = String::from_utf8_lossy(&request[..read]).to_lowercase();
            let is_authorized = text.contains(&format!("authorization: bearer {KEY}"));
            let code = if is_authorized { "200 OK" } else { "401 Unauthorized" };
            let head = format!("HTTP/1.1 {code}\r\ncontent-length: {}\r\n", status.len());
            let answer = format!("{head}connection: close\r\n\r\n{status}");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                break;
            }
        }
    });
    address
}

fn status(host: &str, role: &str, revision: u64, members: &str) -> String {
    format!(
        r#"{{"role":"{role}","host":"{host}","revision":{revision},"in_flight":3,"ready":true,
            "members":[{members}]}}"#
    )
}

/// Starts a port that closes every connection. An unused port would not do, because another test
/// might bind it.
async fn closing_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the port is open");
    tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    address
}

/// Starts two entries, of which the second lags, an agent, and a port that closes its connections.
async fn fleet() -> Vec<SocketAddr> {
    let member = r#"{"host":"agent-1","connected":true,"draining":false,"in_flight":1}"#;
    vec![
        status_port(status("entry-1", "entry", 1, member)).await,
        status_port(status("entry-2", "entry", 0, member)).await,
        status_port(status("agent-1", "agent", 1, "")).await,
        closing_port().await,
    ]
}

async fn run_with_hosts(
    key: &str,
    words: &[&str],
    addresses: &[SocketAddr],
    kv: Option<&str>,
) -> Report {
    let mut environment = environment();
    environment.variables.insert("HICKORY_OPERATOR_KEY".to_owned(), key.to_owned());
    let hosts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    environment.variables.insert("HICKORY_HOSTS".to_owned(), hosts.join(","));
    if let Some(kv) = kv {
        environment.variables.insert("HICKORY_KV".to_owned(), kv.to_owned());
    }
    let mut report = run_in(&environment, words).await;
    // Addresses differ between runs. A placeholder of the same width keeps the table aligned.
    for (index, host) in hosts.iter().enumerate() {
        let shown = format!("{:width$}", format!("HOST-{index}"), width = host.len());
        report.output = report.output.replace(host, &shown);
    }
    report
}

fn without_padding(text: &str) -> String {
    text.lines().map(|line| line.split_whitespace().collect::<Vec<_>>().join(" ") + "\n").collect()
}

// Guards against a status that omits lagging or unreachable hosts.
#[tokio::test]
async fn status_shows_lagging_hosts() {
    let tool = Tool::configured("status").await;
    let fleet = fleet().await;
    let report = run_with_hosts(KEY, &["status"], &fleet, Some(&tool.kv.server().url())).await;
    assert_eq!(report.status, ExitStatus::Success);
    insta::assert_snapshot!("status", without_padding(&report.output));
    let report = run_with_hosts(KEY, &["status", "-o", "json"], &fleet, None).await;
    insta::assert_snapshot!("status_json", without_padding(&report.output));
}

// Guards against a status that does not reveal that the store has lost changes.
#[tokio::test]
async fn status_warns_of_hosts_ahead_of_the_store() {
    let tool = Tool::start().await;
    let report =
        run_with_hosts(KEY, &["status"], &fleet().await[..1], Some(&tool.kv.server().url())).await;
    assert!(report.output.contains("Hosts ahead of the store: 1."), "{}", report.output);
}

// Guards against a wait that succeeds too early or exits with the wrong code.
#[tokio::test]
async fn wait_ends_when_a_revision_is_in_force_everywhere() {
    let fleet = fleet().await;
    let words = ["wait", "1", "--timeout", "0.3"];
    let reached = run_with_hosts(KEY, &words, &[fleet[0], fleet[2]], None).await;
    assert_eq!(reached.status, ExitStatus::Success);
    assert_eq!(reached.output, "Revision 1 is in force at all 2 hosts.\n");
    let lagging = run_with_hosts(KEY, &words, &fleet, None).await;
    assert_eq!(lagging.status, ExitStatus::Lagging);
    insta::assert_snapshot!("lagging", without_padding(&lagging.output));
    let forbidden = run_with_hosts("other", &words, &fleet[..1], None).await;
    assert_eq!(forbidden.status, ExitStatus::Forbidden);
}

async fn store_batch(tool: &Tool, sequence: u64, sealed_at: u64, customer: &str, requests: u64) {
    let line = BillLine {
        version: Some("brine-1".parse().expect("the id is valid")),
        usage: Usage { prompt_tokens: Tokens::new(10), answer_tokens: Tokens::new(5) },
        cost_micros: CostMicros::new(700_000),
    };
    let mut batch = Batch::default();
    for serial in 0..requests {
        batch.add(&Bill {
            serial: Serial::new(100 * sequence + serial),
            customer: customer.parse().expect("the id is valid"),
            class: Class::Interactive,
            lines: vec![line.clone()],
        });
    }
    batch.sealed_at_ms = TimeMs::new(sealed_at);
    let entry = "entry-1".parse().expect("the id is valid");
    let key = keys::batch(&entry, Incarnation::new(1), Sequence::new(sequence));
    let put = KvOperation::Put { key, value: batch.encode(), lease: None };
    let settings =
        hickory_kv::ClientSettings::new([tool.kv.server().url()]).expect("the URL is valid");
    let call = KvCall::Transaction { compares: vec![], then: vec![put], otherwise: vec![] };
    let outcome = hickory_kv::Client::new(settings).call(call).await;
    assert!(matches!(outcome, KvOutcome::Reply(_)));
}

// Guards against bills that are counted twice, omitted, or attributed to another customer.
#[tokio::test]
async fn bills_are_summed_by_customer_and_time() {
    let mut tool = Tool::start().await;
    let now = NOW_MS.get();
    store_batch(&tool, 0, now - 1, "almazara", 1).await;
    store_batch(&tool, 1, now, "almazara", 2).await;
    store_batch(&tool, 2, now, "bodega", 4).await;
    store_batch(&tool, 3, now + 1000, "almazara", 8).await;
    insta::assert_snapshot!("bills", tool.ok(&["bills"]).await);
    let (from, to) = ("2026-12-04T03:00:00Z", "2026-12-04T03:00:01Z");
    let words = ["bills", "--customer", "almazara", "--from", from, "--to", to, "-o", "json"];
    insta::assert_snapshot!("bills_json", tool.ok(&words).await);
}
