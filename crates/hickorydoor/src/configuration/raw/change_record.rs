//! Serialised form of change records.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::change::ChangeRecord;
use crate::configuration::change::Operation;
use crate::configuration::raw::error::RawConfigurationError;
use crate::configuration::raw::operation::RawOperation;
use crate::id::ChangeId;
use crate::id::OperatorId;
use crate::id::Revision;
use crate::time::TimeMs;

/// Unvalidated [`ChangeRecord`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawChangeRecord {
    /// Revision that the change produced.
    pub revision: Revision,
    /// Unique id of the change.
    pub change: ChangeId,
    /// Operator who made the change.
    pub operator: OperatorId,
    /// Explanation that the operator gave.
    pub reason: CompactString,
    /// Time of the change in milliseconds since the Unix epoch.
    pub made_at_ms: TimeMs,
    /// Operations in the order in which they are applied.
    pub operations: Vec<RawOperation>,
}

impl From<&ChangeRecord> for RawChangeRecord {
    fn from(record: &ChangeRecord) -> Self {
        Self {
            revision: record.revision,
            change: record.change.clone(),
            operator: record.operator.clone(),
            reason: record.reason.clone(),
            made_at_ms: record.made_at_ms,
            operations: record.operations.iter().map(RawOperation::from).collect(),
        }
    }
}

impl TryFrom<RawChangeRecord> for ChangeRecord {
    type Error = RawConfigurationError;

    fn try_from(raw: RawChangeRecord) -> Result<Self, RawConfigurationError> {
        let operations =
            raw.operations.into_iter().map(Operation::try_from).collect::<Result<_, _>>()?;
        Ok(Self {
            revision: raw.revision,
            change: raw.change,
            operator: raw.operator,
            reason: raw.reason,
            made_at_ms: raw.made_at_ms,
            operations,
        })
    }
}
