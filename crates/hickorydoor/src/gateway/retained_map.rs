//! A map whose entries outlive their removal from the store while the store cannot be relied on.
//!
//! While the store is unstable, an entry may be missing because its lease lapsed or because the
//! store came back from an older copy. Such an entry is retained until it is written again, or
//! until it has been missing for too long.

use std::collections::BTreeMap;

use crate::time::DurationMs;
use crate::time::TimeMs;

#[derive(Clone, Debug)]
struct Entry<V> {
    value: V,
    missing_since: Option<TimeMs>,
}

/// Values by key, some of which may be missing in the store.
#[derive(Clone, Debug)]
pub struct RetainedMap<K, V> {
    entries: BTreeMap<K, Entry<V>>,
}

impl<K: Ord + Clone, V> RetainedMap<K, V> {
    /// Creates an empty map.
    pub const fn new() -> Self {
        Self { entries: BTreeMap::new() }
    }

    /// Inserts or replaces a value that is present in the store. Returns whether the key is new.
    pub fn insert(&mut self, key: K, value: V) -> bool {
        self.entries.insert(key, Entry { value, missing_since: None }).is_none()
    }

    /// Removes an entry. Returns whether it existed.
    pub fn remove(&mut self, key: &K) -> bool {
        self.entries.remove(key).is_some()
    }

    /// Notes that an entry is missing in the store, without removing it.
    pub fn mark_missing(&mut self, key: &K, now: TimeMs) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.missing_since.get_or_insert(now);
        }
    }

    /// Removes the entries that have been missing for `grace_ms` and returns their keys.
    pub fn remove_expired(&mut self, grace_ms: DurationMs, now: TimeMs) -> Vec<K> {
        let is_expired =
            |entry: &Entry<V>| entry.missing_since.is_some_and(|at| now.since(at) >= grace_ms);
        let expired = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let expired: Vec<K> = expired.map(|(key, _)| key.clone()).collect();
        for key in &expired {
            self.entries.remove(key);
        }
        expired
    }

    /// Returns the value of an entry, missing or not.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Returns whether there is an entry with this key, missing or not.
    pub fn contains_key(&self, key: &K) -> bool {
        self.entries.contains_key(key)
    }

    /// Returns whether there is an entry with this key that is not missing.
    pub fn is_present(&self, key: &K) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.missing_since.is_none())
    }

    /// Iterates over the keys of the entries that are present in the store, in order.
    pub fn present_keys(&self) -> impl Iterator<Item = &K> {
        let present = self.entries.iter().filter(|(_, entry)| entry.missing_since.is_none());
        present.map(|(key, _)| key)
    }

    /// Returns the number of entries, missing or not.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over all keys in order, missing or not.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.entries.keys()
    }

    /// Iterates over all values in the order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.entries.values().map(|entry| &entry.value)
    }
}

impl<K: Ord + Clone, V> Default for RetainedMap<K, V> {
    fn default() -> Self {
        Self::new()
    }
}
