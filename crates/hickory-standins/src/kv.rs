//! Stand-in for the key-value service.

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

const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Stand-in for the key-value service, speaking etcd v3's JSON gateway.
#[derive(Debug)]
pub struct Kv {
    server: Server,
    shared: Arc<Shared>,
    expiry: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<KvState>,
    /// Number of cuts; running watches end when it changes. Every change of the store also
    /// notifies it.
    cuts: watch::Sender<u64>,
}

#[derive(Debug)]
struct KvState {
    store: Store,
    faults: KvFaults,
    counts: KvCounts,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, KvState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.cuts.send_modify(|_cuts| {});
    }
}

impl Kv {
    /// Starts on a free loopback port.
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
        let state = KvState {
            store: Store::new(),
            faults: KvFaults::default(),
            counts: KvCounts::default(),
        };
        let cuts = watch::Sender::new(0);
        let shared = Arc::new(Shared { state: Mutex::new(state), cuts });
        let server = Server::start_at(router(Arc::clone(&shared)), address).await?;
        let expiry = tokio::spawn(expire(Arc::clone(&shared)));
        Ok(Self { server, shared, expiry })
    }

    /// The server behind it.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Sets the pause before each answer. The call takes effect before the pause.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().faults.delay = delay;
    }

    /// Loses the answers to the next `count` calls after they took effect.
    pub fn drop_responses(&self, count: u32) {
        self.drop_responses_after(0, count);
    }

    /// Answers `given` calls, and loses the answers to the `count` calls that follow.
    pub fn drop_responses_after(&self, given: u32, count: u32) {
        let mut state = self.shared.lock();
        state.faults.answers_to_give = given;
        state.faults.answers_to_lose = count;
    }

    /// Refuses the next `count` calls with status 429 and without effect.
    pub fn reject_calls(&self, count: u32) {
        self.shared.lock().faults.calls_to_refuse = count;
    }

    /// Ends all running watches without notice.
    pub fn interrupt_watches(&self) {
        self.shared.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Forgets the history, so that watches cannot start at or before the present revision.
    pub fn compact(&self) {
        self.shared.lock().store.compact();
    }

    /// Ends all leases at once, as if their holders had been paused for too long.
    pub fn expire_leases(&self) {
        self.shared.lock().store.expire_all();
        self.shared.notify();
    }

    /// Calls that have arrived.
    pub fn counts(&self) -> KvCounts {
        self.shared.lock().counts
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        let state = self.shared.lock();
        let mut pairs = state.store.pairs();
        let found = pairs.find(|(known, _)| known.as_slice() == key.as_bytes());
        found.map(|(_, stored)| Bytes::copy_from_slice(&stored.value))
    }

    /// All keys, in order.
    pub fn keys(&self) -> Vec<String> {
        let state = self.shared.lock();
        state.store.pairs().map(|(key, _)| String::from_utf8_lossy(key).into_owned()).collect()
    }
}

impl Drop for Kv {
    fn drop(&mut self) {
        self.expiry.abort();
    }
}

async fn expire(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let lapsed = shared.lock().store.expire(Instant::now());
        if lapsed {
            shared.notify();
        }
    }
}

fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v3/kv/txn", post(transaction))
        .route("/v3/kv/range", post(range))
        .route("/v3/lease/grant", post(grant))
        .route("/v3/lease/keepalive", post(keep_alive))
        .route("/v3/lease/revoke", post(revoke))
        .route("/v3/watch", post(start_watch))
        .with_state(shared)
}

type SharedState = State<Arc<Shared>>;

/// Counts a call, carries it out, and applies the faults in force to its answer.
async fn call(
    shared: &Shared,
    count: impl FnOnce(&mut KvCounts),
    run: impl FnOnce(&mut Store) -> Result<Value, Failure>,
) -> Response {
    let (result, delay, lost) = {
        let mut state = shared.lock();
        count(&mut state.counts);
        if state.faults.calls_to_refuse > 0 {
            state.faults.calls_to_refuse -= 1;
            return refusal(StatusCode::TOO_MANY_REQUESTS, 8, "too many requests");
        }
        let result = run(&mut state.store);
        (result, state.faults.delay, state.faults.take_lost_answer())
    };
    shared.notify();
    tokio::time::sleep(delay).await;
    if lost {
        return DropConnection::response();
    }
    match result {
        Ok(value) => Json(value).into_response(),
        Err(failure) => failure.into_response(),
    }
}

enum Failure {
    Malformed,
    Store(StoreError),
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let bad = StatusCode::BAD_REQUEST;
        match self {
            Self::Malformed => refusal(bad, 3, "malformed request"),
            Self::Store(StoreError::DuplicateKey) => refusal(bad, 3, "duplicate key given in txn"),
            Self::Store(StoreError::TooManySteps) => refusal(bad, 3, "too many operations in txn"),
            Self::Store(StoreError::ValueTooLarge) => refusal(bad, 3, "request is too large"),
            Self::Store(StoreError::LeaseNotFound) => {
                refusal(StatusCode::NOT_FOUND, 5, "requested lease not found")
            }
        }
    }
}

fn refusal(status: StatusCode, code: u32, message: &str) -> Response {
    let message = format!("etcdserver: {message}");
    (status, Json(json!({"error": message, "code": code, "message": message}))).into_response()
}

async fn transaction(State(shared): SharedState, Json(request): Json<Value>) -> Response {
    let run = |store: &mut Store| {
        let conditions = kv_wire::conditions(&request).ok_or(Failure::Malformed)?;
        let then = kv_wire::steps(&request, "success").ok_or(Failure::Malformed)?;
        let otherwise = kv_wire::steps(&request, "failure").ok_or(Failure::Malformed)?;
        let result = store.transaction(&conditions, then, otherwise)?;
        let revision = store.revision();
        let responses: Vec<Value> =
            result.results.iter().map(|step| kv_wire::step_result(step, revision)).collect();
        let mut answer = json!({"header": kv_wire::header(revision), "responses": responses});
        if result.succeeded {
            answer["succeeded"] = true.into();
        }
        Ok(answer)
    };
    call(&shared, |counts| counts.transactions += 1, run).await
}

async fn range(State(shared): SharedState, Json(request): Json<Value>) -> Response {
    let run = |store: &mut Store| {
        let range = kv_wire::range(&request).ok_or(Failure::Malformed)?;
        let limit = kv_wire::int(&request, "limit").ok_or(Failure::Malformed)?;
        let result = store.range(&range, limit as usize);
        Ok(kv_wire::range_result(&result, store.revision()))
    };
    call(&shared, |counts| counts.ranges += 1, run).await
}

async fn grant(State(shared): SharedState, Json(request): Json<Value>) -> Response {
    let run = |store: &mut Store| {
        let ttl_s = kv_wire::int(&request, "TTL").ok_or(Failure::Malformed)?;
        let id = store.grant(Duration::from_secs(ttl_s), Instant::now());
        let header = kv_wire::header(store.revision());
        Ok(json!({"header": header, "ID": id.to_string(), "TTL": ttl_s.to_string()}))
    };
    call(&shared, |counts| counts.grants += 1, run).await
}

async fn keep_alive(State(shared): SharedState, Json(request): Json<Value>) -> Response {
    let run = |store: &mut Store| {
        let id = kv_wire::int(&request, "ID").ok_or(Failure::Malformed)?;
        let ttl = store.keep_alive(id, Instant::now());
        let header = kv_wire::header(store.revision());
        let mut result = json!({"header": header, "ID": id.to_string()});
        if !ttl.is_zero() {
            result["TTL"] = ttl.as_secs().to_string().into();
        }
        Ok(json!({"result": result}))
    };
    call(&shared, |counts| counts.keep_alives += 1, run).await
}

async fn revoke(State(shared): SharedState, Json(request): Json<Value>) -> Response {
    let run = |store: &mut Store| {
        let id = kv_wire::int(&request, "ID").ok_or(Failure::Malformed)?;
        store.revoke(id)?;
        Ok(json!({"header": kv_wire::header(store.revision())}))
    };
    call(&shared, |counts| counts.revokes += 1, run).await
}

/// Position of a running watch.
struct Watching {
    shared: Arc<Shared>,
    changes: watch::Receiver<u64>,
    cuts: u64,
    range: KeyRange,
    next_revision: u64,
    created: bool,
}

async fn start_watch(State(shared): SharedState, Json(request): Json<Value>) -> Response {
    let create = &request["create_request"];
    let (Some(range), Some(from)) =
        (kv_wire::range(create), kv_wire::int(create, "start_revision"))
    else {
        return Failure::Malformed.into_response();
    };
    let now = {
        let mut state = shared.lock();
        state.counts.watches += 1;
        state.store.revision()
    };
    let mut changes = shared.cuts.subscribe();
    let cuts = *changes.borrow_and_update();
    // Start revision 0 means "from now on".
    let next_revision = if from == 0 { now + 1 } else { from };
    let watching = Watching { shared, changes, cuts, range, next_revision, created: false };
    Body::from_stream(stream::unfold(watching, next_message)).into_response()
}

async fn next_message(mut watching: Watching) -> Option<(Result<Bytes, Infallible>, Watching)> {
    if !watching.created {
        watching.created = true;
        let header = kv_wire::header(watching.shared.lock().store.revision());
        let message = json!({"result": {"header": header, "created": true}});
        return Some((Ok(line(&message)), watching));
    }
    if let Some(message) = watching.compacted() {
        // The service ends the watch with this message; the stream ends after it.
        watching.next_revision = u64::MAX;
        return Some((Ok(line(&message)), watching));
    }
    if watching.next_revision == u64::MAX {
        return None;
    }
    loop {
        let message = watching.take_events();
        if let Some(message) = message {
            return Some((Ok(line(&message)), watching));
        }
        watching.changes.changed().await.ok()?;
        if *watching.changes.borrow_and_update() != watching.cuts {
            return None;
        }
    }
}

impl Watching {
    fn compacted(&self) -> Option<Value> {
        let state = self.shared.lock();
        let compacted = state.store.compacted();
        let revision = compacted.to_string();
        (self.next_revision <= compacted).then(|| {
            let header = kv_wire::header(state.store.revision());
            json!({"result": {"header": header, "canceled": true, "compact_revision": revision}})
        })
    }

    fn take_events(&mut self) -> Option<Value> {
        let state = self.shared.lock();
        let revision = state.store.revision();
        let events = state.store.events_since(&self.range, self.next_revision);
        self.next_revision = self.next_revision.max(revision + 1);
        if events.is_empty() {
            return None;
        }
        let events: Vec<Value> = events.iter().map(kv_wire::event).collect();
        Some(json!({"result": {"header": kv_wire::header(revision), "events": events}}))
    }
}

fn line(message: &Value) -> Bytes {
    let mut text = message.to_string();
    text.push('\n');
    text.into()
}
