//! Engines that are silent for a while and go on: no sound part is suspected, whatever the size of the
//! fleet. Engines that have ended silently under one part are noticed all the same.
//!
//! The play has one gateway and what the others report to it. Attempts are given up at random
//! engines, so that the silences are as many as the fleet is large.

mod gateway;

use std::collections::HashMap;
use std::collections::HashSet;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::digest_pace::regular_interval_ms;
use hickorydoor::gateway::digest_pace::urgent_interval_ms;
use hickorydoor::gateway::quarantine::EngineEnd;
use hickorydoor::gateway::quarantine::PartId;
use hickorydoor::gateway::quarantine::QuarantineReport;
use hickorydoor::gateway::quarantine::QuarantineStep;
use hickorydoor::gateway::quarantine::QuarantineTable;
use hickorydoor::id::UpstreamId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::gateway::ENGINES;

const STEP_MS: u64 = 50;
/// Attempts that each gateway gives up a second because it hears nothing from the engine.
const GIVEN_UP_PER_S: f64 = 0.4;
/// Responses of each engine a second, to all gateways together.
const RESPONSES_PER_S: f64 = 6.0;
/// Parts that all requests of a customer share, and subjects.
const FIRST_PARTS: u64 = 10;
const SUBJECTS: u64 = 60;
const FATAL_PART: u64 = 0xdead;
/// Time of an exchange between gateways, within which a part has to be known.
const CONTACT_MS: u64 = 3_000;

struct Fleet {
    gateways: u64,
    engines: u64,
    table: QuarantineTable,
    random: Pcg64Mcg,
    now_ms: u64,
    /// When an engine last responded to any gateway, as far as the gateway knows.
    heard: HashMap<UpstreamId, TimeMs>,
    /// What other gateways have heard and seen, by the time at which their report arrives.
    arriving: Vec<(u64, UpstreamId, Arriving)>,
    /// Engines that have ended. The store lists them no longer after a moment.
    dark: HashSet<UpstreamId>,
    reports: u64,
    suspected: Vec<(u64, PartId)>,
}

#[derive(Clone, Copy)]
enum Arriving {
    Heard(u64),
    Silent { host: u64, at_ms: u64, part: u64 },
}

fn engine(number: u64) -> UpstreamId {
    format!("e-{number}").parse().unwrap()
}

impl Fleet {
    fn new(gateways: u64, seed: u64) -> Self {
        let mut table = QuarantineTable::default();
        let peers = gateways as usize - 1;
        table.set_report_delay(
            urgent_interval_ms(peers),
            regular_interval_ms(DurationMs::new(100), peers),
        );
        Self {
            gateways,
            engines: 2 * gateways,
            table,
            random: Pcg64Mcg::seed_from_u64(seed),
            now_ms: 1_000_000,
            heard: HashMap::new(),
            arriving: Vec::new(),
            dark: HashSet::new(),
            reports: 0,
            suspected: Vec::new(),
        }
    }

    fn regular_ms(&self) -> u64 {
        regular_interval_ms(DurationMs::new(100), self.gateways as usize - 1).get()
    }

    /// Returns how often something happens in a step that happens `per_s` times a second.
    fn times(&mut self, per_s: f64) -> u64 {
        let expected = per_s * STEP_MS as f64 / 1_000.0;
        expected as u64 + u64::from(self.random.random_bool(expected.fract()))
    }

    fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.respond();
            for _ in 0..self.times(GIVEN_UP_PER_S * self.gateways as f64) {
                let number = self.random.random_range(0..self.engines);
                let part = self.random.random_range(0..FIRST_PARTS);
                if !self.dark.contains(&engine(number)) {
                    self.give_up(engine(number), part);
                }
            }
            self.receive();
            let heard = &self.heard;
            let now = TimeMs::new(self.now_ms);
            self.table.assess(|_| false, |upstream| heard.get(upstream).copied(), now);
            let changes = self.table.take_changes().into_iter();
            let suspected = changes.filter(|change| change.step == QuarantineStep::Suspected);
            let parts = suspected.flat_map(|change| change.parts);
            self.suspected.extend(parts.map(|part| (now.get(), part)));
        }
    }

    fn respond(&mut self) {
        for _ in 0..self.times(RESPONSES_PER_S * self.engines as f64) {
            let upstream = engine(self.random.random_range(0..self.engines));
            if !self.dark.contains(&upstream) {
                let delay_ms = self.random.random_range(0..self.regular_ms());
                let heard = Arriving::Heard(self.now_ms);
                self.arriving.push((self.now_ms + delay_ms, upstream, heard));
            }
        }
    }

    fn give_up(&mut self, upstream: UpstreamId, part: u64) {
        let urgent_ms = urgent_interval_ms(self.gateways as usize - 1).get();
        let delay_ms = self.random.random_range(0..urgent_ms);
        let host = self.random.random_range(0..self.gateways);
        let silent = Arriving::Silent { host, at_ms: self.now_ms, part };
        self.arriving.push((self.now_ms + delay_ms, upstream, silent));
    }

    fn receive(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self.arriving.extract_if(.., |known| known.0 <= now_ms).collect();
        for (_, upstream, arrived) in due {
            match arrived {
                Arriving::Heard(at_ms) => {
                    let known = self.heard.entry(upstream).or_default();
                    *known = (*known).max(TimeMs::new(at_ms));
                }
                Arriving::Silent { host, at_ms, part } => {
                    let subject = 100 + self.random.random_range(0..SUBJECTS);
                    let end = EngineEnd {
                        upstream,
                        started_unix_ms: 0,
                        service: ENGINES.parse().unwrap(),
                        version: "v1".into(),
                        is_confirmed: false,
                        is_closed: false,
                        parts: [part, subject].into_iter().map(PartId::new).collect(),
                        tried: [].into_iter().collect(),
                    };
                    let ends = vec![(end, DurationMs::new(now_ms - at_ms))];
                    let report = QuarantineReport { ends, ..QuarantineReport::default() };
                    let host = format!("gw-{host}").parse().unwrap();
                    // Each silence is reported for itself, so none replaces another.
                    self.reports += 1;
                    self.table.apply_report(&host, self.reports, report, TimeMs::new(now_ms));
                }
            }
        }
    }
}

/// Guards against sound answers that are ended since engines that live were silent for a while.
#[test]
fn no_part_is_suspected_in_ten_minutes_without_a_crash() {
    for (gateways, for_ms) in [(5, 600_000), (100, 600_000), (560, 60_000)] {
        let mut fleet = Fleet::new(gateways, 1);
        fleet.run(for_ms);
        assert_eq!(fleet.suspected, [], "{gateways} gateways");
    }
}

/// One engine that ends says nothing about the parts that ran there.
#[test]
fn no_part_is_suspected_by_one_engine_that_ends() {
    for gateways in [5, 100, 560] {
        let mut fleet = Fleet::new(gateways, 2);
        fleet.run(10_000);
        fleet.dark.insert(engine(3));
        for part in 0..FIRST_PARTS {
            fleet.give_up(engine(3), part);
        }
        fleet.run(30_000);
        assert_eq!(fleet.suspected, [], "{gateways} gateways");
    }
}

/// Engines that end silently under one part are noticed: a silence that lasts is no doubt.
#[test]
fn part_is_suspected_by_engines_that_end_silently() {
    for gateways in [3, 12, 60] {
        let mut fleet = Fleet::new(gateways, 3);
        fleet.run(10_000);
        for number in 0..3 {
            fleet.dark.insert(engine(number));
            fleet.give_up(engine(number), FATAL_PART);
            fleet.run(500);
        }
        fleet.run(CONTACT_MS);
        let parts: Vec<u64> = fleet.suspected.iter().map(|(_, part)| part.get()).collect();
        assert!(parts.contains(&FATAL_PART), "{gateways} gateways: {parts:?}");
    }
}
