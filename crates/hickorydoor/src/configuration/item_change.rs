//! The difference between two states of one item.

use std::collections::BTreeMap;

use compact_str::CompactString;
use compact_str::format_compact;
use serde_json::Value;

use crate::configuration::item::Item;
use crate::configuration::item::ItemKey;
use crate::configuration::raw::RawItem;

/// A field that differs; an absent side means that the field is not set there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// Path of the field within its item.
    pub field: CompactString,
    /// The value before, as JSON.
    pub before: Option<CompactString>,
    /// The value after, as JSON.
    pub after: Option<CompactString>,
}

/// An item that differs; an absent side means that the item does not exist there.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemChange {
    /// The item.
    pub key: ItemKey,
    /// The item before.
    pub before: Option<Item>,
    /// The item after.
    pub after: Option<Item>,
}

impl ItemChange {
    /// The fields that differ, by path.
    pub fn fields(&self) -> Vec<FieldChange> {
        let mut before = self.before.as_ref().map(fields).unwrap_or_default();
        let after = self.after.as_ref().map(fields).unwrap_or_default();
        let mut changes = BTreeMap::new();
        for (field, value) in after {
            let previous = before.remove(&field);
            if previous.as_ref() != Some(&value) {
                changes.insert(field, (previous, Some(value)));
            }
        }
        for (field, value) in before {
            changes.insert(field, (Some(value), None));
        }
        let change = |(field, (before, after))| FieldChange { field, before, after };
        changes.into_iter().map(change).collect()
    }
}

fn fields(item: &Item) -> BTreeMap<CompactString, CompactString> {
    let mut fields = BTreeMap::new();
    // Serialising plain structs with string keys cannot fail.
    let value = serde_json::to_value(RawItem::from(item)).unwrap_or_default();
    // A raw item is an object with its kind as the only key.
    if let Value::Object(kinds) = &value {
        kinds.values().for_each(|content| collect("", content, &mut fields));
    }
    fields
}

fn collect(path: &str, value: &Value, fields: &mut BTreeMap<CompactString, CompactString>) {
    match value {
        Value::Object(object) => {
            for (name, value) in object {
                collect(&join(path, name), value, fields);
            }
        }
        Value::Array(items) if items.iter().any(|item| element_id(item).is_some()) => {
            for item in items {
                collect(&join(path, element_id(item).unwrap_or_default()), item, fields);
            }
        }
        _ => {
            fields.insert(path.into(), value.to_string().into());
        }
    }
}

/// Elements with an id are told apart by it, so that a move within the list is no change.
fn element_id(item: &Value) -> Option<&str> {
    item.get("id")?.as_str()
}

fn join(path: &str, name: &str) -> CompactString {
    match path {
        "" => name.into(),
        _ => format_compact!("{path}.{name}"),
    }
}
