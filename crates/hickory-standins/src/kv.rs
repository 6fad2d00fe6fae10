//! Stand-in for the key-value service: HTTP handlers and fault injection.
//!
//! It serves the part of etcd v3's JSON gateway that hickorydoor uses: transactions, range reads,
//! leases and watches. `kv_store` holds the data, and `kv_wire` translates between it and JSON.

use std::convert::Infallible;
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
use axum::body::Body;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use bytes::Bytes;
use futures_util::stream;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::kv_faults::KvCounts;
use crate::kv_faults::KvFaults;
use crate::kv_store::KeyRange;
use crate::kv_store::Store;
use crate::kv_store::StoreError;
use crate::kv_wire;
use crate::server::DropConnection;
use crate::server::Server;

/// Interval between two checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Stand-in for the key-value service, with the JSON gateway of etcd v3.
#[derive(Debug)]
pub struct Kv {
    server: Server,
    shared: Arc<KvShared>,
    expiry_task: JoinHandle<()>,
}

#[derive(Debug)]
struct KvShared {
    state: Mutex<KvState>,
    /// Number of calls of `Kv::interrupt_watches`; active watches end when it changes. Changes of
    /// the store notify its receivers too, without a change of the number.
    interruptions: watch::Sender<u64>,
}

#[derive(Debug)]
struct KvState {
    store: Store,
    faults: KvFaults,
    counts: KvCounts,
}

impl KvShared {
    fn lock(&self) -> MutexGuard<'_, KvState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_watches(&self) {
        self.interruptions.send_modify(|_interruptions| {});
    }
}

impl Kv {
    /// Starts on a loopback port chosen by the system.
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
        let state = KvState {
            store: Store::new(),
            faults: KvFaults::default(),
            counts: KvCounts::default(),
        };
        let interruptions = watch::Sender::new(0);
        let shared = Arc::new(KvShared { state: Mutex::new(state), interruptions });
        let server = Server::start_at(router(Arc::clone(&shared)), address).await?;
        let expiry_task = tokio::spawn(expire_periodically(Arc::clone(&shared)));
        Ok(Self { server, shared, expiry_task })
    }

    /// HTTP server of the stand-in, for its address and for connection faults.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Sets the delay between the effect of a call and its response.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().faults.delay = delay;
    }

    /// Closes the connection without a response for the next `count` calls, after they have taken
    /// effect.
    pub fn drop_responses(&self, count: u32) {
        self.drop_responses_after(0, count);
    }

    /// Delivers the responses to the next `delivered` calls, and drops those to the `count` calls
    /// that follow.
    pub fn drop_responses_after(&self, delivered: u32, count: u32) {
        let mut state = self.shared.lock();
        state.faults.responses_to_deliver = delivered;
        state.faults.responses_to_drop = count;
    }

    /// Rejects the next `count` calls with status 429 and without effect.
    pub fn reject_calls(&self, count: u32) {
        self.shared.lock().faults.calls_to_reject = count;
    }

    /// Ends all active watches without a final message.
    pub fn interrupt_watches(&self) {
        self.shared.interruptions.send_modify(|interruptions| *interruptions += 1);
    }

    /// Compacts the history, so that watches cannot start at or before the current revision.
    pub fn compact(&self) {
        self.shared.lock().store.compact();
    }

    /// Revokes all leases at once, as if their holders had been paused for longer than the time to
    /// live.
    pub fn expire_leases(&self) {
        self.shared.lock().store.expire_all_leases();
        self.shared.notify_watches();
    }

    /// Number of calls received since the start.
    pub fn counts(&self) -> KvCounts {
        self.shared.lock().counts
    }

    /// Returns the current value of a key; `None` if the key does not exist.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        let state = self.shared.lock();
        let mut pairs = state.store.pairs();
        let matching = pairs.find(|(candidate, _)| candidate.as_slice() == key.as_bytes());
        matching.map(|(_, stored)| Bytes::copy_from_slice(&stored.value))
    }

    /// Returns all keys in order; invalid UTF-8 is replaced.
    pub fn keys(&self) -> Vec<String> {
        let state = self.shared.lock();
        state.store.pairs().map(|(key, _)| String::from_utf8_lossy(key).into_owned()).collect()
    }
}

impl Drop for Kv {
    fn drop(&mut self) {
        self.expiry_task.abort();
    }
}

async fn expire_periodically(shared: Arc<KvShared>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let any_expired = shared.lock().store.expire_leases(Instant::now());
        if any_expired {
            shared.notify_watches();
        }
    }
}

fn router(shared: Arc<KvShared>) -> Router {
    Router::new()
        .route("/v3/kv/txn", post(run_transaction))
        .route("/v3/kv/range", post(read_range))
        .route("/v3/lease/grant", post(grant_lease))
        .route("/v3/lease/keepalive", post(keep_lease_alive))
        .route("/v3/lease/revoke", post(revoke_lease))
        .route("/v3/watch", post(start_watch))
        .with_state(shared)
}

type SharedState = State<Arc<KvShared>>;

/// Counts and executes a call, and applies the configured faults to it.
async fn execute_call(
    shared: &KvShared,
    count: impl FnOnce(&mut KvCounts),
    operation: impl FnOnce(&mut Store) -> Result<Value, CallError>,
) -> Response {
    let (result, delay, is_dropped) = {
        let mut state = shared.lock();
        count(&mut state.counts);
        if state.faults.calls_to_reject > 0 {
            state.faults.calls_to_reject -= 1;
            return error_response(StatusCode::TOO_MANY_REQUESTS, 8, "too many requests");
        }
        let result = operation(&mut state.store);
        (result, state.faults.delay, state.faults.take_response_drop())
    };
    shared.notify_watches();
    tokio::time::sleep(delay).await;
    if is_dropped {
        return DropConnection::response();
    }
    match result {
        Ok(value) => Json(value).into_response(),
        Err(error) => error.into_response(),
    }
}

enum CallError {
    Malformed,
    Store(StoreError),
}

impl From<StoreError> for CallError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl IntoResponse for CallError {
    fn into_response(self) -> Response {
        let bad_request = StatusCode::BAD_REQUEST;
        match self {
            Self::Malformed => error_response(bad_request, 3, "malformed request"),
            Self::Store(StoreError::DuplicateKey) => {
                error_response(bad_request, 3, "duplicate key given in txn")
            }
            Self::Store(StoreError::TooManyOperations) => {
                error_response(bad_request, 3, "too many operations in txn")
            }
            Self::Store(StoreError::ValueTooLarge) => {
                error_response(bad_request, 3, "request is too large")
            }
            Self::Store(StoreError::LeaseNotFound) => {
                error_response(StatusCode::NOT_FOUND, 5, "requested lease not found")
            }
        }
    }
}

fn error_response(status: StatusCode, code: u32, message: &str) -> Response {
    let message = format!("etcdserver: {message}");
    (status, Json(json!({"error": message, "code": code, "message": message}))).into_response()
}

async fn run_transaction(State(shared): SharedState, Json(request): Json<Value>) -> Response {
    let operation = |store: &mut Store| {
        let conditions = kv_wire::parse_conditions(&request).ok_or(CallError::Malformed)?;
        let on_success =
            kv_wire::parse_operations(&request, "success").ok_or(CallError::Malformed)?;
        let on_failure =
            kv_wire::parse_operations(&request, "failure").ok_or(CallError::Malformed)?;
        let result = store.transaction(&conditions, on_success, on_failure)?;
        let revision = store.revision();
        let responses: Vec<Value> = result
            .results
            .iter()
            .map(|operation| kv_wire::encode_operation_result(operation, revision))
            .collect();
        let mut body =
            json!({"header": kv_wire::response_header(revision), "responses": responses});
        if result.succeeded {
            body["succeeded"] = true.into();
        }
        Ok(body)
    };
    execute_call(&shared, |counts| counts.transactions += 1, operation).await
}

async fn read_range(State(shared): SharedState, Json(request): Json<Value>) -> Response {
    let operation = |store: &mut Store| {
        let range = kv_wire::parse_range(&request).ok_or(CallError::Malformed)?;
        let limit = kv_wire::int_field(&request, "limit").ok_or(CallError::Malformed)?;
        let result = store.range(&range, limit as usize);
        Ok(kv_wire::encode_range_result(&result, store.revision()))
    };
    execute_call(&shared, |counts| counts.ranges += 1, operation).await
}

async fn grant_lease(State(shared): SharedState, Json(request): Json<Value>) -> Response {
    let operation = |store: &mut Store| {
        let ttl_s = kv_wire::int_field(&request, "TTL").ok_or(CallError::Malformed)?;
        let id = store.grant_lease(Duration::from_secs(ttl_s), Instant::now());
        let header = kv_wire::response_header(store.revision());
        Ok(json!({"header": header, "ID": id.to_string(), "TTL": ttl_s.to_string()}))
    };
    execute_call(&shared, |counts| counts.grants += 1, operation).await
}

async fn keep_lease_alive(State(shared): SharedState, Json(request): Json<Value>) -> Response {
    let operation = |store: &mut Store| {
        let id = kv_wire::int_field(&request, "ID").ok_or(CallError::Malformed)?;
        let ttl = store.keep_lease_alive(id, Instant::now());
        let header = kv_wire::response_header(store.revision());
        let mut result = json!({"header": header, "ID": id.to_string()});
        if !ttl.is_zero() {
            result["TTL"] = ttl.as_secs().to_string().into();
        }
        Ok(json!({"result": result}))
    };
    execute_call(&shared, |counts| counts.keep_alives += 1, operation).await
}

async fn revoke_lease(State(shared): SharedState, Json(request): Json<Value>) -> Response {
    let operation = |store: &mut Store| {
        let id = kv_wire::int_field(&request, "ID").ok_or(CallError::Malformed)?;
        store.revoke_lease(id)?;
        Ok(json!({"header": kv_wire::response_header(store.revision())}))
    };
    execute_call(&shared, |counts| counts.revokes += 1, operation).await
}

/// State of an active watch.
struct Watcher {
    shared: Arc<KvShared>,
    changes: watch::Receiver<u64>,
    /// Number of interruptions when the watch started.
    interruptions: u64,
    range: KeyRange,
    /// Lowest revision whose changes were not sent; `u64::MAX` after the cancellation.
    next_revision: u64,
    /// Whether the confirmation of the watch was sent.
    is_created: bool,
}

async fn start_watch(State(shared): SharedState, Json(request): Json<Value>) -> Response {
    let create = &request["create_request"];
    let (Some(range), Some(start_revision)) =
        (kv_wire::parse_range(create), kv_wire::int_field(create, "start_revision"))
    else {
        return CallError::Malformed.into_response();
    };
    let current_revision = {
        let mut state = shared.lock();
        state.counts.watches += 1;
        state.store.revision()
    };
    let mut changes = shared.interruptions.subscribe();
    let interruptions = *changes.borrow_and_update();
    // Start revision 0 selects the changes after the current revision.
    let next_revision = if start_revision == 0 { current_revision + 1 } else { start_revision };
    let watcher =
        Watcher { shared, changes, interruptions, range, next_revision, is_created: false };
    Body::from_stream(stream::unfold(watcher, next_message)).into_response()
}

async fn next_message(mut watcher: Watcher) -> Option<(Result<Bytes, Infallible>, Watcher)> {
    if !watcher.is_created {
        watcher.is_created = true;
        let header = kv_wire::response_header(watcher.shared.lock().store.revision());
        let message = json!({"result": {"header": header, "created": true}});
        return Some((Ok(json_line(&message)), watcher));
    }
    if let Some(message) = watcher.compaction_message() {
        // The real service cancels the watch with this message, so the stream ends after it.
        watcher.next_revision = u64::MAX;
        return Some((Ok(json_line(&message)), watcher));
    }
    if watcher.next_revision == u64::MAX {
        return None;
    }
    loop {
        let message = watcher.next_events();
        if let Some(message) = message {
            return Some((Ok(json_line(&message)), watcher));
        }
        watcher.changes.changed().await.ok()?;
        if *watcher.changes.borrow_and_update() != watcher.interruptions {
            return None;
        }
    }
}

impl Watcher {
    fn compaction_message(&self) -> Option<Value> {
        let state = self.shared.lock();
        let compacted_revision = state.store.compacted_revision();
        let revision = compacted_revision.to_string();
        (self.next_revision <= compacted_revision).then(|| {
            let header = kv_wire::response_header(state.store.revision());
            json!({"result": {"header": header, "canceled": true, "compact_revision": revision}})
        })
    }

    fn next_events(&mut self) -> Option<Value> {
        let state = self.shared.lock();
        let revision = state.store.revision();
        let events = state.store.events_from(&self.range, self.next_revision);
        self.next_revision = self.next_revision.max(revision + 1);
        if events.is_empty() {
            return None;
        }
        let events: Vec<Value> = events.iter().map(kv_wire::encode_event).collect();
        Some(json!({"result": {"header": kv_wire::response_header(revision), "events": events}}))
    }
}

fn json_line(message: &Value) -> Bytes {
    let mut text = message.to_string();
    text.push('\n');
    text.into()
}
