//! Clients for the host list and the rating service of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use hickorydoor::EntryEvent;
use hickorydoor::entry::event::RatingFault;
use hickorydoor::host_record::HostRecord;
use hickorydoor::host_record::HostRole;
use hickorydoor::host_record::HostState;
use hickorydoor::id::DataCentreId;
use hickorydoor::id::HostId;
use hickorydoor::id::RegionId;
use hickorydoor::id::RequestId;
use hickorydoor::id::VersionId;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::ETAG;
use http::header::IF_NONE_MATCH;
use http_body_util::Full;
use log::warn;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::answer_text::answer_text;
use crate::body_collector::collect_body;
use crate::entry_input::EntryInput;
use crate::http_client::HttpClient;

const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Size limit of the host list. A list of 12,600 hosts needs about 2.5 MB.
const MAX_LIST_BYTES: usize = 8 << 20;
/// Maximum time for a rating. A cascade holds an answer back until it is rated, so a slow rating
/// delays the caller.
const RATING_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RATING_BYTES: usize = 64 << 10;

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawRole {
    Entry,
    Agent,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawState {
    Live,
    Leaving,
}

/// Host in the JSON format of the platform.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct RawHost {
    host: HostId,
    role: RawRole,
    address: SocketAddr,
    data_centre: DataCentreId,
    region: RegionId,
    state: RawState,
}

impl From<RawHost> for HostRecord {
    fn from(raw: RawHost) -> Self {
        Self {
            host: raw.host,
            role: match raw.role {
                RawRole::Entry => HostRole::Entry,
                RawRole::Agent => HostRole::Agent,
            },
            address: raw.address,
            data_centre: raw.data_centre,
            region: raw.region,
            state: match raw.state {
                RawState::Live => HostState::Live,
                RawState::Leaving => HostState::Leaving,
            },
        }
    }
}

/// Polls the host list for as long as the process runs. If it cannot be read, the reducer keeps the
/// previous list.
pub async fn poll_hosts(
    client: HttpClient,
    base_uri: CompactString,
    region: RegionId,
    period: Duration,
    inputs: mpsc::Sender<EntryInput>,
) {
    let uri = format!("{base_uri}/hosts?region={region}");
    let mut host_list = CachedHostList::default();
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let read = timeout(LIST_TIMEOUT, host_list.refresh(&client, &uri)).await;
        if read.ok().flatten().is_none() {
            warn!("could not read the host list; keeping the previous one");
            continue;
        }
        let event = Box::new(EntryEvent::HostList(host_list.records.clone()));
        if inputs.send(EntryInput::Event(event)).await.is_err() {
            return;
        }
    }
}

/// Host list as last read, with its entity tag.
///
/// The list of a region with 1,400 hosts has over 200 KB and changes about once every two minutes,
/// so it is fetched with a conditional request.
#[derive(Debug, Default)]
struct CachedHostList {
    records: Vec<HostRecord>,
    etag: Option<HeaderValue>,
}

impl CachedHostList {
    /// Fetches the list if it has changed. Returns `None` if that failed.
    async fn refresh(&mut self, client: &HttpClient, uri: &str) -> Option<()> {
        let mut request = Request::get(uri);
        if let Some(etag) = &self.etag {
            request = request.header(IF_NONE_MATCH, etag);
        }
        let response = client.request(request.body(Full::default()).ok()?).await.ok()?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Some(());
        }
        if !response.status().is_success() {
            return None;
        }
        let etag = response.headers().get(ETAG).cloned();
        let body = collect_body(response.into_body(), MAX_LIST_BYTES).await.ok()?;
        let raw: Vec<RawHost> = serde_json::from_slice(&body).ok()?;
        self.records = raw.into_iter().map(HostRecord::from).collect();
        self.etag = etag;
        Some(())
    }
}

/// Answer of a cascade step to be rated.
#[derive(Debug)]
pub struct RatingRequest {
    /// Request that the answer belongs to.
    pub request: RequestId,
    /// Number of the attempt that produced the answer.
    pub ordinal: u32,
    /// Version that produced the answer.
    pub version: VersionId,
    /// Request body.
    pub prompt: Bytes,
    /// Response body.
    pub answer: Bytes,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RawRating {
    score: f64,
}

/// Requests a rating and reports it, or the failure, to the reducer.
pub async fn request_rating(
    client: HttpClient,
    base_uri: Option<CompactString>,
    rating_request: RatingRequest,
    inputs: mpsc::Sender<EntryInput>,
) {
    let rating = match &base_uri {
        Some(base_uri) => fetch_score(&client, base_uri, &rating_request).await,
        None => Err(RatingFault::Unavailable),
    };
    let event = EntryEvent::Rated {
        request: rating_request.request,
        ordinal: rating_request.ordinal,
        rating,
    };
    // The channel only closes when the process ends.
    drop(inputs.send(EntryInput::Event(Box::new(event))).await);
}

async fn fetch_score(
    client: &HttpClient,
    base_uri: &str,
    rating_request: &RatingRequest,
) -> Result<f64, RatingFault> {
    let body = serde_json::json!({
        "version": rating_request.version,
        "prompt": String::from_utf8_lossy(&rating_request.prompt),
        "answer": answer_text(&rating_request.answer),
    });
    let request = Request::post(format!("{base_uri}/rate"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|_error| RatingFault::Unavailable)?;
    let exchange = async {
        let response = client.request(request).await.ok()?;
        let is_success = response.status().is_success();
        let body = collect_body(response.into_body(), MAX_RATING_BYTES).await.ok()?;
        let raw: RawRating = serde_json::from_slice(&body).ok()?;
        is_success.then_some(raw.score)
    };
    match timeout(RATING_TIMEOUT, exchange).await {
        Ok(Some(score)) => Ok(score),
        Ok(None) => Err(RatingFault::Unavailable),
        Err(_elapsed) => Err(RatingFault::Timeout),
    }
}
