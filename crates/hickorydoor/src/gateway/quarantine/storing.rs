//! What is kept in the store: reading it, and finding out what is to be written.

use smallvec::SmallVec;

use crate::gateway::quarantine::end_log::END_TTL_MS;
use crate::gateway::quarantine::engine_end::EngineEnd;
use crate::gateway::quarantine::held_record::HeldRecord;
use crate::gateway::quarantine::merged_end::MergedEnd;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_item::PartItem;
use crate::gateway::quarantine::part_item::PartItemKey;
use crate::gateway::quarantine::part_item::PartWrite;
use crate::gateway::quarantine::part_item::StoredPartItem;
use crate::gateway::quarantine::part_key::PartKey;
use crate::gateway::quarantine::part_selection::keep_most_suspect;
use crate::gateway::quarantine::part_selection::sorted;
use crate::gateway::quarantine::quarantine_record::QuarantineState;
use crate::gateway::quarantine::quarantine_table::QuarantineTable;
use crate::gateway::quarantine::stored_items::Difference;
use crate::gateway::quarantine::stored_items::MAX_LEASE_MS;
use crate::gateway::quarantine::stored_items::WantedItem;
use crate::gateway::store_position::StoreEra;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Minimum age of an end that is written. Until then attempts that go on elsewhere prove most of its
/// parts sound, and other gateways report theirs.
const MIN_WRITE_AGE_MS: DurationMs = DurationMs::new(300);
/// Time that is added to the age of an end with each read, so that it does not count for ever if it is
/// read and written again and again.
const READ_AGE_MS: DurationMs = DurationMs::from_secs(2);
/// Maximum number of ends that are kept in the store, the latest ones.
const MAX_WRITTEN_ENDS: usize = 48;
/// Maximum number of parts of an end that is written.
const MAX_WRITTEN_PARTS: usize = 512;
/// How long a released record is kept in the store, so that no late write brings the earlier one back.
const RELEASED_LEASE_MS: DurationMs = DurationMs::from_secs(60);

impl QuarantineTable {
    /// Applies an item that was read from the store, or that this gateway has written.
    pub fn apply_stored(&mut self, stored: StoredPartItem, now: TimeMs) {
        let (key, item) = (stored.key.clone(), stored.item.clone());
        if !self.stored.set(stored, now) || self.stored.is_retracted(&key) {
            return;
        }
        match item {
            Some(PartItem::End { end, age_ms }) => {
                self.ends.set_stored(key, end, now - (age_ms + READ_AGE_MS));
                self.has_news = true;
            }
            Some(PartItem::Record { record, left_ms }) => {
                let is_new = !self.records.iter().any(|held| held.record == record);
                self.adopt(record.clone(), now + left_ms, now);
                let adopted = self.records.iter_mut().find(|held| held.record == record);
                if let Some(held) = adopted.filter(|_| is_new) {
                    held.is_from_store = true;
                }
                self.release_allowed(now);
            }
            None => self.ends.remove_stored(&key),
        }
    }

    /// Releases records with parts that the operator allows.
    fn release_allowed(&mut self, now: TimeMs) {
        let held = self.records.iter().map(|held| &held.record);
        let allowed = held.filter(|record| {
            let key = |part: &PartId| PartKey { service: record.service.clone(), part: *part };
            record.state == QuarantineState::Quarantined
                && record.parts.iter().any(|part| self.allowed.contains(&key(part)))
        });
        for record in allowed.cloned().collect::<Vec<_>>() {
            self.release(record, now);
        }
    }

    /// Applies the removal of an item. `is_over` tells whether its lease has ended, and not the store
    /// lost it.
    pub fn apply_stored_removal(&mut self, key: &PartItemKey, is_over: bool, now: TimeMs) {
        let removed = self.stored.remove(key);
        if !is_over {
            return;
        }
        self.ends.remove_stored(key);
        if let Some(PartItem::Record { record, left_ms }) = removed {
            let held = self.records.iter_mut().find(|held| held.record == record);
            if let Some(held) = held.filter(|held| held.is_from_store) {
                held.until = held.until.min(now + left_ms.saturating_sub(MAX_LEASE_MS));
            }
        }
    }

    /// Iterates over the keys of all items that the store is known to hold.
    pub fn stored_keys(&self) -> impl Iterator<Item = &PartItemKey> {
        self.stored.keys()
    }

    /// Returns whether an item, or a later form of it, is known.
    pub fn is_stored(&self, stored: &StoredPartItem) -> bool {
        self.stored.position(&stored.key).is_some_and(|known| known >= stored.position)
    }

    /// Returns the items that the store holds, with the times as they are known here.
    pub fn stored_items(&self, now: TimeMs) -> Vec<StoredPartItem> {
        let items = self.stored.iter().filter(|(key, ..)| !self.stored.is_retracted(key));
        let items = items.map(|(key, item, position)| {
            let item = match item {
                PartItem::End { end, age_ms } => {
                    let at = self.ends.stored_at(key);
                    let age_ms = at.map_or(*age_ms, |at| now.since(at));
                    PartItem::End { end: end.clone(), age_ms }
                }
                PartItem::Record { record, left_ms } => {
                    let held = self.records.iter().find(|held| held.record == *record);
                    let left_ms = held.map_or(*left_ms, |held| held.until.since(now));
                    PartItem::Record { record: record.clone(), left_ms }
                }
            };
            StoredPartItem { key: key.clone(), item: Some(item), position }
        });
        items.collect()
    }

    /// Returns whether it is time to compare what is known with what the store holds.
    pub fn begin_comparison(&mut self, now: TimeMs) -> bool {
        let has_items = !self.records.is_empty()
            || !self.ends.merged().is_empty()
            || self.stored.has_retracted();
        has_items && self.stored.begin_comparison(now)
    }

    /// Returns the writes that are due so that the store holds what is known, after
    /// [`QuarantineTable::begin_comparison`]. A difference is written after it
    /// has been known for `wait_ms`.
    pub fn due_writes(
        &mut self,
        era: StoreEra,
        wait_ms: DurationMs,
        now: TimeMs,
    ) -> Vec<PartWrite> {
        let mut wanted = Vec::new();
        let merged = self.ends.merged();
        let mut latest: Vec<&MergedEnd> = merged.iter().collect();
        latest.sort_by_key(|end| std::cmp::Reverse(end.at));
        for end in latest.into_iter().take(MAX_WRITTEN_ENDS) {
            wanted.extend(self.wanted_end(end, now));
        }
        wanted.extend(self.records.iter().map(|held| self.wanted_record(held, now)));
        self.stored.due_writes(wanted, era, wait_ms, now)
    }

    fn wanted_record(&self, held: &HeldRecord, now: TimeMs) -> WantedItem {
        let record = &held.record;
        let key = PartItemKey::of_record(record);
        let left_ms = held.until.since(now);
        let is_released = record.state == QuarantineState::Released;
        let is_lacking = match self.stored.get(&key) {
            Some(PartItem::Record { record: stored, .. }) => record.replaces(stored),
            _ => !is_released,
        };
        let is_over = left_ms == DurationMs::default();
        WantedItem {
            key,
            item: Some(PartItem::Record { record: record.clone(), left_ms }),
            ttl_ms: if is_released { RELEASED_LEASE_MS } else { left_ms.min(MAX_LEASE_MS) },
            difference: if is_lacking && !is_over { Difference::Lack } else { Difference::None },
        }
    }

    /// Returns the form in which the store has to hold an end, if its parts still count.
    fn wanted_end(&self, end: &MergedEnd, now: TimeMs) -> Option<WantedItem> {
        let age_ms = now.since(end.at);
        if age_ms < MIN_WRITE_AGE_MS || age_ms >= END_TTL_MS || self.is_doubtful(end, now) {
            return None;
        }
        let proven_at = |part: &PartId| {
            self.survivals.last_at(&PartKey { service: end.service.clone(), part: *part })
        };
        let is_open = |part: &&PartId| proven_at(part).is_none_or(|at| at <= end.at);
        let mut parts: Vec<PartId> = end.parts.iter().filter(is_open).copied().collect();
        keep_most_suspect(&mut parts, MAX_WRITTEN_PARTS, proven_at, end.at.get());
        let parts = sorted(&parts);
        let tried = end.tried.iter().filter(|part| parts.binary_search(part).is_ok());
        let known = EngineEnd {
            upstream: end.upstream.clone(),
            started_unix_ms: end.started_unix_ms,
            service: end.service.clone(),
            version: end.version.clone(),
            is_confirmed: end.is_confirmed,
            is_closed: end.is_closed,
            tried: tried.copied().collect(),
            parts: SmallVec::from_vec(parts),
        };
        let key = PartItemKey::of_end(&known);
        let difference = match self.stored.get(&key) {
            Some(PartItem::End { end: stored, .. }) => difference(stored, &known),
            _ if known.parts.is_empty() => Difference::None,
            _ => Difference::Lack,
        };
        let is_empty = known.parts.is_empty();
        let item = (!is_empty).then_some(PartItem::End { end: known, age_ms });
        let ttl_ms = END_TTL_MS.saturating_sub(age_ms);
        Some(WantedItem { key, item, ttl_ms, difference })
    }
}

/// Returns how far the stored form of an end is from what is known.
fn difference(stored: &EngineEnd, known: &EngineEnd) -> Difference {
    let parts = sorted(&stored.parts);
    let holds = |part: &PartId| parts.binary_search(part).is_ok();
    // A part that was chosen from too many differs from gateway to gateway.
    let is_full = stored.parts.len() >= MAX_WRITTEN_PARTS;
    let lacks_parts = !is_full && !known.parts.iter().all(holds);
    let lacks_trial = known.tried.iter().any(|part| !stored.tried.contains(part));
    if lacks_parts || lacks_trial {
        Difference::Lack
    } else if stored.parts.len() > known.parts.len() {
        Difference::Surplus
    } else {
        Difference::None
    }
}
