//! Configuration changes: the operations of a change and the record of an accepted one.

use compact_str::CompactString;

use crate::configuration::item::Item;
use crate::configuration::item::ItemKey;
use crate::id::ChangeId;
use crate::id::OperatorId;
use crate::id::Revision;
use crate::time::TimeMs;

/// One operation of a change. All operations of a change are applied together or not at all.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Creates the item, or replaces the whole item that has the same key.
    Put(Item),
    /// Removes the item if it exists; deleting the defaults resets them.
    Delete(ItemKey),
}

impl Operation {
    /// Key of the item that is written or removed.
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Put(item) => item.key(),
            Self::Delete(key) => key.clone(),
        }
    }
}

/// An accepted change, as stored under the key of its revision.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeRecord {
    /// Revision that the change produced; one more than the revision that it was applied to.
    pub revision: Revision,
    /// Unique id, by which the author can tell after a lost reply whether the change was accepted.
    pub change: ChangeId,
    /// Operator who made the change; a fixed id for changes that the software makes itself.
    pub operator: OperatorId,
    /// Explanation that the operator gave.
    pub reason: CompactString,
    /// Time of the change, by the clock of the process that made it.
    pub made_at_ms: TimeMs,
    /// Operations in the order in which they are applied.
    pub operations: Vec<Operation>,
}
