//! Versions of sessions.
//!
//! The version of a new session follows from the hash of its id and the canary shares. The first
//! entry that sees a session stores that version as a [`Pin`] at two home agents, chosen by
//! rendezvous hashing over the agents of the model, and every other entry asks the same homes.
//! `docs/sessions.md` weighs this against signed tokens and purely derived pins.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::ModelId;
use crate::id::Revision;
use crate::id::Serial;
use crate::id::SessionId;
use crate::id::VersionId;
use crate::lru_map::LruMap;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Home agents of a session while an entry is linked to every listed agent; one restart then loses
/// no pin.
pub const LINKED_OWNERS: usize = 2;
/// Home agents otherwise: entries with different links then share a home for all but 0.02% of the
/// sessions (`docs/sessions.md`).
pub const MAX_OWNERS: usize = 4;
/// Time that home agents have to answer; several round trips within a region.
pub const PIN_TIMEOUT_MS: DurationMs = DurationMs::new(100);
/// Pins that an entry caches at least: 41 requests/s of new sessions for 26 minutes. Both halves
/// take up to 2 x 131,072 buckets of 129 bytes, 34 MB.
const CACHED_PINS: usize = 1 << 16;

/// Names a customer's session on one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PinKey(u128);

impl PinKey {
    /// The key of a session.
    pub fn new(customer: &CustomerId, session: &SessionId, model: &ModelId) -> Self {
        let mut hasher = Xxh3::new();
        for part in [customer.as_str(), session.as_str(), model.as_str()] {
            // The lengths keep parts of different sessions from running into each other.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self(hasher.digest128())
    }

    /// Wraps a raw key.
    pub const fn from_raw(raw: u128) -> Self {
        Self(raw)
    }

    /// The raw key.
    pub const fn get(self) -> u128 {
        self.0
    }

    /// Hash that decides whether the session belongs to the share of a canary.
    pub fn share_hash(self, canary: &VersionId) -> u64 {
        share_hash(self.0, canary)
    }
}

/// Hash of a session's key or of a random draw that decides on a canary's share. Each canary has
/// a hash of its own, so that different rollouts expose different sessions.
pub fn share_hash(raw: u128, canary: &VersionId) -> u64 {
    xxh3_64_with_seed(canary.as_str().as_bytes(), (raw ^ (raw >> 64)) as u64)
}

/// The version of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pin {
    /// How often the session had to leave a version.
    pub generation: u32,
    /// When the session got this version, on the clock of the entry that chose it.
    pub since_ms: TimeMs,
    /// The configuration in force at that entry.
    pub revision: Revision,
    /// The version.
    pub version: VersionId,
}

impl Pin {
    /// Whether this pin replaces `other` when two homes disagree. The order is total, so that all
    /// entries settle on the same pin.
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.generation != other.generation {
            return self.generation > other.generation;
        }
        (self.since_ms, &self.version) < (other.since_ms, &other.version)
    }
}

/// The best `count` agents for a session by rendezvous hashing, best first.
pub fn rank_owners<'a, C>(
    key: PinKey,
    agents: impl Iterator<Item = (&'a HostId, Incarnation)>,
    count: usize,
) -> C
where
    C: FromIterator<(HostId, Incarnation)>,
{
    let seed = (key.0 ^ (key.0 >> 64)) as u64;
    let mut best: SmallVec<[(u64, &HostId, Incarnation); MAX_OWNERS]> = SmallVec::new();
    for (agent, incarnation) in agents {
        let score = xxh3_64_with_seed(agent.as_str().as_bytes(), seed);
        let position = best.partition_point(|(other, _, _)| *other >= score);
        if position < count {
            best.truncate(count - 1);
            best.insert(position, (score, agent, incarnation));
        }
    }
    best.into_iter().map(|(_, agent, incarnation)| (agent.clone(), incarnation)).collect()
}

/// Short name of one incarnation of a home; whole ids would double the size of the cache.
pub(crate) fn owner_fingerprint(owner: &HostId, incarnation: Incarnation) -> u64 {
    xxh3_64_with_seed(owner.as_str().as_bytes(), incarnation.get())
}

/// A pin that an entry knows.
#[derive(Clone, Debug)]
pub(crate) struct CachedPin {
    /// The pin.
    pub pin: Pin,
    /// Fingerprints of the homes that hold it.
    pub owners: SmallVec<[u64; MAX_OWNERS]>,
    /// Changes of models seen when it was confirmed.
    pub epoch: u64,
}

/// A reply of a home agent.
#[derive(Clone, Debug)]
pub(crate) struct OwnerReply {
    /// The home.
    pub owner: HostId,
    /// What it holds now.
    pub pin: Option<Pin>,
    /// Whether it held the pin before it was asked.
    pub known: bool,
}

/// A question to the home agents of a session.
#[derive(Clone, Debug)]
pub(crate) struct PinLookup {
    /// What this entry proposed; absent if the model takes no new sessions.
    pub proposal: Option<Pin>,
    /// Set when the session had another version before.
    pub is_move: bool,
    /// The homes that were asked.
    pub owners: SmallVec<[(HostId, Incarnation); MAX_OWNERS]>,
    /// What they replied.
    pub replies: SmallVec<[OwnerReply; MAX_OWNERS]>,
    /// Requests that wait.
    pub waiting: Vec<Serial>,
    /// When the entry goes on without the missing replies.
    pub deadline_ms: TimeMs,
}

impl PinLookup {
    /// The pin on which the homes agree, or the proposal if none replied, and whether the session
    /// moved. A pin that a home held before goes before one that was new to it, so a home that lost
    /// its pins changes nothing.
    pub(crate) fn result(&self) -> (Option<Pin>, bool) {
        let mut best: Option<(&Pin, bool)> = None;
        for reply in &self.replies {
            let Some(pin) = &reply.pin else {
                continue;
            };
            if best.is_none_or(|(other, known)| takes_precedence(pin, reply.known, other, known)) {
                best = Some((pin, reply.known));
            }
        }
        match best {
            Some((pin, known)) => {
                let accepted = !known && self.proposal.as_ref() == Some(pin);
                (Some(pin.clone()), accepted && self.is_move)
            }
            None => (self.proposal.clone(), self.is_move && self.proposal.is_some()),
        }
    }
}

fn takes_precedence(pin: &Pin, known: bool, other: &Pin, other_known: bool) -> bool {
    if pin.generation == other.generation && known != other_known {
        return known;
    }
    pin.supersedes(other)
}

/// Pins that an entry knows and looks up.
#[derive(Clone, Debug)]
pub(crate) struct SessionPins {
    /// Known pins.
    pub cache: LruMap<PinKey, CachedPin>,
    /// Open questions to home agents.
    pub lookups: BTreeMap<PinKey, PinLookup>,
    /// Counts changes of models; older cached pins are confirmed again before use.
    pub epoch: u64,
}

impl Default for SessionPins {
    fn default() -> Self {
        Self { cache: LruMap::new(CACHED_PINS), lookups: BTreeMap::new(), epoch: 0 }
    }
}
