//! Slots of one service that are assigned to gateways until their next digests.

use std::collections::BTreeMap;

use crate::gateway::headroom::Assignment;
use crate::gateway::headroom::Claim;
use crate::gateway::headroom::FreeRoom;
use crate::gateway::headroom::Grant;
use crate::gateway::headroom::Grants;
use crate::gateway::headroom::assign;
use crate::id::HostId;
use crate::id::UpstreamId;

/// Assigned slots. An assignment stays until the next digest of its gateway shows whether the slot was
/// used; other digests that arrive meanwhile do not move it to another gateway.
#[derive(Clone, Debug, Default)]
pub struct Assignments(Vec<Assignment>);

impl Assignments {
    /// Drops the assignments of a gateway, whose load is reported anew.
    pub fn clear(&mut self, host: &HostId) {
        self.0.retain(|assignment| assignment.host != *host);
    }

    /// Assigns the slots that are free and not assigned yet. Assignments to gateways without claims
    /// and beyond the free slots are dropped.
    pub fn update(&mut self, rooms: &[FreeRoom], claims: &[Claim]) {
        let mut free: BTreeMap<&UpstreamId, u32> =
            rooms.iter().map(|room| (&room.upstream, room.free)).collect();
        let mut open = claims.to_vec();
        self.0.retain(|assignment| {
            let mut of_host = open.iter_mut().filter(|claim| claim.host == assignment.host);
            let claim = of_host.find(|claim| claim.rank == assignment.rank && claim.requests > 0);
            let slots = free.get_mut(&assignment.upstream).filter(|slots| **slots > 0);
            let (Some(claim), Some(slots)) = (claim, slots) else {
                return false;
            };
            claim.requests -= 1;
            *slots -= 1;
            for claim in open.iter_mut().filter(|claim| claim.host == assignment.host) {
                claim.in_flight += 1;
            }
            true
        });
        let rooms: Vec<FreeRoom> = rooms
            .iter()
            .map(|room| FreeRoom { free: free[&room.upstream], ..room.clone() })
            .collect();
        self.0.extend(assign(&rooms, &open));
    }

    /// Returns the slots of an upstream that a gateway may use.
    pub fn grants(&self, host: &HostId, upstream: &UpstreamId) -> Grants {
        let mut grants = Grants::new();
        for assignment in &self.0 {
            if assignment.host != *host || assignment.upstream != *upstream {
                continue;
            }
            match grants.iter_mut().find(|grant| grant.rank == assignment.rank) {
                Some(grant) => grant.slots += 1,
                None => grants.push(Grant { rank: assignment.rank, slots: 1 }),
            }
        }
        grants
    }

    /// Returns the number of assigned slots of an upstream.
    pub fn slots(&self, upstream: &UpstreamId) -> u32 {
        let of_upstream = self.0.iter().filter(|assignment| assignment.upstream == *upstream);
        u32::try_from(of_upstream.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of assigned slots.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
