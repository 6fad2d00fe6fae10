//! How old the gateway's knowledge of the configuration is.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// How an answer of the store has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreWay {
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
    proven_at: Option<TimeMs>,
    own_at: Option<TimeMs>,
    lost_at: Option<TimeMs>,
    regained_at: Option<TimeMs>,
}

impl Freshness {
    /// Takes in that all changes acknowledged before `proven_at` are known, from the store itself
    /// or through another gateway.
    pub fn prove(&mut self, proven_at: TimeMs, way: StoreWay, now: TimeMs) {
        if self.lost_at.take().is_some() {
            self.regained_at = Some(now);
        }
        self.proven_at = self.proven_at.max(Some(proven_at));
        if way == StoreWay::Direct {
            self.own_at = self.own_at.max(Some(proven_at));
        }
    }

    /// Takes in that the store did not answer.
    pub fn lose(&mut self, now: TimeMs) {
        self.lost_at.get_or_insert(now);
    }

    /// Age of the knowledge; `None` before the first proof.
    pub fn age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        self.proven_at.map(|proven_at| now.since(proven_at))
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
