//! How old the gateway's knowledge of the configuration is.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// How an answer of the store has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePath {
    /// From the store itself.
    Direct,
    /// Through another gateway.
    Relayed,
}

/// Tracks until when everything that the store had acknowledged is known.
///
/// Times come from a clock that goes on while the host is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    synced_at: Option<TimeMs>,
    own_at: Option<TimeMs>,
    lost_at: Option<TimeMs>,
    regained_at: Option<TimeMs>,
}

impl Freshness {
    /// Takes in that all changes acknowledged before `synced_at` are known, from the store itself
    /// or through another gateway.
    pub fn prove(&mut self, synced_at: TimeMs, path: StorePath, now: TimeMs) {
        if self.lost_at.take().is_some() {
            self.regained_at = Some(now);
        }
        self.synced_at = self.synced_at.max(Some(synced_at));
        if path == StorePath::Direct {
            self.own_at = self.own_at.max(Some(synced_at));
        }
    }

    /// Takes in that the store did not answer.
    pub fn lose(&mut self, now: TimeMs) {
        self.lost_at.get_or_insert(now);
    }

    /// Age of the knowledge; `None` before the first proof.
    pub fn age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        self.synced_at.map(|synced_at| now.since(synced_at))
    }

    /// Whether the knowledge is at most `limit_ms` old.
    pub fn is_within(&self, limit_ms: DurationMs, now: TimeMs) -> bool {
        self.age_ms(now).is_some_and(|age_ms| age_ms <= limit_ms)
    }

    /// Whether the store itself has proven the knowledge to be at most `limit_ms` old.
    pub fn is_own_within(&self, limit_ms: DurationMs, now: TimeMs) -> bool {
        self.own_at.is_some_and(|own_at| now.since(own_at) <= limit_ms)
    }

    /// Whether the store did not answer the last call.
    pub const fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Whether the store is away, or came back less than `grace_ms` ago.
    pub fn is_unsettled(&self, grace_ms: DurationMs, now: TimeMs) -> bool {
        self.lost_at.is_some() || self.regained_at.is_some_and(|at| now.since(at) < grace_ms)
    }
}
