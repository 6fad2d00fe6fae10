//! Age of the gateway's copy of the configuration.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Path by which a reply of the store arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePath {
    /// From the store itself.
    Direct,
    /// Through another gateway.
    Relayed,
}

/// Tracks the time up to which all changes acknowledged by the store are known.
///
/// Timestamps must come from a clock that keeps running while the host is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    synced_at: Option<TimeMs>,
    direct_synced_at: Option<TimeMs>,
    unreachable_since: Option<TimeMs>,
    recovered_at: Option<TimeMs>,
}

impl Freshness {
    /// Records that all changes acknowledged before `synced_at` are known.
    pub fn record_sync(&mut self, synced_at: TimeMs, path: StorePath, now: TimeMs) {
        if self.unreachable_since.take().is_some() {
            self.recovered_at = Some(now);
        }
        self.synced_at = self.synced_at.max(Some(synced_at));
        if path == StorePath::Direct {
            self.direct_synced_at = self.direct_synced_at.max(Some(synced_at));
        }
    }

    /// Records that a call to the store failed.
    pub fn record_unreachable(&mut self, now: TimeMs) {
        self.unreachable_since.get_or_insert(now);
    }

    /// Returns the age of the configuration; `None` before the first synchronization.
    pub fn age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        self.synced_at.map(|synced_at| now.since(synced_at))
    }

    /// Returns whether the configuration is at most `limit_ms` old.
    pub fn is_within(&self, limit_ms: DurationMs, now: TimeMs) -> bool {
        self.age_ms(now).is_some_and(|age_ms| age_ms <= limit_ms)
    }

    /// Returns whether the configuration is at most `limit_ms` old according to direct replies of
    /// the store alone.
    pub fn is_direct_within(&self, limit_ms: DurationMs, now: TimeMs) -> bool {
        self.direct_synced_at
            .is_some_and(|direct_synced_at| now.since(direct_synced_at) <= limit_ms)
    }

    /// Returns whether the last call to the store failed.
    pub const fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// Returns whether the store is unreachable or recovered less than `grace_ms` ago.
    pub fn is_unstable(&self, grace_ms: DurationMs, now: TimeMs) -> bool {
        self.unreachable_since.is_some()
            || self.recovered_at.is_some_and(|at| now.since(at) < grace_ms)
    }
}
