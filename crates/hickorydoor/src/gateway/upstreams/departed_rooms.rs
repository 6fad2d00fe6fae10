//! What upstreams whose registrations were removed have said of themselves.
//!
//! A registration may lapse while its upstream runs, such as one that is cut off from the store. It
//! returns with the same incarnation, and what the upstream has said still holds.

use std::collections::BTreeMap;

use crate::gateway::upstreams::UpstreamRoom;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long it is kept; longer than any pause, and than an upstream runs after it has said that it
/// leaves.
const TTL_MS: DurationMs = DurationMs::from_secs(600);
/// Maximum number of upstreams; those removed first are dropped first.
const MAX_UPSTREAMS: usize = 1_024;

#[derive(Clone, Debug)]
struct DepartedRoom {
    started_unix_ms: u64,
    room: UpstreamRoom,
    removed_at: TimeMs,
}

/// What removed upstreams have said, by id.
#[derive(Clone, Debug, Default)]
pub struct DepartedRooms {
    rooms: BTreeMap<UpstreamId, DepartedRoom>,
}

impl DepartedRooms {
    /// Keeps what an upstream has said that is removed, without its permits.
    pub fn keep(
        &mut self,
        upstream: UpstreamId,
        started_unix_ms: u64,
        mut room: UpstreamRoom,
        now: TimeMs,
    ) {
        room.drop_permits();
        self.rooms.insert(upstream, DepartedRoom { started_unix_ms, room, removed_at: now });
        if self.rooms.len() > MAX_UPSTREAMS {
            let oldest = self.rooms.iter().min_by_key(|(_, departed)| departed.removed_at);
            if let Some(oldest) = oldest.map(|(upstream, _)| upstream.clone()) {
                self.rooms.remove(&oldest);
            }
        }
    }

    /// Takes out what an upstream has said in the incarnation that is registered; what an earlier
    /// one has said is forgotten.
    pub fn take(&mut self, upstream: &UpstreamId, started_unix_ms: u64) -> Option<UpstreamRoom> {
        if self.rooms.get(upstream)?.started_unix_ms > started_unix_ms {
            return None;
        }
        let departed = self.rooms.remove(upstream)?;
        (departed.started_unix_ms == started_unix_ms).then_some(departed.room)
    }

    /// Returns the start of a removed incarnation of an upstream and what it has said.
    pub fn get(&self, upstream: &UpstreamId) -> Option<(u64, &UpstreamRoom)> {
        let departed = self.rooms.get(upstream)?;
        Some((departed.started_unix_ms, &departed.room))
    }

    /// Returns what a removed incarnation of an upstream has said, for modification.
    pub fn get_mut(
        &mut self,
        upstream: &UpstreamId,
        started_unix_ms: u64,
    ) -> Option<&mut UpstreamRoom> {
        let departed = self.rooms.get_mut(upstream)?;
        (departed.started_unix_ms == started_unix_ms).then_some(&mut departed.room)
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: TimeMs) {
        self.rooms.retain(|_, departed| now.since(departed.removed_at) <= TTL_MS);
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.rooms.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.rooms.is_empty()
    }
}
