//! Field-level differences between two states of one item.

use std::collections::BTreeMap;

use compact_str::CompactString;
use compact_str::format_compact;
use serde_json::Value;

use crate::configuration::item::Item;
use crate::configuration::item::ItemKey;
use crate::configuration::raw::RawItem;

/// A field whose value differs; `None` means that the field is not set on that side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// Path of the field within its item, such as `limits.requests_per_s`.
    pub field: CompactString,
    /// Value before the change, as JSON.
    pub before: Option<CompactString>,
    /// Value after the change, as JSON.
    pub after: Option<CompactString>,
}

/// An item that differs; `None` means that the item does not exist on that side.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemChange {
    /// Key of the item, the same on both sides.
    pub key: ItemKey,
    /// Item before the change; `None` if the change creates it.
    pub before: Option<Item>,
    /// Item after the change; `None` if the change removes it.
    pub after: Option<Item>,
}

impl ItemChange {
    /// Returns the fields that differ, sorted by path.
    pub fn fields(&self) -> Vec<FieldChange> {
        let mut before = self.before.as_ref().map(flatten_item).unwrap_or_default();
        let after = self.after.as_ref().map(flatten_item).unwrap_or_default();
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

fn flatten_item(item: &Item) -> BTreeMap<CompactString, CompactString> {
    let mut fields = BTreeMap::new();
    // Serialising plain structs with string keys cannot fail.
    let value = serde_json::to_value(RawItem::from(item)).unwrap_or_default();
    // A raw item serialises to an object with its kind as the only key.
    if let Value::Object(kinds) = &value {
        kinds.values().for_each(|content| flatten_value("", content, &mut fields));
    }
    fields
}

fn flatten_value(path: &str, value: &Value, fields: &mut BTreeMap<CompactString, CompactString>) {
    match value {
        Value::Object(object) => {
            for (name, value) in object {
                flatten_value(&join_path(path, name), value, fields);
            }
        }
        Value::Array(items) if items.iter().any(|item| element_id(item).is_some()) => {
            for item in items {
                flatten_value(&join_path(path, element_id(item).unwrap_or_default()), item, fields);
            }
        }
        _ => {
            fields.insert(path.into(), value.to_string().into());
        }
    }
}

/// List elements with an id are compared by id, so that reordering the list is not a difference.
fn element_id(item: &Value) -> Option<&str> {
    item.get("id")?.as_str()
}

fn join_path(path: &str, name: &str) -> CompactString {
    match path {
        "" => name.into(),
        _ => format_compact!("{path}.{name}"),
    }
}
