//! Discrete-time simulation of engines that end under a prompt part: gateways that exchange
//! digests, engines that return after a while, sound requests and requests with the part.
//!
//! Sound requests share their first part and their subject with the requests that hold the part.
//! An engine ends shortly after it has begun to write the answer to such a request, even if the
//! gateway has discarded the answer meanwhile.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::call::Prompt;
use hickorydoor::gateway::call::PromptPart;
use hickorydoor::gateway::effect::Dispatch;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::NotRun;
use hickorydoor::gateway::event::ResponseFault;
use hickorydoor::gateway::quarantine::PROVEN_AFTER_MS;
use hickorydoor::gateway::refusal::CallRefusal;
use hickorydoor::gateway::store_listing::StoreListing;
use hickorydoor::gateway::store_position::StoreEra;
use hickorydoor::gateway::store_position::StorePosition;
use hickorydoor::id::UpstreamId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::ENGINES;
use super::Rig;
use super::call;
use super::member;
use super::part_store::PartStore;
use super::registration;

pub const STEP_MS: u64 = 10;
const TICK_MS: u64 = 50;
const DIGEST_INTERVAL_MS: u64 = 100;
/// Time from the first token of an answer under the part to the end of the engine.
const CRASH_MS: std::ops::Range<u64> = 60..130;
/// Time until an engine that ended is back, and until its old registration is removed.
const RETURN_MS: u64 = 4_000;
const DEREGISTRATION_MS: u64 = 3_600;
/// Time after which a stream that makes no progress is reported, and after which a request ends.
const PAUSE_TIMEOUT_MS: u64 = 2_000;
const DEADLINE_MS: u64 = 12_000;
/// Share of the answers of the smallest model that are discarded.
const WEAK_SHARE: f64 = 0.4;
/// Time of an exchange between gateways within which all of them know an end.
const CONTACT_MS: u64 = 3_000;
/// Number of ended engines after which the part has to be known within [`CONTACT_MS`].
const KNOWN_AFTER_ENDS: usize = 5;
const SUBJECTS: u64 = 56;
/// Ids of the parts under which engines end; the second one is of the second route.
pub const CRASHING: u64 = 0xdead;
const MAX_CRASHING_PARTS: u64 = 2;

/// Where the part stands in the prompt, before the part of the request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    First,
    Middle,
    Last,
}

/// How an engine that has ended looks to the gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its connections are closed.
    Closed,
    /// Its connections go silent, and new ones are not accepted.
    Silent,
}

/// A play.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub gateways: usize,
    pub engines: usize,
    pub sound_per_s: f64,
    pub crashing_per_s: f64,
    pub place: Place,
    pub end: End,
    /// Engines killed at once, every 5 s.
    pub killed: usize,
    pub for_s: u64,
    /// Share of digests that are lost.
    pub digest_loss: f64,
    /// Whether an engine keeps its id when it returns.
    pub keeps_id: bool,
    /// Whether callers repeat a request that was refused or failed, once.
    pub repeats: bool,
    /// Time for which a run has sound requests alone.
    pub sound_first_ms: u64,
    /// Number of parts under which engines end; each request holds one of them.
    pub crashing_parts: u64,
    /// Whether the store takes items about parts. It answers all other calls in any case.
    pub stores_items: bool,
    /// From when on no engine ends under a part.
    pub harmless_from_ms: u64,
    /// Number of further parts that all prompts begin with.
    pub common_parts: u64,
    /// Number of further parts that no other prompt has.
    pub own_parts: u64,
    pub seed: u64,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            gateways: 5,
            engines: 18,
            sound_per_s: 40.0,
            crashing_per_s: 3.0,
            place: Place::Middle,
            end: End::Closed,
            killed: 0,
            for_s: 32,
            digest_loss: 0.0,
            keeps_id: false,
            repeats: false,
            sound_first_ms: 3_000,
            crashing_parts: 1,
            stores_items: false,
            harmless_from_ms: u64::MAX,
            common_parts: 0,
            own_parts: 0,
            seed: 1,
        }
    }
}

/// Sound requests by their result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sound {
    pub sent: usize,
    pub served: usize,
    pub refused: usize,
    pub broken: usize,
}

/// What a play showed.
#[derive(Clone, Debug, Default)]
pub struct Course {
    /// Times at which engines ended under the part.
    pub ends: Vec<u64>,
    /// The part under which each of these engines ended.
    pub ended_under: Vec<u64>,
    /// Times at which requests with the part reached an engine.
    pub reached: Vec<u64>,
    /// The part of each of these requests.
    pub reached_with: Vec<u64>,
    pub sound: Sound,
    /// Times at which sound requests were sent, and whether they were served.
    pub sound_sent: Vec<(u64, bool)>,
    /// Refusals of requests with the part.
    pub refusals: Vec<CallRefusal>,
    /// Times of these.
    pub refused_at: Vec<u64>,
}

impl Course {
    /// Requests with one part that reached an engine although it had to be known.
    pub fn late(&self) -> usize {
        self.late_since(0)
    }

    /// The same for gateways that were in touch again since a time.
    pub fn late_since(&self, since_ms: u64) -> usize {
        let parts: BTreeSet<u64> = self.ended_under.iter().copied().collect();
        parts.into_iter().map(|part| self.late_with(part, since_ms)).max().unwrap_or(0)
    }

    fn late_with(&self, part: u64, since_ms: u64) -> usize {
        let of_part = self.ends.iter().zip(&self.ended_under).filter(|(_, under)| **under == part);
        let Some((fifth, _)) = of_part.clone().nth(KNOWN_AFTER_ENDS - 1) else {
            return 0;
        };
        let known_ms = (*fifth).max(since_ms) + CONTACT_MS;
        let reached = self.reached.iter().zip(&self.reached_with);
        reached.filter(|(at, with)| **at > known_ms && **with == part).count()
    }

    /// Requests with the part that reached an engine later than the time of contact after the fifth
    /// end, from gateways that were in touch: none was lost for that time.
    pub fn late_in_touch(&self, losses_ms: &[u64]) -> usize {
        let Some(fifth_ms) = self.ends.get(KNOWN_AFTER_ENDS - 1) else {
            return 0;
        };
        let is_in_touch =
            |at: u64| losses_ms.iter().all(|lost_ms| at < *lost_ms || at > lost_ms + CONTACT_MS);
        let late = self.reached.iter().filter(|at| **at > fifth_ms + CONTACT_MS);
        late.filter(|at| is_in_touch(**at)).count()
    }

    /// Share of the sound requests sent between two times that were served.
    pub fn served_share(&self, from_ms: u64, to_ms: u64) -> f64 {
        let sent = self.sound_sent.iter().filter(|(at, _)| (from_ms..to_ms).contains(at));
        let (all, served) = sent.fold((0_usize, 0_usize), |(all, served), (_, is_served)| {
            (all + 1, served + usize::from(*is_served))
        });
        served as f64 / all.max(1) as f64
    }

    /// Sound requests that were refused or broken off, in percent.
    pub fn sound_lost_percent(&self) -> f64 {
        let lost = self.sound.refused + self.sound.broken;
        100.0 * lost as f64 / self.sound.sent.max(1) as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Begin,
    Progress,
    Stall,
    Deadline,
    Served,
    EngineEnd,
    EngineReturn,
    Deregister,
    Repeat,
}

/// An event that is due: the time, its kind, and the attempt or engine that it belongs to.
type Scheduled = Reverse<(u64, Due, u64)>;

#[derive(Clone, Debug)]
struct Attempt {
    gateway: usize,
    call: CallId,
    engine: usize,
    request: Request,
    discarded: bool,
}

#[derive(Clone, Debug)]
struct Request {
    prompt: Prompt,
    crashes: bool,
    is_repeat: bool,
    first_event: bool,
    /// Position in [`Course::sound_sent`].
    sound: Option<usize>,
}

impl Request {
    fn crashing_part(&self) -> u64 {
        let mut parts = self.prompt.parts.iter().map(|part| part.id);
        parts.find(|id| (CRASHING..CRASHING + MAX_CRASHING_PARTS).contains(id)).unwrap_or(0)
    }
}

#[derive(Clone, Debug)]
struct Engine {
    id: String,
    incarnation: u64,
    is_up: bool,
    /// The part under which it is about to end.
    ends_under: u64,
}

/// Gateways and engines of a play.
#[derive(Debug)]
pub struct CrashFleet {
    pub play: Play,
    pub rigs: Vec<Rig>,
    pub store: PartStore,
    engines: Vec<Engine>,
    /// Attempts that an engine works on.
    attempts: BTreeMap<u64, Attempt>,
    /// Attempts whose engine has gone silent.
    silenced: BTreeMap<u64, Attempt>,
    /// Open requests, with the number of their current attempt.
    open: BTreeMap<(usize, CallId), (Request, Option<u64>)>,
    repeats: BTreeMap<u64, Request>,
    scheduled: BinaryHeap<Scheduled>,
    next_number: u64,
    random: Pcg64Mcg,
    pub now_ms: u64,
    pub course: Course,
}

/// Plays and returns the course.
pub fn play(play: Play) -> Course {
    let mut fleet = CrashFleet::new(play);
    fleet.run(play.for_s * 1_000, |_fleet| {});
    fleet.course
}

impl CrashFleet {
    pub fn new(play: Play) -> Self {
        let rigs = (0..play.gateways).map(|index| Rig::new(&format!("gw-{index}"))).collect();
        let engine =
            |index| Engine { id: format!("e-{index}"), incarnation: 1, is_up: true, ends_under: 0 };
        let mut fleet = Self {
            play,
            rigs,
            store: PartStore::default(),
            engines: (0..play.engines).map(engine).collect(),
            attempts: BTreeMap::new(),
            silenced: BTreeMap::new(),
            open: BTreeMap::new(),
            repeats: BTreeMap::new(),
            scheduled: BinaryHeap::new(),
            next_number: 0,
            random: Pcg64Mcg::seed_from_u64(play.seed),
            now_ms: 0,
            course: Course::default(),
        };
        for gateway in 0..play.gateways {
            fleet.announce(gateway);
        }
        fleet
    }

    fn announce(&mut self, gateway: usize) {
        let rig = &mut self.rigs[gateway];
        for index in 0..self.play.gateways {
            rig.apply(GatewayEvent::GatewayJoined(member(&format!("gw-{index}"), "dc-1", 1_000)));
        }
        for engine in self.engines.iter().filter(|engine| engine.is_up) {
            let mut registration = registration(&engine.id, ENGINES);
            registration.started_unix_ms = engine.incarnation;
            rig.register(registration);
        }
    }

    /// Replaces a gateway by one that has just started.
    pub fn restart(&mut self, gateway: usize) {
        let now = self.rigs[gateway].now;
        self.open.retain(|(owner, _), _| *owner != gateway);
        self.attempts.retain(|_, attempt| attempt.gateway != gateway);
        self.silenced.retain(|_, attempt| attempt.gateway != gateway);
        let mut rig = Rig::restarted(&format!("gw-{gateway}"), self.now_ms);
        rig.now = now;
        if self.play.stores_items {
            let position = StorePosition::new(StoreEra::new(self.store.era + 1), 1);
            rig.apply(GatewayEvent::StoreSynced { synced_at: now, position });
            for event in self.store.read() {
                rig.apply(event);
            }
        }
        rig.sync_store();
        self.rigs[gateway] = rig;
        self.announce(gateway);
    }

    /// Runs for `for_ms`; `meanwhile` is called at each step.
    pub fn run(&mut self, for_ms: u64, meanwhile: impl Fn(&mut Self)) {
        let end_ms = self.now_ms + for_ms;
        let mut next_sound_ms = self.now_ms as f64;
        let mut next_crashing_ms = (self.now_ms + self.play.sound_first_ms) as f64;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for rig in &mut self.rigs {
                rig.now = rig.now + DurationMs::new(STEP_MS);
            }
            meanwhile(self);
            self.handle_due();
            while next_sound_ms <= self.now_ms as f64 {
                self.arrive(false);
                next_sound_ms +=
                    1_000.0 / self.play.sound_per_s * self.random.random_range(0.3..1.7);
            }
            while self.play.crashing_per_s > 0.0 && next_crashing_ms <= self.now_ms as f64 {
                self.arrive(true);
                let gap_ms = 1_000.0 / self.play.crashing_per_s;
                next_crashing_ms += gap_ms * self.random.random_range(0.3..1.7);
            }
            if self.play.killed > 0 && self.now_ms.is_multiple_of(5_000) {
                let first = self.random.random_range(0..self.engines.len());
                for index in first..first + self.play.killed {
                    self.end_engine(index % self.engines.len());
                }
            }
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.tick();
            }
            if self.now_ms.is_multiple_of(DIGEST_INTERVAL_MS) {
                self.exchange_digests();
            }
        }
    }

    fn tick(&mut self) {
        let ended = self.store.expire(self.now_ms);
        self.tell_all(&ended);
        for gateway in 0..self.rigs.len() {
            let effects = self.rigs[gateway].sync_store();
            self.carry_out(gateway, effects);
            self.apply(gateway, GatewayEvent::Tick);
        }
    }

    /// Puts an earlier copy of the store back. All gateways read it anew.
    pub fn put_back(&mut self, copy: PartStore) {
        self.store = copy.put_back(self.store.era + 1);
        let era = StoreEra::new(self.store.era + 1);
        let listing = StoreListing {
            upstreams: self.engines.iter().map(|engine| engine.id.parse().unwrap()).collect(),
            gateways: self.rigs.iter().map(|rig| rig.gateway.host().clone()).collect(),
            part_items: self.store.items.keys().cloned().collect(),
            ..StoreListing::default()
        };
        let mut events = vec![GatewayEvent::StoreRestored { era }];
        events.extend(self.store.read());
        events.push(GatewayEvent::StoreListed(Box::new(listing)));
        self.tell_all(&events);
    }

    /// Tells all gateways what has changed in the store.
    pub fn tell_all(&mut self, events: &[GatewayEvent]) {
        if !self.play.stores_items {
            return;
        }
        for gateway in 0..self.rigs.len() {
            for event in events {
                self.apply(gateway, event.clone());
            }
        }
    }

    fn exchange_digests(&mut self) {
        let digests: Vec<_> = self.rigs.iter_mut().map(|rig| rig.gateway.digest(rig.now)).collect();
        for gateway in 0..self.rigs.len() {
            for digest in &digests {
                if self.random.random_bool(1.0 - self.play.digest_loss) {
                    self.apply(gateway, GatewayEvent::Digest(Box::new(digest.clone())));
                }
            }
        }
    }

    fn arrive(&mut self, crashes: bool) {
        let subject = PromptPart { id: 100 + self.random.random_range(0..SUBJECTS), tokens: 800 };
        let first = PromptPart { id: 7, tokens: 350 };
        let kind = match self.play.crashing_parts {
            1 => 0,
            parts => self.random.random_range(0..parts),
        };
        let crashing = PromptPart { id: CRASHING + kind, tokens: 200 };
        let own =
            PromptPart { id: self.random.random(), tokens: self.random.random_range(50..900) };
        let parts = match (crashes, self.play.place) {
            (false, _) => vec![first, subject, own],
            (true, Place::First) => vec![crashing, subject, own],
            (true, Place::Middle) => vec![first, crashing, subject, own],
            (true, Place::Last) => vec![first, subject, crashing, own],
        };
        let common =
            (0..self.play.common_parts).map(|id| PromptPart { id: 10_000 + id, tokens: 4 });
        let own_ids = (0..self.play.own_parts).map(|_| self.random.random());
        let own_ids: Vec<u64> = own_ids.collect();
        let own = own_ids.into_iter().map(|id| PromptPart { id, tokens: 4 });
        let parts: Vec<PromptPart> = common.chain(own).chain(parts).collect();
        let prompt = Prompt {
            tokens: parts.iter().map(|part| part.tokens).sum(),
            max_answer_tokens: 120,
            parts: parts.into_iter().collect(),
        };
        let sound = (!crashes).then_some(self.course.sound_sent.len());
        if sound.is_some() {
            self.course.sound.sent += 1;
            self.course.sound_sent.push((self.now_ms, false));
        }
        self.send(Request { prompt, crashes, is_repeat: false, first_event: false, sound });
    }

    fn send(&mut self, request: Request) {
        let gateway = self.random.random_range(0..self.rigs.len());
        let mut sent = call("/draft/1", &format!("r-{}", self.next_number));
        self.next_number += 1;
        sent.prompt = request.prompt.clone();
        let (id, effects) = self.rigs[gateway].send(sent);
        self.open.insert((gateway, id), (request, None));
        self.carry_out(gateway, effects);
    }

    fn apply(&mut self, gateway: usize, event: GatewayEvent) {
        let effects = self.rigs[gateway].apply(event);
        self.carry_out(gateway, effects);
    }

    fn carry_out(&mut self, gateway: usize, effects: Vec<GatewayEffect>) {
        for effect in effects {
            match effect {
                GatewayEffect::Dispatch { call, dispatch } => self.start(gateway, call, &dispatch),
                GatewayEffect::WritePartItems(writes) if self.play.stores_items => {
                    let events = self.store.write(&writes, self.now_ms);
                    self.tell_all(&events);
                }
                GatewayEffect::Abandon { call } => {
                    self.end_attempt(gateway, call, AttemptOutcome::Unknown(ResponseFault::Silent));
                }
                GatewayEffect::Refuse { call, refusal } => {
                    let is_refused = refusal.reason.status() == 503;
                    let Some(request) = self.close(gateway, call, is_refused) else {
                        continue;
                    };
                    if request.crashes {
                        self.course.refusals.push(refusal);
                        self.course.refused_at.push(self.now_ms);
                    }
                }
                GatewayEffect::Abort { call } => {
                    self.close(gateway, call, false);
                }
                GatewayEffect::Deliver { call } => {
                    let closed = self.open.remove(&(gateway, call));
                    if let Some(sound) = closed.and_then(|(request, _)| request.sound) {
                        self.course.sound.served += 1;
                        self.course.sound_sent[sound].1 = true;
                    }
                }
                _ => {}
            }
        }
    }

    /// Closes a request without a complete answer.
    fn close(&mut self, gateway: usize, call: CallId, is_refused: bool) -> Option<Request> {
        let (request, _) = self.open.remove(&(gateway, call))?;
        if self.play.repeats && !request.is_repeat {
            let number = self.schedule(400, Due::Repeat, None);
            self.repeats.insert(number, Request { is_repeat: true, ..request.clone() });
        } else if !request.crashes {
            let lost = &mut self.course.sound;
            *(if is_refused { &mut lost.refused } else { &mut lost.broken }) += 1;
        }
        Some(request)
    }

    fn start(&mut self, gateway: usize, call: CallId, dispatch: &Dispatch) {
        let is_at = |engine: &Engine| engine.is_up && dispatch.upstream.as_str() == engine.id;
        let Some((request, current)) = self.open.get_mut(&(gateway, call)) else {
            return;
        };
        request.first_event = false;
        let Some(engine) = self.engines.iter().position(is_at) else {
            *current = None;
            return self.end_attempt(gateway, call, AttemptOutcome::NotRun(NotRun::Unreachable));
        };
        let request = request.clone();
        if request.crashes {
            self.course.reached.push(self.now_ms);
            self.course.reached_with.push(request.crashing_part());
        }
        let is_weak = dispatch.min_confidence.is_some() && self.random.random_bool(WEAK_SHARE);
        let busy = self.attempts.values().filter(|attempt| attempt.engine == engine).count() as u64;
        let begin_ms = 60 + busy * 30 + self.random.random_range(0..300);
        let attempt = Attempt { gateway, call, engine, request, discarded: is_weak };
        let number = self.schedule(begin_ms, Due::Begin, None);
        self.attempts.insert(number, attempt);
        if let Some((_, current)) = self.open.get_mut(&(gateway, call)) {
            *current = Some(number);
        }
    }

    fn schedule(&mut self, after_ms: u64, due: Due, number: Option<u64>) -> u64 {
        let number = number.unwrap_or_else(|| {
            self.next_number += 1;
            self.next_number
        });
        self.scheduled.push(Reverse((self.now_ms + after_ms.max(STEP_MS), due, number)));
        number
    }

    fn handle_due(&mut self) {
        while self.scheduled.peek().is_some_and(|Reverse((at_ms, ..))| *at_ms <= self.now_ms) {
            let Some(Reverse((_, due, number))) = self.scheduled.pop() else {
                return;
            };
            match due {
                Due::Begin => self.begin(number),
                Due::Progress => self.progress(number),
                Due::Stall => self.stall(number),
                Due::Deadline => self.pass_deadline(number),
                Due::Served => {
                    let attempt = self.attempts.get(&number).cloned();
                    if let Some(Attempt { gateway, call, .. }) = attempt {
                        self.end_attempt(gateway, call, AttemptOutcome::Served);
                    }
                }
                Due::EngineEnd => self.end_engine_under_part(number as usize),
                Due::EngineReturn => self.return_engine(number as usize),
                Due::Deregister => self.deregister(number),
                Due::Repeat => {
                    if let Some(request) = self.repeats.remove(&number) {
                        self.send(request);
                    }
                }
            }
        }
    }

    fn begin(&mut self, number: u64) {
        let Some(Attempt { gateway, call, engine, request, discarded }) =
            self.attempts.get(&number).cloned()
        else {
            return;
        };
        let crash_ms = self.random.random_range(CRASH_MS);
        if request.crashes && self.now_ms < self.play.harmless_from_ms {
            self.engines[engine].ends_under = request.crashing_part();
            self.schedule(crash_ms, Due::EngineEnd, Some(engine as u64));
        }
        if discarded {
            return self.end_attempt(gateway, call, AttemptOutcome::Weak);
        }
        // Some engines end before the first event has left them.
        if !request.crashes || self.random.random_bool(0.5) {
            if let Some((request, _)) = self.open.get_mut(&(gateway, call)) {
                request.first_event = true;
            }
            self.apply(gateway, GatewayEvent::FirstEvent { call });
        }
        if !request.crashes {
            let stream_ms = self.random.random_range(200..3_000);
            self.schedule(stream_ms, Due::Served, Some(number));
            if stream_ms > PROVEN_AFTER_MS.get() {
                self.schedule(PROVEN_AFTER_MS.get(), Due::Progress, Some(number));
            }
        }
    }

    fn progress(&mut self, number: u64) {
        if let Some(Attempt { gateway, call, .. }) = self.attempts.get(&number).cloned() {
            self.apply(gateway, GatewayEvent::Progressed { call });
        }
    }

    fn stall(&mut self, number: u64) {
        if let Some(Attempt { gateway, call, .. }) = self.silenced.get(&number).cloned() {
            self.apply(gateway, GatewayEvent::Stalled { call });
        }
    }

    fn pass_deadline(&mut self, number: u64) {
        if let Some(Attempt { gateway, call, .. }) = self.silenced.remove(&number) {
            let outcome = AttemptOutcome::Unknown(ResponseFault::TimedOut);
            self.end_attempt(gateway, call, outcome);
        }
    }

    fn end_engine_under_part(&mut self, engine: usize) {
        if self.engines[engine].is_up {
            self.course.ends.push(self.now_ms);
            self.course.ended_under.push(self.engines[engine].ends_under);
        }
        self.end_engine(engine);
    }

    pub fn end_engine(&mut self, index: usize) {
        if !std::mem::replace(&mut self.engines[index].is_up, false) {
            return;
        }
        self.schedule(RETURN_MS, Due::EngineReturn, Some(index as u64));
        let broken = self.attempts.extract_if(.., |_, attempt| attempt.engine == index);
        let broken: Vec<(u64, Attempt)> = broken.collect();
        if !self.play.keeps_id {
            self.schedule(DEREGISTRATION_MS, Due::Deregister, Some(index as u64));
        }
        for (number, attempt) in broken {
            // An earlier one of these ends may have made the gateway cancel this attempt.
            let open = self.open.get(&(attempt.gateway, attempt.call));
            if open.is_none_or(|(_, current)| *current != Some(number)) {
                continue;
            }
            if self.play.end == End::Closed {
                let closed = AttemptOutcome::Unknown(ResponseFault::Closed);
                self.end_attempt(attempt.gateway, attempt.call, closed);
                continue;
            }
            let has_begun = self.open.get(&(attempt.gateway, attempt.call));
            if has_begun.is_some_and(|(request, _)| request.first_event) {
                self.schedule(PAUSE_TIMEOUT_MS, Due::Stall, Some(number));
            }
            self.schedule(DEADLINE_MS, Due::Deadline, Some(number));
            self.silenced.insert(number, attempt);
        }
    }

    fn deregister(&mut self, index: u64) {
        let id: UpstreamId = self.engines[index as usize].id.parse().unwrap();
        for gateway in 0..self.rigs.len() {
            self.apply(gateway, GatewayEvent::Deregistered(id.clone()));
        }
    }

    fn return_engine(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        engine.is_up = true;
        engine.incarnation += 1;
        if !self.play.keeps_id {
            engine.id = format!("e-{index}-{}", engine.incarnation);
        }
        let mut registration = registration(&engine.id, ENGINES);
        registration.started_unix_ms = engine.incarnation;
        for gateway in 0..self.rigs.len() {
            self.apply(gateway, GatewayEvent::Registered(Box::new(registration.clone())));
        }
    }

    fn end_attempt(&mut self, gateway: usize, call: CallId, outcome: AttemptOutcome) {
        let Some((request, current)) = self.open.get_mut(&(gateway, call)) else {
            return;
        };
        let last_event = request.first_event.then_some(3);
        if let Some(number) = current.take() {
            self.attempts.remove(&number);
            self.silenced.remove(&number);
        }
        let effects = self.rigs[gateway].end_attempt_after(call, outcome, last_event);
        self.carry_out(gateway, effects);
    }
}
