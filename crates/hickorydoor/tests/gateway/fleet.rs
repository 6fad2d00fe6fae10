//! Gateways in front of model engines, in virtual time.
//!
//! An engine reads prompts one after the other, the most urgent first, and keeps shared parts for
//! each model until its memory is full. While it reads, running answers advance with the chunks
//! that it reads; otherwise with its steps. Gateways exchange their reports every 200 ms.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::effect::Dispatch;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::prompt_cache::chains;
use hickorydoor::id::ModelId;
use hickorydoor::id::UpstreamId;

use super::ENGINES;
use super::Rig;
use super::call;
use super::prompt;
use super::registration;

/// Time of a step of an engine, and of the simulation.
pub const STEP_MS: u64 = 10;
const REPORT_MS: u64 = 100;
const ANSWER_TOKENS: f64 = 120.0;
/// Time from the end of reading to the first event.
const FIRST_EVENT_MS: u64 = 50;
/// Tokens that an engine reads between two steps of running answers.
const CHUNK_TOKENS: f64 = 2_048.0;

/// Time to read a token and time of a step, by model.
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
    reading_ms: f64,
    begins_at: u64,
    tokens_left: f64,
    weak: bool,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    waiting: Vec<Job>,
    running: Vec<Job>,
    kept: HashSet<u64>,
    order: VecDeque<u64>,
}

impl Engine {
    fn uncached_tokens(&mut self, dispatch: &Dispatch, model: &ModelId, request: &Request) -> f64 {
        let prompt = prompt(request.subject, request.shared_tokens, request.own_tokens);
        let parts = chains(model, &prompt);
        let mut kept_tokens = 0;
        for part in &parts {
            if dispatch.fetch_from.is_some() || self.kept.contains(&part.chain) {
                kept_tokens += part.tokens;
            }
            if self.kept.insert(part.chain) {
                self.order.push_back(part.chain);
            }
        }
        while self.order.len() > 30 {
            let oldest = self.order.pop_front();
            self.kept.retain(|chain| Some(*chain) != oldest);
        }
        f64::from(prompt.tokens - kept_tokens)
    }

    fn take(&mut self, job: Job) {
        let after = |known: &Job| (known.priority, known.sent_at) <= (job.priority, job.sent_at);
        let place = self.waiting.partition_point(after);
        self.waiting.insert(place, job);
    }
}

/// One request of the load.
#[derive(Clone, Debug)]
pub struct Request {
    pub at_ms: u64,
    pub kind: &'static str,
    pub subject: u64,
    pub shared_tokens: u32,
    pub own_tokens: u32,
    pub objective_ms: u64,
    pub customer: usize,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    InTime,
    Late,
    Refused,
    Failed,
}

#[derive(Clone, Debug)]
struct Open {
    request: usize,
    begun: bool,
}

/// Gateways and engines.
#[derive(Debug)]
pub struct Fleet {
    pub rigs: Vec<Rig>,
    engines: BTreeMap<UpstreamId, Engine>,
    open: HashMap<(usize, CallId), Open>,
    requests: Vec<Request>,
    pub ends: Vec<Option<End>>,
    pub models: Vec<Option<ModelId>>,
    now_ms: u64,
    seed: u64,
}

impl Fleet {
    pub fn new(gateways: usize, engines: usize) -> Self {
        let rigs = (0..gateways).map(|index| Rig::new(&format!("gw-{index}"))).collect();
        let mut fleet = Self {
            rigs,
            engines: BTreeMap::new(),
            open: HashMap::new(),
            requests: Vec::new(),
            ends: Vec::new(),
            models: Vec::new(),
            now_ms: 0,
            seed: 1,
        };
        for index in 0..engines {
            fleet.start_engine(&format!("e-{index}"), 0);
        }
        fleet
    }

    /// Starts an engine that is cold for this long.
    pub fn start_engine(&mut self, id: &str, cold_ms: u64) {
        let mut registration = registration(id, ENGINES);
        registration.cold_ms = DurationMs::new(cold_ms);
        self.engines.insert(registration.upstream.clone(), Engine::default());
        for rig in &mut self.rigs {
            rig.register(registration.clone());
        }
    }

    /// Ends an engine that has drained.
    pub fn stop_engine(&mut self, id: &str) {
        let upstream: UpstreamId = id.parse().unwrap();
        let engine = self.engines.remove(&upstream).unwrap_or_default();
        for rig in &mut self.rigs {
            rig.apply(GatewayEvent::Deregistered(upstream.clone()));
        }
        for job in engine.waiting.into_iter().chain(engine.running) {
            let broken =
                AttemptOutcome::Unknown(hickorydoor::gateway::event::ResponseFault::Closed);
            let effects = self.rigs[job.gateway].end(job.call, broken);
            self.carry_out(job.gateway, effects);
        }
    }

    /// Plays a load and what is still open after it.
    pub fn play(&mut self, load: Vec<Request>) {
        let first = self.requests.len();
        let end_ms = load.last().map_or(0, |request| request.at_ms) + 16_000;
        self.ends.resize(first + load.len(), None);
        self.models.resize(first + load.len(), None);
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

    /// Sends the reports of all gateways to the others.
    fn exchange(&mut self) {
        let digests: Vec<_> = self.rigs.iter_mut().map(|rig| rig.gateway.digest(rig.now)).collect();
        for gateway in 0..self.rigs.len() {
            for digest in &digests {
                let event = GatewayEvent::Digest(Box::new(digest.clone()));
                let effects = self.rigs[gateway].apply(event);
                self.carry_out(gateway, effects);
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for gateway in 0..self.rigs.len() {
            let rig = &mut self.rigs[gateway];
            rig.now = rig.now + DurationMs::new(STEP_MS);
            if self.now_ms.is_multiple_of(50) {
                rig.prove();
                let effects = rig.apply(GatewayEvent::Tick);
                self.carry_out(gateway, effects);
            }
        }
        if self.now_ms.is_multiple_of(REPORT_MS) {
            self.exchange();
        }
        let ids: Vec<UpstreamId> = self.engines.keys().cloned().collect();
        for id in ids {
            self.step_engine(&id);
        }
    }

    fn step_engine(&mut self, id: &UpstreamId) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let mut budget_ms = STEP_MS as f64;
        let mut begun = Vec::new();
        let mut reading = None;
        while budget_ms > 0.0 && !engine.waiting.is_empty() {
            reading = Some(engine.waiting[0].model.clone());
            let job = &mut engine.waiting[0];
            let read_ms = budget_ms.min(job.reading_ms);
            job.reading_ms -= read_ms;
            budget_ms -= read_ms;
            if job.reading_ms > 0.0 {
                break;
            }
            let mut job = engine.waiting.remove(0);
            job.begins_at = self.now_ms + FIRST_EVENT_MS;
            engine.running.push(job);
        }
        begun.extend(engine.running.iter().filter(|job| job.begins_at == self.now_ms).cloned());
        let mut ended = Vec::new();
        for job in &mut engine.running {
            let token_ms = match &reading {
                Some(model) => pace(model).0 * CHUNK_TOKENS,
                None => pace(&job.model).1,
            };
            job.tokens_left -= STEP_MS as f64 / token_ms;
            if job.tokens_left <= 0.0 {
                ended.push(job.clone());
            }
        }
        engine.running.retain(|job| job.tokens_left > 0.0);
        engine.running.retain(|job| !(job.weak && job.begins_at <= self.now_ms));
        for job in begun {
            self.begin(&job);
        }
        for job in ended.iter().filter(|job| !job.weak) {
            let effects =
                self.rigs[job.gateway].end_after(job.call, AttemptOutcome::Served, Some(30));
            self.carry_out(job.gateway, effects);
        }
    }

    fn begin(&mut self, job: &Job) {
        if job.weak {
            let effects = self.rigs[job.gateway].end(job.call, AttemptOutcome::Weak);
            return self.carry_out(job.gateway, effects);
        }
        let event = GatewayEvent::FirstEvent { call: job.call };
        let effects = self.rigs[job.gateway].apply(event);
        self.carry_out(job.gateway, effects);
        let Some(open) = self.open.get_mut(&(job.gateway, job.call)) else {
            return;
        };
        open.begun = true;
        let index = open.request;
        let request = &self.requests[index];
        let in_time = self.now_ms - request.at_ms <= request.objective_ms;
        self.ends[index] = Some(if in_time { End::InTime } else { End::Late });
        self.models[index] = Some(job.model.clone());
    }

    fn arrive(&mut self, index: usize) {
        let gateway = index % self.rigs.len();
        let request = self.requests[index].clone();
        let mut sent = call("/draft/1", &format!("r-{index}"));
        sent.prompt = prompt(request.subject, request.shared_tokens, request.own_tokens);
        let (id, effects) = self.rigs[gateway].send(sent);
        self.open.insert((gateway, id), Open { request: index, begun: false });
        self.carry_out(gateway, effects);
    }

    fn carry_out(&mut self, gateway: usize, effects: Vec<GatewayEffect>) {
        for effect in effects {
            match effect {
                GatewayEffect::Dispatch { call, dispatch } => self.start(gateway, call, &dispatch),
                GatewayEffect::Refuse { call, .. } => self.end(gateway, call, End::Refused),
                GatewayEffect::Abort { call } => self.end(gateway, call, End::Failed),
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
            let gone = AttemptOutcome::NotRun(hickorydoor::gateway::event::NotRun::Unreachable);
            let effects = self.rigs[gateway].end(id, gone);
            return self.carry_out(gateway, effects);
        };
        let model = dispatch.model.clone().unwrap();
        let uncached_tokens = engine.uncached_tokens(dispatch, &model, &request);
        let weak = dispatch.min_confidence.is_some_and(|least| confidence < u64::from(least));
        engine.take(Job {
            gateway,
            call: id,
            priority: dispatch.priority,
            sent_at: self.now_ms,
            reading_ms: uncached_tokens * pace(&model).0,
            begins_at: 0,
            model,
            tokens_left: ANSWER_TOKENS,
            weak,
        });
    }

    fn abandon(&mut self, gateway: usize, id: CallId) {
        for engine in self.engines.values_mut() {
            engine.waiting.retain(|job| (job.gateway, job.call) != (gateway, id));
            engine.running.retain(|job| (job.gateway, job.call) != (gateway, id));
        }
        let silent = AttemptOutcome::Unknown(hickorydoor::gateway::event::ResponseFault::Silent);
        let effects = self.rigs[gateway].end(id, silent);
        self.carry_out(gateway, effects);
    }

    fn end(&mut self, gateway: usize, id: CallId, end: End) {
        if let Some(open) = self.open.remove(&(gateway, id))
            && !open.begun
        {
            self.ends[open.request] = Some(end);
        }
    }

    fn random(&mut self) -> u64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.seed >> 33
    }

    /// Share of the requests that `wanted` picks that ended so.
    pub fn share(&self, end: End, wanted: impl Fn(&Request) -> bool) -> f64 {
        let picked = self.requests.iter().zip(&self.ends).filter(|(request, _)| wanted(request));
        let picked: Vec<_> = picked.collect();
        let ended = picked.iter().filter(|(_, known)| **known == Some(end)).count();
        ended as f64 / picked.len().max(1) as f64
    }

    /// Share of the requests that `wanted` picks whose answer has begun.
    pub fn served(&self, wanted: impl Fn(&Request) -> bool + Copy) -> f64 {
        self.share(End::InTime, wanted) + self.share(End::Late, wanted)
    }
}

/// A steady load of drafts, summaries and chat.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub from_ms: u64,
    pub for_ms: u64,
    /// Beside 31 requests a second.
    pub factor: f64,
    /// Share of the drafts that are about one subject.
    pub hot_share: f64,
    /// Share of the requests that come from customer 0.
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
                ..0.31 => ("draft", 13_300.0, 3_700.0, 3_000, 0),
                ..0.54 => ("summary", 6_300.0, 2_900.0, 2_000, 1_000),
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
            });
        }
        requests
    }
}
