//! Final outcomes of an attempt to change the configuration.

use std::fmt;

use crate::configuration::ConfigurationError;
use crate::configuration::action_error::ActionError;
use crate::configuration::change::ChangeRecord;
use crate::configuration::stored::StoredError;
use crate::error::Category;
use crate::id::ChangeId;
use crate::id::Revision;

/// Final outcome of a [`ChangeAttempt`](crate::configuration::change_attempt::ChangeAttempt).
///
/// Every outcome but [`Self::Unknown`] is definite: the change has been accepted, or never will be.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// The change is stored.
    Accepted {
        /// Record under which the change is stored.
        record: ChangeRecord,
    },
    /// The configuration is already in the requested state, so nothing was written.
    Unchanged {
        /// Revision that was compared with the action.
        revision: Revision,
    },
    /// Another change of the same items, or of items that the action depends on, was stored first;
    /// this one is not accepted.
    Conflict {
        /// The other change; `None` if its record could not be read.
        other: Option<ChangeRecord>,
    },
    /// The action cannot be applied to the current configuration.
    Refused(ActionError),
    /// The action would make the configuration inconsistent.
    Invalid(ConfigurationError),
    /// The change has too many operations for one transaction.
    TooLarge {
        /// Number of operations that the action needs.
        operations: usize,
        /// Maximum number of operations in a change.
        limit: usize,
    },
    /// The key-value service rejected the call; the change is not accepted.
    StoreRefused,
    /// The key-value service could not be reached before the deadline; the change is not accepted.
    Unavailable,
    /// The stored configuration or change record cannot be decoded; the change is not accepted.
    Unreadable(StoredError),
    /// The reply to the write was lost, and it could not be found out whether the change is stored.
    Unknown {
        /// Id of the change, to be compared with the record of `revision`.
        change: ChangeId,
        /// Revision that the change has if it was accepted.
        revision: Revision,
    },
}

impl ChangeOutcome {
    /// How the operator should react to a failure; `None` for success.
    pub const fn category(&self) -> Option<Category> {
        match self {
            Self::Accepted { .. } | Self::Unchanged { .. } => None,
            Self::Conflict { .. } => Some(Category::Conflict),
            Self::Refused(error) => Some(error.category()),
            Self::Invalid(_) | Self::TooLarge { .. } | Self::Unreadable(_) => Some(Category::Input),
            Self::StoreRefused | Self::Unavailable => Some(Category::Unavailable),
            Self::Unknown { .. } => Some(Category::Unknown),
        }
    }
}

impl fmt::Display for ChangeOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { record } => write!(f, "accepted as revision {}", record.revision),
            Self::Unchanged { revision } => {
                write!(f, "unchanged: revision {revision} has this already")
            }
            Self::Conflict { other: Some(other) } => write!(
                f,
                "not accepted: a conflicting change by {} came first, revision {} ({})",
                other.operator, other.revision, other.reason
            ),
            Self::Conflict { other: None } => {
                f.write_str("not accepted: a conflicting change came first")
            }
            Self::Refused(error) => write!(f, "not accepted: {error}"),
            Self::Invalid(error) => write!(f, "not accepted: {error}"),
            Self::TooLarge { operations, limit } => write!(
                f,
                "not accepted: {operations} operations exceed the limit {limit}; split the change"
            ),
            Self::StoreRefused => {
                f.write_str("not accepted: the key-value service refused the call")
            }
            Self::Unavailable => {
                f.write_str("not accepted: the key-value service could not be reached")
            }
            Self::Unreadable(error) => write!(f, "not accepted: {error}"),
            Self::Unknown { change, revision } => write!(
                f,
                "unknown: the answer was lost; revision {revision} shows whether it is change {change}"
            ),
        }
    }
}
