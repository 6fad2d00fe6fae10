//! Which upstreams are spared because of what they say in their answers, for logs and metrics.

use std::collections::BTreeMap;

use crate::gateway::upstreams::UpstreamPool;
use crate::gateway::upstreams::UpstreamRoom;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Whether an upstream gets new requests, as far as its answers say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoomState {
    /// It does.
    #[default]
    Open,
    /// It wants none for a while.
    Paused,
    /// It is about to leave.
    Leaving,
}

impl RoomState {
    /// Returns the name for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Paused => "paused",
            Self::Leaving => "leaving",
        }
    }
}

/// A change of whether an upstream gets new requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomChange {
    /// Upstream that is spared, or is not any more.
    pub upstream: UpstreamId,
    /// Its service.
    pub service: ServiceName,
    /// What holds from now on.
    pub state: RoomState,
    /// Gateway that received the first answer since the upstream was last open.
    pub source: HostId,
    /// Age of that answer.
    pub age_ms: DurationMs,
}

#[derive(Clone, Debug)]
struct LoggedRoom {
    state: RoomState,
    source: HostId,
    noticed_at: TimeMs,
}

/// State of each upstream that is spared, as it was last reported.
#[derive(Clone, Debug, Default)]
pub struct RoomLog(BTreeMap<UpstreamId, LoggedRoom>);

impl RoomLog {
    /// Records that an upstream has said something to a gateway.
    pub fn notice(&mut self, upstream: &UpstreamId, source: &HostId, now: TimeMs) {
        self.0.entry(upstream.clone()).or_insert_with(|| LoggedRoom {
            state: RoomState::Open,
            source: source.clone(),
            noticed_at: now,
        });
    }

    /// Returns the number of upstreams that are spared, or were since the last call for changes.
    pub fn entries(&self) -> usize {
        self.0.len()
    }

    /// Returns what has changed since the last call. Upstreams that are gone are dropped.
    pub fn take_changes(&mut self, pool: &UpstreamPool, now: TimeMs) -> Vec<RoomChange> {
        let mut changes = Vec::new();
        self.0.retain(|id, logged| {
            let Some(known) = pool.get(id) else {
                return false;
            };
            let state = known.room.state(now);
            if state != std::mem::replace(&mut logged.state, state) {
                changes.push(RoomChange {
                    upstream: id.clone(),
                    service: known.registration.service.clone(),
                    state,
                    source: logged.source.clone(),
                    age_ms: now.since(logged.noticed_at),
                });
            }
            state != RoomState::Open
        });
        changes
    }
}

impl UpstreamRoom {
    /// Returns whether the upstream gets new requests, as far as its answers say.
    fn state(&self, now: TimeMs) -> RoomState {
        if self.is_leaving(now) {
            RoomState::Leaving
        } else if self.is_paused(now) {
            RoomState::Paused
        } else {
            RoomState::Open
        }
    }
}
