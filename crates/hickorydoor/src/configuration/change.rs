//! Changes of the configuration.

use compact_str::CompactString;

use crate::configuration::item::Item;
use crate::configuration::item::ItemKey;
use crate::id::ChangeId;
use crate::id::OperatorId;
use crate::id::Revision;
use crate::time::TimeMs;

/// One step of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Creates or replaces an item.
    Put(Item),
    /// Removes an item.
    Delete(ItemKey),
}

impl Operation {
    /// The item that this step changes.
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Put(item) => item.key(),
            Self::Delete(key) => key.clone(),
        }
    }
}

/// A change that was accepted under a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeRecord {
    /// The revision that the change produced.
    pub revision: Revision,
    /// The change's own id, with which its author recognises it after a lost answer.
    pub change: ChangeId,
    /// Who made the change.
    pub operator: OperatorId,
    /// Why it was made.
    pub reason: CompactString,
    /// When it was made, on the operator's clock.
    pub made_at_ms: TimeMs,
    /// What it changes.
    pub operations: Vec<Operation>,
}
