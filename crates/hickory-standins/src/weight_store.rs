//! Stand-in for the store of model weights.
//!
//! `GET /weights/{version}` returns zero bytes of the configured size. All downloads share one
//! rate, so that concurrent downloads slow each other down.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::Path;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use tokio::time::Instant;

use crate::server::Server;

/// Size of the chunks to which the rate limit applies.
const CHUNK_BYTES: u64 = 16 * 1024;

#[derive(Debug)]
struct WeightState {
    sizes_bytes: BTreeMap<String, u64>,
    bytes_per_s: u64,
    /// Earliest time at which the rate limit allows the next chunk of any download.
    next_chunk_at: Instant,
    download_counts: BTreeMap<String, u64>,
}

impl WeightState {
    /// Reserves a share of the rate for a chunk and returns the time at which it may be sent.
    fn reserve(&mut self, bytes: u64, now: Instant) -> Instant {
        let start = self.next_chunk_at.max(now);
        let seconds = bytes as f64 / self.bytes_per_s as f64;
        self.next_chunk_at = start + Duration::from_secs_f64(seconds);
        self.next_chunk_at
    }
}

/// Stand-in for the store of model weights, with a rate limit over all downloads.
#[derive(Debug)]
pub struct WeightStore {
    server: Server,
    state: Arc<Mutex<WeightState>>,
}

impl WeightStore {
    /// Starts on a loopback port chosen by the system. `bytes_per_s` is the total rate of all
    /// downloads; 0 counts as 1.
    ///
    /// # Errors
    /// Fails if no port can be opened.
    pub async fn start(bytes_per_s: u64) -> io::Result<Self> {
        Self::start_at(bytes_per_s, SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts on `address`; port 0 lets the system choose one.
    ///
    /// # Errors
    /// Fails if the port cannot be opened.
    pub async fn start_at(bytes_per_s: u64, address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(WeightState {
            sizes_bytes: BTreeMap::new(),
            bytes_per_s: bytes_per_s.max(1),
            next_chunk_at: Instant::now(),
            download_counts: BTreeMap::new(),
        }));
        let router = Router::new()
            .route("/weights/{version}", get(send_weights))
            .with_state(Arc::clone(&state));
        Ok(Self { server: Server::start_at(router, address).await?, state })
    }

    /// HTTP server of the stand-in, for its address and for connection faults.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Adds or replaces the weights of a version, with this size.
    pub fn add_version(&self, version: &str, size_bytes: u64) {
        lock(&self.state).sizes_bytes.insert(version.to_owned(), size_bytes);
    }

    /// Sets the total rate of all downloads, from the next chunk on; 0 counts as 1.
    pub fn set_rate(&self, bytes_per_s: u64) {
        lock(&self.state).bytes_per_s = bytes_per_s.max(1);
    }

    /// Number of downloads of a version that have started, completed or not.
    pub fn download_count(&self, version: &str) -> u64 {
        lock(&self.state).download_counts.get(version).copied().unwrap_or(0)
    }
}

fn lock(state: &Mutex<WeightState>) -> MutexGuard<'_, WeightState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn send_weights(
    State(state): State<Arc<Mutex<WeightState>>>,
    Path(version): Path<String>,
) -> Response {
    let size_bytes = {
        let mut state = lock(&state);
        let Some(size_bytes) = state.sizes_bytes.get(&version).copied() else {
            return StatusCode::NOT_FOUND.into_response();
        };
        *state.download_counts.entry(version).or_default() += 1;
        size_bytes
    };
    let chunks = stream::unfold((state, size_bytes), |(state, remaining_bytes)| async move {
        let bytes = remaining_bytes.min(CHUNK_BYTES);
        if bytes == 0 {
            return None;
        }
        let send_at = lock(&state).reserve(bytes, Instant::now());
        tokio::time::sleep_until(send_at).await;
        let chunk = Bytes::from(vec![0; bytes as usize]);
        Some((Ok::<_, Infallible>(chunk), (state, remaining_bytes - bytes)))
    });
    let mut response = Body::from_stream(chunks).into_response();
    response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(size_bytes));
    response
}
