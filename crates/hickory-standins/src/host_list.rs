//! Stand-in for the platform's list of hosts.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use http::HeaderMap;
use http::StatusCode;
use http::Uri;
use http::header::ETAG;
use http::header::IF_NONE_MATCH;
use serde::Deserialize;
use serde::Serialize;

use crate::server::Server;

/// What runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host stays.
    Live,
    /// The platform is about to take the host away.
    Leaving,
}

/// A host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub host: String,
    /// What runs on it.
    pub role: HostRole,
    /// Address of its process.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Whether it stays.
    pub state: HostState,
}

#[derive(Debug)]
struct HostListState {
    lag: Duration,
    not_modified_count: u64,
    /// The list and when it came into force, oldest first.
    versions: Vec<(Instant, Vec<Host>)>,
}

impl HostListState {
    /// The list as it was `lag` ago; empty before the first list.
    fn visible(&self, now: Instant) -> &[Host] {
        let visible = |(since, _): &&(Instant, Vec<Host>)| now.duration_since(*since) >= self.lag;
        self.versions.iter().rev().find(visible).map_or(&[], |(_, hosts)| hosts)
    }
}

/// Stand-in for the platform's list of hosts, which may lag.
#[derive(Debug)]
pub struct HostList {
    server: Server,
    state: Arc<Mutex<HostListState>>,
}

impl HostList {
    /// Starts on a free loopback port with an empty list and no lag.
    ///
    /// # Errors
    /// Fails if no port can be opened.
    pub async fn start() -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts on this address.
    ///
    /// # Errors
    /// Fails if the port cannot be opened.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let state =
            HostListState { lag: Duration::ZERO, not_modified_count: 0, versions: Vec::new() };
        let state = Arc::new(Mutex::new(state));
        let router = Router::new().route("/hosts", get(hosts)).with_state(Arc::clone(&state));
        Ok(Self { server: Server::start_at(router, address).await?, state })
    }

    /// The server behind it.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Sets how long changes of the list take to become visible.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Reads that were answered without the list, since the reader had it.
    pub fn not_modified_count(&self) -> u64 {
        lock(&self.state).not_modified_count
    }

    /// Replaces the list.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        lock(&self.state).versions.push((Instant::now(), hosts));
    }

    /// Changes the list.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Host>)) {
        let mut state = lock(&self.state);
        let mut hosts = state.versions.last().map_or_else(Vec::new, |(_, hosts)| hosts.clone());
        change(&mut hosts);
        state.versions.push((Instant::now(), hosts));
    }
}

fn lock(state: &Mutex<HostListState>) -> MutexGuard<'_, HostListState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn hosts(
    State(state): State<Arc<Mutex<HostListState>>>,
    uri: Uri,
    headers: HeaderMap,
) -> Response {
    let query = uri.query().unwrap_or_default();
    let region = query.split('&').find_map(|pair| pair.strip_prefix("region="));
    let mut state = lock(&state);
    let hosts = state.visible(Instant::now());
    let asked = |host: &&Host| region.is_none_or(|region| host.region == region);
    let hosts: Vec<Host> = hosts.iter().filter(asked).cloned().collect();
    let tag = tag_of(&hosts);
    if headers.get(IF_NONE_MATCH).is_some_and(|known| known == tag.as_str()) {
        state.not_modified_count += 1;
        return StatusCode::NOT_MODIFIED.into_response();
    }
    ([(ETAG, tag)], Json(hosts)).into_response()
}

/// An entity tag that changes with the list.
fn tag_of(hosts: &[Host]) -> String {
    let mut hasher = DefaultHasher::new();
    format!("{hosts:?}").hash(&mut hasher);
    format!("\"{:016x}\"", hasher.finish())
}
