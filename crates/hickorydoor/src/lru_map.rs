//! A bounded map that forgets what was not used for the longest time.

use std::collections::HashMap;
use std::hash::Hash;

/// A map of two halves. Used entries move to the newer half; when that half is full, the older
/// half is dropped and the halves change places, so that every operation takes constant time.
#[derive(Clone, Debug)]
pub struct LruMap<K, V> {
    newer: HashMap<K, V>,
    older: HashMap<K, V>,
    half_capacity: usize,
}

impl<K: Eq + Hash + Copy, V> LruMap<K, V> {
    /// An empty map that keeps at least the newest `half_capacity` entries and at most twice as
    /// many.
    pub fn new(half_capacity: usize) -> Self {
        Self { newer: HashMap::new(), older: HashMap::new(), half_capacity }
    }

    /// The value of a key, which counts as used now.
    pub fn get(&mut self, key: K) -> Option<&mut V> {
        if let Some(value) = self.older.remove(&key) {
            self.insert(key, value);
        }
        self.newer.get_mut(&key)
    }

    /// The value of a key, without counting it as used.
    pub fn peek(&self, key: K) -> Option<&V> {
        self.newer.get(&key).or_else(|| self.older.get(&key))
    }

    /// The value of a key, set to the default if there is none.
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

    /// Sets the value of a key.
    pub fn insert(&mut self, key: K, value: V) {
        self.older.remove(&key);
        if self.newer.len() >= self.half_capacity && !self.newer.contains_key(&key) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, value);
    }

    /// Entries that are kept.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
