//! In-memory store of the key-value stand-in: keys, leases and the history of changes.
//!
//! It follows the data model of etcd: each transaction that changes keys increments the revision of
//! the store by one, and the end of a lease deletes the keys that are attached to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

pub type Key = Vec<u8>;

/// Value of a key, with the metadata that the protocol exposes.
#[derive(Clone, Debug)]
pub struct StoredValue {
    pub value: Vec<u8>,
    pub create_revision: u64,
    pub mod_revision: u64,
    /// Number of writes since the key was created.
    pub version: u64,
    /// Lease to which the key is attached; 0 for none.
    pub lease: u64,
}

/// Change of a key; `stored` is `None` for a deletion.
#[derive(Clone, Debug)]
pub struct Event {
    pub revision: u64,
    pub key: Key,
    pub stored: Option<StoredValue>,
}

/// Keys from `start` (inclusive) to `end` (exclusive), with two special values of `end`.
#[derive(Clone, Debug)]
pub struct KeyRange {
    pub start: Key,
    pub end: Key,
}

impl KeyRange {
    /// An empty `end` selects the single key `start`; a single zero byte selects all keys from
    /// `start` on.
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.start,
            [0] => key >= self.start.as_slice(),
            end => key >= self.start.as_slice() && key < end,
        }
    }
}

/// Condition of a transaction; the revisions of a missing key are 0.
#[derive(Clone, Debug)]
pub enum Condition {
    CreateRevisionEquals(Key, u64),
    CreateRevisionGreater(Key, u64),
    ModRevisionEquals(Key, u64),
}

/// Operation of a transaction. A range read with limit 0 returns all keys of the range.
#[derive(Clone, Debug)]
pub enum Operation {
    Put { key: Key, value: Vec<u8>, lease: u64 },
    Delete(KeyRange),
    Range { range: KeyRange, limit: usize },
}

/// Result of an operation. `Deleted` holds the number of deleted keys, and the `count` of a range
/// read includes the keys beyond its limit.
#[derive(Debug)]
pub enum OperationResult {
    Put,
    Deleted(u64),
    Range { pairs: Vec<(Key, StoredValue)>, count: usize },
}

#[derive(Debug)]
pub struct TransactionResult {
    pub succeeded: bool,
    pub results: Vec<OperationResult>,
}

/// Reason to reject a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    DuplicateKey,
    TooManyOperations,
    ValueTooLarge,
    LeaseNotFound,
}

/// Limit of the real service on the operations in one branch of a transaction.
const MAX_OPERATIONS: usize = 128;
/// Limit of the real service on the size of a value.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// Keys, history and leases of the stand-in.
#[derive(Debug)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<Key, StoredValue>,
    history: Vec<Event>,
    /// Highest revision whose changes were removed from the history.
    compacted_revision: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl Store {
    pub const fn new() -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            history: Vec::new(),
            compacted_revision: 0,
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }

    pub const fn revision(&self) -> u64 {
        self.revision
    }

    pub const fn compacted_revision(&self) -> u64 {
        self.compacted_revision
    }

    /// Discards the history up to the current revision; the keys remain.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
    }

    pub fn pairs(&self) -> impl Iterator<Item = (&Key, &StoredValue)> {
        self.keys.iter()
    }

    /// Returns the changes of keys in `range`, starting with those of `revision`.
    pub fn events_from(&self, range: &KeyRange, revision: u64) -> Vec<Event> {
        let first_index = self.history.partition_point(|event| event.revision < revision);
        self.history[first_index..]
            .iter()
            .filter(|event| range.contains(&event.key))
            .cloned()
            .collect()
    }

    pub fn range(&self, range: &KeyRange, limit: usize) -> OperationResult {
        let matching: Vec<_> = self
            .keys
            .range(range.start.clone()..)
            .take_while(|(key, _)| range.contains(key))
            .collect();
        let count = matching.len();
        let max_pairs = if limit == 0 { count } else { limit };
        let pairs =
            matching.into_iter().take(max_pairs).map(|(key, stored)| (key.clone(), stored.clone()));
        OperationResult::Range { pairs: pairs.collect(), count }
    }

    pub fn transaction(
        &mut self,
        conditions: &[Condition],
        on_success: Vec<Operation>,
        on_failure: Vec<Operation>,
    ) -> Result<TransactionResult, StoreError> {
        self.validate(&on_success)?;
        self.validate(&on_failure)?;
        let succeeded = conditions.iter().all(|condition| self.is_met(condition));
        let operations = if succeeded { on_success } else { on_failure };
        let revision = self.revision + 1;
        let results =
            operations.into_iter().map(|operation| self.apply(operation, revision)).collect();
        if self.history.last().is_some_and(|event| event.revision == revision) {
            self.revision = revision;
        }
        Ok(TransactionResult { succeeded, results })
    }

    fn validate(&self, operations: &[Operation]) -> Result<(), StoreError> {
        if operations.len() > MAX_OPERATIONS {
            return Err(StoreError::TooManyOperations);
        }
        let mut written_keys = BTreeSet::new();
        for operation in operations {
            let Operation::Put { key, value, lease } = operation else {
                continue;
            };
            if !written_keys.insert(key) {
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

    fn is_met(&self, condition: &Condition) -> bool {
        let create_revision_of =
            |key| self.keys.get(key).map_or(0, |stored| stored.create_revision);
        match condition {
            Condition::CreateRevisionEquals(key, revision) => create_revision_of(key) == *revision,
            Condition::CreateRevisionGreater(key, revision) => create_revision_of(key) > *revision,
            Condition::ModRevisionEquals(key, revision) => {
                self.keys.get(key).map_or(0, |stored| stored.mod_revision) == *revision
            }
        }
    }

    fn apply(&mut self, operation: Operation, revision: u64) -> OperationResult {
        match operation {
            Operation::Put { key, value, lease } => {
                self.put(key, value, lease, revision);
                OperationResult::Put
            }
            Operation::Delete(range) => {
                let keys: Vec<Key> =
                    self.keys.keys().filter(|key| range.contains(key)).cloned().collect();
                let count = keys.len() as u64;
                for key in keys {
                    self.delete(key, revision);
                }
                OperationResult::Deleted(count)
            }
            Operation::Range { range, limit } => self.range(&range, limit),
        }
    }

    fn put(&mut self, key: Key, value: Vec<u8>, lease: u64, revision: u64) {
        let previous = self.keys.get(&key);
        let stored = StoredValue {
            value,
            create_revision: previous.map_or(revision, |stored| stored.create_revision),
            mod_revision: revision,
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

    pub fn grant_lease(&mut self, ttl: Duration, now: Instant) -> u64 {
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(id, Lease { ttl, expires_at: now + ttl });
        id
    }

    /// Renews a lease and returns its time to live, or zero if the lease has expired.
    pub fn keep_lease_alive(&mut self, id: u64, now: Instant) -> Duration {
        let Some(lease) = self.leases.get_mut(&id) else {
            return Duration::ZERO;
        };
        lease.expires_at = now + lease.ttl;
        lease.ttl
    }

    pub fn revoke_lease(&mut self, id: u64) -> Result<(), StoreError> {
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

    /// Revokes the leases that have expired; returns whether there were any.
    pub fn expire_leases(&mut self, now: Instant) -> bool {
        self.expire_leases_where(|lease| lease.expires_at <= now)
    }

    /// Revokes all leases, as after a long pause of their holders.
    pub fn expire_all_leases(&mut self) -> bool {
        self.expire_leases_where(|_lease| true)
    }

    fn expire_leases_where(&mut self, is_expired: impl Fn(&Lease) -> bool) -> bool {
        let ids: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| is_expired(lease)).map(|(id, _)| *id).collect();
        ids.into_iter().filter(|id| self.revoke_lease(*id).is_ok()).count() > 0
    }
}
