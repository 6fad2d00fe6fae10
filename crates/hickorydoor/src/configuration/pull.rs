//! Pull scheduling: when to request newer configuration, and from which peer.
//!
//! Each process tracks the revisions that its connected peers have announced. If one of them is
//! newer, it requests the missing changes from one such peer at a time. After its own revision has
//! increased, it announces the new revision to peers that may not have it yet.

use std::collections::BTreeMap;

use rand::Rng;
use rand::RngExt;

use crate::id::HostId;
use crate::id::Revision;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time after which an unanswered request is sent to another peer.
const PULL_TIMEOUT_MS: DurationMs = DurationMs::from_secs(1);
/// Minimum time between two rounds of notices; changes in between are announced together.
const MIN_NOTICE_INTERVAL_MS: DurationMs = DurationMs::new(200);

/// Revisions of the connected peers, the pending request and the schedule of notices.
#[derive(Clone, Debug, Default)]
pub struct ConfigPull {
    peers: BTreeMap<HostId, Revision>,
    highest: Revision,
    pending_request: Option<(HostId, TimeMs)>,
    notice_at_ms: Option<TimeMs>,
    next_notice_at_ms: TimeMs,
}

impl ConfigPull {
    /// Records the revision that a peer has announced; older revisions are ignored.
    pub fn record_revision(&mut self, peer: &HostId, revision: Revision) {
        self.highest = self.highest.max(revision);
        match self.peers.get_mut(peer) {
            Some(known) => *known = revision.max(*known),
            None => {
                self.peers.insert(peer.clone(), revision);
            }
        }
    }

    /// Removes a peer whose link is lost, and the request that is pending there.
    pub fn remove_peer(&mut self, peer: &HostId) {
        self.peers.remove(peer);
        if self.pending_request.as_ref().is_some_and(|(requested, _)| requested == peer) {
            self.pending_request = None;
        }
        self.highest = self.peers.values().copied().max().unwrap_or_default();
    }

    /// Selects the peer to send a request to now, if one is known to be newer than `have`.
    ///
    /// Returns `None` while another request is pending. A peer that has not replied in time is not
    /// selected again immediately if another newer peer is known.
    pub fn next_peer<R: Rng>(
        &mut self,
        have: Revision,
        now: TimeMs,
        rng: &mut R,
    ) -> Option<HostId> {
        if self.highest <= have {
            return None;
        }
        if self.pending_request.as_ref().is_some_and(|(_, expires_at)| now < *expires_at) {
            return None;
        }
        let unanswered = self.pending_request.take().map(|(requested, _)| requested);
        let newer = self.peers.iter().filter(|(_, revision)| **revision > have);
        let mut candidates: Vec<&HostId> = newer.map(|(peer, _)| peer).collect();
        if candidates.len() > 1 {
            candidates.retain(|peer| unanswered.as_ref() != Some(*peer));
        }
        let chosen = candidates[rng.random_range(0..candidates.len())].clone();
        self.pending_request = Some((chosen.clone(), now + PULL_TIMEOUT_MS));
        Some(chosen)
    }

    /// Ends the pending request because an update has arrived.
    pub fn update_received(&mut self) {
        self.pending_request = None;
    }

    /// Schedules a round of notices after the revision in force has increased.
    pub fn schedule_notice(&mut self, now: TimeMs) {
        self.notice_at_ms.get_or_insert(now.max(self.next_notice_at_ms));
    }

    /// Returns the peers to notify now, which are those not known to have `revision`.
    ///
    /// Empty if no round of notices is due.
    pub fn due_notices(&mut self, revision: Revision, now: TimeMs) -> Vec<HostId> {
        if self.notice_at_ms.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.notice_at_ms = None;
        self.next_notice_at_ms = now + MIN_NOTICE_INTERVAL_MS;
        let behind = self.peers.iter().filter(|(_, known)| **known < revision);
        behind.map(|(peer, _)| peer.clone()).collect()
    }
}
