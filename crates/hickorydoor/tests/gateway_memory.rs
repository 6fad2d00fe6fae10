//! The collections of a gateway stay within their bounds, whatever it has seen before.

mod gateway;
mod property;

use std::sync::Arc;

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::catalog::CallerLimits;
use hickorydoor::gateway::catalog::Catalog;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::event::NotRun;
use hickorydoor::gateway::headroom::ServiceDemand;
use hickorydoor::gateway::peer_digest::DigestEvidence;
use hickorydoor::gateway::peer_digest::PeerDigest;
use hickorydoor::gateway::quarantine::QuarantineReport;
use hickorydoor::gateway::rate_limits::LimitNotice;
use hickorydoor::gateway::route::CallKind;
use hickorydoor::gateway::upstreams::UpstreamNotice;
use hickorydoor::rollouts::outcome_table::OutcomeTable;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::TestCaseError;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::gateway::ENGINES;
use crate::gateway::PLAIN;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::dispatch;
use crate::gateway::member;
use crate::gateway::order;
use crate::gateway::prompt;
use crate::gateway::registration;
use crate::gateway::route;

const HOUR_STEPS: u64 = 3_600_000 / STEP_MS;
const STEP_MS: u64 = 1_000;
const ENGINE_COUNT: u64 = 6;
const PLAIN_COUNT: u64 = 3;
/// Upstreams, routes and hosts get new names in these intervals.
const RENAME_STEPS: u64 = 10;
const ROUTE_STEPS: u64 = 60;
const DIGEST_STEPS: u64 = 8;
const CHECK_STEPS: u64 = 30;

/// An hour at one gateway beside `others`.
struct Play {
    rig: Rig,
    rng: Pcg64Mcg,
    others: u64,
}

impl Play {
    fn new(others: u64, seed: u64) -> Self {
        let rig = Rig::empty("gw-own");
        Self { rig, rng: Pcg64Mcg::seed_from_u64(seed), others }
    }

    fn step(&mut self, step: u64) {
        for _ in 0..2 {
            self.rig.now = self.rig.now + DurationMs::new(STEP_MS / 2);
            self.rig.sync_store();
            self.rig.apply(GatewayEvent::Tick);
        }
        if step.is_multiple_of(ROUTE_STEPS) {
            self.configure(step);
        }
        if step.is_multiple_of(RENAME_STEPS) {
            self.rename(step / RENAME_STEPS);
        }
        if step.is_multiple_of(DIGEST_STEPS) {
            (0..self.others).for_each(|other| self.receive_digest(step, other));
        }
        for path in ["/draft/1", "/look/1", "/book/1"] {
            self.send(path, step);
        }
    }

    /// All routes get new names.
    fn configure(&mut self, step: u64) {
        let known = gateway::catalog(1, &[gateway::KEY]);
        let mut routes = vec![
            route("/draft/", CallKind::Streaming, ENGINES),
            route("/book/", CallKind::NonIdempotent, PLAIN),
            route("/look/", CallKind::Idempotent, PLAIN),
        ];
        for route in &mut routes {
            route.name = format!("{}-{step}", route.name).into();
        }
        let services = known.services().cloned().collect();
        let accounts = known.accounts().cloned().collect();
        let catalog =
            Catalog::new(step + 1, CallerLimits::default(), routes, services, Some(accounts));
        self.rig.apply(GatewayEvent::Configured(Arc::new(catalog)));
        let ordered = GatewayEvent::RolloutOrdered { order: order(step + 1), age_ms: None };
        self.rig.apply(ordered);
    }

    /// One upstream of each service and one gateway are replaced by others.
    fn rename(&mut self, number: u64) {
        let names = |service, count: u64| {
            let first = if number == 0 { 0 } else { number + count - 1 };
            (first..number + count).map(move |index| (format!("{service}-{index}"), service))
        };
        for (name, service) in names(ENGINES, ENGINE_COUNT).chain(names(PLAIN, PLAIN_COUNT)) {
            self.rig.register(registration(&name, service));
        }
        let Some(gone) = number.checked_sub(1) else {
            return (0..self.others).for_each(|other| self.join(other));
        };
        for service in [ENGINES, PLAIN] {
            let gone = format!("{service}-{gone}").parse().unwrap();
            self.rig.apply(GatewayEvent::Deregistered(gone));
        }
        if self.others > 0 {
            self.rig.apply(GatewayEvent::GatewayLeft(format!("gw-{gone}").parse().unwrap()));
            self.join(gone + self.others);
        }
    }

    fn join(&mut self, other: u64) {
        self.rig.apply(GatewayEvent::GatewayJoined(member(&format!("gw-{other}"), "dc-1", 1_000)));
    }

    fn receive_digest(&mut self, step: u64, other: u64) {
        let evidence = DigestEvidence {
            service: ENGINES.parse().unwrap(),
            order: order(step / ROUTE_STEPS * ROUTE_STEPS + 1).position,
            age_ms: None,
            outcomes: OutcomeTable::default(),
            objects: false,
            record: None,
            pinned_sessions: (0..8).map(|_| self.rng.random()).collect(),
        };
        let mut demand = ServiceDemand::new(PLAIN.parse().unwrap(), 1);
        demand.add(1, 0.0, DurationMs::new(100));
        let digest = PeerDigest {
            host: format!("gw-{}", step / RENAME_STEPS + other).parse().unwrap(),
            incarnation: step / DIGEST_STEPS,
            sequence: step,
            loads: Vec::new(),
            evidence: vec![evidence],
            prefills: Vec::new(),
            quarantine: QuarantineReport::default(),
            notices: Vec::new(),
            demands: vec![demand],
            store_answering_ms: None,
        };
        self.rig.apply(GatewayEvent::Digest(Box::new(digest)));
    }

    fn send(&mut self, path: &str, step: u64) {
        let mut request = call(path, &format!("{path}-{step}"));
        request.session = Some(format!("session-{}", self.rng.random_range(0..100_000)).into());
        if path.starts_with("/draft") {
            request.prompt = prompt(self.rng.random(), self.rng.random_range(0..20), 10);
        }
        let (call, effects) = self.rig.send(request);
        if dispatch(&effects).is_none() {
            self.rig.apply(GatewayEvent::CallerGone { call });
            return;
        }
        let kind = self.rng.random_range(0..20);
        if kind < 3 {
            let pause_ms = (kind == 0).then(|| DurationMs::new(400));
            let notice =
                UpstreamNotice { is_leaving: kind == 1, pause_ms, limit: LimitNotice::Silent };
            self.rig.apply(GatewayEvent::UpstreamNoticed { call, notice });
        }
        self.rig.apply(GatewayEvent::FirstEvent { call });
        let outcome = match kind {
            0 => AttemptOutcome::NotRun(NotRun::Refused),
            3 => AttemptOutcome::NotRun(NotRun::Unreachable),
            _ => AttemptOutcome::Served,
        };
        self.rig.end_attempt(call, outcome);
        self.rig.apply(GatewayEvent::CallerGone { call });
    }

    /// Returns the stated bound of a collection (docs/CAPACITY.md) under this load.
    fn bound(&self, collection: &str) -> usize {
        let others = self.others as usize;
        let upstreams = (ENGINE_COUNT + PLAIN_COUNT) as usize;
        let renamed_a_minute = 2 * (60_000 / STEP_MS / RENAME_STEPS) as usize;
        match collection {
            "upstreams" | "permits" | "room_log" => upstreams,
            "departures" => renamed_a_minute + 2,
            "departed_rooms" => 10 * renamed_a_minute + 2,
            "cached_parts" => 4_096,
            // Three attempts of each of three requests in each of two steps.
            "recent_dispatches" => 18,
            // Three requests a step for 10 s, and repeats.
            "retry_budgets" => 2 * 3 * 11,
            // Those of 5.5 s.
            "sessions" => 3 * 7,
            "calls" | "waiting" | "sizes" | "route_claims" | "typical_times"
            | "route_durations" | "models" | "starts" => 3,
            // 4 incarnations of each host within a rollout, 1.5 s of pins, the history.
            "rollouts" => {
                4 * (others + (ROUTE_STEPS / RENAME_STEPS) as usize + 1) + 8 * others + 64
            }
            "records" | "reported_demand" => 1,
            "deferred_orders" | "closed_data_centres" => 0,
            "unreachable" => 2,
            "members" | "silent_issuers" => others,
            // One that left is heard of up to 2 s ago.
            "load_reports" | "gateways" | "digests" | "contacts" | "peer_demand" => others + 1,
            // Requests that wait at this gateway and at the others.
            "assignments" => 3 + others,
            // Services, and requests that wait.
            "scarcity_log" => 2 + 3,
            "recent_prefills" => 6,
            "upstream_news" => 1_024,
            _ => panic!("{collection} has no bound"),
        }
    }
}

/// Plays an hour beside `others`.
fn play(others: u64, seed: u64) -> Result<(), TestCaseError> {
    let mut play = Play::new(others, seed);
    for step in 0..HOUR_STEPS {
        play.step(step);
        if others > 0 {
            play.rig.gateway.digest(play.rig.now);
        }
        if !step.is_multiple_of(CHECK_STEPS) {
            continue;
        }
        for (name, size) in play.rig.gateway.collection_sizes() {
            let bound = play.bound(name);
            prop_assert!(size <= bound, "{name}: {size} of {bound}, step {step}, {others} others");
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(property::config(41, 1))]

    /// Guards against memory that grows with the requests or the names that were ever seen. The other
    /// gateways get digests only if there are any.
    #[test]
    fn collections_stay_within_their_bounds_for_an_hour(seed in any::<u64>()) {
        for others in [0, 1, 19] {
            play(others, seed)?;
        }
    }
}
