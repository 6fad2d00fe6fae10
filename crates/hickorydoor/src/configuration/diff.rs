//! Differences between two configurations, as items, operations or text.

use std::collections::BTreeMap;
use std::fmt;

use crate::configuration::Configuration;
use crate::configuration::change::Operation;
use crate::configuration::item::Item;
use crate::configuration::item::ItemKey;
use crate::configuration::item_change::ItemChange;

/// The items in which two configurations differ, in the order in which a change applies them.
///
/// `Display` lists items and fields: `+` marks an added, `-` a removed and `~` a modified item.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigDiff {
    /// Added and modified items in the order of [`Configuration::items`], then removed ones by key.
    pub changes: Vec<ItemChange>,
}

impl ConfigDiff {
    /// Compares two configurations; revisions are ignored.
    pub fn between(before: &Configuration, after: &Configuration) -> Self {
        let mut old: BTreeMap<ItemKey, Item> = items_by_key(before);
        let mut changes = Vec::new();
        for item in after.items() {
            let key = item.key();
            let previous = old.remove(&key);
            if previous.as_ref() != Some(&item) {
                changes.push(ItemChange { key, before: previous, after: Some(item) });
            }
        }
        let deleted = |(key, item)| ItemChange { key, before: Some(item), after: None };
        changes.extend(old.into_iter().map(deleted));
        Self { changes }
    }

    /// Returns whether all items of the two configurations are equal.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the operations that turn the first configuration into the second.
    pub fn operations(&self) -> Vec<Operation> {
        let operation = |change: &ItemChange| match &change.after {
            Some(item) => Operation::Put(item.clone()),
            None => Operation::Delete(change.key.clone()),
        };
        self.changes.iter().map(operation).collect()
    }

    /// Iterates over the keys of the items that differ.
    pub fn keys(&self) -> impl Iterator<Item = &ItemKey> {
        self.changes.iter().map(|change| &change.key)
    }
}

fn items_by_key(configuration: &Configuration) -> BTreeMap<ItemKey, Item> {
    configuration.items().into_iter().map(|item| (item.key(), item)).collect()
}

impl fmt::Display for ConfigDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            let sign = match (&change.before, &change.after) {
                (None, _) => '+',
                (_, None) => '-',
                _ => '~',
            };
            writeln!(f, "{sign} {}", change.key)?;
            for field in change.fields() {
                match (&field.before, &field.after) {
                    (Some(before), Some(after)) => {
                        writeln!(f, "    {}: {before} -> {after}", field.field)?;
                    }
                    (None, Some(after)) => writeln!(f, "  + {}: {after}", field.field)?,
                    (Some(before), None) => writeln!(f, "  - {}: {before}", field.field)?,
                    (None, None) => {}
                }
            }
        }
        Ok(())
    }
}
