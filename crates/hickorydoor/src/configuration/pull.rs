//! Choice of the peer from which newer configuration is pulled.

use std::collections::BTreeMap;

use rand::Rng;
use rand::RngExt;

use crate::id::HostId;
use crate::id::Revision;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time that a peer has to answer before another one is asked.
const ANSWER_MS: DurationMs = DurationMs::from_secs(1);
/// Shortest time between two notices; changes in between share the next one.
const NOTICE_MS: DurationMs = DurationMs::new(200);

/// Revisions of the linked peers and the pull under way.
#[derive(Clone, Debug, Default)]
pub struct ConfigPull {
    peers: BTreeMap<HostId, Revision>,
    highest: Revision,
    pending: Option<(HostId, TimeMs)>,
    notice_at_ms: Option<TimeMs>,
    next_notice_at_ms: TimeMs,
}

impl ConfigPull {
    /// Notes the revision in force at a peer.
    pub fn record_revision(&mut self, peer: &HostId, revision: Revision) {
        self.highest = self.highest.max(revision);
        match self.peers.get_mut(peer) {
            Some(known) => *known = revision.max(*known),
            None => {
                self.peers.insert(peer.clone(), revision);
            }
        }
    }

    /// Forgets a peer whose link is lost.
    pub fn remove_peer(&mut self, peer: &HostId) {
        self.peers.remove(peer);
        if self.pending.as_ref().is_some_and(|(asked, _)| asked == peer) {
            self.pending = None;
        }
        self.highest = self.peers.values().copied().max().unwrap_or_default();
    }

    /// The peer to ask now, if one is known to be newer than `have`. Only one peer is asked at a
    /// time; one that does not answer is followed by another one.
    pub fn next_peer<R: Rng>(
        &mut self,
        have: Revision,
        now: TimeMs,
        rng: &mut R,
    ) -> Option<HostId> {
        if self.highest <= have {
            return None;
        }
        if self.pending.as_ref().is_some_and(|(_, until)| now < *until) {
            return None;
        }
        let silent = self.pending.take().map(|(asked, _)| asked);
        let newer = self.peers.iter().filter(|(_, revision)| **revision > have);
        let mut candidates: Vec<&HostId> = newer.map(|(peer, _)| peer).collect();
        if candidates.len() > 1 {
            candidates.retain(|peer| silent.as_ref() != Some(*peer));
        }
        let chosen = candidates[rng.random_range(0..candidates.len())].clone();
        self.pending = Some((chosen.clone(), now + ANSWER_MS));
        Some(chosen)
    }

    /// Notes that an update arrived.
    pub fn update_received(&mut self) {
        self.pending = None;
    }

    /// Plans a notice after the revision in force has grown.
    pub fn schedule_notice(&mut self, now: TimeMs) {
        self.notice_at_ms.get_or_insert(now.max(self.next_notice_at_ms));
    }

    /// The peers to notify now: those that are not known to have the revision in force.
    pub fn due_notices(&mut self, revision: Revision, now: TimeMs) -> Vec<HostId> {
        if self.notice_at_ms.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.notice_at_ms = None;
        self.next_notice_at_ms = now + NOTICE_MS;
        let behind = self.peers.iter().filter(|(_, known)| **known < revision);
        behind.map(|(peer, _)| peer.clone()).collect()
    }
}
