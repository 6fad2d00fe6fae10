//! A bounded map with approximate least-recently-used eviction.

use std::collections::HashMap;
use std::hash::Hash;

/// A bounded map that evicts approximately the least recently used entries.
///
/// Entries are kept in two generations. An entry that is used moves to the newer generation. When
/// that is full, the older generation is dropped and the newer one takes its place, so every
/// operation takes amortised constant time.
#[derive(Clone, Debug)]
pub struct LruMap<K, V> {
    newer: HashMap<K, V>,
    older: HashMap<K, V>,
    generation_capacity: usize,
}

impl<K: Eq + Hash + Copy, V> LruMap<K, V> {
    /// Creates an empty map that keeps at least the `generation_capacity` most recently used
    /// entries and at most twice as many.
    pub fn new(generation_capacity: usize) -> Self {
        Self { newer: HashMap::new(), older: HashMap::new(), generation_capacity }
    }

    /// Returns the value of a key and counts it as used.
    pub fn get(&mut self, key: K) -> Option<&mut V> {
        if let Some(value) = self.older.remove(&key) {
            self.insert(key, value);
        }
        self.newer.get_mut(&key)
    }

    /// Returns the value of a key without counting it as used.
    pub fn peek(&self, key: K) -> Option<&V> {
        self.newer.get(&key).or_else(|| self.older.get(&key))
    }

    /// Returns the value of a key, inserting the default if there is none, and counts it as used.
    pub fn get_or_default(&mut self, key: K) -> &mut V
    where
        V: Default,
    {
        let known = self.older.remove(&key);
        if known.is_some() || !self.newer.contains_key(&key) {
            self.insert(key, known.unwrap_or_default());
        }
        self.newer.entry(key).or_default()
    }

    /// Sets the value of a key and counts it as used; may evict the older generation.
    pub fn insert(&mut self, key: K, value: V) {
        self.older.remove(&key);
        if self.newer.len() >= self.generation_capacity && !self.newer.contains_key(&key) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, value);
    }

    /// Returns the number of entries in both generations.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
