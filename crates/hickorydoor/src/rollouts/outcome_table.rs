//! Outcomes of the attempts on two versions, counted so that engines and routes can be told apart.
//!
//! A version is at fault if its answers are worse wherever they come from. An upstream is at fault
//! if only its own answers are, and some routes fail more often than others on every version. So
//! outcomes are counted by side, route and group of upstreams. The number of groups and of routes
//! is bounded, and with it the size of a table, for any size of a fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::id::UpstreamId;

/// Number of groups that the upstreams of a side are hashed into.
const GROUPS: u64 = 8;
/// Maximum number of routes that are told apart; the outcomes of further ones are added up.
const MAX_ROUTES: usize = 12;
/// Key of the routes beyond [`MAX_ROUTES`].
const OTHER_ROUTES: RouteKey = RouteKey(0);
/// Bounds of a slowdown: one upstream that stands still is weak evidence about the others.
const SLOWDOWN_RANGE: (f64, f64) = (-1.0, 2.0);
/// Slowdown from which on an answer counts as late, in octaves: the largest that is told apart.
const LATE_OCTAVES: f64 = SLOWDOWN_RANGE.1;
/// Fractions of an octave in which slowdowns are summed.
const SLOWDOWN_RESOLUTION: f64 = 100.0;

/// A side of the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Side {
    /// The version that is under test.
    Target,
    /// All other versions.
    Baseline,
}

/// Hash of the name of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(u32);

impl RouteKey {
    /// Creates a key from its number on the wire.
    pub const fn new(raw: u32) -> Self {
        Self(raw)
    }

    /// Returns the number on the wire.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the key of a route.
    pub fn of(route: &str) -> Self {
        Self((xxh3_64(route.as_bytes()) as u32).max(1))
    }
}

/// Group of upstreams whose outcomes are added up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamGroup(u8);

impl UpstreamGroup {
    /// Creates a group from its number on the wire.
    pub const fn new(raw: u8) -> Self {
        Self(raw)
    }

    /// Returns the number on the wire.
    pub const fn get(self) -> u8 {
        self.0
    }

    /// Returns the group of an upstream.
    pub fn of(upstream: &UpstreamId) -> Self {
        Self((xxh3_64(upstream.as_str().as_bytes()) % GROUPS) as u8)
    }
}

/// What outcomes are counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OutcomeKey {
    /// Side that the attempt ran on.
    pub side: Side,
    /// Route of the request.
    pub route: RouteKey,
    /// Group of the upstream.
    pub group: UpstreamGroup,
}

/// Time of an answer relative to the usual one, as a power of two: 1 is twice the usual time.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Slowdown(f64);

impl Slowdown {
    /// Compares a time with the usual one; `None` unless both are positive.
    pub fn of(took_ms: f64, usual_ms: f64) -> Option<Self> {
        let octaves = (took_ms / usual_ms).log2();
        octaves.is_finite().then(|| Self(octaves.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1)))
    }
}

/// Counted outcomes; all counters only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Attempts that ended with an answer or a failure of the upstream.
    pub answers: u32,
    /// Those of them that failed.
    pub errors: u32,
    /// Attempts that had no answer in time.
    pub unanswered: u32,
    /// Streams of engines whose pace was measured.
    pub paced: u32,
    /// Those of them that ran at full pace.
    pub at_full_pace: u32,
    /// Answers of services without engines whose slowdown was measured.
    pub timed: u32,
    /// Those of them that took much longer than usual.
    pub late: u32,
    /// Sum of the slowdowns, in hundredths of an octave.
    pub slowdown_sum: i32,
    /// Sum of the squared slowdowns, in ten-thousandths of a squared octave.
    pub slowdown_square_sum: u32,
}

impl OutcomeCounts {
    /// Adds other counts.
    pub const fn add(&mut self, other: &Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.errors = self.errors.saturating_add(other.errors);
        self.unanswered = self.unanswered.saturating_add(other.unanswered);
        self.paced = self.paced.saturating_add(other.paced);
        self.at_full_pace = self.at_full_pace.saturating_add(other.at_full_pace);
        self.timed = self.timed.saturating_add(other.timed);
        self.late = self.late.saturating_add(other.late);
        self.slowdown_sum = self.slowdown_sum.saturating_add(other.slowdown_sum);
        self.slowdown_square_sum =
            self.slowdown_square_sum.saturating_add(other.slowdown_square_sum);
    }

    /// Returns the sum of the slowdowns, in octaves.
    pub fn slowdown_octaves(&self) -> f64 {
        f64::from(self.slowdown_sum) / SLOWDOWN_RESOLUTION
    }

    /// Returns the sum of the squared slowdowns, in squared octaves.
    pub fn slowdown_square_octaves(&self) -> f64 {
        f64::from(self.slowdown_square_sum) / (SLOWDOWN_RESOLUTION * SLOWDOWN_RESOLUTION)
    }

    /// Returns the mean slowdown, in octaves; 0 without one.
    pub fn mean_slowdown_octaves(&self) -> f64 {
        if self.timed == 0 { 0.0 } else { self.slowdown_octaves() / f64::from(self.timed) }
    }
}

/// Outcomes and numbers of the attempts on both sides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeTable {
    cells: BTreeMap<OutcomeKey, OutcomeCounts>,
    sent_to_target: u64,
    sent: u64,
}

impl OutcomeTable {
    /// Creates a table from its parts.
    pub fn new(
        cells: impl IntoIterator<Item = (OutcomeKey, OutcomeCounts)>,
        sent_to_target: u64,
        sent: u64,
    ) -> Self {
        Self { cells: cells.into_iter().collect(), sent_to_target, sent }
    }

    /// Counts an attempt that is sent.
    pub const fn record_sent(&mut self, side: Side) {
        self.sent += 1;
        if matches!(side, Side::Target) {
            self.sent_to_target += 1;
        }
    }

    /// Counts an attempt that has ended.
    pub fn record_answer(&mut self, key: OutcomeKey, has_failed: bool) {
        let counts = self.counts_mut(key);
        counts.answers += 1;
        counts.errors += u32::from(has_failed);
    }

    /// Counts an answer that was broken off after it had been counted.
    pub fn record_broken(&mut self, key: OutcomeKey) {
        self.counts_mut(key).errors += 1;
    }

    /// Counts an attempt that has no answer in time.
    pub fn record_unanswered(&mut self, key: OutcomeKey) {
        self.counts_mut(key).unanswered += 1;
    }

    /// Counts a stream of an engine.
    pub fn record_pace(&mut self, key: OutcomeKey, is_full: bool) {
        let counts = self.counts_mut(key);
        counts.paced += 1;
        counts.at_full_pace += u32::from(is_full);
    }

    /// Counts a measured slowdown of a service without engines.
    pub fn record_slowdown(&mut self, key: OutcomeKey, slowdown: Slowdown) {
        let hundredths = (slowdown.0 * SLOWDOWN_RESOLUTION).round();
        let counts = self.counts_mut(key);
        counts.timed += 1;
        counts.late += u32::from(slowdown.0 >= LATE_OCTAVES);
        counts.slowdown_sum += hundredths as i32;
        counts.slowdown_square_sum += (hundredths * hundredths) as u32;
    }

    /// Adds another table, of other attempts.
    pub fn merge(&mut self, other: &Self) {
        for (key, counts) in &other.cells {
            self.counts_mut(*key).add(counts);
        }
        self.sent_to_target += other.sent_to_target;
        self.sent += other.sent;
    }

    /// Returns the number of attempts that were sent to the target.
    pub const fn sent_to_target(&self) -> u64 {
        self.sent_to_target
    }

    /// Returns the number of attempts that were sent to both sides.
    pub const fn sent(&self) -> u64 {
        self.sent
    }

    /// Iterates over the counts of a side.
    pub fn of_side(&self, side: Side) -> impl Iterator<Item = (&OutcomeKey, &OutcomeCounts)> {
        self.cells.iter().filter(move |(key, _)| key.side == side)
    }

    /// Iterates over all counts.
    pub fn iter(&self) -> impl Iterator<Item = (&OutcomeKey, &OutcomeCounts)> {
        self.cells.iter()
    }

    /// Returns the table with the outcomes of all routes added up.
    #[must_use]
    pub fn without_routes(&self) -> Self {
        let mut pooled =
            Self { sent_to_target: self.sent_to_target, sent: self.sent, ..Self::default() };
        for (key, counts) in &self.cells {
            pooled.counts_mut(OutcomeKey { route: OTHER_ROUTES, ..*key }).add(counts);
        }
        pooled
    }

    /// Returns the sum of the counts of a side.
    pub fn total(&self, side: Side) -> OutcomeCounts {
        let mut total = OutcomeCounts::default();
        for (_, counts) in self.of_side(side) {
            total.add(counts);
        }
        total
    }

    fn counts_mut(&mut self, mut key: OutcomeKey) -> &mut OutcomeCounts {
        if !self.cells.contains_key(&key) {
            let routes: BTreeSet<RouteKey> = self.cells.keys().map(|known| known.route).collect();
            if routes.len() >= MAX_ROUTES && !routes.contains(&key.route) {
                key.route = OTHER_ROUTES;
            }
        }
        self.cells.entry(key).or_default()
    }
}
