//! State of one upstream at a gateway: its registration, load, failures and cache.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::gateway::headroom::RoomShare;
use crate::gateway::prompt_cache::PromptCache;
use crate::gateway::rank_work::RankWork;
use crate::gateway::upstreams::FailureScore;
use crate::gateway::upstreams::UpstreamRoom;
use crate::id::DataCentreId;
use crate::id::RegionId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Window over which dispatches to a cold upstream are counted; slightly over a second, so that
/// requests with different network delays do not arrive within the same second.
const COLD_WINDOW_MS: DurationMs = DurationMs::new(1_050);

/// Requests that may queue at an upstream beyond its slots, as a share of the slots.
const QUEUED_SLOT_SHARE: f64 = 0.25;

/// An upstream's registration in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Id of the upstream, which it keeps across restarts.
    pub upstream: UpstreamId,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address at which the upstream accepts connections.
    pub address: SocketAddr,
    /// Data centre in which the upstream runs.
    pub data_centre: DataCentreId,
    /// Region of the data centre; `None` if not known.
    pub region: Option<RegionId>,
    /// Version of the upstream's software, which rollouts act on.
    pub version: CompactString,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is shutting down, so that it gets no new requests.
    pub draining: bool,
    /// Remaining time until the upstream is warm; 0 if it is warm already.
    pub cold_ms: DurationMs,
    /// Start of the upstream process in Unix milliseconds; distinguishes incarnations with the same
    /// id.
    pub started_unix_ms: u64,
    /// Grows with each registration of one incarnation.
    pub sequence: u64,
}

/// Load of a gateway, or the sum over several, at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Prefill time of their prompts, in ms.
    pub prefill_ms: f64,
    /// Time since a response last started; `None` if none did. Not part of a sum.
    pub response_age_ms: Option<DurationMs>,
}

impl PeerLoad {
    /// Adds the load of another gateway.
    pub fn add(&mut self, other: Self) {
        self.in_flight += other.in_flight;
        self.prefill_ms += other.prefill_ms;
    }

    /// Takes away what was added before.
    pub fn remove(&mut self, other: Self) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        // Reports have requests in flight, so that no prompt is left without any.
        let is_idle = self.in_flight == 0;
        self.prefill_ms = if is_idle { 0.0 } else { (self.prefill_ms - other.prefill_ms).max(0.0) };
    }
}

/// An upstream as this gateway knows it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Latest registration.
    pub registration: Registration,
    /// When the upstream stops being treated as cold; `None` or in the past if it is warm.
    pub cold_until: Option<TimeMs>,
    /// When the registration was removed while the store was unstable; `None` while it is
    /// registered.
    pub missing_since: Option<TimeMs>,
    /// Requests of this gateway in flight.
    pub in_flight: u32,
    /// Requests of this gateway in flight in its last digest.
    pub reported_in_flight: u32,
    /// Requests that this gateway has sent since its last digest.
    pub sent_since_report: u32,
    /// Queued prefill time of this gateway's prompts, in ms.
    pub prefill_ms: f64,
    /// The same by rank.
    pub prefill_by_rank: RankWork,
    /// Summed load of the other gateways, from their digests.
    pub peer_load: PeerLoad,
    /// Failure average and ejection state.
    pub failures: FailureScore,
    /// Latest dispatch time of all requests whose response has started, by priority.
    pub newest_answered_sent_at: BTreeMap<u8, TimeMs>,
    /// When a response last started.
    pub last_response_at: Option<TimeMs>,
    /// The same at another gateway.
    pub last_response_at_peers: Option<TimeMs>,
    /// When anything last arrived that shows that the upstream runs.
    pub last_alive_at: Option<TimeMs>,
    /// Prompt parts that the engine is expected to have cached.
    pub cache: PromptCache,
    /// Whether the rate bound of a cold upstream allows one more request; always true for a warm
    /// one. Updated before each placement.
    pub has_cold_capacity: bool,
    /// What the upstream has said of itself.
    pub room: UpstreamRoom,
    /// Part of its free slots that this gateway may use. Updated before requests are placed.
    pub share: RoomShare,
    cold_sends: VecDeque<TimeMs>,
}

impl Upstream {
    /// Creates the state of a newly registered upstream, without load or cache.
    pub fn new(registration: Registration, now: TimeMs) -> Self {
        let cold_until = cold_until(&registration, now);
        Self {
            registration,
            cold_until,
            missing_since: None,
            in_flight: 0,
            reported_in_flight: 0,
            sent_since_report: 0,
            prefill_ms: 0.0,
            prefill_by_rank: RankWork::default(),
            peer_load: PeerLoad::default(),
            failures: FailureScore::default(),
            newest_answered_sent_at: BTreeMap::new(),
            last_alive_at: None,
            last_response_at: None,
            last_response_at_peers: None,
            cache: PromptCache::default(),
            has_cold_capacity: false,
            room: UpstreamRoom::default(),
            share: RoomShare::default(),
            cold_sends: VecDeque::new(),
        }
    }

    /// Applies a registration; older ones are ignored, and a new incarnation resets the state.
    pub fn update(&mut self, registration: Registration, now: TimeMs) {
        let known = (self.registration.started_unix_ms, self.registration.sequence);
        let received = (registration.started_unix_ms, registration.sequence);
        if received < known {
            return;
        }
        if received.0 != known.0 {
            *self = Self::new(registration, now);
            return;
        }
        let cold_until = cold_until(&registration, now);
        if cold_until.is_some() && self.cold_until.is_none() {
            // An engine that turns cold has lost its cache.
            self.cache = PromptCache::default();
        }
        self.cold_until = cold_until;
        self.missing_since = None;
        self.registration = registration;
    }

    /// Returns whether the upstream is cold: not yet warmed up, with capacity for a bounded request
    /// rate only.
    pub fn is_cold(&self, now: TimeMs) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Treats the upstream as cold for at least `for_ms`, such as after a failed connection.
    pub fn mark_cold(&mut self, for_ms: DurationMs, now: TimeMs) {
        self.cold_until = self.cold_until.max(Some(now + for_ms));
    }

    /// Returns whether one more request may be sent to a cold upstream. `share` is this gateway's
    /// limit per second.
    pub fn can_send_while_cold(&mut self, share: usize, now: TimeMs) -> bool {
        self.evict_old_sends(now);
        self.cold_sends.len() < share
    }

    /// Records that a request is sent.
    pub fn record_dispatch(&mut self, now: TimeMs) {
        self.in_flight += 1;
        self.sent_since_report += 1;
        self.evict_old_sends(now);
        self.cold_sends.push_back(now);
    }

    /// Returns the number of dispatches that count against the rate bound while it is cold.
    pub fn recent_dispatches(&self) -> usize {
        self.cold_sends.len()
    }

    fn evict_old_sends(&mut self, now: TimeMs) {
        while self.cold_sends.front().is_some_and(|at| now.since(*at) > COLD_WINDOW_MS) {
            self.cold_sends.pop_front();
        }
    }

    /// Records the first event of a response to a request of this priority.
    pub fn record_first_event(&mut self, priority: u8, sent_at: TimeMs, now: TimeMs) {
        let newest = self.newest_answered_sent_at.entry(priority).or_insert(sent_at);
        *newest = (*newest).max(sent_at);
        self.last_response_at = Some(now);
        self.last_alive_at = Some(now);
    }

    /// Returns when a response last started at any gateway.
    pub fn started_response_at(&self) -> Option<TimeMs> {
        self.last_response_at.max(self.last_response_at_peers)
    }

    /// Returns when anything last arrived that shows that the upstream runs, as far as all gateways
    /// have reported it.
    pub fn heard_at(&self) -> Option<TimeMs> {
        self.last_alive_at.max(self.last_response_at_peers)
    }

    /// Returns whether a request that was sent later, with the same or a less urgent priority, has
    /// its response.
    pub fn is_overtaken(&self, priority: u8, sent_at: TimeMs) -> bool {
        self.newest_answered_sent_at.range(priority..).any(|(_, newest)| *newest > sent_at)
    }

    /// Returns the number of requests in flight from all gateways.
    pub const fn total_in_flight(&self) -> u32 {
        self.in_flight + self.peer_load.in_flight
    }

    /// Returns the requests of this gateway that have ended since its last digest.
    pub const fn ended_since_report(&self) -> u32 {
        (self.reported_in_flight + self.sent_since_report).saturating_sub(self.in_flight)
    }

    /// Returns the requests in flight from all gateways, as far as all of them know.
    pub const fn reported_total(&self) -> u32 {
        self.reported_in_flight + self.peer_load.in_flight
    }

    /// Returns the requests that the upstream may have in flight, with those in its queue.
    pub fn capacity(&self) -> u32 {
        let slots = f64::from(self.registration.slots.max(1));
        (slots * (1.0 + QUEUED_SLOT_SHARE)).ceil() as u32
    }

    /// Returns the queued prefill time of the prompts of all gateways, in ms.
    pub fn backlog_ms(&self) -> f64 {
        self.prefill_ms + self.peer_load.prefill_ms
    }
}

fn cold_until(registration: &Registration, now: TimeMs) -> Option<TimeMs> {
    (registration.cold_ms.get() > 0).then(|| now + registration.cold_ms)
}
