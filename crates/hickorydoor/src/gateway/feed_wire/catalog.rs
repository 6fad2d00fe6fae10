//! Encoding of the configuration.

use std::io;
use std::io::Read;
use std::io::Write;
use std::num::NonZeroU32;

use bytes::Bytes;
use compact_str::CompactString;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use prost::Message;

use crate::gateway::catalog::Account;
use crate::gateway::catalog::CallerLimits;
use crate::gateway::catalog::Catalog;
use crate::gateway::catalog::OfferedModel;
use crate::gateway::catalog::ServiceSpec;
use crate::gateway::feed_wire::FeedError;
use crate::gateway::route::Backend;
use crate::gateway::route::CallKind;
use crate::gateway::route::Route;
use crate::id::ModelId;
use crate::quantity::ByteCount;
use crate::time::DurationMs;

/// Maximum size of a decompressed configuration.
const MAX_CATALOG_BYTES: u64 = 32 << 20;

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireCatalog {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(uint64, tag = "2")]
    head_bytes: u64,
    #[prost(uint64, tag = "3")]
    body_bytes: u64,
    #[prost(uint64, tag = "4")]
    idle_timeout_ms: u64,
    #[prost(message, repeated, tag = "5")]
    routes: Vec<WireRoute>,
    #[prost(message, repeated, tag = "6")]
    services: Vec<WireService>,
    #[prost(message, repeated, tag = "7")]
    accounts: Vec<WireAccount>,
    #[prost(uint64, tag = "8")]
    head_timeout_ms: u64,
    /// Whether requests need a key; gateways of earlier versions state it only by `accounts`.
    #[prost(bool, tag = "9")]
    requires_keys: bool,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireRoute {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    host: String,
    #[prost(string, tag = "3")]
    prefix: String,
    #[prost(uint32, tag = "4")]
    kind: u32,
    #[prost(uint64, tag = "5")]
    timeout_ms: u64,
    #[prost(uint64, tag = "6")]
    objective_ms: u64,
    #[prost(uint64, tag = "7")]
    pause_ms: u64,
    #[prost(uint32, tag = "8")]
    priority: u32,
    #[prost(uint32, tag = "9")]
    max_attempts: u32,
    #[prost(bool, tag = "10")]
    resumable: bool,
    #[prost(bool, tag = "11")]
    public: bool,
    #[prost(string, repeated, tag = "12")]
    regions: Vec<String>,
    #[prost(message, repeated, tag = "13")]
    backends: Vec<WireBackend>,
    #[prost(string, repeated, tag = "14")]
    models: Vec<String>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireBackend {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint32, tag = "2")]
    weight: u32,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireService {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint32, tag = "2")]
    max_connections: u32,
    #[prost(double, tag = "3")]
    cold_per_s: f64,
    #[prost(uint64, tag = "4")]
    memory_tokens: u64,
    #[prost(double, tag = "5")]
    transfer_ms_per_token: f64,
    #[prost(message, repeated, tag = "6")]
    models: Vec<WireModel>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireModel {
    #[prost(string, tag = "1")]
    model: String,
    #[prost(double, tag = "2")]
    cost: f64,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireAccount {
    #[prost(string, tag = "1")]
    customer: String,
    #[prost(string, repeated, tag = "2")]
    keys: Vec<String>,
    #[prost(uint32, optional, tag = "3")]
    priority: Option<u32>,
    /// 0 if not stated.
    #[prost(uint32, tag = "4")]
    weight: u32,
}

/// Encodes and compresses a configuration.
pub fn encode_catalog(catalog: &Catalog) -> Bytes {
    let message = WireCatalog::from(catalog).encode_to_vec();
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to a vector cannot fail; a truncated result would not decode.
    match encoder.write_all(&message).and_then(|()| encoder.finish()) {
        Ok(compressed) => compressed.into(),
        Err(_unreachable) => Bytes::new(),
    }
}

/// Decodes a configuration.
///
/// # Errors
/// Returns an error if the bytes are not a valid configuration, or if it is too large.
pub fn decode_catalog(compressed: &[u8]) -> Result<Catalog, FeedError> {
    let mut message = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(MAX_CATALOG_BYTES);
    decoder.read_to_end(&mut message).map_err(FeedError::Compression)?;
    if message.len() as u64 == MAX_CATALOG_BYTES {
        return Err(FeedError::Compression(io::ErrorKind::FileTooLarge.into()));
    }
    Catalog::try_from(WireCatalog::decode(message.as_slice())?)
}

impl From<&Catalog> for WireCatalog {
    fn from(catalog: &Catalog) -> Self {
        let limits = catalog.limits();
        Self {
            version: catalog.version(),
            head_bytes: limits.head_bytes.get(),
            body_bytes: limits.body_bytes.get(),
            idle_timeout_ms: limits.idle_timeout_ms.get(),
            head_timeout_ms: limits.head_timeout_ms.get(),
            routes: catalog.routes().map(WireRoute::from).collect(),
            services: catalog.services().map(WireService::from).collect(),
            accounts: catalog.accounts().map(WireAccount::from).collect(),
            requires_keys: catalog.requires_keys(),
        }
    }
}

impl TryFrom<WireCatalog> for Catalog {
    type Error = FeedError;

    fn try_from(wire: WireCatalog) -> Result<Self, FeedError> {
        let limits = CallerLimits {
            head_bytes: ByteCount::new(wire.head_bytes),
            body_bytes: ByteCount::new(wire.body_bytes),
            head_timeout_ms: DurationMs::new(wire.head_timeout_ms),
            idle_timeout_ms: DurationMs::new(wire.idle_timeout_ms),
        };
        let routes: Result<Vec<Route>, FeedError> =
            wire.routes.into_iter().map(Route::try_from).collect();
        let services: Result<Vec<ServiceSpec>, FeedError> =
            wire.services.into_iter().map(ServiceSpec::try_from).collect();
        let requires_keys = wire.requires_keys || !wire.accounts.is_empty();
        let accounts: Result<Vec<Account>, FeedError> =
            wire.accounts.into_iter().map(Account::try_from).collect();
        let accounts = requires_keys.then_some(accounts?);
        Ok(Self::new(wire.version, limits, routes?, services?, accounts))
    }
}

impl From<&Route> for WireRoute {
    fn from(route: &Route) -> Self {
        let backend = |backend: &Backend| WireBackend {
            service: backend.service.to_string(),
            weight: backend.weight,
        };
        Self {
            name: route.name.to_string(),
            host: route.host.to_string(),
            prefix: route.prefix.to_string(),
            kind: match route.kind {
                CallKind::Idempotent => 1,
                CallKind::NonIdempotent => 2,
                CallKind::Streaming => 3,
            },
            timeout_ms: route.timeout_ms.get(),
            objective_ms: route.objective_ms.get(),
            pause_ms: route.pause_ms.get(),
            priority: route.priority.into(),
            max_attempts: route.max_attempts,
            resumable: route.resumable,
            public: route.public,
            regions: route.regions.iter().map(ToString::to_string).collect(),
            backends: route.backends.iter().map(backend).collect(),
            models: route.models.iter().map(ToString::to_string).collect(),
        }
    }
}

impl TryFrom<WireRoute> for Route {
    type Error = FeedError;

    fn try_from(wire: WireRoute) -> Result<Self, FeedError> {
        let mut backends = Vec::with_capacity(wire.backends.len());
        for backend in wire.backends {
            let service = backend.service.parse()?;
            backends.push(Backend { service, weight: backend.weight });
        }
        let mut models: Vec<ModelId> = Vec::with_capacity(wire.models.len());
        for model in &wire.models {
            models.push(model.parse()?);
        }
        Ok(Self {
            name: wire.name.into(),
            host: wire.host.into(),
            prefix: wire.prefix.into(),
            kind: match wire.kind {
                1 => CallKind::Idempotent,
                2 => CallKind::NonIdempotent,
                3 => CallKind::Streaming,
                _ => return Err(FeedError::Incomplete),
            },
            timeout_ms: DurationMs::new(wire.timeout_ms),
            objective_ms: DurationMs::new(wire.objective_ms),
            pause_ms: DurationMs::new(wire.pause_ms),
            priority: u8::try_from(wire.priority).unwrap_or(u8::MAX),
            max_attempts: wire.max_attempts,
            resumable: wire.resumable,
            public: wire.public,
            regions: wire.regions.iter().map(|id| id.parse()).collect::<Result<_, _>>()?,
            backends,
            models,
        })
    }
}

impl From<&ServiceSpec> for WireService {
    fn from(spec: &ServiceSpec) -> Self {
        let model = |offered: &OfferedModel| WireModel {
            model: offered.model.to_string(),
            cost: offered.cost,
        };
        Self {
            name: spec.name.to_string(),
            max_connections: spec.max_connections.map_or(0, NonZeroU32::get),
            cold_per_s: spec.cold_per_s,
            memory_tokens: spec.memory_tokens,
            transfer_ms_per_token: spec.transfer_ms_per_token,
            models: spec.models.iter().map(model).collect(),
        }
    }
}

impl TryFrom<WireService> for ServiceSpec {
    type Error = FeedError;

    fn try_from(wire: WireService) -> Result<Self, FeedError> {
        let mut models = Vec::with_capacity(wire.models.len());
        for offered in wire.models {
            models.push(OfferedModel { model: offered.model.parse()?, cost: offered.cost });
        }
        Ok(Self {
            name: wire.name.parse()?,
            max_connections: NonZeroU32::new(wire.max_connections),
            cold_per_s: wire.cold_per_s,
            memory_tokens: wire.memory_tokens,
            transfer_ms_per_token: wire.transfer_ms_per_token,
            models,
        })
    }
}

impl From<&Account> for WireAccount {
    fn from(account: &Account) -> Self {
        Self {
            customer: account.customer.to_string(),
            keys: account.keys.iter().map(ToString::to_string).collect(),
            priority: account.priority.map(u32::from),
            weight: account.weight.map_or(0, NonZeroU32::get),
        }
    }
}

impl TryFrom<WireAccount> for Account {
    type Error = FeedError;

    fn try_from(wire: WireAccount) -> Result<Self, FeedError> {
        Ok(Self {
            customer: wire.customer.parse()?,
            keys: wire.keys.into_iter().map(CompactString::from).collect(),
            priority: wire.priority.map(|rank| u8::try_from(rank).unwrap_or(u8::MAX)),
            weight: NonZeroU32::new(wire.weight),
        })
    }
}
