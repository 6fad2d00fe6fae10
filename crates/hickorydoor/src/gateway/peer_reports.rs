//! Reports of other gateways, of which the latest of each counts for a while.
//!
//! Whoever keeps sums over them changes these by what a report replaces and by what is outdated, so
//! that the work for a report depends on its own length and not on the number of gateways.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::HostId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Latest report of one gateway.
#[derive(Clone, Debug)]
struct Report<T> {
    at: TimeMs,
    entries: Vec<T>,
}

/// Latest reports by gateway.
#[derive(Clone, Debug)]
pub struct PeerReports<T> {
    ttl_ms: DurationMs,
    reports: BTreeMap<HostId, Report<T>>,
    /// The gateways, by the time of their reports.
    by_time: BTreeSet<(TimeMs, HostId)>,
}

impl<T> PeerReports<T> {
    /// Creates an empty collection, whose reports count for `ttl_ms`.
    pub const fn new(ttl_ms: DurationMs) -> Self {
        Self { ttl_ms, reports: BTreeMap::new(), by_time: BTreeSet::new() }
    }

    /// Replaces the report of a gateway; returns the entries of the one before.
    pub fn replace(&mut self, peer: HostId, entries: Vec<T>, now: TimeMs) -> Vec<T> {
        let before = self.reports.insert(peer.clone(), Report { at: now, entries });
        if let Some(before) = &before {
            self.by_time.remove(&(before.at, peer.clone()));
        }
        self.by_time.insert((now, peer));
        before.map(|before| before.entries).unwrap_or_default()
    }

    /// Removes the report of a gateway; returns its entries.
    pub fn remove(&mut self, peer: &HostId) -> Vec<T> {
        let Some(report) = self.reports.remove(peer) else {
            return Vec::new();
        };
        self.by_time.remove(&(report.at, peer.clone()));
        report.entries
    }

    /// Removes an outdated report and returns its entries; `None` if there is none.
    pub fn pop_outdated(&mut self, now: TimeMs) -> Option<Vec<T>> {
        let (at, _) = self.by_time.first()?;
        if now.since(*at) <= self.ttl_ms {
            return None;
        }
        let (_, peer) = self.by_time.pop_first()?;
        self.reports.remove(&peer).map(|report| report.entries)
    }

    /// Iterates over the entries of all reports.
    pub fn entries(&self) -> impl Iterator<Item = &T> {
        self.reports.values().flat_map(|report| &report.entries)
    }

    /// Returns the number of reports.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}
