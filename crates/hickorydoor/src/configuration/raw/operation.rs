//! Steps of changes as they are stored.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::change::Operation;
use crate::configuration::item::ItemKey;
use crate::configuration::item::ItemKind;
use crate::configuration::raw::error::RawConfigurationError;
use crate::configuration::raw::item::RawItem;

/// One step of a change as it is stored.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawOperation {
    /// Creates or replaces an item.
    Put(RawItem),
    /// Removes an item.
    Delete {
        /// Name of the item's kind.
        kind: CompactString,
        /// The item's id.
        id: CompactString,
    },
}

impl From<&Operation> for RawOperation {
    fn from(operation: &Operation) -> Self {
        match operation {
            Operation::Put(item) => Self::Put(item.into()),
            Operation::Delete(key) => {
                Self::Delete { kind: key.kind.name().into(), id: key.id.clone() }
            }
        }
    }
}

impl TryFrom<RawOperation> for Operation {
    type Error = RawConfigurationError;

    fn try_from(raw: RawOperation) -> Result<Self, RawConfigurationError> {
        match raw {
            RawOperation::Put(item) => Ok(Self::Put(item.try_into()?)),
            RawOperation::Delete { kind, id } => {
                let kind = ItemKind::from_name(&kind)
                    .ok_or_else(|| RawConfigurationError::field("kind", "a known item kind"))?;
                Ok(Self::Delete(ItemKey { kind, id }))
            }
        }
    }
}
