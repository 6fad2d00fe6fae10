//! Serialised form of the operations in change records.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::change::Operation;
use crate::configuration::item::ItemKey;
use crate::configuration::item::ItemKind;
use crate::configuration::raw::error::RawConfigurationError;
use crate::configuration::raw::item::RawItem;

/// Unvalidated [`Operation`], stored as an object whose only key is the name of the variant.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawOperation {
    /// Creates the item, or replaces the whole item that has the same key.
    Put(RawItem),
    /// Removes an item.
    Delete {
        /// Name of the item's kind, as returned by [`ItemKind::name`].
        kind: CompactString,
        /// Id of the item within its kind.
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
