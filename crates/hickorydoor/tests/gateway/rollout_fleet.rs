//! Discrete-time simulation of a rollout: gateways with a store, upstreams of two versions and
//! callers.
//!
//! Upstreams answer after a time that depends on the kind of the route and on what the test says
//! about the version. The watched store tells a change to the gateway that made it at once and to
//! the others a little later. The old version stops when the rollout is completed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::effect::Dispatch;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::NotRun;
use hickorydoor::gateway::event::ResponseFault;
use hickorydoor::gateway::rollout::RolloutOrder;
use hickorydoor::gateway::rollout::RolloutPhase;
use hickorydoor::gateway::rollout::RolloutRecord;
use hickorydoor::gateway::rollout::RolloutStep;
use hickorydoor::gateway::store_position::StorePosition;
use hickorydoor::id::ModelId;
use hickorydoor::id::UpstreamId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::ENGINES;
use super::PLAIN;
use super::Rig;
use super::call;
use super::position;
use super::prompt;
use super::registration;

const STEP_MS: u64 = 10;
const TICK_MS: u64 = 50;
const DIGEST_INTERVAL_MS: u64 = 100;
/// Time until the gateways that did not write a record learn of it.
const RECORD_DELAY_MS: u64 = 400;
const ORDER_REVISION: u64 = 10;
/// Number of bad answers after which a version has to be stopped within [`STOP_MS`].
const MAX_BAD_ANSWERS: usize = 50;
const STOP_MS: u64 = 5_000;
/// Requests that a bad version may get beyond its share of those until the deadline.
const EXPOSURE_SLACK: usize = 30;
/// Number of events of a stream after which its pace is reported.
const PACED_EVENTS: u64 = 12;
/// Share of the answers of the smallest model that are not good enough.
const WEAK_SHARE: f64 = 0.4;

/// An attempt that an upstream is about to answer.
#[derive(Clone, Copy, Debug)]
pub struct Sent<'a> {
    pub upstream: &'a str,
    pub is_target: bool,
    pub path: &'a str,
    /// Time since the order.
    pub at_ms: u64,
}

/// How an upstream answers.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Status 500 at once.
    pub fails: bool,
    /// Factor on the usual time.
    pub slowness: f64,
}

impl Answer {
    pub const GOOD: Self = Self { fails: false, slowness: 1.0 };
    pub const FAILED: Self = Self { fails: true, slowness: 1.0 };

    pub const fn slow(slowness: f64) -> Self {
        Self { fails: false, slowness }
    }

    fn is_bad(self) -> bool {
        self.fails || self.slowness > 1.0
    }
}

/// A rollout to play.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub service: &'static str,
    pub gateways: usize,
    /// Upstreams of each version.
    pub upstreams: usize,
    pub requests_per_s: f64,
    pub duration_s: u64,
    /// Time to go on after the deadline.
    pub after_s: u64,
    pub seed: u64,
}

impl Play {
    pub const ENGINES: Self = Self {
        service: ENGINES,
        gateways: 5,
        upstreams: 18,
        requests_per_s: 43.0,
        duration_s: 15,
        after_s: 15,
        seed: 1,
    };
    pub const PLAIN: Self = Self {
        service: PLAIN,
        gateways: 5,
        upstreams: 3,
        requests_per_s: 16.0,
        duration_s: 15,
        after_s: 25,
        seed: 1,
    };
}

/// What a play showed.
#[derive(Clone, Debug, Default)]
pub struct Course {
    /// Written phases with their times since the order, in ms.
    pub phases: Vec<(u64, RolloutPhase)>,
    /// Times of the attempts sent to the new version, and of all, in ms since the order.
    pub sent_to_target: Vec<u64>,
    pub sent: Vec<u64>,
    /// What the first gateway reported, as text for failed tests.
    pub reports: Vec<String>,
    /// Times of the bad answers of the new version.
    pub bad_answers: Vec<u64>,
    deadline_ms: u64,
}

impl Course {
    pub fn ended_as(&self, phase: RolloutPhase) -> bool {
        self.phases.last().is_some_and(|(_, last)| *last == phase)
    }

    pub fn at(&self, phase: RolloutPhase) -> Option<u64> {
        self.phases.iter().find(|(_, known)| *known == phase).map(|(at, _)| *at)
    }

    pub fn is_completed_in_time(&self) -> bool {
        self.at(RolloutPhase::Completed).is_some_and(|at| at < self.deadline_ms)
    }

    /// Returns how a bad version got more than it may get; `None` if it did not.
    pub fn excess(&self) -> Option<String> {
        let until_deadline =
            |times: &[u64]| times.iter().filter(|at| **at < self.deadline_ms).count();
        let allowed = until_deadline(&self.sent) * 15 / 100 + EXPOSURE_SLACK;
        let got = until_deadline(&self.sent_to_target);
        if got > allowed {
            return Some(format!("{got} requests until the deadline, {allowed} are allowed"));
        }
        let limit_at = self.bad_answers.get(MAX_BAD_ANSWERS - 1)? + STOP_MS;
        let late = self.sent_to_target.iter().filter(|at| **at > limit_at).count();
        (late > 0).then(|| format!("{late} requests later than 5 s after the 50th bad answer"))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    FirstEvent,
    Paced { gap_us: u64 },
    End { outcome: u8, events: u64, is_bad: bool },
    Record(usize),
}

/// An event that is due at a gateway, with the attempt that it belongs to.
type Scheduled = Reverse<(u64, usize, u64, u32, Due)>;

/// The gateways, the store and the upstreams of a play.
pub struct RolloutFleet<'a> {
    play: Play,
    answer: &'a dyn Fn(Sent<'_>, &mut Pcg64Mcg) -> Answer,
    pub rigs: Vec<Rig>,
    random: Pcg64Mcg,
    now_ms: u64,
    scheduled: BinaryHeap<Scheduled>,
    /// Paths and the number of the current attempt of open calls.
    open: BTreeMap<(usize, u64), (String, u32)>,
    records: Vec<RolloutRecord>,
    revision: u64,
    course: Course,
}

impl std::fmt::Debug for RolloutFleet<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RolloutFleet").field("now_ms", &self.now_ms).finish_non_exhaustive()
    }
}

/// Plays a rollout and returns its course.
pub fn play(play: Play, answer: &dyn Fn(Sent<'_>, &mut Pcg64Mcg) -> Answer) -> Course {
    let mut fleet = RolloutFleet::new(play, answer);
    fleet.run((play.duration_s + play.after_s) * 1_000, |_fleet, _now_ms| {});
    fleet.course
}

impl<'a> RolloutFleet<'a> {
    pub fn new(play: Play, answer: &'a dyn Fn(Sent<'_>, &mut Pcg64Mcg) -> Answer) -> Self {
        let rigs = (0..play.gateways).map(|index| Rig::new(&format!("gw-{index}"))).collect();
        let mut fleet = Self {
            play,
            answer,
            rigs,
            random: Pcg64Mcg::seed_from_u64(play.seed),
            now_ms: 0,
            scheduled: BinaryHeap::new(),
            open: BTreeMap::new(),
            records: Vec::new(),
            revision: ORDER_REVISION,
            course: Course { deadline_ms: play.duration_s * 1_000, ..Course::default() },
        };
        for gateway in 0..play.gateways {
            fleet.announce(gateway);
        }
        // Speeds are learned before the order.
        fleet.now_ms = 0;
        fleet.warm_up();
        for rig in &mut fleet.rigs {
            rig.apply(GatewayEvent::RolloutOrdered { order: fleet.play.order(), age_ms: None });
        }
        fleet
    }

    /// Tells a gateway what the store holds.
    fn announce(&mut self, gateway: usize) {
        for index in 0..self.play.gateways {
            let member = super::member(&format!("gw-{index}"), "dc-1", 1_000);
            self.rigs[gateway].apply(GatewayEvent::GatewayJoined(member));
        }
        let has_old = !self.records.iter().any(|known| known.phase == RolloutPhase::Completed);
        for index in 0..self.play.upstreams {
            if has_old {
                self.rigs[gateway].register(registration(&format!("o-{index}"), self.play.service));
            }
            let mut new = registration(&format!("n-{index}"), self.play.service);
            new.version = "v2".into();
            self.rigs[gateway].register(new);
        }
    }

    /// Replaces a gateway by one that has just started and knows only what the store holds.
    pub fn restart(&mut self, gateway: usize) {
        let now = self.rigs[gateway].now;
        self.open.retain(|(owner, _), _| *owner != gateway);
        let mut rig = Rig::new(&format!("gw-{gateway}"));
        rig.now = now;
        rig.sync_store();
        self.rigs[gateway] = rig;
        self.announce(gateway);
        self.rigs[gateway]
            .apply(GatewayEvent::RolloutOrdered { order: self.play.order(), age_ms: None });
        if let Some(record) = self.records.last().cloned() {
            self.rigs[gateway].apply(GatewayEvent::RolloutRecorded(record));
        }
    }

    fn warm_up(&mut self) {
        let answer = self.answer;
        self.answer = &|_sent, _random| Answer::GOOD;
        self.run(6_000, |_fleet, _now_ms| {});
        self.answer = answer;
        self.course.sent.clear();
        self.course.sent_to_target.clear();
        self.course.bad_answers.clear();
        let due: Vec<Scheduled> = self.scheduled.drain().collect();
        for Reverse((_, gateway, id, _, due)) in due {
            if matches!(due, Due::End { .. }) {
                self.rigs[gateway].apply(GatewayEvent::CallerGone { call: CallId(id) });
            }
        }
        self.open.clear();
        self.now_ms = 0;
    }

    /// Runs for `for_ms`; `meanwhile` is called at each step.
    pub fn run(&mut self, for_ms: u64, meanwhile: impl Fn(&mut Self, u64)) {
        let end_ms = self.now_ms + for_ms;
        let mut next_request_ms = self.now_ms as f64;
        let mut number = 0_u64;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for rig in &mut self.rigs {
                rig.now = rig.now + DurationMs::new(STEP_MS);
            }
            meanwhile(self, self.now_ms);
            self.handle_due();
            while next_request_ms <= self.now_ms as f64 {
                self.arrive(number);
                number += 1;
                let gap_ms = 1_000.0 / self.play.requests_per_s;
                next_request_ms += gap_ms * self.random.random_range(0.3..1.7);
            }
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.tick();
            }
            if self.now_ms.is_multiple_of(DIGEST_INTERVAL_MS) {
                self.exchange_digests();
            }
        }
    }

    pub fn into_course(self) -> Course {
        self.course
    }

    fn tick(&mut self) {
        for gateway in 0..self.rigs.len() {
            let mut effects = self.rigs[gateway].sync_store();
            effects.extend(self.rigs[gateway].apply(GatewayEvent::Tick));
            self.carry_out(gateway, effects);
        }
    }

    fn exchange_digests(&mut self) {
        let digests: Vec<_> = self.rigs.iter_mut().map(|rig| rig.gateway.digest(rig.now)).collect();
        for gateway in 0..self.rigs.len() {
            for digest in &digests {
                let event = GatewayEvent::Digest(Box::new(digest.clone()));
                let effects = self.rigs[gateway].apply(event);
                self.carry_out(gateway, effects);
            }
        }
    }

    fn arrive(&mut self, number: u64) {
        let gateway = self.random.random_range(0..self.rigs.len());
        let path = match (self.play.service, self.random.random_range(0..10)) {
            (ENGINES, _) => "/draft/1",
            (_, 0..7) => "/book/1",
            _ => "/look/1",
        };
        let attempt = format!("r-{}-{number}-{}", self.play.seed, self.now_ms);
        let mut request = call(path, &attempt);
        if self.play.service == ENGINES {
            let own_tokens = self.random.random_range(300..3_000);
            request.prompt = prompt(number % 40, 1_000, own_tokens);
            request.session = Some(attempt.into());
        }
        let (id, effects) = self.rigs[gateway].send(request);
        self.open.insert((gateway, id.0), (path.to_owned(), 0));
        self.carry_out(gateway, effects);
    }

    fn carry_out(&mut self, gateway: usize, effects: Vec<GatewayEffect>) {
        for effect in effects {
            match effect {
                GatewayEffect::Dispatch { call, dispatch } => self.start(gateway, call, &dispatch),
                GatewayEffect::WriteRollout(step) => self.write(gateway, step),
                GatewayEffect::Abandon { call } => {
                    let attempt = self.open.get(&(gateway, call.0)).map_or(0, |open| open.1);
                    self.end(gateway, call.0, attempt, silent(), None);
                }
                GatewayEffect::Refuse { call, .. }
                | GatewayEffect::Deliver { call }
                | GatewayEffect::Abort { call } => {
                    self.open.remove(&(gateway, call.0));
                }
                GatewayEffect::RolloutProgress(known) if gateway == 0 => {
                    self.course.reports.push(format!("{} ms: {known:?}", self.now_ms));
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, gateway: usize, call: CallId, dispatch: &Dispatch) {
        let Some((path, attempt)) = self.open.get_mut(&(gateway, call.0)) else {
            return;
        };
        *attempt += 1;
        let (path, attempt) = (path.clone(), *attempt);
        if !self.is_running(&dispatch.upstream) {
            let outcome = AttemptOutcome::NotRun(NotRun::Unreachable);
            return self.end(gateway, call.0, attempt, outcome, None);
        }
        let is_target = dispatch.version == "v2";
        self.course.sent.push(self.now_ms);
        if is_target {
            self.course.sent_to_target.push(self.now_ms);
        }
        let sent = Sent {
            upstream: dispatch.upstream.as_str(),
            is_target,
            path: &path,
            at_ms: self.now_ms,
        };
        let answer = (self.answer)(sent, &mut self.random);
        self.schedule_answer(gateway, call.0, attempt, dispatch, answer);
    }

    fn schedule_answer(
        &mut self,
        gateway: usize,
        call: u64,
        attempt: u32,
        dispatch: &Dispatch,
        answer: Answer,
    ) {
        let is_bad = answer.is_bad() && dispatch.version == "v2";
        let noise = self.random.random_range(0.8..1.1) / self.random.random_range(0.5..1.0);
        let mut schedule = |after_ms: f64, due: Due| {
            let at_ms = self.now_ms + (after_ms as u64).max(STEP_MS);
            self.scheduled.push(Reverse((at_ms, gateway, call, attempt, due)));
        };
        let end = |outcome, events| Due::End { outcome, events, is_bad };
        if answer.fails {
            return schedule(10.0, end(FAILED, 0));
        }
        if !dispatch.streaming {
            return schedule(60.0 * noise * answer.slowness, end(SERVED, 0));
        }
        let first_ms = (dispatch.expected_ms.as_f64() * 0.9).max(60.0) * answer.slowness;
        if dispatch.min_confidence.is_some() && self.random.random_bool(WEAK_SHARE) {
            return schedule(first_ms, end(WEAK, 0));
        }
        let event_ms = match dispatch.model.as_ref().map(ModelId::as_str) {
            Some("small" | "middle") => 28.0,
            _ => 96.0,
        };
        let events = self.random.random_range(4..60);
        schedule(first_ms, Due::FirstEvent);
        let event_ms = event_ms * noise * answer.slowness;
        if events >= PACED_EVENTS {
            let gap_us = (event_ms * 1_000.0) as u64;
            schedule(first_ms + event_ms * (PACED_EVENTS - 1) as f64, Due::Paced { gap_us });
        }
        schedule(first_ms + event_ms * (events - 1) as f64, end(SERVED, events));
    }

    fn handle_due(&mut self) {
        while let Some(Reverse((at_ms, ..))) = self.scheduled.peek() {
            if *at_ms > self.now_ms {
                return;
            }
            let Some(Reverse((_, gateway, call, attempt, due))) = self.scheduled.pop() else {
                return;
            };
            if let Due::Record(index) = due {
                let record = self.records[index].clone();
                let effects = self.rigs[gateway].apply(GatewayEvent::RolloutRecorded(record));
                self.carry_out(gateway, effects);
                continue;
            }
            let is_current =
                self.open.get(&(gateway, call)).is_some_and(|known| known.1 == attempt);
            match due {
                Due::FirstEvent if is_current => {
                    let event = GatewayEvent::FirstEvent { call: CallId(call) };
                    let effects = self.rigs[gateway].apply(event);
                    self.carry_out(gateway, effects);
                }
                Due::Paced { gap_us } if is_current => {
                    let event = GatewayEvent::StreamPaced { call: CallId(call), gap_us };
                    let effects = self.rigs[gateway].apply(event);
                    self.carry_out(gateway, effects);
                }
                Due::End { outcome, events, is_bad } => {
                    if is_bad {
                        self.course.bad_answers.push(self.now_ms);
                    }
                    if is_current {
                        let outcome = match outcome {
                            SERVED => AttemptOutcome::Served,
                            WEAK => AttemptOutcome::Weak,
                            _ => AttemptOutcome::Failed { status: 500 },
                        };
                        let last_event = (events > 0).then_some(events);
                        self.end(gateway, call, attempt, outcome, last_event);
                    }
                }
                _ => {}
            }
        }
    }

    fn end(
        &mut self,
        gateway: usize,
        call: u64,
        attempt: u32,
        outcome: AttemptOutcome,
        last_event: Option<u64>,
    ) {
        if self.open.get(&(gateway, call)).is_none_or(|known| known.1 != attempt) {
            return;
        }
        let effects = self.rigs[gateway].end_attempt_after(CallId(call), outcome, last_event);
        self.carry_out(gateway, effects);
    }

    fn is_running(&self, upstream: &UpstreamId) -> bool {
        let is_old = upstream.as_str().starts_with("o-");
        !(is_old && self.course.ended_as(RolloutPhase::Completed))
    }

    /// Writes a record if the one that it replaces is still the latest.
    fn write(&mut self, gateway: usize, step: RolloutStep) {
        let latest = self.records.last().map_or(0, |known| known.position.revision);
        if step.replaces.revision != latest {
            return;
        }
        self.revision += 1;
        let record = RolloutRecord { position: position(1, self.revision), ..step.record };
        self.course.phases.push((self.now_ms, record.phase));
        let index = self.records.len();
        self.records.push(record.clone());
        for other in 0..self.rigs.len() {
            let delay_ms = if other == gateway { STEP_MS } else { RECORD_DELAY_MS };
            let at_ms = self.now_ms + delay_ms;
            self.scheduled.push(Reverse((at_ms, other, 0, 0, Due::Record(index))));
        }
        if record.phase == RolloutPhase::Completed {
            self.stop_old_version();
        }
    }

    fn stop_old_version(&mut self) {
        for index in 0..self.play.upstreams {
            let id: UpstreamId = format!("o-{index}").parse().unwrap();
            for rig in &mut self.rigs {
                rig.apply(GatewayEvent::Deregistered(id.clone()));
            }
        }
    }
}

impl Play {
    fn order(&self) -> RolloutOrder {
        RolloutOrder {
            service: self.service.parse().unwrap(),
            target: "v2".into(),
            duration_ms: DurationMs::from_secs(self.duration_s),
            position: StorePosition { revision: ORDER_REVISION, ..position(1, 0) },
            ..super::order(ORDER_REVISION)
        }
    }
}

const SERVED: u8 = 0;
const WEAK: u8 = 1;
const FAILED: u8 = 2;

const fn silent() -> AttemptOutcome {
    AttemptOutcome::Unknown(ResponseFault::Silent)
}
