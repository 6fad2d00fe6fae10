//! In-place changes of a configuration, with rollback on failure.
//!
//! A change affects few items, so only these are replaced, indexed and validated. The previous
//! items are kept until validation has succeeded, and are restored if it fails. Other items are
//! validated again only if the change removes something that they may refer to.

use std::collections::BTreeMap;

use crate::configuration::Configuration;
use crate::configuration::ConfigurationError;
use crate::configuration::change::Operation;
use crate::configuration::item::Item;
use crate::configuration::item::ItemKey;

/// The affected items as they were before a change; `None` for items that did not exist.
type PreviousItems = BTreeMap<ItemKey, Option<Item>>;

impl Configuration {
    /// Applies operations in order, as one atomic change that keeps the revision.
    ///
    /// # Errors
    /// Fails if the result would be inconsistent; `self` is then unchanged.
    pub fn apply_operations(&mut self, operations: &[Operation]) -> Result<(), ConfigurationError> {
        let mut previous = PreviousItems::new();
        for operation in operations {
            let (key, item) = match operation {
                Operation::Put(item) => (item.key(), Some(item.clone())),
                Operation::Delete(key) => (key.clone(), None),
            };
            let old = self.replace(&key, item);
            previous.entry(key).or_insert(old);
        }
        let result = self.check_changed_items(&previous);
        if result.is_err() {
            self.restore(previous);
        }
        result
    }

    fn check_changed_items(&mut self, previous: &PreviousItems) -> Result<(), ConfigurationError> {
        for old in previous.values().flatten() {
            self.unindex_item(old);
        }
        let changed: Vec<Item> = previous.keys().filter_map(|key| self.item(key)).collect();
        for item in &changed {
            self.index_item(item)?;
        }
        for item in &changed {
            self.check_item(item)?;
        }
        let removes_references = previous.iter().any(|(key, old)| {
            old.as_ref().is_some_and(|old| removes_reference_target(old, self.item(key).as_ref()))
        });
        if removes_references {
            return self.check_references();
        }
        Ok(())
    }

    fn restore(&mut self, previous: PreviousItems) {
        for key in previous.keys() {
            if let Some(item) = self.item(key) {
                self.unindex_item(&item);
            }
        }
        let old: Vec<Item> = previous.values().flatten().cloned().collect();
        for (key, item) in previous {
            self.replace(&key, item);
        }
        for item in &old {
            // These items were consistent before the change, so indexing them cannot fail.
            let restored = self.index_item(item);
            debug_assert!(restored.is_ok(), "the items before the change are inconsistent");
        }
    }
}

/// Returns whether the change of this item removes an id that other items may refer to.
fn removes_reference_target(old: &Item, new: Option<&Item>) -> bool {
    match (old, new) {
        (Item::Model(old), Some(Item::Model(new))) => {
            old.versions.iter().any(|version| new.version(&version.id).is_none())
        }
        (Item::Model(_) | Item::Cascade(_) | Item::Service(_), None) => true,
        _ => false,
    }
}
