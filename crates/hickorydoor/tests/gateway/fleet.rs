//! Discrete-time simulation of gateways in front of model engines.
//!
//! An engine prefills prompts one after the other, the most urgent first, and caches shared parts
//! by model until its memory is full. While it prefills, running answers advance once per prefill
//! chunk, otherwise once per decode step. Gateways exchange digests every 100 ms.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::effect::Dispatch;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::ResponseFault;
use hickorydoor::gateway::load_control::LoadControl;
use hickorydoor::gateway::prompt_cache::chains;
use hickorydoor::gateway::refusal::CallRefusal;
use hickorydoor::gateway::route::Route;
use hickorydoor::id::ModelId;
use hickorydoor::id::UpstreamId;

use super::ENGINES;
use super::KEY;
use super::Rig;
use super::call;
use super::catalog_with;
use super::prompt;
use super::registration;

/// Time step of the simulation.
pub const STEP_MS: u64 = 10;
const DIGEST_INTERVAL_MS: u64 = 100;
const ANSWER_TOKENS: f64 = 120.0;
/// Time from the end of the prefill to the first event.
const FIRST_EVENT_MS: u64 = 50;
/// Tokens that an engine prefills between two decode steps of running answers.
const CHUNK_TOKENS: f64 = 2_048.0;

/// Prefill time per token and time per decode step of a model, in ms.
fn pace(model: &ModelId) -> (f64, f64) {
    match model.as_str() {
        "small" => (0.007, 5.0),
        "middle" => (0.0277, 8.0),
        _ => (0.072, 16.0),
    }
}

#[derive(Clone, Debug)]
struct Job {
    gateway: usize,
    call: CallId,
    priority: u8,
    sent_at: u64,
    model: ModelId,
    prefill_ms: f64,
    first_event_at: u64,
    tokens_left: f64,
    weak: bool,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    waiting: Vec<Job>,
    running: Vec<Job>,
    cached: HashSet<u64>,
    order: VecDeque<u64>,
}

impl Engine {
    fn uncached_tokens(&mut self, dispatch: &Dispatch, model: &ModelId, request: &Request) -> f64 {
        let prompt = prompt(request.subject, request.shared_tokens, request.own_tokens);
        let parts = chains(model, &prompt);
        let mut cached_tokens = 0;
        for part in &parts {
            if dispatch.fetch_from.is_some() || self.cached.contains(&part.chain) {
                cached_tokens += part.tokens;
            }
            if self.cached.insert(part.chain) {
                self.order.push_back(part.chain);
            }
        }
        while self.order.len() > 30 {
            let oldest = self.order.pop_front();
            self.cached.retain(|chain| Some(*chain) != oldest);
        }
        f64::from(prompt.tokens - cached_tokens)
    }

    fn enqueue(&mut self, job: Job) {
        let after = |known: &Job| (known.priority, known.sent_at) <= (job.priority, job.sent_at);
        let position = self.waiting.partition_point(after);
        self.waiting.insert(position, job);
    }
}

/// One request of the simulated load.
#[derive(Clone, Debug)]
pub struct Request {
    pub at_ms: u64,
    pub kind: &'static str,
    pub subject: u64,
    pub shared_tokens: u32,
    pub own_tokens: u32,
    pub objective_ms: u64,
    pub customer: usize,
    /// Path and key with which it is sent.
    pub path: &'static str,
    pub key: String,
    /// Gateway that gets it; `None` for the next one in turn.
    pub gateway: Option<usize>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    InTime,
    Late,
    Refused,
    Failed,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    request: usize,
    started: bool,
}

/// Gateways and engines with the open requests.
#[derive(Debug)]
pub struct Fleet {
    pub rigs: Vec<Rig>,
    engines: BTreeMap<UpstreamId, Engine>,
    open: HashMap<(usize, CallId), OpenRequest>,
    pub requests: Vec<Request>,
    pub outcomes: Vec<Option<Outcome>>,
    pub models: Vec<Option<ModelId>>,
    /// Engines that start during the run: time, id and how long they are cold.
    joining: Vec<(u64, String, u64)>,
    /// Slots of each engine.
    slots: u32,
    /// Factor on all times of the engines.
    pub slowness: f64,
    /// Time until the deadline of a request, at which its attempt ends; `None` to let it run on.
    pub deadline_ms: Option<u64>,
    /// When each request that was refused was refused, and its retry hint.
    pub refusals: Vec<Option<(u64, CallRefusal)>>,
    /// Whether digests are lost.
    pub are_digests_lost: bool,
    /// Work that the engines have prefilled, in ms of an engine at its usual speed.
    pub prefilled_ms: f64,
    /// Kinds of requests that have a route of their own.
    routed_kinds: HashSet<String>,
    now_ms: u64,
    seed: u64,
}

impl Fleet {
    pub fn new(gateways: usize, engines: usize) -> Self {
        Self::with_slots(gateways, engines, registration("e-0", ENGINES).slots)
    }

    /// Gateways and engines with a number of slots each.
    pub fn with_slots(gateways: usize, engines: usize, slots: u32) -> Self {
        Self::with_load_control(gateways, engines, slots, LoadControl::default())
    }

    /// Gateways that use these parts of load control, and engines with a number of slots each.
    pub fn with_load_control(
        gateways: usize,
        engines: usize,
        slots: u32,
        load_control: LoadControl,
    ) -> Self {
        let rig = |index| Rig::with_load_control(&format!("gw-{index}"), load_control).configured();
        let mut fleet = Self {
            rigs: (0..gateways).map(rig).collect(),
            engines: BTreeMap::new(),
            open: HashMap::new(),
            requests: Vec::new(),
            outcomes: Vec::new(),
            models: Vec::new(),
            joining: Vec::new(),
            slots,
            slowness: 1.0,
            deadline_ms: None,
            refusals: Vec::new(),
            are_digests_lost: false,
            prefilled_ms: 0.0,
            routed_kinds: HashSet::new(),
            now_ms: 0,
            seed: 1,
        };
        for index in 0..engines {
            fleet.start_engine(&format!("e-{index}"), 0);
        }
        fleet
    }

    /// Sends the requests of each kind on a route of its own, which is named after the kind.
    pub fn configure_routes(&mut self, routes: &[Route]) {
        self.routed_kinds = routes.iter().map(|route| route.name.to_string()).collect();
        let catalog = Arc::new(catalog_with(2, &[KEY], routes.to_vec()));
        for rig in &mut self.rigs {
            rig.apply(GatewayEvent::Configured(Arc::clone(&catalog)));
        }
    }

    /// Starts an engine that is cold for `cold_ms`.
    pub fn start_engine(&mut self, id: &str, cold_ms: u64) {
        let mut registration = registration(id, ENGINES);
        registration.cold_ms = DurationMs::new(cold_ms);
        registration.slots = self.slots;
        self.engines.insert(registration.upstream.clone(), Engine::default());
        for rig in &mut self.rigs {
            rig.register(registration.clone());
        }
    }

    /// Starts an empty engine during the next run.
    pub fn start_engine_at(&mut self, at_ms: u64, id: &str, cold_ms: u64) {
        self.joining.push((at_ms, id.to_owned(), cold_ms));
    }

    /// Stops an engine; the connections of its requests are closed.
    pub fn stop_engine(&mut self, id: &str) {
        let upstream: UpstreamId = id.parse().unwrap();
        let engine = self.engines.remove(&upstream).unwrap_or_default();
        for rig in &mut self.rigs {
            rig.apply(GatewayEvent::Deregistered(upstream.clone()));
        }
        for job in engine.waiting.into_iter().chain(engine.running) {
            let broken =
                AttemptOutcome::Unknown(hickorydoor::gateway::event::ResponseFault::Closed);
            let effects = self.rigs[job.gateway].end_attempt(job.call, broken);
            self.apply_effects(job.gateway, effects);
        }
    }

    /// Runs a load, and continues until its requests have ended.
    pub fn run(&mut self, load: Vec<Request>) {
        let first = self.requests.len();
        let end_ms = load.last().map_or(0, |request| request.at_ms) + 16_000;
        self.outcomes.resize(first + load.len(), None);
        self.models.resize(first + load.len(), None);
        self.refusals.resize(first + load.len(), None);
        self.requests.extend(load);
        let mut next = first;
        while self.now_ms < end_ms {
            while next < self.requests.len() && self.requests[next].at_ms <= self.now_ms {
                self.arrive(next);
                next += 1;
            }
            self.step();
        }
    }

    /// Delivers the digest of each gateway to all others.
    fn exchange_digests(&mut self) {
        if self.are_digests_lost {
            return;
        }
        let digests: Vec<_> = self.rigs.iter_mut().map(|rig| rig.gateway.digest(rig.now)).collect();
        for gateway in 0..self.rigs.len() {
            for digest in &digests {
                let event = GatewayEvent::Digest(Box::new(digest.clone()));
                let effects = self.rigs[gateway].apply(event);
                self.apply_effects(gateway, effects);
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        let (due, later) = self.joining.drain(..).partition(|(at_ms, _, _)| *at_ms <= now_ms);
        self.joining = later;
        for (_, id, cold_ms) in due as Vec<(u64, String, u64)> {
            self.start_engine(&id, cold_ms);
        }
        self.end_overdue();
        for gateway in 0..self.rigs.len() {
            let rig = &mut self.rigs[gateway];
            rig.now = rig.now + DurationMs::new(STEP_MS);
            if self.now_ms.is_multiple_of(50) {
                let mut effects = rig.sync_store();
                effects.extend(rig.apply(GatewayEvent::Tick));
                self.apply_effects(gateway, effects);
            }
        }
        if self.now_ms.is_multiple_of(DIGEST_INTERVAL_MS) {
            self.exchange_digests();
        }
        let ids: Vec<UpstreamId> = self.engines.keys().cloned().collect();
        for id in ids {
            self.step_engine(&id);
        }
    }

    /// Ends the attempts of requests whose deadline has passed before their first event.
    fn end_overdue(&mut self) {
        let Some(deadline_ms) = self.deadline_ms else {
            return;
        };
        let is_overdue = |open: &OpenRequest| {
            !open.started && self.now_ms >= self.requests[open.request].at_ms + deadline_ms
        };
        let mut overdue: Vec<(usize, CallId)> =
            self.open.iter().filter(|(_, open)| is_overdue(open)).map(|(id, _)| *id).collect();
        overdue.sort_unstable();
        for (gateway, id) in overdue {
            self.remove_job(gateway, id);
            let timed_out = AttemptOutcome::Unknown(ResponseFault::TimedOut);
            let effects = self.rigs[gateway].end_attempt(id, timed_out);
            self.apply_effects(gateway, effects);
        }
    }

    fn step_engine(&mut self, id: &UpstreamId) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let mut budget_ms = STEP_MS as f64;
        let mut started = Vec::new();
        let mut prefilling = None;
        while budget_ms > 0.0 && !engine.waiting.is_empty() {
            prefilling = Some(engine.waiting[0].model.clone());
            let job = &mut engine.waiting[0];
            let slice_ms = budget_ms.min(job.prefill_ms);
            job.prefill_ms -= slice_ms;
            self.prefilled_ms += slice_ms / self.slowness;
            budget_ms -= slice_ms;
            if job.prefill_ms > 0.0 {
                break;
            }
            let mut job = engine.waiting.remove(0);
            job.first_event_at = self.now_ms + FIRST_EVENT_MS;
            engine.running.push(job);
        }
        started
            .extend(engine.running.iter().filter(|job| job.first_event_at == self.now_ms).cloned());
        let mut ended = Vec::new();
        for job in &mut engine.running {
            let token_ms = match &prefilling {
                Some(model) => pace(model).0 * CHUNK_TOKENS,
                None => pace(&job.model).1,
            };
            job.tokens_left -= STEP_MS as f64 / (token_ms * self.slowness);
            if job.tokens_left <= 0.0 {
                ended.push(job.clone());
            }
        }
        engine.running.retain(|job| job.tokens_left > 0.0);
        engine.running.retain(|job| !(job.weak && job.first_event_at <= self.now_ms));
        for job in started {
            self.start_response(&job);
        }
        for job in ended.iter().filter(|job| !job.weak) {
            let effects = self.rigs[job.gateway].end_attempt_after(
                job.call,
                AttemptOutcome::Served,
                Some(30),
            );
            self.apply_effects(job.gateway, effects);
        }
    }

    fn start_response(&mut self, job: &Job) {
        if job.weak {
            let effects = self.rigs[job.gateway].end_attempt(job.call, AttemptOutcome::Weak);
            return self.apply_effects(job.gateway, effects);
        }
        let event = GatewayEvent::FirstEvent { call: job.call };
        let effects = self.rigs[job.gateway].apply(event);
        self.apply_effects(job.gateway, effects);
        let Some(open) = self.open.get_mut(&(job.gateway, job.call)) else {
            return;
        };
        open.started = true;
        let index = open.request;
        let request = &self.requests[index];
        let in_time = self.now_ms - request.at_ms <= request.objective_ms;
        self.outcomes[index] = Some(if in_time { Outcome::InTime } else { Outcome::Late });
        self.models[index] = Some(job.model.clone());
    }

    fn arrive(&mut self, index: usize) {
        let request = self.requests[index].clone();
        let gateway = request.gateway.unwrap_or(index % self.rigs.len());
        let is_routed = self.routed_kinds.contains(request.kind);
        let routed_path = format!("/{}/1", request.kind);
        let mut sent =
            call(if is_routed { &routed_path } else { request.path }, &format!("r-{index}"));
        sent.key = Some(request.key.as_str().into());
        sent.deadline_ms = Some(DurationMs::new(self.deadline_ms.unwrap_or(15_000)));
        sent.prompt = prompt(request.subject, request.shared_tokens, request.own_tokens);
        let (id, effects) = self.rigs[gateway].send(sent);
        self.open.insert((gateway, id), OpenRequest { request: index, started: false });
        self.apply_effects(gateway, effects);
    }

    fn apply_effects(&mut self, gateway: usize, effects: Vec<GatewayEffect>) {
        for effect in effects {
            match effect {
                GatewayEffect::Dispatch { call, dispatch } => self.start(gateway, call, &dispatch),
                GatewayEffect::Refuse { call, refusal } => {
                    if let Some(open) = self.open.get(&(gateway, call)) {
                        self.refusals[open.request] = Some((self.now_ms, refusal));
                    }
                    let has_run = refusal.reason.status() != 503;
                    let outcome = if has_run { Outcome::Failed } else { Outcome::Refused };
                    self.close(gateway, call, outcome);
                }
                GatewayEffect::Abort { call } => self.close(gateway, call, Outcome::Failed),
                GatewayEffect::Abandon { call } => self.abandon(gateway, call),
                _ => {}
            }
        }
    }

    fn start(&mut self, gateway: usize, id: CallId, dispatch: &Dispatch) {
        let Some(open) = self.open.get(&(gateway, id)) else {
            return;
        };
        let request = self.requests[open.request].clone();
        let confidence = self.random() % 100;
        let Some(engine) = self.engines.get_mut(&dispatch.upstream) else {
            let unreachable =
                AttemptOutcome::NotRun(hickorydoor::gateway::event::NotRun::Unreachable);
            let effects = self.rigs[gateway].end_attempt(id, unreachable);
            return self.apply_effects(gateway, effects);
        };
        let model = dispatch.model.clone().unwrap();
        let uncached_tokens = engine.uncached_tokens(dispatch, &model, &request);
        let weak = dispatch
            .min_confidence
            .is_some_and(|min_confidence| confidence < u64::from(min_confidence));
        engine.enqueue(Job {
            gateway,
            call: id,
            priority: dispatch.priority,
            sent_at: self.now_ms,
            prefill_ms: uncached_tokens * pace(&model).0 * self.slowness,
            first_event_at: 0,
            model,
            tokens_left: ANSWER_TOKENS,
            weak,
        });
    }

    fn remove_job(&mut self, gateway: usize, id: CallId) {
        for engine in self.engines.values_mut() {
            engine.waiting.retain(|job| (job.gateway, job.call) != (gateway, id));
            engine.running.retain(|job| (job.gateway, job.call) != (gateway, id));
        }
    }

    fn abandon(&mut self, gateway: usize, id: CallId) {
        self.remove_job(gateway, id);
        let silent = AttemptOutcome::Unknown(hickorydoor::gateway::event::ResponseFault::Silent);
        let effects = self.rigs[gateway].end_attempt(id, silent);
        self.apply_effects(gateway, effects);
    }

    fn close(&mut self, gateway: usize, id: CallId, outcome: Outcome) {
        if let Some(open) = self.open.remove(&(gateway, id))
            && !open.started
        {
            self.outcomes[open.request] = Some(outcome);
        }
    }

    fn random(&mut self) -> u64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.seed >> 33
    }

    /// Share of the selected requests with this outcome.
    pub fn share(&self, outcome: Outcome, selected: impl Fn(&Request) -> bool) -> f64 {
        let picked =
            self.requests.iter().zip(&self.outcomes).filter(|(request, _)| selected(request));
        let picked: Vec<_> = picked.collect();
        let ended = picked.iter().filter(|(_, known)| **known == Some(outcome)).count();
        ended as f64 / picked.len().max(1) as f64
    }

    /// Share of the selected requests whose answer has started.
    pub fn served(&self, selected: impl Fn(&Request) -> bool + Copy) -> f64 {
        self.share(Outcome::InTime, selected) + self.share(Outcome::Late, selected)
    }
}

/// A steady load of drafts, summaries and chat.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub from_ms: u64,
    pub for_ms: u64,
    /// Request rate as a multiple of 31 per second.
    pub factor: f64,
    /// Share of the drafts with the same subject.
    pub hot_share: f64,
    /// Shares of drafts, which have long prompts, and of summaries; the rest is chat.
    pub draft_share: f64,
    pub summary_share: f64,
    /// Share of the requests sent by customer 0.
    pub first_customer_share: f64,
    pub seed: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            from_ms: 0,
            for_ms: 20_000,
            factor: 1.0,
            hot_share: 0.0,
            draft_share: 0.31,
            summary_share: 0.23,
            first_customer_share: 0.1,
            seed: 7,
        }
    }
}

impl Load {
    pub fn requests(self) -> Vec<Request> {
        let mut seed = self.seed;
        let mut random = move || {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (seed >> 33) as f64 / f64::from(1_u32 << 31)
        };
        let mut requests = Vec::new();
        let mut at = self.from_ms as f64;
        while at < (self.from_ms + self.for_ms) as f64 {
            at += 1_000.0 / (31.0 * self.factor) * (0.3 + 1.4 * random());
            let kind = random();
            let size = 0.4 + 1.2 * random();
            let subject = (random() * 56.0) as u64;
            let hot = random() < self.hot_share;
            let customer = if random() < self.first_customer_share {
                0
            } else {
                1 + (random() * 9.0) as usize
            };
            let (kind, shared, own, objective_ms, base) = match kind {
                kind if kind < self.draft_share => ("draft", 13_300.0, 3_700.0, 3_000, 0),
                kind if kind < self.draft_share + self.summary_share => {
                    ("summary", 6_300.0, 2_900.0, 2_000, 1_000)
                }
                _ => ("chat", 350.0, 1_100.0, 2_000, 2_000),
            };
            requests.push(Request {
                at_ms: at as u64,
                kind,
                subject: base + if hot && kind == "draft" { 0 } else { subject },
                shared_tokens: shared as u32,
                own_tokens: (own * size) as u32,
                objective_ms,
                customer,
                path: "/draft/1",
                key: KEY.into(),
                gateway: None,
            });
        }
        requests
    }
}
