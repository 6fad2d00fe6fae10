//! The platform's host list and rating service.

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
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use log::warn;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::answer_text::answer_text;
use crate::entry_input::EntryInput;
use crate::http_client::HttpClient;

const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest host list; 12,600 hosts need about 2.5 MB.
const MAX_LIST_BYTES: usize = 8 << 20;
/// A judged answer is held back until it is rated, so a slow rating costs the caller's time.
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

/// A host as the platform lists it.
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

/// Reads the host list until the process ends. A list that cannot be read changes nothing.
pub async fn poll_hosts(
    client: HttpClient,
    base_uri: CompactString,
    region: RegionId,
    every: Duration,
    inputs: mpsc::Sender<EntryInput>,
) {
    let uri = format!("{base_uri}/hosts?region={region}");
    let mut known = KnownList::default();
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let read = timeout(LIST_TIMEOUT, known.refresh(&client, &uri)).await;
        if read.ok().flatten().is_none() {
            warn!("the host list could not be read");
            continue;
        }
        let event = Box::new(EntryEvent::HostList(known.records.clone()));
        if inputs.send(EntryInput::Event(event)).await.is_err() {
            return;
        }
    }
}

/// The list as it was read last, with the tag under which the platform knows it.
///
/// The list of a region with 1,400 hosts has over 200 KB and changes about once in two minutes, so
/// it is asked for under the condition that it has changed.
#[derive(Debug, Default)]
struct KnownList {
    records: Vec<HostRecord>,
    tag: Option<HeaderValue>,
}

impl KnownList {
    /// Reads the list if it has changed. `None` means that it could not be read.
    async fn refresh(&mut self, client: &HttpClient, uri: &str) -> Option<()> {
        let mut request = Request::get(uri);
        if let Some(tag) = &self.tag {
            request = request.header(IF_NONE_MATCH, tag);
        }
        let response = client.request(request.body(Full::default()).ok()?).await.ok()?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Some(());
        }
        if !response.status().is_success() {
            return None;
        }
        let tag = response.headers().get(ETAG).cloned();
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await.ok()?;
        let raw: Vec<RawHost> = serde_json::from_slice(&body.to_bytes()).ok()?;
        self.records = raw.into_iter().map(HostRecord::from).collect();
        self.tag = tag;
        Some(())
    }
}

/// An answer that is to be rated.
#[derive(Debug)]
pub struct RatingRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt that produced the answer.
    pub ordinal: u32,
    /// The version that answered.
    pub version: VersionId,
    /// The request body.
    pub prompt: Bytes,
    /// The answer body.
    pub answer: Bytes,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RawRating {
    score: f64,
}

/// Has an answer rated and reports the rating.
pub async fn rate(
    client: HttpClient,
    base_uri: Option<CompactString>,
    asked: RatingRequest,
    inputs: mpsc::Sender<EntryInput>,
) {
    let rating = match &base_uri {
        Some(base_uri) => score(&client, base_uri, &asked).await,
        None => Err(RatingFault::Unavailable),
    };
    let event = EntryEvent::Rated { request: asked.request, ordinal: asked.ordinal, rating };
    // The channel only closes when the process ends.
    drop(inputs.send(EntryInput::Event(Box::new(event))).await);
}

async fn score(
    client: &HttpClient,
    base_uri: &str,
    asked: &RatingRequest,
) -> Result<f64, RatingFault> {
    let body = serde_json::json!({
        "version": asked.version,
        "prompt": String::from_utf8_lossy(&asked.prompt),
        "answer": answer_text(&asked.answer),
    });
    let request = Request::post(format!("{base_uri}/rate"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|_error| RatingFault::Unavailable)?;
    let exchange = async {
        let response = client.request(request).await.ok()?;
        let ok = response.status().is_success();
        let body = Limited::new(response.into_body(), MAX_RATING_BYTES).collect().await.ok()?;
        let raw: RawRating = serde_json::from_slice(&body.to_bytes()).ok()?;
        ok.then_some(raw.score)
    };
    match timeout(RATING_TIMEOUT, exchange).await {
        Ok(Some(score)) => Ok(score),
        Ok(None) => Err(RatingFault::Unavailable),
        Err(_elapsed) => Err(RatingFault::Timeout),
    }
}
