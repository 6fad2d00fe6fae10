//! A store for items about prompt parts, with compare-and-swap, leases and copies.

use std::collections::BTreeMap;

use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::quarantine::PartItem;
use hickorydoor::gateway::quarantine::PartItemKey;
use hickorydoor::gateway::quarantine::PartWrite;
use hickorydoor::gateway::quarantine::StoredPartItem;
use hickorydoor::gateway::quarantine::decode_part_item;
use hickorydoor::gateway::quarantine::encode_part_item;
use hickorydoor::gateway::store_position::StoreEra;
use hickorydoor::gateway::store_position::StorePosition;

/// An item with its bytes, its revision and the end of its lease.
type Item = (Vec<u8>, u64, u64);

/// The store; a copy of it can be put back.
#[derive(Clone, Debug, Default)]
pub struct PartStore {
    pub items: BTreeMap<PartItemKey, Item>,
    pub era: u64,
    revision: u64,
    /// Transactions that were done, and those that a condition refused.
    pub writes: usize,
    pub conflicts: usize,
}

impl PartStore {
    fn position(&self, revision: u64) -> StorePosition {
        StorePosition::new(StoreEra::new(self.era + 1), revision)
    }

    fn stored(&self, key: &PartItemKey, (bytes, revision, _): &Item) -> GatewayEvent {
        let item = decode_part_item(bytes);
        let position = self.position(*revision);
        GatewayEvent::PartItemStored(Box::new(StoredPartItem { key: key.clone(), item, position }))
    }

    /// Does all writes or none; returns what a watch says then.
    pub fn write(&mut self, writes: &[PartWrite], now_ms: u64) -> Vec<GatewayEvent> {
        let holds = |write: &PartWrite| {
            let known = self.items.get(&write.key).map_or(0, |(_, revision, _)| *revision);
            write.replaces == self.position(known)
        };
        if !writes.iter().all(holds) {
            self.conflicts += 1;
            return Vec::new();
        }
        self.writes += 1;
        self.revision += 1;
        let mut events = Vec::new();
        for PartWrite { key, item, ttl_ms, .. } in writes {
            if let Some(item) = item {
                assert_eq!(*key, item.key());
                let item = (encode_part_item(item), self.revision, now_ms + ttl_ms.get());
                events.push(self.stored(key, &item));
                self.items.insert(key.clone(), item);
            } else {
                self.items.remove(key);
                events.push(GatewayEvent::PartItemRemoved(key.clone()));
            }
        }
        events
    }

    /// Drops the items whose lease has ended.
    pub fn expire(&mut self, now_ms: u64) -> Vec<GatewayEvent> {
        let ended = self.items.extract_if(.., |_, (_, _, until)| *until <= now_ms);
        ended.map(|(key, _)| GatewayEvent::PartItemRemoved(key)).collect()
    }

    /// The store after this copy was put back. Revisions that it has not seen are given out again.
    #[must_use]
    pub fn put_back(self, era: u64) -> Self {
        Self { era, ..self }
    }

    /// What a complete read finds.
    pub fn read(&self) -> Vec<GatewayEvent> {
        self.items.iter().map(|(key, item)| self.stored(key, item)).collect()
    }

    /// The records among the items.
    pub fn records(&self) -> Vec<PartItem> {
        let items = self.items.values().filter_map(|(bytes, ..)| decode_part_item(bytes));
        items.filter(|item| matches!(item, PartItem::Record { .. })).collect()
    }
}
