//! The stand-in's keys, leases and history.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

pub type Key = Vec<u8>;

/// A stored value.
#[derive(Clone, Debug)]
pub struct Stored {
    pub value: Vec<u8>,
    pub create_revision: u64,
    pub modify_revision: u64,
    pub version: u64,
    pub lease: u64,
}

/// One change of a key; a deletion has no value.
#[derive(Clone, Debug)]
pub struct Event {
    pub revision: u64,
    pub key: Key,
    pub stored: Option<Stored>,
}

/// A half-open range of keys.
#[derive(Clone, Debug)]
pub struct KeyRange {
    pub start: Key,
    pub end: Key,
}

impl KeyRange {
    /// An empty end means the single key `start`, and a zero byte means all keys from `start` on.
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.start,
            [0] => key >= self.start.as_slice(),
            end => key >= self.start.as_slice() && key < end,
        }
    }
}

#[derive(Clone, Debug)]
pub enum Condition {
    CreateRevisionIs(Key, u64),
    CreateRevisionAbove(Key, u64),
    ModifyRevisionIs(Key, u64),
}

#[derive(Clone, Debug)]
pub enum Step {
    Put { key: Key, value: Vec<u8>, lease: u64 },
    Delete(KeyRange),
    Range { range: KeyRange, limit: usize },
}

#[derive(Debug)]
pub enum StepResult {
    Put,
    Deleted(u64),
    Range { pairs: Vec<(Key, Stored)>, count: usize },
}

#[derive(Debug)]
pub struct TransactionResult {
    pub succeeded: bool,
    pub results: Vec<StepResult>,
}

/// Reasons why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    DuplicateKey,
    TooManySteps,
    ValueTooLarge,
    LeaseNotFound,
}

// Limits of the service that the stand-in takes the place of.
const MAX_STEPS: usize = 128;
const MAX_VALUE_BYTES: usize = 1024 * 1024;

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// The stand-in's state.
#[derive(Debug)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<Key, Stored>,
    history: Vec<Event>,
    /// Changes up to this revision are no longer in the history.
    compacted: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl Store {
    pub const fn new() -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            history: Vec::new(),
            compacted: 0,
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }

    pub const fn revision(&self) -> u64 {
        self.revision
    }

    pub const fn compacted(&self) -> u64 {
        self.compacted
    }

    /// Forgets the history; the keys stay.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    pub fn pairs(&self) -> impl Iterator<Item = (&Key, &Stored)> {
        self.keys.iter()
    }

    /// Changes in a range from a revision on.
    pub fn events_since(&self, range: &KeyRange, revision: u64) -> Vec<Event> {
        let from = self.history.partition_point(|event| event.revision < revision);
        self.history[from..].iter().filter(|event| range.contains(&event.key)).cloned().collect()
    }

    pub fn range(&self, range: &KeyRange, limit: usize) -> StepResult {
        let found: Vec<_> = self
            .keys
            .range(range.start.clone()..)
            .take_while(|(key, _)| range.contains(key))
            .collect();
        let count = found.len();
        let shown = if limit == 0 { count } else { limit };
        let pairs =
            found.into_iter().take(shown).map(|(key, stored)| (key.clone(), stored.clone()));
        StepResult::Range { pairs: pairs.collect(), count }
    }

    pub fn transaction(
        &mut self,
        conditions: &[Condition],
        then: Vec<Step>,
        otherwise: Vec<Step>,
    ) -> Result<TransactionResult, StoreError> {
        self.check(&then)?;
        self.check(&otherwise)?;
        let succeeded = conditions.iter().all(|condition| self.holds(condition));
        let steps = if succeeded { then } else { otherwise };
        let revision = self.revision + 1;
        let results = steps.into_iter().map(|step| self.run(step, revision)).collect();
        if self.history.last().is_some_and(|event| event.revision == revision) {
            self.revision = revision;
        }
        Ok(TransactionResult { succeeded, results })
    }

    fn check(&self, steps: &[Step]) -> Result<(), StoreError> {
        if steps.len() > MAX_STEPS {
            return Err(StoreError::TooManySteps);
        }
        let mut written = BTreeSet::new();
        for step in steps {
            let Step::Put { key, value, lease } = step else {
                continue;
            };
            if !written.insert(key) {
                return Err(StoreError::DuplicateKey);
            }
            if value.len() > MAX_VALUE_BYTES {
                return Err(StoreError::ValueTooLarge);
            }
            if *lease != 0 && !self.leases.contains_key(lease) {
                return Err(StoreError::LeaseNotFound);
            }
        }
        Ok(())
    }

    fn holds(&self, condition: &Condition) -> bool {
        let created = |key| self.keys.get(key).map_or(0, |stored| stored.create_revision);
        match condition {
            Condition::CreateRevisionIs(key, revision) => created(key) == *revision,
            Condition::CreateRevisionAbove(key, revision) => created(key) > *revision,
            Condition::ModifyRevisionIs(key, revision) => {
                self.keys.get(key).map_or(0, |stored| stored.modify_revision) == *revision
            }
        }
    }

    fn run(&mut self, step: Step, revision: u64) -> StepResult {
        match step {
            Step::Put { key, value, lease } => {
                self.put(key, value, lease, revision);
                StepResult::Put
            }
            Step::Delete(range) => {
                let keys: Vec<Key> =
                    self.keys.keys().filter(|key| range.contains(key)).cloned().collect();
                let count = keys.len() as u64;
                for key in keys {
                    self.delete(key, revision);
                }
                StepResult::Deleted(count)
            }
            Step::Range { range, limit } => self.range(&range, limit),
        }
    }

    fn put(&mut self, key: Key, value: Vec<u8>, lease: u64, revision: u64) {
        let previous = self.keys.get(&key);
        let stored = Stored {
            value,
            create_revision: previous.map_or(revision, |stored| stored.create_revision),
            modify_revision: revision,
            version: previous.map_or(1, |stored| stored.version + 1),
            lease,
        };
        self.history.push(Event { revision, key: key.clone(), stored: Some(stored.clone()) });
        self.keys.insert(key, stored);
    }

    fn delete(&mut self, key: Key, revision: u64) {
        self.keys.remove(&key);
        self.history.push(Event { revision, key, stored: None });
    }

    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(id, Lease { ttl, expires_at: now + ttl });
        id
    }

    /// Renews a lease; zero means that it has lapsed.
    pub fn keep_alive(&mut self, id: u64, now: Instant) -> Duration {
        let Some(lease) = self.leases.get_mut(&id) else {
            return Duration::ZERO;
        };
        lease.expires_at = now + lease.ttl;
        lease.ttl
    }

    pub fn revoke(&mut self, id: u64) -> Result<(), StoreError> {
        self.leases.remove(&id).ok_or(StoreError::LeaseNotFound)?;
        let keys: Vec<Key> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        let revision = self.revision;
        for key in keys {
            self.delete(key, revision);
        }
        Ok(())
    }

    /// Ends the leases whose time is over; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.expire_where(|lease| lease.expires_at <= now)
    }

    /// Ends every lease, as after a long pause of their holders.
    pub fn expire_all(&mut self) -> bool {
        self.expire_where(|_lease| true)
    }

    fn expire_where(&mut self, lapsed: impl Fn(&Lease) -> bool) -> bool {
        let ids: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lapsed(lease)).map(|(id, _)| *id).collect();
        ids.into_iter().filter(|id| self.revoke(*id).is_ok()).count() > 0
    }
}
