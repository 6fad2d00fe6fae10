//! How an attempt to change the configuration ended.

use std::fmt;

use crate::configuration::ConfigurationError;
use crate::configuration::action_error::ActionError;
use crate::configuration::change::ChangeRecord;
use crate::configuration::stored::StoredError;
use crate::error::Category;
use crate::id::ChangeId;
use crate::id::Revision;

/// How an attempt to change the configuration ended.
///
/// Every outcome but [`Self::Unknown`] is definite: the change has been accepted, or never will be.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// The change is stored.
    Accepted {
        /// Its record.
        record: ChangeRecord,
    },
    /// The configuration is as the action wants it already.
    Unchanged {
        /// The revision in force.
        revision: Revision,
    },
    /// Another change of the same items, or of what the action relies on, came first; this one is
    /// not accepted.
    Conflict {
        /// The other change, if its record is known.
        other: Option<ChangeRecord>,
    },
    /// The action does not fit the configuration.
    Refused(ActionError),
    /// The configuration would contradict itself.
    Invalid(ConfigurationError),
    /// The change has too many operations for one transaction.
    TooLarge {
        /// Operations of the change.
        operations: usize,
        /// Operations that fit.
        limit: usize,
    },
    /// The key-value service refused the call.
    StoreRefused,
    /// The key-value service could not be reached; the change is not accepted.
    Unavailable,
    /// What is stored cannot be read; the change is not accepted.
    Unreadable(StoredError),
    /// The answer to the write was lost and could not be read back in time.
    Unknown {
        /// The id under which the change is found if it was accepted.
        change: ChangeId,
        /// The revision that it would have.
        revision: Revision,
    },
}

impl ChangeOutcome {
    /// How to react to an outcome that is not a success.
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
                "not accepted: a change by {} came first, revision {} ({})",
                other.operator, other.revision, other.reason
            ),
            Self::Conflict { other: None } => {
                f.write_str("not accepted: another change came first")
            }
            Self::Refused(error) => write!(f, "not accepted: {error}"),
            Self::Invalid(error) => write!(f, "not accepted: {error}"),
            Self::TooLarge { operations, limit } => write!(
                f,
                "not accepted: the change has {operations} operations and {limit} fit; apply it in parts"
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
