//! Gateways that learn the changes of a store in virtual time, while some of them are in trouble.

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::member::GatewayMember;
use hickorydoor::gateway::source_choice::FollowOutcome;
use hickorydoor::gateway::source_choice::SourceChoice;
use hickorydoor::gateway::source_choice::ViewStep;
use hickorydoor::gateway::view_role::ViewRole;
use hickorydoor::gateway::view_role::view_role;
use hickorydoor::gateway::view_timing::ViewTiming;

/// Length of a step of the play.
const STEP_MS: u64 = 5;
/// Time of a call to the store.
const CALL_MS: u64 = 4;
/// Calls that the store answers in a step.
const CALLS_IN_STEP: usize = 10;
/// Time after which a call without an answer is given up, besides its wait.
const CALL_TIMEOUT_MS: u64 = 1_200;
/// Interval between writes to the store that are no changes, such as renewals of leases.
const WRITE_INTERVAL_MS: u64 = 100;
/// Interval at which a follower checks its source.
const CHECK_MS: u64 = 250;

/// What is wrong with a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Its process does not run.
    Frozen,
    /// The store does not answer it.
    TurnedAway,
    /// It reaches the store, and no other gateway reaches it.
    CutOff,
    /// Its process ends, and starts again afterwards.
    Killed,
}

/// Trouble of a gateway from a time until another.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    pub gateway: usize,
    pub trouble: Trouble,
    pub from_ms: u64,
    pub until_ms: u64,
}

#[derive(Clone, Debug)]
enum State {
    Idle { until_ms: u64 },
    Polling { sent_ms: u64, queued: bool, answer_ms: u64, wait_ms: u64 },
    Trying { source: usize, known: u64, since_ms: u64, until_ms: u64 },
    Following { source: usize, since_ms: u64, was_watcher: bool },
}

struct Gateway {
    role: ViewRole,
    choice: SourceChoice,
    state: State,
    synced_ms: Option<u64>,
    version: u64,
    /// Number of writes to the store up to which all is known.
    position: u64,
    /// When a call to the store failed, which ends the connections of its followers.
    closed_ms: u64,
}

/// All gateways and the store.
pub struct ViewFleet {
    timing: ViewTiming,
    members: Vec<GatewayMember>,
    gateways: Vec<Gateway>,
    disruptions: Vec<Disruption>,
    now_ms: u64,
    /// When each version was acknowledged.
    changes_ms: Vec<u64>,
    /// Calls to the store, with the gateway and the time.
    pub calls: Vec<(usize, u64)>,
    calls_in_step: usize,
}

impl ViewFleet {
    pub fn new(members: Vec<GatewayMember>, bound_ms: DurationMs) -> Self {
        let timing = ViewTiming { bound_ms };
        let all: Vec<&GatewayMember> = members.iter().collect();
        // Gateways start one after another, so that their polls are out of step.
        let gateways = members.iter().enumerate().map(|(index, own)| Gateway {
            role: view_role(own, &all),
            choice: SourceChoice::new(timing),
            state: State::Idle { until_ms: index as u64 * 173 % 900 },
            synced_ms: None,
            version: 0,
            position: 0,
            closed_ms: 0,
        });
        let gateways = gateways.collect();
        Self {
            timing,
            members,
            gateways,
            disruptions: Vec::new(),
            now_ms: 0,
            changes_ms: vec![0],
            calls: Vec::new(),
            calls_in_step: 0,
        }
    }

    pub const fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub fn watchers(&self) -> Vec<usize> {
        let is_watcher = |index: &usize| self.gateways[*index].role.is_watcher();
        (0..self.gateways.len()).filter(is_watcher).collect()
    }

    pub fn reserves(&self) -> Vec<usize> {
        let is_reserve = |index: &usize| {
            let role = &self.gateways[*index].role;
            !role.is_watcher() && role.place().is_reserve()
        };
        (0..self.gateways.len()).filter(is_reserve).collect()
    }

    pub fn disrupt(&mut self, disruption: Disruption) {
        self.disruptions.push(disruption);
    }

    /// Acknowledges a change.
    pub fn change(&mut self) {
        self.changes_ms.push(self.now_ms);
    }

    /// Returns the gateways that were not disrupted within `contact_ms` and lack a change that was
    /// acknowledged longer than the bound ago, with that change.
    pub fn late(&self, contact_ms: u64) -> Vec<(usize, usize)> {
        let bound_ms = self.timing.bound_ms.get();
        let due = self.changes_ms.iter().filter(|at| **at + bound_ms <= self.now_ms).count() - 1;
        let is_late = |index: &usize| {
            let is_disrupted = self.disruptions.iter().any(|known| {
                known.gateway == *index
                    && known.from_ms <= self.now_ms
                    && self.now_ms <= known.until_ms + contact_ms
            });
            !is_disrupted && (self.gateways[*index].version as usize) < due
        };
        (0..self.gateways.len()).filter(is_late).map(|index| (index, due)).collect()
    }

    /// Plays until `until_ms`, with a call of `check` after each step.
    pub fn run(&mut self, until_ms: u64, mut check: impl FnMut(&Self)) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.calls_in_step = 0;
            for index in 0..self.gateways.len() {
                self.step(index);
            }
            check(self);
        }
    }

    fn has(&self, index: usize, trouble: Trouble) -> bool {
        self.disruptions.iter().any(|known| {
            known.gateway == index
                && known.trouble == trouble
                && (known.from_ms..known.until_ms).contains(&self.now_ms)
        })
    }

    /// Returns whether other gateways get the changes that a gateway learns.
    fn is_heard(&self, index: usize) -> bool {
        ![Trouble::Frozen, Trouble::CutOff, Trouble::Killed]
            .into_iter()
            .any(|trouble| self.has(index, trouble))
    }

    fn store_version(&self) -> u64 {
        self.changes_ms.len() as u64 - 1
    }

    fn view_age_ms(&self, index: usize) -> Option<DurationMs> {
        let synced_ms = self.gateways[index].synced_ms?;
        Some(DurationMs::new(self.now_ms - synced_ms))
    }

    fn step(&mut self, index: usize) {
        if self.has(index, Trouble::Killed) {
            let gateway = &mut self.gateways[index];
            gateway.choice = SourceChoice::new(self.timing);
            (gateway.synced_ms, gateway.version, gateway.position) = (None, 0, 0);
            gateway.state = State::Idle { until_ms: 0 };
            return;
        }
        if self.has(index, Trouble::Frozen) {
            return;
        }
        match self.gateways[index].state.clone() {
            State::Idle { until_ms } if self.now_ms >= until_ms => self.next(index),
            State::Idle { .. } => {}
            State::Polling { sent_ms, queued, answer_ms, wait_ms } => {
                self.poll(index, sent_ms, queued, answer_ms, wait_ms);
            }
            State::Trying { source, known, since_ms, until_ms } => {
                self.try_source(index, source, known, since_ms, until_ms);
            }
            State::Following { source, since_ms, was_watcher } => {
                self.follow(index, source, since_ms, was_watcher);
            }
        }
    }

    fn next(&mut self, index: usize) {
        let (age_ms, now) = (self.view_age_ms(index), TimeMs::new(self.now_ms));
        let gateway = &mut self.gateways[index];
        gateway.state = match gateway.choice.next(&gateway.role, age_ms, now) {
            ViewStep::Follow { host, first_sync_ms } => {
                let source = self.members.iter().position(|member| member.host == host).unwrap();
                let until_ms = self.now_ms + first_sync_ms.get();
                State::Trying { source, known: gateway.position, since_ms: self.now_ms, until_ms }
            }
            ViewStep::Poll { wait_ms } => {
                self.calls.push((index, self.now_ms));
                State::Polling {
                    sent_ms: self.now_ms,
                    queued: true,
                    answer_ms: self.now_ms + CALL_MS,
                    wait_ms: wait_ms.get(),
                }
            }
        };
    }

    fn poll(&mut self, index: usize, sent_ms: u64, queued: bool, answer_ms: u64, wait_ms: u64) {
        let now = TimeMs::new(self.now_ms);
        if self.has(index, Trouble::TurnedAway) {
            if self.now_ms >= sent_ms + wait_ms + CALL_TIMEOUT_MS {
                let gateway = &mut self.gateways[index];
                gateway.choice.record_polled(false, now);
                gateway.closed_ms = self.now_ms;
                gateway.state = State::Idle { until_ms: self.now_ms + 150 };
            }
            return;
        }
        if queued {
            // The store answers a limited number of calls at a time.
            if self.calls_in_step < CALLS_IN_STEP {
                self.calls_in_step += 1;
                let answer_ms = self.now_ms + CALL_MS;
                self.gateways[index].state =
                    State::Polling { sent_ms, queued: false, answer_ms, wait_ms };
            }
            return;
        }
        let version = self.store_version();
        let gateway = &mut self.gateways[index];
        let has_changes = version > gateway.version;
        if self.now_ms < answer_ms || !has_changes && self.now_ms < answer_ms + wait_ms {
            return;
        }
        gateway.choice.record_polled(true, now);
        gateway.version = version;
        gateway.position = self.now_ms / WRITE_INTERVAL_MS;
        gateway.synced_ms = gateway.synced_ms.max(Some(sent_ms));
        let is_due = gateway.choice.may_follow(&gateway.role, now);
        let next_ms = sent_ms + self.timing.poll_interval_ms().get();
        gateway.state = State::Idle { until_ms: if is_due { self.now_ms } else { next_ms } };
    }

    fn try_source(
        &mut self,
        index: usize,
        source: usize,
        known: u64,
        since_ms: u64,
        until_ms: u64,
    ) {
        if self.has(source, Trouble::Killed) {
            return self.end_following(index, source, FollowOutcome::Unreachable, false);
        }
        let knows_more = self.gateways[source].position >= known;
        if !(self.is_heard(source) && self.is_heard(index) && knows_more)
            || self.now_ms < since_ms + STEP_MS
        {
            if self.now_ms >= until_ms {
                self.end_following(index, source, FollowOutcome::Failed, false);
            }
            return;
        }
        let leave_ms = self.timing.leave_after_ms(self.gateways[index].role.place());
        if self.view_age_ms(source).is_none_or(|age_ms| age_ms > leave_ms) {
            return self.end_following(index, source, FollowOutcome::Failed, false);
        }
        let was_watcher = self.gateways[index].role.is_watcher();
        self.gateways[index].state =
            State::Following { source, since_ms: self.now_ms, was_watcher };
        self.copy(index, source);
    }

    fn follow(&mut self, index: usize, source: usize, since_ms: u64, was_watcher: bool) {
        if self.is_heard(source) && self.is_heard(index) {
            self.copy(index, source);
        }
        let gateway = &self.gateways[index];
        let leave_ms = self.timing.leave_after_ms(gateway.role.place());
        let is_old = self.view_age_ms(index).is_none_or(|age_ms| age_ms > leave_ms);
        let is_closed = self.gateways[source].closed_ms >= since_ms;
        if is_old || is_closed || self.has(source, Trouble::Killed) {
            return self.end_following(index, source, FollowOutcome::Failed, true);
        }
        let followed_ms = self.now_ms - since_ms;
        let is_answered = !self.has(index, Trouble::TurnedAway);
        let host = &self.members[source].host;
        if followed_ms >= 2_000
            && followed_ms.is_multiple_of(CHECK_MS)
            && !gateway.choice.is_settled(&gateway.role, was_watcher, is_answered, host)
        {
            self.end_following(index, source, FollowOutcome::Left, true);
        }
    }

    fn copy(&mut self, index: usize, source: usize) {
        let Gateway { version, position, synced_ms, .. } = self.gateways[source];
        let gateway = &mut self.gateways[index];
        gateway.version = gateway.version.max(version);
        gateway.position = gateway.position.max(position);
        gateway.synced_ms = gateway.synced_ms.max(synced_ms);
    }

    fn end_following(
        &mut self,
        index: usize,
        source: usize,
        outcome: FollowOutcome,
        has_synced: bool,
    ) {
        let host = self.members[source].host.clone();
        let gateway = &mut self.gateways[index];
        gateway.choice.record_followed(&host, outcome, has_synced, TimeMs::new(self.now_ms));
        gateway.state = State::Idle { until_ms: self.now_ms };
    }
}
