//! The configuration in force: routes, services, customers and limits, whole and with a version.

use std::collections::HashMap;
use std::num::NonZeroU32;
use std::sync::Arc;

use compact_str::CompactString;

use crate::gateway::route::Route;
use crate::id::CustomerId;
use crate::id::ModelId;
use crate::id::ServiceName;
use crate::quantity::ByteCount;
use crate::time::DurationMs;

/// A customer and the keys that name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The customer.
    pub customer: CustomerId,
    /// Keys in force.
    pub keys: Vec<CompactString>,
    /// Rank that replaces the rank of the route; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// A model that the engines of a service offer.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferedModel {
    /// The model.
    pub model: ModelId,
    /// Price of 1,000 generated tokens; tokens read count as a quarter.
    pub cost: f64,
}

/// A service: upstreams that run the same calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// The service.
    pub name: ServiceName,
    /// Connections that one upstream accepts from all entries together, where it is known.
    pub max_connections: Option<NonZeroU32>,
    /// Requests a second that a cold upstream bears; 0 means that its upstreams are never cold.
    pub cold_per_s: f64,
    /// Tokens that the memory of one engine holds; 0 for plain services.
    pub memory_tokens: u64,
    /// Time to move a token of a kept prompt to another engine, in ms; 0 if that cannot be done.
    pub transfer_ms_per_token: f64,
    /// Models of its engines; empty for plain services.
    pub models: Vec<OfferedModel>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head.
    pub head_bytes: ByteCount,
    /// Longest request body.
    pub body_bytes: ByteCount,
    /// Time that a connection may stay idle.
    pub idle_timeout_ms: DurationMs,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: ByteCount::new(16 << 10),
            body_bytes: ByteCount::new(4 << 20),
            idle_timeout_ms: DurationMs::new(15_000),
        }
    }
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    version: u64,
    limits: CallerLimits,
    routes: HashMap<CompactString, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, ServiceSpec>,
    accounts: HashMap<CompactString, Arc<Account>>,
    has_accounts: bool,
}

impl Catalog {
    /// Indexes the parts of a configuration.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
        accounts: Vec<Account>,
    ) -> Self {
        let mut by_host: HashMap<CompactString, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let has_accounts = !accounts.is_empty();
        let mut by_key = HashMap::new();
        for account in accounts {
            let account = Arc::new(account);
            for key in &account.keys {
                by_key.insert(key.clone(), Arc::clone(&account));
            }
        }
        let services = services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
        Self { version, limits, routes: by_host, services, accounts: by_key, has_accounts }
    }

    /// Version of the configuration; later ones are higher.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// What callers may send.
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route with the longest prefix that begins `path`, among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// The account that holds a key.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.get(key)
    }

    /// Whether requests need a key at all.
    pub const fn has_accounts(&self) -> bool {
        self.has_accounts
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// A service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }
}
