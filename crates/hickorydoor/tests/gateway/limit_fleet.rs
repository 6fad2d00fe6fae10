//! Simulation of gateways in front of upstreams that name limits in their answers.
//!
//! Time is virtual. Each message between gateways takes a few milliseconds, and a link may lose it.

use std::collections::BTreeMap;
use std::collections::HashMap;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::NotRun;
use hickorydoor::gateway::peer_digest::PeerDigest;
use hickorydoor::gateway::peer_message::PeerMessage;
use hickorydoor::gateway::rate_limits::LimitNotice;
use hickorydoor::gateway::rate_limits::RequestRate;
use hickorydoor::gateway::upstreams::Registration;
use hickorydoor::gateway::upstreams::UpstreamNotice;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::ENGINES;
use super::PLAIN;
use super::Rig;
use super::call;
use super::member;
use super::registration;

/// Window in which the requests to an upstream are counted.
pub const WINDOW_MS: u64 = 4_000;
const START_MS: u64 = 100_000;
const TICK_MS: u64 = 50;
const HOP_MS: u64 = 2;
const SERVE_MS: u64 = 150;
/// Shortest time between two digests of a gateway.
const MIN_DIGEST_MS: u64 = 20;
const MIN_DIGEST_MS_PER_PEER: u64 = 6;
const DIGEST_MS: u64 = 100;

/// What an upstream does with the requests that reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    Serves,
    Errors,
    Refuses,
}

/// An upstream, and what it says of its limit from which time on.
#[derive(Clone, Debug)]
pub struct LimitedUpstream {
    pub words: Vec<(u64, LimitNotice)>,
    pub answers: Answers,
    /// When requests reached it, and from which gateway.
    pub arrivals: Vec<(u64, usize)>,
    registration: Registration,
}

impl LimitedUpstream {
    fn word(&self, at_ms: u64) -> LimitNotice {
        let said = self.words.iter().rev().find(|(from_ms, _)| *from_ms <= at_ms);
        said.map_or(LimitNotice::Unlimited, |(_, word)| *word)
    }

    /// Returns when the first answer since `from_ms` has told a gateway of the limit.
    pub fn told_ms(&self, from_ms: u64) -> u64 {
        let first = self.arrivals.iter().map(|(at, _)| *at).find(|at| *at >= from_ms);
        first.map_or(from_ms, |at| at + SERVE_MS)
    }

    /// Returns the most requests in a window that begins at `from_ms` or later.
    pub fn most_in_window(&self, from_ms: u64) -> usize {
        let times: Vec<u64> = self.arrivals.iter().map(|(at, _)| *at).collect();
        let starts = times.iter().enumerate().filter(|(_, at)| **at >= from_ms);
        starts
            .map(|(first, start)| {
                times[first..].iter().take_while(|at| **at < start + WINDOW_MS).count()
            })
            .max()
            .unwrap_or(0)
    }

    /// Returns the requests per second between two times.
    pub fn rate(&self, from_ms: u64, to_ms: u64) -> f64 {
        let count = self.arrivals.iter().filter(|(at, _)| (from_ms..to_ms).contains(at)).count();
        count as f64 * 1_000.0 / (to_ms - from_ms) as f64
    }
}

/// How a request ended for its caller, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    pub gateway: usize,
    pub at_ms: u64,
    pub took_ms: u64,
    pub is_served: bool,
    pub retry_after_ms: Option<u64>,
}

#[derive(Clone, Debug)]
enum Step {
    Tick(usize),
    Digest(usize),
    Deliver(usize, Box<GatewayEvent>),
    Reach { gateway: usize, call: CallId, upstream: String },
    Answer { gateway: usize, call: CallId, notice: UpstreamNotice, outcome: AttemptOutcome },
}

/// Gateways and upstreams of one service.
#[derive(Debug)]
pub struct LimitFleet {
    pub rigs: Vec<Rig>,
    pub upstreams: BTreeMap<String, LimitedUpstream>,
    pub ended: Vec<Ended>,
    /// Whether a message between two gateways is lost at a time.
    pub is_lost: fn(from: usize, to: usize, at_ms: u64) -> bool,
    /// Messages between gateways beside digests.
    pub messages: usize,
    /// Their bytes.
    pub message_bytes: usize,
    path: &'static str,
    open: HashMap<(usize, CallId), u64>,
    paused_until: Vec<u64>,
    is_lost_gateway: Vec<bool>,
    digest_at: Vec<u64>,
    agenda: BTreeMap<(u64, u64), Step>,
    scheduled: u64,
    now_ms: u64,
    random: Pcg64Mcg,
}

/// A limit that an upstream names.
pub fn limit(per_s: f64) -> LimitNotice {
    LimitNotice::Limited(RequestRate::try_from(per_s).unwrap())
}

impl LimitFleet {
    /// Gateways and upstreams, the first of which say what `words` holds.
    pub fn new(
        path: &'static str,
        gateways: usize,
        words: &[Vec<(u64, LimitNotice)>],
        others: usize,
        seed: u64,
    ) -> Self {
        let service = if path.starts_with("/draft") { ENGINES } else { PLAIN };
        let host = |index: usize| format!("gw-{index}");
        let mut fleet = Self {
            rigs: (0..gateways).map(|index| Rig::new(&host(index))).collect(),
            upstreams: BTreeMap::new(),
            ended: Vec::new(),
            is_lost: |_, _, _| false,
            messages: 0,
            message_bytes: 0,
            path,
            open: HashMap::new(),
            paused_until: vec![0; gateways],
            is_lost_gateway: vec![false; gateways],
            digest_at: vec![0; gateways],
            agenda: BTreeMap::new(),
            scheduled: 0,
            now_ms: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        let unlimited = std::iter::repeat_n(Vec::new(), others);
        for (index, words) in words.iter().cloned().chain(unlimited).enumerate() {
            let id = format!("u-{index}");
            let mut known = registration(&id, service);
            known.slots = 64;
            for rig in &mut fleet.rigs {
                rig.register(known.clone());
            }
            let upstream = LimitedUpstream {
                words,
                answers: Answers::Serves,
                arrivals: Vec::new(),
                registration: known,
            };
            fleet.upstreams.insert(id, upstream);
        }
        for gateway in 0..gateways {
            for peer in (0..gateways).filter(|peer| *peer != gateway) {
                let joined = GatewayEvent::GatewayJoined(member(&host(peer), "dc-1", 1_000));
                fleet.rigs[gateway].apply(joined);
            }
            fleet.schedule((gateway as u64 * 7) % TICK_MS, Step::Tick(gateway));
            fleet.schedule((gateway as u64 * 13) % DIGEST_MS, Step::Digest(gateway));
        }
        fleet
    }

    fn schedule(&mut self, after_ms: u64, step: Step) {
        self.scheduled += 1;
        self.agenda.insert((self.now_ms + after_ms, self.scheduled), step);
    }

    /// Sends requests at `per_s` until `until_ms`; gateway `i` gets a share of `weights[i]`.
    pub fn run(&mut self, per_s: f64, weights: &[f64], until_ms: u64) {
        let total: f64 = weights.iter().sum();
        let mut arrives_at_ms = self.now_ms as f64;
        loop {
            let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
            arrives_at_ms += -uniform.ln() * 1_000.0 / per_s;
            if arrives_at_ms >= until_ms as f64 {
                return self.advance(until_ms);
            }
            self.advance(arrives_at_ms as u64);
            let mut point = self.random.random_range(0.0..total);
            let chosen = weights.iter().position(|weight| {
                point -= weight;
                point < 0.0
            });
            self.arrive(chosen.unwrap_or(0));
        }
    }

    /// Runs until `until_ms`, without new requests.
    pub fn advance(&mut self, until_ms: u64) {
        while let Some(entry) = self.agenda.first_entry()
            && entry.key().0 <= until_ms
        {
            let ((at_ms, _), step) = entry.remove_entry();
            self.now_ms = self.now_ms.max(at_ms);
            self.carry_out(step);
        }
        self.now_ms = until_ms;
    }

    /// Pauses a gateway: it handles nothing until then.
    pub fn pause(&mut self, gateway: usize, until_ms: u64) {
        self.paused_until[gateway] = until_ms;
    }

    /// Ends the process of a gateway; the others still find it in the store.
    pub fn kill(&mut self, gateway: usize) {
        self.is_lost_gateway[gateway] = true;
        self.open.retain(|(known, _), _| *known != gateway);
    }

    /// Removes the key of a gateway from the store, as the end of its lease does.
    pub fn end_lease(&mut self, gateway: usize) {
        let host = self.rigs[gateway].gateway.host().clone();
        for other in (0..self.rigs.len()).filter(|other| *other != gateway) {
            self.apply(other, GatewayEvent::GatewayLeft(host.clone()));
        }
    }

    /// Starts an upstream again under its id; from then on it says what `words` holds.
    pub fn restart_upstream(&mut self, id: &str, words: Vec<(u64, LimitNotice)>) {
        let upstream = self.upstreams.get_mut(id).unwrap();
        upstream.registration.started_unix_ms += 1;
        upstream.words = words;
        let known = upstream.registration.clone();
        for gateway in 0..self.rigs.len() {
            self.apply(gateway, GatewayEvent::Registered(Box::new(known.clone())));
        }
    }

    /// Starts a gateway again, without what it knew.
    pub fn restart_gateway(&mut self, gateway: usize, incarnation: u64) {
        let host = |index: usize| format!("gw-{index}");
        self.is_lost_gateway[gateway] = false;
        self.rigs[gateway] = Rig::restarted(&host(gateway), incarnation);
        self.open.retain(|(known, _), _| *known != gateway);
        let known: Vec<Registration> =
            self.upstreams.values().map(|upstream| upstream.registration.clone()).collect();
        for registration in known {
            self.apply(gateway, GatewayEvent::Registered(Box::new(registration)));
        }
        for peer in (0..self.rigs.len()).filter(|peer| *peer != gateway) {
            let joined = member(&host(peer), "dc-1", 1_000);
            self.apply(gateway, GatewayEvent::GatewayJoined(joined));
        }
        for other in (0..self.rigs.len()).filter(|other| *other != gateway) {
            let joined = GatewayEvent::GatewayJoined(member(&host(gateway), "dc-1", 1_000));
            self.apply(other, joined);
        }
        self.rigs[gateway].now = TimeMs::new(START_MS + self.now_ms);
        let rig = &mut self.rigs[gateway];
        let effects = rig.sync_store();
        self.handle(gateway, effects);
    }

    fn arrive(&mut self, gateway: usize) {
        if self.is_lost_gateway[gateway] {
            return;
        }
        let id = format!("r-{}-{}", self.now_ms, self.random.random::<u32>());
        let request = call(self.path, &id);
        self.rigs[gateway].now = TimeMs::new(START_MS + self.now_ms);
        let (call, effects) = self.rigs[gateway].send(request);
        self.open.insert((gateway, call), self.now_ms);
        self.handle(gateway, effects);
    }

    fn apply(&mut self, gateway: usize, event: GatewayEvent) {
        if self.is_lost_gateway[gateway] {
            return;
        }
        if self.now_ms < self.paused_until[gateway] {
            let after_ms = self.paused_until[gateway] - self.now_ms;
            return self.schedule(after_ms, Step::Deliver(gateway, Box::new(event)));
        }
        let rig = &mut self.rigs[gateway];
        rig.now = TimeMs::new(START_MS + self.now_ms);
        let effects = rig.apply(event);
        self.handle(gateway, effects);
    }

    fn carry_out(&mut self, step: Step) {
        match step {
            Step::Tick(gateway) => {
                if self.now_ms >= self.paused_until[gateway] && !self.is_lost_gateway[gateway] {
                    self.rigs[gateway].now = TimeMs::new(START_MS + self.now_ms);
                    let effects = self.rigs[gateway].sync_store();
                    self.handle(gateway, effects);
                    self.apply(gateway, GatewayEvent::Tick);
                }
                self.schedule(TICK_MS, Step::Tick(gateway));
            }
            Step::Digest(gateway) => {
                self.send_digest(gateway);
                let peers = self.rigs.len() as u64 - 1;
                let interval_ms = DIGEST_MS.max(MIN_DIGEST_MS_PER_PEER * peers);
                self.schedule(interval_ms, Step::Digest(gateway));
            }
            Step::Deliver(gateway, event) => self.apply(gateway, *event),
            Step::Reach { gateway, call, upstream } => self.reach(gateway, call, &upstream),
            Step::Answer { gateway, call, notice, outcome } => {
                if !notice.is_empty() || self.rigs[gateway].gateway.is_limited(call) {
                    self.apply(gateway, GatewayEvent::UpstreamNoticed { call, notice });
                }
                if outcome == AttemptOutcome::Served && self.path.starts_with("/draft") {
                    self.apply(gateway, GatewayEvent::FirstEvent { call });
                }
                let last_event = None;
                let delivered = false;
                let ended = GatewayEvent::AttemptEnded { call, outcome, last_event, delivered };
                self.apply(gateway, ended);
            }
        }
    }

    fn send_digest(&mut self, gateway: usize) {
        if self.now_ms < self.paused_until[gateway] || self.is_lost_gateway[gateway] {
            return;
        }
        self.digest_at[gateway] = self.now_ms;
        let rig = &mut self.rigs[gateway];
        let digest = PeerDigest::decode(&rig.gateway.digest(rig.now).encode()).unwrap();
        for peer in (0..self.rigs.len()).filter(|peer| *peer != gateway) {
            if !(self.is_lost)(gateway, peer, self.now_ms) {
                let event = GatewayEvent::Digest(Box::new(digest.clone()));
                self.schedule(HOP_MS, Step::Deliver(peer, Box::new(event)));
            }
        }
    }

    fn reach(&mut self, gateway: usize, call: CallId, upstream: &str) {
        let now_ms = self.now_ms;
        let known = self.upstreams.get_mut(upstream).unwrap();
        known.arrivals.push((now_ms, gateway));
        let notice = UpstreamNotice { limit: known.word(now_ms), ..UpstreamNotice::default() };
        let (after_ms, outcome) = match known.answers {
            Answers::Serves => (SERVE_MS, AttemptOutcome::Served),
            Answers::Errors => (HOP_MS, AttemptOutcome::Failed { status: 500 }),
            Answers::Refuses => (HOP_MS, AttemptOutcome::NotRun(NotRun::Refused)),
        };
        self.schedule(after_ms, Step::Answer { gateway, call, notice, outcome });
    }

    fn handle(&mut self, gateway: usize, effects: Vec<GatewayEffect>) {
        for effect in effects {
            match effect {
                GatewayEffect::Dispatch { call, dispatch } => {
                    let upstream = dispatch.upstream.to_string();
                    self.schedule(HOP_MS, Step::Reach { gateway, call, upstream });
                }
                GatewayEffect::Refuse { call, refusal } => {
                    let retry_after_ms = refusal.retry_after_ms.map(DurationMs::get);
                    self.end(gateway, call, false, retry_after_ms);
                }
                GatewayEffect::Deliver { call } => self.end(gateway, call, true, None),
                GatewayEffect::Abort { call } => self.end(gateway, call, false, None),
                GatewayEffect::SendDigest => {
                    let due_ms = (self.digest_at[gateway] + MIN_DIGEST_MS).max(self.now_ms);
                    if due_ms == self.now_ms {
                        self.send_digest(gateway);
                    }
                }
                GatewayEffect::SendPermit { host, message } => {
                    self.messages += 1;
                    let peer: usize = host.as_str()[3..].parse().unwrap();
                    let host = self.rigs[gateway].gateway.host().clone();
                    let bytes = PeerMessage::Permit { host, message: *message }.encode();
                    self.message_bytes += bytes.len();
                    if !(self.is_lost)(gateway, peer, self.now_ms) {
                        let PeerMessage::Permit { host, message } =
                            PeerMessage::decode(&bytes).unwrap()
                        else {
                            panic!("not a message about a permit");
                        };
                        let event = GatewayEvent::Permit { host, message: Box::new(message) };
                        self.schedule(HOP_MS, Step::Deliver(peer, Box::new(event)));
                    }
                }
                _ => {}
            }
        }
    }

    fn end(&mut self, gateway: usize, call: CallId, is_served: bool, retry_after_ms: Option<u64>) {
        if let Some(arrived_ms) = self.open.remove(&(gateway, call)) {
            let took_ms = self.now_ms - arrived_ms;
            let at_ms = self.now_ms;
            self.ended.push(Ended { gateway, at_ms, took_ms, is_served, retry_after_ms });
        }
    }
}
