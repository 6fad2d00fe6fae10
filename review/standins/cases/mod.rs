//! The cases, and what several of them use.

mod crashing_part;
mod endless_answer;
mod frozen_sources;
mod limit;
mod revoked_key;
mod silent_issuers;
mod two_issuers;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Bed;
use crate::Verdict;
use crate::http::Connection;
use crate::http::Seen;
use crate::record::Record;

pub fn run(case: &str, bed: &Bed) -> Verdict {
    match case {
        "silent-issuers" => silent_issuers::run(bed),
        "crashing-part" => crashing_part::run(bed),
        "two-issuers" => two_issuers::run(bed),
        "frozen-sources" => frozen_sources::run(bed),
        "endless-answer" => endless_answer::run(bed),
        "revoked-key" => revoked_key::run(bed),
        _ => Verdict::CannotRun,
    }
}

/// The operator's configuration with one route of each kind, and these keys of one tenant.
pub fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"api.example\",\"prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":800,\"slo_ms\":300,\"priority\":1,\
             \"service\":\"registry\",\"max_attempts\":{attempts},\"public\":false}}"
        )
    };
    let stream = |name: &str, attempts: u32, resumable: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"api.example\",\"prefix\":\"/{name}/\",\
             \"kind\":\"streaming\",\"timeout_ms\":15000,\"slo_ms\":3000,\"gap_target_ms\":1000,\
             \"priority\":1,\"service\":\"engines\",\"max_attempts\":{attempts},\"public\":false,\
             \"sticky\":true,\"resumable\":{resumable}}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{},{}],\
         \"services\":[{{\"name\":\"engines\",\"health_path\":\"/health\",\"max_conns\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_s\":3.0,\"cold_per_s\":7.3,\
         \"engine\":{{\"slots\":64,\"kv_tokens\":361732,\"kv_token_bytes\":163840,\
         \"link_mbps\":130000.0,\"models\":[{{\"name\":\"m0\",\"cost\":0.0085}}]}}}},{{\"name\":\"registry\",\"health_path\":\"/health\",\"max_conns\":110,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[{}],\"priority\":1}}]}}",
        route("book", "non_idempotent", 1),
        route("look", "idempotent", 2),
        stream("report", 1, false),
        stream("draft", 3, true),
        keys.join(",")
    )
}

/// Numbers the clients' attempts.
#[derive(Clone, Default)]
pub struct Attempts(Arc<AtomicU64>);

impl Attempts {
    pub fn next(&self, client: &str) -> String {
        format!("{client}-{}", self.0.fetch_add(1, Ordering::Relaxed))
    }
}

/// Sends one request and records what was sent and answered.
pub fn send(
    record: &Record,
    connection: &mut Connection,
    (method, path): (&str, &str),
    (attempt, key): (&str, &str),
    deadline: Duration,
) -> Seen {
    let headers = [
        ("Host", "api.example".to_owned()),
        ("X-Hickorydoor-Attempt-Id", attempt.to_owned()),
        ("X-Hickorydoor-Deadline-Ms", deadline.as_millis().to_string()),
        ("X-Hickorydoor-Key", key.to_owned()),
        ("X-Hickorydoor-Model", "m0".to_owned()),
        ("X-Hickorydoor-Token-Count", "1460,80".to_owned()),
        (
            "X-Hickorydoor-Prompt-Prefix",
            format!("5c1e07a2:800,91bd3f06:410,{:x}:250", attempt.len()),
        ),
    ];
    let headers = if path.starts_with("/report/") { &headers[..] } else { &headers[..4] };
    record.line(&format!("client: sends {attempt} {method} {path} key {key}"));
    let seen = connection.send(method, path, headers, b"", deadline);
    let text = match &seen {
        Seen::Answer { status, body, .. } => {
            format!("{status} {}", String::from_utf8_lossy(&body[..body.len().min(120)]))
        }
        other => format!("{other:?}"),
    };
    record.line(&format!("client: {attempt} got {text}"));
    seen
}
