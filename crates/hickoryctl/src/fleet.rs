//! Queries the status of the entries and agents at their operators' ports.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use hickorydoor::id::HostId;
use hickorydoor::id::Revision;
use http::Request;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of hosts queried at the same time.
const MAX_CONCURRENT_CALLS: usize = 64;
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a status response; an entry reports up to 256 members.
const STATUS_LIMIT_BYTES: usize = 1024 * 1024;

/// Status of an agent as seen by an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerStatus {
    pub host: HostId,
    /// Whether the entry has an open connection to the agent.
    pub connected: bool,
    /// Whether the agent is about to leave the fleet.
    pub draining: bool,
}

/// Response of a host to `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostStatus {
    /// `entry` or `agent`.
    pub role: String,
    pub host: HostId,
    /// Configuration revision in force at the host.
    pub revision: Revision,
    /// Requests in flight at an entry, or attempts in flight at an agent.
    pub in_flight: u64,
    /// Whether the process is ready to serve requests.
    pub ready: bool,
    /// Agents that an entry knows; empty for an agent.
    #[serde(default)]
    pub members: Vec<PeerStatus>,
}

/// Reason why the status of a host is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusError {
    /// No response within [`CALL_TIMEOUT`], or an unexpected HTTP status.
    Unreachable,
    /// The host rejects the operators' key.
    Forbidden,
    /// The response is not a valid status.
    Malformed,
}

impl StatusError {
    /// Short description, which appears in the output as it is.
    pub const fn description(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Forbidden => "key not accepted",
            Self::Malformed => "malformed answer",
        }
    }
}

/// Result of querying one host.
#[derive(Clone, Debug)]
pub struct HostObservation {
    /// Address of the operators' port of the host.
    pub address: SocketAddr,
    pub status: Result<HostStatus, StatusError>,
}

impl HostObservation {
    /// Whether this revision or a later one is in force at the host; false if that is unknown.
    pub fn has_revision(&self, revision: Revision) -> bool {
        self.status.as_ref().is_ok_and(|status| status.revision >= revision)
    }
}

/// Client for the operators' ports of the fleet.
#[derive(Debug)]
pub struct Fleet {
    addresses: Vec<SocketAddr>,
    key: Option<String>,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Fleet {
    /// Creates a client that authenticates with the operators' key, if there is one.
    pub fn new(addresses: Vec<SocketAddr>, key: Option<String>) -> Self {
        let http = legacy::Client::builder(TokioExecutor::new()).build_http();
        Self { addresses, key, http }
    }

    /// Queries every host.
    pub async fn observe(&self) -> Vec<HostObservation> {
        let calls = stream::iter(self.addresses.iter().map(|address| self.observe_one(*address)));
        calls.buffered(MAX_CONCURRENT_CALLS).collect().await
    }

    /// Repeats the query for the hosts at which `revision` is not known to be in force. Revisions
    /// only increase, so the other hosts need no new query.
    pub async fn refresh_lagging(
        &self,
        hosts: Vec<HostObservation>,
        revision: Revision,
    ) -> Vec<HostObservation> {
        let refresh = async |host: HostObservation| {
            if host.has_revision(revision) { host } else { self.observe_one(host.address).await }
        };
        stream::iter(hosts.into_iter().map(refresh)).buffered(MAX_CONCURRENT_CALLS).collect().await
    }

    async fn observe_one(&self, address: SocketAddr) -> HostObservation {
        HostObservation { address, status: self.fetch_status(address).await }
    }

    async fn fetch_status(&self, address: SocketAddr) -> Result<HostStatus, StatusError> {
        let response = tokio::time::timeout(CALL_TIMEOUT, self.get_status(address)).await;
        let (status, body) = response.ok().flatten().ok_or(StatusError::Unreachable)?;
        match status {
            StatusCode::OK => {
                serde_json::from_slice(&body).map_err(|_error| StatusError::Malformed)
            }
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Err(StatusError::Forbidden),
            _ => Err(StatusError::Unreachable),
        }
    }

    async fn get_status(&self, address: SocketAddr) -> Option<(StatusCode, Bytes)> {
        let mut request = Request::get(format!("http://{address}/status"));
        if let Some(key) = &self.key {
            request = request.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        let request = request.body(Full::default()).ok()?;
        let response = self.http.request(request).await.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), STATUS_LIMIT_BYTES).collect().await.ok()?;
        Some((status, body.to_bytes()))
    }
}
