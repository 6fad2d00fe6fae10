//! Changes of a configuration in place.
//!
//! A change touches few items, so only these are replaced, indexed and checked. The previous items
//! are kept until the checks have passed, and are put back if one fails. Other items are only
//! looked at when something that they may refer to is removed.

use std::collections::BTreeMap;

use crate::configuration::Configuration;
use crate::configuration::ConfigurationError;
use crate::configuration::change::Operation;
use crate::configuration::item::Item;
use crate::configuration::item::ItemKey;

/// Items before a change, by key; `None` for items that did not exist.
type Previous = BTreeMap<ItemKey, Option<Item>>;

impl Configuration {
    /// Applies operations without changing the revision.
    ///
    /// # Errors
    /// Fails if the result would contradict itself; `self` stays as it was.
    pub fn apply_operations(&mut self, operations: &[Operation]) -> Result<(), ConfigurationError> {
        let mut previous = Previous::new();
        for operation in operations {
            let (key, item) = match operation {
                Operation::Put(item) => (item.key(), Some(item.clone())),
                Operation::Delete(key) => (key.clone(), None),
            };
            let old = self.replace(&key, item);
            previous.entry(key).or_insert(old);
        }
        let result = self.check_touched(&previous);
        if result.is_err() {
            self.restore(previous);
        }
        result
    }

    fn check_touched(&mut self, previous: &Previous) -> Result<(), ConfigurationError> {
        for old in previous.values().flatten() {
            self.remove_index(old);
        }
        let touched: Vec<Item> = previous.keys().filter_map(|key| self.item(key)).collect();
        for item in &touched {
            self.add_index(item)?;
        }
        for item in &touched {
            self.check_item(item)?;
        }
        let removes = previous.iter().any(|(key, old)| {
            old.as_ref().is_some_and(|old| removes_target(old, self.item(key).as_ref()))
        });
        if removes {
            return self.check_references();
        }
        Ok(())
    }

    fn restore(&mut self, previous: Previous) {
        for key in previous.keys() {
            if let Some(item) = self.item(key) {
                self.remove_index(&item);
            }
        }
        let old: Vec<Item> = previous.values().flatten().cloned().collect();
        for (key, item) in previous {
            self.replace(&key, item);
        }
        for item in &old {
            // The items were consistent before the change, so this cannot fail.
            let restored = self.add_index(item);
            debug_assert!(restored.is_ok(), "the previous items contradict each other");
        }
    }
}

/// Whether a change removes something that other items may refer to.
fn removes_target(old: &Item, new: Option<&Item>) -> bool {
    match (old, new) {
        (Item::Model(old), Some(Item::Model(new))) => {
            old.versions.iter().any(|version| new.version(&version.id).is_none())
        }
        (Item::Model(_) | Item::Cascade(_) | Item::Service(_), None) => true,
        _ => false,
    }
}
