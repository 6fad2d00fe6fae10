//! One upstream as a gateway knows it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::gateway::failure_score::FailureScore;
use crate::gateway::prompt_cache::PromptCache;
use crate::id::DataCentreId;
use crate::id::RegionId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Window over which sends to a cold upstream are counted; a little over a second, so that
/// requests that travel for a different time do not meet in one second.
const COLD_WINDOW_MS: DurationMs = DurationMs::new(1_050);

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Region of the data centre, if known.
    pub region: Option<RegionId>,
    /// Version of its software.
    pub version: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is cold.
    pub cold_ms: DurationMs,
    /// Unix milliseconds of its start; distinguishes starts under one id.
    pub started_unix_ms: u64,
    /// Grows with each registration of one start.
    pub sequence: u64,
}

/// Work that other gateways have at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests.
    pub in_flight: u32,
    /// Time to read their prompts, in ms.
    pub reading_ms: f64,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its newest registration.
    pub registration: Registration,
    /// Until when it is cold.
    pub cold_until: Option<TimeMs>,
    /// When the registration vanished while the store was unsettled.
    pub missing_since: Option<TimeMs>,
    /// Own requests that it works on.
    pub in_flight: u32,
    /// Own prompts that it has yet to read, in ms.
    pub reading_ms: f64,
    /// Work of the other gateways.
    pub peers: PeerLoad,
    /// Recent outcomes.
    pub failures: FailureScore,
    /// When the newest request was sent of those whose answer has begun, for each rank.
    pub answered_sent_at: BTreeMap<u8, TimeMs>,
    /// When an answer began last.
    pub answered_at: Option<TimeMs>,
    /// Prompt parts that it keeps.
    pub cache: PromptCache,
    /// Whether one more request may be sent if it is cold.
    pub cold_room: bool,
    cold_sends: VecDeque<TimeMs>,
}

impl Upstream {
    /// A newly registered upstream.
    pub fn new(registration: Registration, now: TimeMs) -> Self {
        let cold_until = cold_until(&registration, now);
        Self {
            registration,
            cold_until,
            missing_since: None,
            in_flight: 0,
            reading_ms: 0.0,
            peers: PeerLoad::default(),
            failures: FailureScore::default(),
            answered_sent_at: BTreeMap::new(),
            answered_at: None,
            cache: PromptCache::default(),
            cold_room: false,
            cold_sends: VecDeque::new(),
        }
    }

    /// Takes in a newer registration; older ones are ignored.
    pub fn update(&mut self, registration: Registration, now: TimeMs) {
        let known = (self.registration.started_unix_ms, self.registration.sequence);
        let offered = (registration.started_unix_ms, registration.sequence);
        if offered < known {
            return;
        }
        if offered.0 != known.0 {
            *self = Self::new(registration, now);
            return;
        }
        let cold_until = cold_until(&registration, now);
        if cold_until.is_some() && self.cold_until.is_none() {
            // A cold engine has lost what made it fast.
            self.cache = PromptCache::default();
        }
        self.cold_until = cold_until;
        self.missing_since = None;
        self.registration = registration;
    }

    /// Whether it bears only a bounded rate now.
    pub fn is_cold(&self, now: TimeMs) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Treats it as cold for a while, as after a connection that failed.
    pub fn suspect(&mut self, for_ms: DurationMs, now: TimeMs) {
        self.cold_until = self.cold_until.max(Some(now + for_ms));
    }

    /// Whether one more request may be sent while it is cold.
    pub fn has_cold_room(&mut self, share: usize, now: TimeMs) -> bool {
        self.drop_old_sends(now);
        self.cold_sends.len() < share
    }

    /// Counts a request that is sent.
    pub fn on_send(&mut self, now: TimeMs) {
        self.in_flight += 1;
        self.drop_old_sends(now);
        self.cold_sends.push_back(now);
    }

    fn drop_old_sends(&mut self, now: TimeMs) {
        while self.cold_sends.front().is_some_and(|at| now.since(*at) > COLD_WINDOW_MS) {
            self.cold_sends.pop_front();
        }
    }

    /// Notes that the answer to a request of this rank has begun.
    pub fn on_answer(&mut self, priority: u8, sent_at: TimeMs, now: TimeMs) {
        let newest = self.answered_sent_at.entry(priority).or_insert(sent_at);
        *newest = (*newest).max(sent_at);
        self.answered_at = Some(now);
    }

    /// Whether a request of this rank or a less urgent one that was sent later has its answer.
    pub fn has_overtaken(&self, priority: u8, sent_at: TimeMs) -> bool {
        self.answered_sent_at.range(priority..).any(|(_, newest)| *newest > sent_at)
    }

    /// Requests of all gateways that it works on.
    pub const fn total_in_flight(&self) -> u32 {
        self.in_flight + self.peers.in_flight
    }

    /// Prompts of all gateways that it has yet to read, in ms.
    pub fn backlog_ms(&self) -> f64 {
        self.reading_ms + self.peers.reading_ms
    }
}

fn cold_until(registration: &Registration, now: TimeMs) -> Option<TimeMs> {
    (registration.cold_ms.get() > 0).then(|| now + registration.cold_ms)
}
