//! Settings in the form of the YAML file, before they are checked. Unknown fields are rejected;
//! fields that are `None` get their defaults in `settings`.

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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RawRole {
    /// Accepts callers and routes their requests.
    Entry,
    /// Runs next to one upstream and limits its requests.
    Agent,
}

/// The role alone, which determines the other fields; they are ignored here.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct RawRoleOnly {
    pub role: RawRole,
}

/// Paths of the PEM files of a TLS identity.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTls {
    /// Certificate of the host, followed by its chain.
    pub certificate: PathBuf,
    pub key: PathBuf,
    /// Certificates of the authorities against which peers are verified.
    pub authorities: PathBuf,
}

/// HTTP port for operators.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOperators {
    pub listen: SocketAddr,
    /// SHA-256 digests of the keys that grant access; at least one.
    pub key_digests: Vec<KeyDigest>,
    /// Mutual TLS on this port; plain HTTP if missing.
    #[serde(default)]
    pub tls: Option<RawTls>,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawMetrics {
    /// Address of the statsd server.
    pub statsd: SocketAddr,
}

/// Lowest level that is logged; each level includes the ones above it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RawLogLevel {
    /// Failures.
    Error,
    /// Conditions that need attention.
    Warn,
    /// One line for each request.
    #[default]
    Info,
    /// Errors of single connections.
    Debug,
}

#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLog {
    #[serde(default)]
    pub level: RawLogLevel,
}

/// HTTP port for callers.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawHttp {
    pub listen: SocketAddr,
    /// Maximum size of a request head; at least 8192.
    #[serde(default)]
    pub max_head_bytes: Option<usize>,
    /// Maximum number of headers of a request.
    #[serde(default)]
    pub max_headers: Option<usize>,
    /// Maximum time to receive a complete request head, and maximum idle time before the next one.
    #[serde(default)]
    pub head_timeout_ms: Option<u64>,
    /// Maximum time to receive a complete request body.
    #[serde(default)]
    pub body_timeout_ms: Option<u64>,
    /// A connection is closed if writing a response makes no progress for this long.
    #[serde(default)]
    pub write_timeout_ms: Option<u64>,
    /// Maximum number of open connections.
    #[serde(default)]
    pub max_connections: Option<usize>,
    /// Maximum number of concurrent requests; further ones are rejected.
    #[serde(default)]
    pub max_open_requests: Option<usize>,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntrySettings {
    /// Always `entry`; read through `RawRoleOnly`.
    #[serde(rename = "role")]
    _role: RawRole,
    /// Id of this host, unique among all hosts.
    pub host: HostId,
    /// Data centre that the host is in.
    pub data_centre: DataCentreId,
    /// Region that the data centre is in.
    pub region: RegionId,
    /// Root URIs of the key-value service; a call tries them in turn.
    pub kv_endpoints: Vec<CompactString>,
    /// Root URI of the service that publishes the platform's host list.
    pub host_list_uri: CompactString,
    /// Interval between requests for the host list.
    #[serde(default)]
    pub host_list_interval_ms: Option<u64>,
    /// Root URI of the service that rates answers of cascades, if there is one.
    #[serde(default)]
    pub rating_uri: Option<CompactString>,
    pub http: RawHttp,
    /// Maximum number of links to agents.
    #[serde(default)]
    pub max_links: Option<usize>,
    /// Interval between billing batches.
    #[serde(default)]
    pub billing_interval_ms: Option<u64>,
    #[serde(default)]
    pub operators: Option<RawOperators>,
    /// Mutual TLS on links between entries and agents; plain TCP if missing.
    #[serde(default)]
    pub links_tls: Option<RawTls>,
    /// Number of worker threads of the async runtime.
    #[serde(default)]
    pub worker_threads: Option<usize>,
    #[serde(default)]
    pub metrics: Option<RawMetrics>,
    #[serde(default)]
    pub log: RawLog,
}

/// What the upstream of an agent serves; exactly one field must be set.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOffer {
    /// Versions that a model engine is assumed to serve until it reports its own list.
    #[serde(default)]
    pub engine_versions: Option<Vec<VersionId>>,
    /// Plain service that the upstream runs.
    #[serde(default)]
    pub service: Option<ServiceName>,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAgentSettings {
    /// Always `agent`; read through `RawRoleOnly`.
    #[serde(rename = "role")]
    _role: RawRole,
    /// Id of this host, unique among all hosts.
    pub host: HostId,
    /// Id of the upstream next to this agent.
    pub upstream: UpstreamId,
    /// Data centre that the host is in.
    pub data_centre: DataCentreId,
    /// Region that the data centre is in.
    pub region: RegionId,
    /// Root URIs of the key-value service; a call tries them in turn.
    pub kv_endpoints: Vec<CompactString>,
    /// Address at which entries open links.
    pub link_listen: SocketAddr,
    /// Root URI of the upstream.
    pub upstream_uri: CompactString,
    pub offer: RawOffer,
    /// Concurrency limit of the warm upstream, in attempts.
    #[serde(default)]
    pub warm_limit: Option<u32>,
    /// Concurrency limit right after a cold start, in attempts; at most `warm_limit`.
    #[serde(default)]
    pub cold_limit: Option<u32>,
    /// Interval between requests for the load of the upstream.
    #[serde(default)]
    pub load_interval_ms: Option<u64>,
    #[serde(default)]
    pub operators: Option<RawOperators>,
    /// Mutual TLS on links between entries and agents; plain TCP if missing.
    #[serde(default)]
    pub links_tls: Option<RawTls>,
    /// Number of worker threads of the async runtime.
    #[serde(default)]
    pub worker_threads: Option<usize>,
    #[serde(default)]
    pub metrics: Option<RawMetrics>,
    #[serde(default)]
    pub log: RawLog,
}
