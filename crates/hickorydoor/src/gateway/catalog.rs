//! The configuration in force: one consistent, versioned set of routes, services, accounts and
//! limits.

use std::collections::HashMap;
use std::num::NonZeroU32;
use std::sync::Arc;

use compact_str::CompactString;

use crate::gateway::refusal::RefusalReason;
use crate::gateway::route::Route;
use crate::id::CustomerId;
use crate::id::ModelId;
use crate::id::ServiceName;
use crate::quantity::ByteCount;
use crate::time::DurationMs;

/// A customer and its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Customer to whom requests with these keys are attributed.
    pub customer: CustomerId,
    /// Keys that are currently valid.
    pub keys: Vec<CompactString>,
    /// Priority that overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Share of the capacity relative to other customers; `None` counts as 1.
    pub weight: Option<NonZeroU32>,
}

/// A model that the engines of a service offer.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferedModel {
    /// Name by which callers and routes refer to the model.
    pub model: ModelId,
    /// Price of 1,000 generated tokens; a prompt token costs a quarter of a generated one.
    pub cost: f64,
}

/// A service: a set of upstreams that can serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name by which routes and registrations refer to the service.
    pub name: ServiceName,
    /// Connections that one upstream accepts from all gateways together; `None` if not known.
    pub max_connections: Option<NonZeroU32>,
    /// Requests per second that a cold upstream has capacity for; 0 means that upstreams of the
    /// service are never cold.
    pub cold_per_s: f64,
    /// Token capacity of the memory of one engine; 0 for plain services.
    pub memory_tokens: u64,
    /// Time to transfer one cached prompt token to another engine, in ms; 0 if engines cannot
    /// transfer.
    pub transfer_ms_per_token: f64,
    /// Models that the engines offer; empty for plain services.
    pub models: Vec<OfferedModel>,
}

/// Limits on the connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head_bytes: ByteCount,
    /// Maximum size of a request body.
    pub body_bytes: ByteCount,
    /// Maximum time from the first byte of a request head to its end.
    pub head_timeout_ms: DurationMs,
    /// Time after which an idle connection is closed.
    pub idle_timeout_ms: DurationMs,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: ByteCount::new(16 << 10),
            body_bytes: ByteCount::new(4 << 20),
            head_timeout_ms: DurationMs::new(15_000),
            idle_timeout_ms: DurationMs::new(15_000),
        }
    }
}

/// The configuration in force, indexed for look-ups by host, service and key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    version: u64,
    limits: CallerLimits,
    routes: HashMap<CompactString, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, ServiceSpec>,
    accounts: Option<Vec<Arc<Account>>>,
    accounts_by_key: HashMap<CompactString, Arc<Account>>,
}

impl Catalog {
    /// Indexes a configuration. `version` grows with each change. With `accounts`, even with none in
    /// the list, requests need a key on all routes that are not public.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
        accounts: Option<Vec<Account>>,
    ) -> Self {
        let mut by_host: HashMap<CompactString, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let accounts: Option<Vec<Arc<Account>>> =
            accounts.map(|accounts| accounts.into_iter().map(Arc::new).collect());
        let mut accounts_by_key = HashMap::new();
        for account in accounts.iter().flatten() {
            for key in &account.keys {
                accounts_by_key.insert(key.clone(), Arc::clone(account));
            }
        }
        let services = services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
        Self { version, limits, routes: by_host, services, accounts, accounts_by_key }
    }

    /// Returns the version of the configuration; later ones are higher.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on the connections and requests of callers.
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route of `host` with the longest prefix that `path` starts with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the account that holds `key`; `None` if the key is not valid.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts_by_key.get(key)
    }

    /// Returns the account to which a request on `route` is attributed; `None` if it needs no key.
    ///
    /// # Errors
    /// Returns `RefusalReason::UnknownKey` if the route needs a key and the request has none, or if
    /// `key` is not that of an account. A key that was withdrawn is not valid without a list of
    /// accounts either.
    pub fn authorize(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Arc<Account>>, RefusalReason> {
        match key {
            _ if route.public => Ok(None),
            Some(key) => self.account(key).map(Some).ok_or(RefusalReason::UnknownKey),
            None if self.requires_keys() => Err(RefusalReason::UnknownKey),
            None => Ok(None),
        }
    }

    /// Returns whether requests need a key on routes that are not public.
    pub const fn requires_keys(&self) -> bool {
        self.accounts.is_some()
    }

    /// Iterates over all customers, in the order in which they are configured.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter().flatten().map(|account| &**account)
    }

    /// Iterates over all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten().map(|route| &**route)
    }

    /// Iterates over all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Returns the service with this name, if it is configured.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }
}
