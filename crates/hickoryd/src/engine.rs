//! Polls the load of the upstream, and sends its engine the orders to load and unload versions.

use std::io;
use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use hickorydoor::AgentEvent;
use hickorydoor::agent::effect::EngineOrder;
use hickorydoor::agent::event::ReportFault;
use hickorydoor::agent::event::UpstreamReport;
use hickorydoor::id::FencingNumber;
use hickorydoor::id::VersionId;
use hickorydoor::message::Offer;
use hickorydoor::quantity::Tokens;
use http::Request;
use http::Uri;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use log::warn;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::agent_input::AgentInput;
use crate::body_collector::collect_body;
use crate::upstream_connection;
use crate::upstream_connection::RequestError;

/// Maximum time for a response of the upstream, which runs on the same host.
const TIMEOUT: Duration = Duration::from_secs(1);
const DEFAULT_PORT: u16 = 80;
/// Size limit of a load report.
const MAX_REPORT_BYTES: usize = 64 << 10;

#[derive(Debug)]
#[derive(Deserialize)]
struct RawReport {
    running: u32,
    queued: u32,
    #[serde(default)]
    queued_prompt_tokens: u64,
    #[serde(default)]
    prefill_tokens_per_s: f64,
    #[serde(default)]
    token_interval_ms: f64,
    #[serde(default)]
    versions: Vec<VersionId>,
}

impl From<RawReport> for UpstreamReport {
    fn from(raw: RawReport) -> Self {
        Self {
            running: raw.running,
            queued: raw.queued,
            queued_prompt_tokens: Tokens::new(raw.queued_prompt_tokens),
            prefill_tokens_per_s: raw.prefill_tokens_per_s,
            token_interval_ms: raw.token_interval_ms,
            versions: raw.versions,
        }
    }
}

/// Polls the load of the upstream for as long as the process runs. A plain service has no load
/// report; it counts as up if it accepts connections.
pub async fn poll_load(
    base_uri: CompactString,
    offer: Offer,
    period: Duration,
    inputs: mpsc::Sender<AgentInput>,
) {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let report = match offer {
            Offer::Engine { .. } => timeout(TIMEOUT, fetch_load(&base_uri)).await,
            Offer::Service { .. } => timeout(TIMEOUT, probe_connect(&base_uri)).await,
        };
        let report = report.unwrap_or(Err(ReportFault::NoReport));
        let event = AgentEvent::UpstreamReport(report);
        if inputs.send(AgentInput::Event(Box::new(event))).await.is_err() {
            return;
        }
    }
}

async fn fetch_load(base_uri: &str) -> Result<UpstreamReport, ReportFault> {
    let request = Request::get(format!("{base_uri}/load")).body(Full::default());
    let request = request.map_err(|_error| ReportFault::NoReport)?;
    let (response, _connection) =
        upstream_connection::request(request).await.map_err(|error| match error {
            RequestError::Connect(error) => connect_fault(&error),
            RequestError::Address | RequestError::NoResponse(_) => ReportFault::NoReport,
        })?;
    if !response.status().is_success() {
        return Err(ReportFault::NoReport);
    }
    let body = collect_body(response.into_body(), MAX_REPORT_BYTES).await;
    let body = body.map_err(|_error| ReportFault::NoReport)?;
    let raw: RawReport = serde_json::from_slice(&body).map_err(|_error| ReportFault::NoReport)?;
    Ok(raw.into())
}

async fn probe_connect(base_uri: &str) -> Result<UpstreamReport, ReportFault> {
    let uri: Uri = base_uri.parse().map_err(|_error| ReportFault::NoReport)?;
    let address =
        (uri.host().ok_or(ReportFault::NoReport)?, uri.port_u16().unwrap_or(DEFAULT_PORT));
    TcpStream::connect(address).await.map_err(|error| connect_fault(&error))?;
    Ok(UpstreamReport::default())
}

fn connect_fault(error: &io::Error) -> ReportFault {
    match error.kind() {
        ErrorKind::ConnectionRefused => ReportFault::NotListening,
        _ => ReportFault::NoReport,
    }
}

/// Sends an order to the engine. A failure is only logged, since the reducer repeats an order that
/// shows no effect in the load reports.
pub async fn send(base_uri: &str, fencing: FencingNumber, order: &EngineOrder) {
    let (action, version) = match order {
        EngineOrder::Load { version } => ("load", version),
        EngineOrder::Unload { version } => ("unload", version),
    };
    let body = serde_json::json!({ action: version });
    let request = Request::post(format!("{base_uri}/orders"))
        .header(CONTENT_TYPE, "application/json")
        .header("x-fencing-number", fencing.get())
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(request) = request else {
        return;
    };
    let status = timeout(TIMEOUT, upstream_connection::request(request)).await;
    match status {
        Ok(Ok((response, _connection))) if response.status().is_success() => {}
        Ok(Ok((response, _connection))) => {
            warn!(order = action, version:% = version, status = response.status().as_u16(); "the engine rejected an order; it is repeated later");
        }
        Ok(Err(_)) | Err(_) => {
            warn!(order = action, version:% = version; "the engine did not acknowledge an order; it is repeated later");
        }
    }
}
