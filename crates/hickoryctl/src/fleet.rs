//! Hosts of the fleet as their operators' ports report them.

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

/// Hosts asked at the same time.
const CONCURRENT_CALLS: usize = 64;
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes of a status answer at most; an entry reports up to 256 members.
const STATUS_LIMIT_BYTES: usize = 1024 * 1024;

/// A peer as a host reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerStatus {
    /// The peer's host.
    pub host: HostId,
    /// Whether a connection is open.
    pub connected: bool,
    /// Whether the peer is leaving.
    pub draining: bool,
}

/// State of a host as it reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostStatus {
    /// `entry` or `agent`.
    pub role: String,
    /// The host.
    pub host: HostId,
    /// The revision in force.
    pub revision: Revision,
    /// Requests or attempts in flight.
    pub in_flight: u64,
    /// Whether the process can do its work.
    pub ready: bool,
    /// Agents of an entry.
    #[serde(default)]
    pub members: Vec<PeerStatus>,
}

/// Why a host's state is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusFault {
    /// The host does not answer.
    Unreachable,
    /// The host does not accept the operators' key.
    Forbidden,
    /// The answer is not a status.
    Malformed,
}

impl StatusFault {
    /// The fault in a few words.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Forbidden => "key not accepted",
            Self::Malformed => "malformed answer",
        }
    }
}

/// What is known of one host.
#[derive(Clone, Debug)]
pub struct Observed {
    /// The address of its operators' port.
    pub address: SocketAddr,
    /// Its state.
    pub status: Result<HostStatus, StatusFault>,
}

impl Observed {
    /// Whether this revision is in force there.
    pub fn has(&self, revision: Revision) -> bool {
        self.status.as_ref().is_ok_and(|status| status.revision >= revision)
    }
}

/// The operators' ports of the fleet.
#[derive(Debug)]
pub struct Fleet {
    addresses: Vec<SocketAddr>,
    key: Option<String>,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Fleet {
    /// The hosts at these addresses, asked with the operators' key.
    pub fn new(addresses: Vec<SocketAddr>, key: Option<String>) -> Self {
        let http = legacy::Client::builder(TokioExecutor::new()).build_http();
        Self { addresses, key, http }
    }

    /// Asks every host.
    pub async fn observe(&self) -> Vec<Observed> {
        let calls = stream::iter(self.addresses.iter().map(|address| self.observe_one(*address)));
        calls.buffered(CONCURRENT_CALLS).collect().await
    }

    /// Asks the hosts again at which a revision is not in force. Revisions only grow, so the
    /// others need not be asked.
    pub async fn observe_lagging(&self, hosts: Vec<Observed>, revision: Revision) -> Vec<Observed> {
        let again = async |host: Observed| {
            if host.has(revision) { host } else { self.observe_one(host.address).await }
        };
        stream::iter(hosts.into_iter().map(again)).buffered(CONCURRENT_CALLS).collect().await
    }

    async fn observe_one(&self, address: SocketAddr) -> Observed {
        Observed { address, status: self.ask(address).await }
    }

    async fn ask(&self, address: SocketAddr) -> Result<HostStatus, StatusFault> {
        let answer = tokio::time::timeout(CALL_TIMEOUT, self.get(address)).await;
        let (status, body) = answer.ok().flatten().ok_or(StatusFault::Unreachable)?;
        match status {
            StatusCode::OK => {
                serde_json::from_slice(&body).map_err(|_error| StatusFault::Malformed)
            }
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Err(StatusFault::Forbidden),
            _ => Err(StatusFault::Unreachable),
        }
    }

    async fn get(&self, address: SocketAddr) -> Option<(StatusCode, Bytes)> {
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
