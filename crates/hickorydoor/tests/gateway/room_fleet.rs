//! Simulation of gateways in front of a few upstreams with few slots, under more load than these take.
//!
//! Time is virtual. Upstreams run as many requests as they have slots and queue the others. Digests
//! take a few milliseconds, and a link may lose them.

use std::collections::BTreeMap;
use std::sync::Arc;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::Call;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::catalog::CallerLimits;
use hickorydoor::gateway::catalog::Catalog;
use hickorydoor::gateway::catalog::ServiceSpec;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::load_control::LoadControl;
use hickorydoor::gateway::peer_digest::PeerDigest;
use hickorydoor::gateway::route::CallKind;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::HOST;
use super::PLAIN;
use super::Rig;
use super::member;
use super::registration;
use super::route;

const STEP_MS: u64 = 5;
const TICK_MS: u64 = 50;
const DIGEST_MS: u64 = 100;
const HOP_MS: u64 = 5;
const SLOTS: usize = 6;
/// Requests that an upstream takes with those in its queue.
const CAPACITY: usize = 8;
const MEAN_SERVE_MS: u64 = 200;
/// Wait from which on an urgent request should go before a lesser one at any gateway: an interval of
/// digests and its delivery.
const KNOWN_AFTER_MS: u64 = 120;

/// A load and the links between the gateways.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub gateways: usize,
    pub upstreams: usize,
    /// Load as a multiple of what the slots serve.
    pub factor: f64,
    /// Share of the requests with rank 0; the others have rank 2.
    pub urgent_share: f64,
    pub run_ms: u64,
    /// Whether a digest from one gateway to another is lost at a time.
    pub is_lost: fn(usize, usize, u64) -> bool,
    /// When gateway 0 stops without a word, while its requests keep their slots until they end.
    pub stops_at: Option<u64>,
    pub seed: u64,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            gateways: 25,
            upstreams: 4,
            factor: 2.0,
            urgent_share: 0.3,
            run_ms: 10_000,
            is_lost: |_, _, _| false,
            stops_at: None,
            seed: 5,
        }
    }
}

/// What happened to the requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankResult {
    pub arrived: u32,
    pub answered_in_time: u32,
    pub sent: u32,
    pub waited_ms: u64,
}

/// Counts of a play.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub sent: u32,
    /// Requests sent to an upstream without room while another had some.
    pub misplaced: u32,
    /// Requests sent to an upstream without room.
    pub over_capacity: u32,
    /// Requests of rank 2 sent while one of rank 0 had waited for long elsewhere.
    pub overtaking: u32,
    /// Longest time for which an upstream had room while a request waited.
    pub longest_unused_ms: u64,
    pub by_rank: BTreeMap<u8, RankResult>,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    gateway: usize,
    call: CallId,
    serve_ms: u64,
    ends_at: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    rank: u8,
    arrived_at: u64,
    is_waiting: bool,
}

/// Gateways, upstreams and open requests.
#[derive(Debug)]
pub struct RoomFleet {
    play: Play,
    rigs: Vec<Rig>,
    jobs: Vec<Vec<Job>>,
    unused_since: Vec<Option<u64>>,
    open: BTreeMap<(usize, CallId), Open>,
    digests: Vec<(u64, usize, PeerDigest)>,
    random: Pcg64Mcg,
    now_ms: u64,
    pub results: Results,
}

fn objective_ms(rank: u8) -> u64 {
    if rank == 0 { 2_000 } else { 4_000 }
}

fn room_catalog() -> Catalog {
    let routes = [0, 2].map(|rank: u8| {
        let mut known = route(&format!("/r{rank}/"), CallKind::Idempotent, PLAIN);
        known.priority = rank;
        known.objective_ms = DurationMs::new(objective_ms(rank));
        known.timeout_ms = DurationMs::new(2 * objective_ms(rank));
        known
    });
    let service = ServiceSpec {
        name: PLAIN.parse().unwrap(),
        max_connections: None,
        cold_per_s: 0.0,
        memory_tokens: 0,
        transfer_ms_per_token: 0.0,
        models: Vec::new(),
    };
    Catalog::new(1, CallerLimits::default(), routes.to_vec(), vec![service], None)
}

impl RoomFleet {
    pub fn run(play: Play) -> Results {
        let catalog = Arc::new(room_catalog());
        let mut rigs = Vec::new();
        for index in 0..play.gateways {
            let load_control = LoadControl { divides_room: true, ..LoadControl::default() };
            let mut rig = Rig::with_load_control(&format!("gw-{index}"), load_control);
            rig.apply(GatewayEvent::Configured(Arc::clone(&catalog)));
            rig.sync_store();
            for peer in 0..play.gateways {
                let member = member(&format!("gw-{peer}"), "dc-1", 1_000);
                rig.apply(GatewayEvent::GatewayJoined(member));
            }
            for upstream in 0..play.upstreams {
                rig.register(registration(&format!("p-{upstream}"), PLAIN));
            }
            rigs.push(rig);
        }
        let mut fleet = Self {
            play,
            rigs,
            jobs: vec![Vec::new(); play.upstreams],
            unused_since: vec![None; play.upstreams],
            open: BTreeMap::new(),
            digests: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(play.seed),
            now_ms: 0,
            results: Results::default(),
        };
        while fleet.now_ms < play.run_ms {
            fleet.step();
        }
        fleet.results
    }

    fn is_stopped(&self, gateway: usize) -> bool {
        gateway == 0 && self.play.stops_at.is_some_and(|at| self.now_ms >= at)
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for rig in &mut self.rigs {
            rig.now = TimeMs::new(100_000 + self.now_ms);
        }
        self.serve();
        self.deliver();
        for gateway in 0..self.play.gateways {
            if self.is_stopped(gateway) {
                self.open.retain(|(known, _), open| *known != gateway || !open.is_waiting);
                continue;
            }
            let offset_ms = gateway as u64 * 37 / STEP_MS * STEP_MS;
            if (self.now_ms + offset_ms).is_multiple_of(TICK_MS) {
                let mut effects = self.rigs[gateway].sync_store();
                effects.extend(self.rigs[gateway].apply(GatewayEvent::Tick));
                self.carry_out(gateway, effects);
            }
            if (self.now_ms + offset_ms).is_multiple_of(DIGEST_MS) {
                let rig = &mut self.rigs[gateway];
                let bytes = rig.gateway.digest(rig.now).encode();
                let digest = PeerDigest::decode(&bytes).unwrap();
                self.digests.push((self.now_ms + HOP_MS, gateway, digest));
            }
        }
        self.arrive();
        self.observe_unused();
    }

    fn arrive(&mut self) {
        let per_ms = (self.play.upstreams * SLOTS) as f64 / MEAN_SERVE_MS as f64;
        let mut expected = per_ms * self.play.factor * STEP_MS as f64;
        while expected > 0.0 {
            if self.random.random::<f64>() < expected {
                let gateway = self.random.random_range(0..self.play.gateways);
                let is_urgent = self.random.random::<f64>() < self.play.urgent_share;
                if !self.is_stopped(gateway) {
                    self.send(gateway, if is_urgent { 0 } else { 2 });
                }
            }
            expected -= 1.0;
        }
    }

    fn send(&mut self, gateway: usize, rank: u8) {
        self.results.by_rank.entry(rank).or_default().arrived += 1;
        let arrived = self.results.by_rank.values().map(|result| result.arrived).sum::<u32>();
        let request = Call {
            client_attempt: format!("r-{arrived}").as_str().into(),
            host: HOST.into(),
            path: format!("/r{rank}/x").as_str().into(),
            ..Call::default()
        };
        let (call, effects) = self.rigs[gateway].send(request);
        let open = Open { rank, arrived_at: self.now_ms, is_waiting: true };
        self.open.insert((gateway, call), open);
        self.carry_out(gateway, effects);
    }

    fn carry_out(&mut self, gateway: usize, effects: Vec<GatewayEffect>) {
        for effect in effects {
            match effect {
                GatewayEffect::Dispatch { call, dispatch } => {
                    let id = dispatch.upstream.as_str();
                    let upstream = id.trim_start_matches("p-").parse().unwrap();
                    self.start(gateway, call, upstream);
                }
                GatewayEffect::Refuse { call, .. } => drop(self.open.remove(&(gateway, call))),
                _ => {}
            }
        }
    }

    fn start(&mut self, gateway: usize, call: CallId, upstream: usize) {
        let Some(open) = self.open.get_mut(&(gateway, call)) else {
            return;
        };
        open.is_waiting = false;
        let open = *open;
        self.results.sent += 1;
        let rank = self.results.by_rank.entry(open.rank).or_default();
        rank.sent += 1;
        rank.waited_ms += self.now_ms - open.arrived_at;
        if self.jobs[upstream].len() >= CAPACITY {
            self.results.over_capacity += 1;
            let has_alternative = self.jobs.iter().any(|jobs| jobs.len() < CAPACITY);
            self.results.misplaced += u32::from(has_alternative);
        }
        let waits_long = |known: &Open| {
            known.is_waiting
                && known.rank < open.rank
                && self.now_ms - known.arrived_at > KNOWN_AFTER_MS
        };
        self.results.overtaking += u32::from(self.open.values().any(waits_long));
        let serve_ms = self.random.random_range(MEAN_SERVE_MS / 2..MEAN_SERVE_MS * 3 / 2);
        self.jobs[upstream].push(Job { gateway, call, serve_ms, ends_at: None });
    }

    fn serve(&mut self) {
        for upstream in 0..self.jobs.len() {
            for job in self.jobs[upstream].iter_mut().take(SLOTS) {
                job.ends_at.get_or_insert(self.now_ms + job.serve_ms);
            }
            let is_ended = |job: &Job| job.ends_at.is_some_and(|at| at <= self.now_ms);
            let ended: Vec<Job> = self.jobs[upstream].iter().copied().filter(is_ended).collect();
            self.jobs[upstream].retain(|job| !is_ended(job));
            for job in ended {
                let open = self.open.remove(&(job.gateway, job.call));
                if self.is_stopped(job.gateway) {
                    continue;
                }
                if let Some(open) = open {
                    let in_time = self.now_ms - open.arrived_at <= objective_ms(open.rank);
                    let rank = self.results.by_rank.entry(open.rank).or_default();
                    rank.answered_in_time += u32::from(in_time);
                }
                let served = AttemptOutcome::Served;
                let effects = self.rigs[job.gateway].end_attempt(job.call, served);
                self.carry_out(job.gateway, effects);
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = self.digests.drain(..).partition(|(at, _, _)| *at <= now_ms);
        self.digests = later;
        for (_, sender, digest) in due as Vec<(u64, usize, PeerDigest)> {
            for gateway in 0..self.play.gateways {
                let is_lost = (self.play.is_lost)(sender, gateway, now_ms);
                if gateway == sender || is_lost || self.is_stopped(gateway) {
                    continue;
                }
                let event = GatewayEvent::Digest(Box::new(digest.clone()));
                let effects = self.rigs[gateway].apply(event);
                self.carry_out(gateway, effects);
            }
        }
    }

    /// Observes how long upstreams have room although requests wait.
    fn observe_unused(&mut self) {
        let has_waiting = self.open.values().any(|open| open.is_waiting);
        for (jobs, since) in self.jobs.iter().zip(&mut self.unused_since) {
            if !has_waiting || jobs.len() >= SLOTS {
                *since = None;
                continue;
            }
            let unused_ms = self.now_ms - *since.get_or_insert(self.now_ms);
            self.results.longest_unused_ms = self.results.longest_unused_ms.max(unused_ms);
        }
    }
}
