//! Stand-in for the platform's list of hosts.
//!
//! `GET /hosts?region=REGION` returns the hosts of a region, or of all regions without the
//! parameter. Changes become visible after a configurable lag, as from a platform that is
//! eventually consistent.

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

/// Kind of process that runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// Accepts client requests and places them on upstreams.
    Entry,
    /// Sidecar of one upstream.
    Agent,
}

/// Lifecycle state of a host according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// No removal is planned.
    Live,
    /// The platform is about to remove the host.
    Leaving,
}

/// An element of the host list, in the JSON form that the platform serves.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Host {
    /// Name by which the platform identifies the host.
    pub host: String,
    /// Kind of process that runs on the host.
    pub role: HostRole,
    /// Address on which that process accepts connections.
    pub address: SocketAddr,
    /// Name of the data centre that contains the host.
    pub data_centre: String,
    /// Region by which readers filter the list.
    pub region: String,
    /// Whether the platform is about to remove the host.
    pub state: HostState,
}

#[derive(Debug)]
struct HostListState {
    lag: Duration,
    not_modified_count: u64,
    /// Published lists with their time of publication, oldest first.
    revisions: Vec<(Instant, Vec<Host>)>,
}

impl HostListState {
    /// Returns the list as it was `lag` ago; empty if none had been published by then.
    fn visible(&self, now: Instant) -> &[Host] {
        let is_visible = |(published_at, _): &&(Instant, Vec<Host>)| {
            now.duration_since(*published_at) >= self.lag
        };
        self.revisions.iter().rev().find(is_visible).map_or(&[], |(_, hosts)| hosts)
    }
}

/// Stand-in for the platform's list of hosts.
#[derive(Debug)]
pub struct HostList {
    server: Server,
    state: Arc<Mutex<HostListState>>,
}

impl HostList {
    /// Starts on a loopback port chosen by the system, with an empty list and no lag.
    ///
    /// # Errors
    /// Fails if no port can be opened.
    pub async fn start() -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts on `address`; port 0 lets the system choose one.
    ///
    /// # Errors
    /// Fails if the port cannot be opened.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let state =
            HostListState { lag: Duration::ZERO, not_modified_count: 0, revisions: Vec::new() };
        let state = Arc::new(Mutex::new(state));
        let router = Router::new().route("/hosts", get(list_hosts)).with_state(Arc::clone(&state));
        Ok(Self { server: Server::start_at(router, address).await?, state })
    }

    /// HTTP server of the stand-in, for its address and for connection faults.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Sets the delay after which a published list becomes visible.
    ///
    /// The delay applies to past changes too, so a longer one hides lists that were visible.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Number of reads answered with status 304, because the client already had the current list.
    pub fn not_modified_count(&self) -> u64 {
        lock(&self.state).not_modified_count
    }

    /// Publishes a new list.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        lock(&self.state).revisions.push((Instant::now(), hosts));
    }

    /// Publishes a changed copy of the latest list, visible or not.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Host>)) {
        let mut state = lock(&self.state);
        let mut hosts = state.revisions.last().map_or_else(Vec::new, |(_, hosts)| hosts.clone());
        change(&mut hosts);
        state.revisions.push((Instant::now(), hosts));
    }
}

fn lock(state: &Mutex<HostListState>) -> MutexGuard<'_, HostListState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn list_hosts(
    State(state): State<Arc<Mutex<HostListState>>>,
    uri: Uri,
    headers: HeaderMap,
) -> Response {
    let query = uri.query().unwrap_or_default();
    let region = query.split('&').find_map(|pair| pair.strip_prefix("region="));
    let mut state = lock(&state);
    let hosts = state.visible(Instant::now());
    let is_in_region = |host: &&Host| region.is_none_or(|region| host.region == region);
    let hosts: Vec<Host> = hosts.iter().filter(is_in_region).cloned().collect();
    let tag = entity_tag(&hosts);
    if headers.get(IF_NONE_MATCH).is_some_and(|client_tag| client_tag == tag.as_str()) {
        state.not_modified_count += 1;
        return StatusCode::NOT_MODIFIED.into_response();
    }
    ([(ETAG, tag)], Json(hosts)).into_response()
}

/// Returns an entity tag that depends only on the content of the list.
fn entity_tag(hosts: &[Host]) -> String {
    let mut hasher = DefaultHasher::new();
    format!("{hosts:?}").hash(&mut hasher);
    format!("\"{:016x}\"", hasher.finish())
}
