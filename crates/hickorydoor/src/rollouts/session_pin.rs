//! Assignment of sessions to versions.
//!
//! The version of a new session follows from a hash of its id and from the canary shares. The first
//! entry that receives a request of the session stores this version as a [`Pin`] at two owner
//! agents, chosen by rendezvous hashing over the agents of the model. Every other entry queries the
//! same owners. `docs/sessions.md` compares this with signed tokens and with pins that are only
//! derived.

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

/// Number of owner agents of a session at an entry that is linked to every listed agent. With two
/// owners, the restart of one agent loses no pin.
pub const LINKED_OWNERS: usize = 2;
/// Number of owner agents of a session at an entry that is not linked to every listed agent.
/// Entries with different links then share an owner for all but 0.02% of the sessions
/// (`docs/sessions.md`).
pub const MAX_OWNERS: usize = 4;
/// Timeout for the replies of owner agents; several round trips within a region.
pub const PIN_TIMEOUT_MS: DurationMs = DurationMs::new(100);
/// Minimum number of pins that an entry caches: 26 minutes of new sessions at 41 requests/s. The
/// two generations of the cache take up to 2 x 131,072 buckets of 129 bytes, 34 MB.
const MIN_CACHED_PINS: usize = 1 << 16;

/// Identifies a customer's session on one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PinKey(u128);

impl PinKey {
    /// Computes the key of a session.
    pub fn new(customer: &CustomerId, session: &SessionId, model: &ModelId) -> Self {
        let mut hasher = Xxh3::new();
        for part in [customer.as_str(), session.as_str(), model.as_str()] {
            // The lengths keep different sessions from hashing the same concatenation of parts.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self(hasher.digest128())
    }

    /// Creates a key from its number, as received from a peer.
    pub const fn from_raw(raw: u128) -> Self {
        Self(raw)
    }

    /// Returns the key as a number.
    pub const fn get(self) -> u128 {
        self.0
    }

    /// Returns the hash that decides whether the session belongs to the share of a canary.
    pub fn share_hash(self, canary: &VersionId) -> u64 {
        share_hash(self.0, canary)
    }
}

/// Returns the hash that decides whether a session belongs to the share of a canary. `raw` is the
/// session's key, or a random number for requests without a session. The hash depends on the
/// canary, so that different rollouts expose different sessions.
pub fn share_hash(raw: u128, canary: &VersionId) -> u64 {
    xxh3_64_with_seed(canary.as_str().as_bytes(), (raw ^ (raw >> 64)) as u64)
}

/// Assignment of a session to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pin {
    /// Number of times that the session had to move to another version.
    pub generation: u32,
    /// Time of the assignment, on the clock of the entry that made it.
    pub since_ms: TimeMs,
    /// Configuration revision in force at that entry.
    pub revision: Revision,
    /// The assigned version.
    pub version: VersionId,
}

impl Pin {
    /// Returns whether this pin replaces `other` when two owners disagree. A higher generation
    /// wins, then the earlier assignment, then the lower version id. The order is total, so all
    /// entries choose the same pin.
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.generation != other.generation {
            return self.generation > other.generation;
        }
        (self.since_ms, &self.version) < (other.since_ms, &other.version)
    }
}

/// Returns the `count` agents that rank highest for a session by rendezvous hashing, highest first.
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

/// Returns a hash that identifies one incarnation of an owner agent. Whole ids would double the
/// size of the cache.
pub(crate) fn owner_fingerprint(owner: &HostId, incarnation: Incarnation) -> u64 {
    xxh3_64_with_seed(owner.as_str().as_bytes(), incarnation.get())
}

/// A pin in the cache of an entry.
#[derive(Clone, Debug)]
pub(crate) struct CachedPin {
    pub pin: Pin,
    /// Fingerprints of the owner agents that hold the pin.
    pub owners: SmallVec<[u64; MAX_OWNERS]>,
    /// [`SessionPins::epoch`] when the pin was last confirmed.
    pub epoch: u64,
}

/// Reply of an owner agent to a proposed pin.
#[derive(Clone, Debug)]
pub(crate) struct OwnerReply {
    pub owner: HostId,
    /// The pin that the owner holds now.
    pub pin: Option<Pin>,
    /// Whether the owner held that pin before the proposal.
    pub known: bool,
}

/// A lookup of a session's pin at its owner agents.
#[derive(Clone, Debug)]
pub(crate) struct PinLookup {
    /// The pin that this entry proposed; `None` if the model accepts no new sessions.
    pub proposal: Option<Pin>,
    /// Set if the session had another version before.
    pub is_move: bool,
    /// The owners that were queried.
    pub owners: SmallVec<[(HostId, Incarnation); MAX_OWNERS]>,
    /// Replies received so far.
    pub replies: SmallVec<[OwnerReply; MAX_OWNERS]>,
    /// Requests that wait for the result.
    pub waiting: Vec<Serial>,
    /// Time at which the entry continues without the missing replies.
    pub deadline_ms: TimeMs,
}

impl PinLookup {
    /// Returns the chosen pin, or the proposal if no owner has one, and whether the session moved.
    /// Within a generation, a pin that an owner held before the proposal takes precedence over one
    /// that was new to it, so an owner that has lost its pins does not change the result.
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

/// Cached pins of an entry, and its lookups in progress.
#[derive(Clone, Debug)]
pub(crate) struct SessionPins {
    pub cache: LruMap<PinKey, CachedPin>,
    /// Lookups that await replies of owner agents.
    pub lookups: BTreeMap<PinKey, PinLookup>,
    /// Number of model changes so far. Cached pins from an earlier epoch are confirmed by their
    /// owners before they are used.
    pub epoch: u64,
}

impl Default for SessionPins {
    fn default() -> Self {
        Self { cache: LruMap::new(MIN_CACHED_PINS), lookups: BTreeMap::new(), epoch: 0 }
    }
}
