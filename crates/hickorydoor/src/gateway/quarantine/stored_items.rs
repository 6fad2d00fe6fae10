//! What the store is known to hold about prompt parts, and what is to be written there.
//!
//! Each gateway compares what it knows with what the store holds, and the one whose turn comes first
//! writes the difference. The others see the change and have nothing left to write, so an end costs
//! one write however many gateways know of it. A gateway that cannot write is passed over.
//!
//! Each item is written under a lease that ends when the item no longer counts. So no gateway has to
//! know how long ago an item was written.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::gateway::quarantine::part_item::PartItem;
use crate::gateway::quarantine::part_item::PartItemKey;
use crate::gateway::quarantine::part_item::PartWrite;
use crate::gateway::quarantine::part_item::StoredPartItem;
use crate::gateway::store_position::StoreEra;
use crate::gateway::store_position::StorePosition;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Longest lease of an item. The store grants ten minutes at most.
pub(super) const MAX_LEASE_MS: DurationMs = DurationMs::from_secs(600);
/// Minimum time between two comparisons, and so between two batches of writes of one gateway.
const COMPARE_INTERVAL_MS: DurationMs = DurationMs::new(500);
/// Minimum time between the last change of an item and a write that only leaves parts out.
const SHRINK_INTERVAL_MS: DurationMs = DurationMs::from_secs(3);
/// Maximum number of items that are written at once.
const MAX_BATCH: usize = 16;
/// Maximum number of items that are known; those that were noted first are forgotten.
const MAX_ITEMS: usize = 192;

/// How far the store's form of an item is from what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Difference {
    /// They say the same, or the difference does not matter.
    None,
    /// The store holds parts that have been proven sound since.
    Surplus,
    /// The store lacks something.
    Lack,
}

/// An item that the store has to hold.
#[derive(Clone, Debug)]
pub(super) struct WantedItem {
    pub(super) key: PartItemKey,
    /// The item; `None` if the store must not hold it.
    pub(super) item: Option<PartItem>,
    pub(super) ttl_ms: DurationMs,
    pub(super) difference: Difference,
}

#[derive(Clone, Debug)]
struct StoredItem {
    item: Option<PartItem>,
    position: StorePosition,
    noted_at: TimeMs,
}

/// Items in the store, and the writes that wait for their turn.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredItems {
    items: BTreeMap<PartItemKey, StoredItem>,
    /// Since when a difference is known.
    differing: BTreeMap<PartItemKey, TimeMs>,
    /// Keys whose items have turned out to be wrong and are to be removed.
    retracted: BTreeSet<PartItemKey>,
    compared_at: Option<TimeMs>,
}

impl StoredItems {
    /// Notes an item that was read or written. Returns `false` if a later form is known.
    pub(super) fn set(&mut self, stored: StoredPartItem, now: TimeMs) -> bool {
        let StoredPartItem { key, item, position } = stored;
        let known = self.items.get(&key);
        if known.is_some_and(|known| known.position >= position) {
            return false;
        }
        if known.is_none() && self.items.len() >= MAX_ITEMS {
            let first = self.items.iter().min_by_key(|(_, known)| known.noted_at);
            if let Some(first) = first.map(|(key, _)| key.clone()) {
                self.items.remove(&first);
            }
        }
        self.differing.remove(&key);
        self.items.insert(key, StoredItem { item, position, noted_at: now });
        true
    }

    /// Notes that an item is gone, and returns what it said.
    pub(super) fn remove(&mut self, key: &PartItemKey) -> Option<PartItem> {
        self.retracted.remove(key);
        self.items.remove(key)?.item
    }

    /// Has an item removed that has turned out to be wrong.
    pub(super) fn retract(&mut self, key: PartItemKey) {
        if self.items.contains_key(&key) {
            self.retracted.insert(key);
        }
    }

    pub(super) fn is_retracted(&self, key: &PartItemKey) -> bool {
        self.retracted.contains(key)
    }

    pub(super) fn has_retracted(&self) -> bool {
        !self.retracted.is_empty()
    }

    pub(super) fn get(&self, key: &PartItemKey) -> Option<&PartItem> {
        self.items.get(key)?.item.as_ref()
    }

    pub(super) fn position(&self, key: &PartItemKey) -> Option<StorePosition> {
        self.items.get(key).map(|known| known.position)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&PartItemKey, &PartItem, StorePosition)> {
        let items = self.items.iter();
        items.filter_map(|(key, known)| Some((key, known.item.as_ref()?, known.position)))
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = &PartItemKey> {
        self.items.keys()
    }

    /// Returns whether it is time to compare what is known with what the store holds.
    pub(super) fn begin_comparison(&mut self, now: TimeMs) -> bool {
        let is_due = self.compared_at.is_none_or(|at| now.since(at) >= COMPARE_INTERVAL_MS);
        if is_due {
            self.compared_at = Some(now);
        }
        is_due
    }

    /// Returns the writes that are due. `wanted` lists what the store has to hold, each with how
    /// far the store is from that; a difference is written after it has been
    /// known for `wait_ms`.
    pub(super) fn due_writes(
        &mut self,
        mut wanted: Vec<WantedItem>,
        era: StoreEra,
        wait_ms: DurationMs,
        now: TimeMs,
    ) -> Vec<PartWrite> {
        let retracted = self.retracted.iter().cloned();
        wanted.retain(|wanted| !self.retracted.contains(&wanted.key));
        wanted.extend(retracted.map(|key| WantedItem {
            key,
            item: None,
            ttl_ms: DurationMs::default(),
            difference: Difference::Lack,
        }));
        wanted.retain(|WantedItem { key, difference, .. }| match difference {
            Difference::None => false,
            Difference::Lack => true,
            Difference::Surplus => self
                .items
                .get(key)
                .is_some_and(|known| now.since(known.noted_at) >= SHRINK_INTERVAL_MS),
        });
        let keys: BTreeSet<&PartItemKey> = wanted.iter().map(|wanted| &wanted.key).collect();
        self.differing.retain(|key, _| keys.contains(key));
        let mut writes = Vec::new();
        for WantedItem { key, item, ttl_ms, .. } in wanted {
            let since = *self.differing.entry(key.clone()).or_insert(now);
            if now.since(since) < wait_ms || writes.len() >= MAX_BATCH {
                continue;
            }
            let replaces = self.position(&key).filter(|known| known.era == era);
            let replaces = replaces.unwrap_or(StorePosition::new(era, 0));
            writes.push(PartWrite { key, item, replaces, ttl_ms });
        }
        writes
    }
}
