//! Settings as operators write them. Unknown fields are refused.

use std::net::SocketAddr;
use std::path::PathBuf;

use compact_str::CompactString;
use hickorydoor::KeyDigest;
use hickorydoor::id::DataCentreId;
use hickorydoor::id::HostId;
use hickorydoor::id::RegionId;
use hickorydoor::id::ServiceName;
use hickorydoor::id::UpstreamId;
use hickorydoor::id::VersionId;
use serde::Deserialize;

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RawRole {
    /// Accepts callers.
    Entry,
    /// Stands beside an upstream.
    Agent,
}

/// The role alone; the other fields depend on it.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct RawRoleOnly {
    /// The role.
    pub role: RawRole,
}

/// Files of a TLS identity in PEM.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTls {
    /// The certificate and its chain.
    pub certificate: PathBuf,
    /// The private key.
    pub key: PathBuf,
    /// The authorities that peers are checked against.
    pub authorities: PathBuf,
}

/// The operators' port.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOperators {
    /// Where it listens.
    pub listen: SocketAddr,
    /// SHA-256 digests of the operators' keys.
    pub key_digests: Vec<KeyDigest>,
    /// TLS on this port.
    #[serde(default)]
    pub tls: Option<RawTls>,
}

/// Metrics.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawMetrics {
    /// Where statsd listens.
    pub statsd: SocketAddr,
}

/// Level of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RawLogLevel {
    /// Failures only.
    Error,
    /// Also what needs attention.
    Warn,
    /// Also one line for each request.
    #[default]
    Info,
    /// Also connections.
    Debug,
}

/// Logs.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLog {
    /// The level.
    #[serde(default)]
    pub level: RawLogLevel,
}

/// The callers' port.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawHttp {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Longest request head.
    #[serde(default)]
    pub max_head_bytes: Option<usize>,
    /// Headers of a request.
    #[serde(default)]
    pub max_headers: Option<usize>,
    /// Time for a whole request head.
    #[serde(default)]
    pub head_timeout_ms: Option<u64>,
    /// Time for a whole request body.
    #[serde(default)]
    pub body_timeout_ms: Option<u64>,
    /// Time for the caller to take bytes that are ready.
    #[serde(default)]
    pub write_timeout_ms: Option<u64>,
    /// Open connections.
    #[serde(default)]
    pub max_connections: Option<usize>,
    /// Requests that are open at the same time.
    #[serde(default)]
    pub max_open_requests: Option<usize>,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntrySettings {
    /// `entry`.
    #[serde(rename = "role")]
    _role: RawRole,
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The region of that data centre.
    pub region: RegionId,
    /// Endpoints of the key-value service.
    pub kv_endpoints: Vec<CompactString>,
    /// Root of the host list.
    pub host_list_uri: CompactString,
    /// Time between two reads of the host list.
    #[serde(default)]
    pub host_list_interval_ms: Option<u64>,
    /// Root of the rating service.
    #[serde(default)]
    pub rating_uri: Option<CompactString>,
    /// The callers' port.
    pub http: RawHttp,
    /// Links to agents.
    #[serde(default)]
    pub max_links: Option<usize>,
    /// Time between two billing batches.
    #[serde(default)]
    pub billing_interval_ms: Option<u64>,
    /// The operators' port.
    #[serde(default)]
    pub operators: Option<RawOperators>,
    /// TLS on links.
    #[serde(default)]
    pub links_tls: Option<RawTls>,
    /// Threads of the runtime.
    #[serde(default)]
    pub worker_threads: Option<usize>,
    /// Metrics.
    #[serde(default)]
    pub metrics: Option<RawMetrics>,
    /// Logs.
    #[serde(default)]
    pub log: RawLog,
}

/// What the upstream of an agent serves: one of the two.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOffer {
    /// Versions that a model engine serves until it has reported its own list.
    #[serde(default)]
    pub engine_versions: Option<Vec<VersionId>>,
    /// The plain service.
    #[serde(default)]
    pub service: Option<ServiceName>,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAgentSettings {
    /// `agent`.
    #[serde(rename = "role")]
    _role: RawRole,
    /// The host.
    pub host: HostId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The region of that data centre.
    pub region: RegionId,
    /// Endpoints of the key-value service.
    pub kv_endpoints: Vec<CompactString>,
    /// Where entries connect.
    pub link_listen: SocketAddr,
    /// Root of the upstream.
    pub upstream_uri: CompactString,
    /// What the upstream serves.
    pub offer: RawOffer,
    /// Attempts that the warm upstream bears.
    #[serde(default)]
    pub warm_limit: Option<u32>,
    /// Attempts that the upstream bears right after a cold start.
    #[serde(default)]
    pub cold_limit: Option<u32>,
    /// Time between two load reports of the upstream.
    #[serde(default)]
    pub load_interval_ms: Option<u64>,
    /// The operators' port.
    #[serde(default)]
    pub operators: Option<RawOperators>,
    /// TLS on links.
    #[serde(default)]
    pub links_tls: Option<RawTls>,
    /// Threads of the runtime.
    #[serde(default)]
    pub worker_threads: Option<usize>,
    /// Metrics.
    #[serde(default)]
    pub metrics: Option<RawMetrics>,
    /// Logs.
    #[serde(default)]
    pub log: RawLog,
}
