//! Errors of parsing and validating serialised configurations.

use std::fmt;

use compact_str::CompactString;

use crate::configuration::ConfigurationError;
use crate::error::Category;

/// An error that occurs when parsing or validating a serialised configuration or item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RawConfigurationError {
    /// The text is not valid YAML, or has an unknown field or a value of the wrong type.
    Syntax {
        /// Message of the parser, which contains the line if it is known.
        detail: CompactString,
        /// Line of the fault, counted from 1; `None` if the parser does not report one.
        line: Option<usize>,
    },
    /// A field has a value that is not allowed.
    Field {
        /// Path of the field, with list elements named by their ids.
        field: CompactString,
        /// Description of the allowed values that completes "must be".
        allowed: &'static str,
    },
    /// The items are valid on their own but not together.
    Inconsistent(ConfigurationError),
}

impl RawConfigurationError {
    /// Always `Input`: the text has to be corrected.
    pub const fn category(&self) -> Category {
        Category::Input
    }

    pub(crate) fn field(field: impl Into<CompactString>, allowed: &'static str) -> Self {
        Self::Field { field: field.into(), allowed }
    }
}

impl fmt::Display for RawConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { detail, .. } => f.write_str(detail),
            Self::Field { field, allowed } => write!(f, "{field}: must be {allowed}"),
            Self::Inconsistent(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for RawConfigurationError {}

impl From<ConfigurationError> for RawConfigurationError {
    fn from(error: ConfigurationError) -> Self {
        Self::Inconsistent(error)
    }
}
