//! Reasons why a raw configuration is refused.

use std::fmt;

use compact_str::CompactString;

use crate::configuration::ConfigurationError;
use crate::error::Category;

/// Reasons why a raw configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RawConfigurationError {
    /// The text is not YAML or has an unknown or ill-typed field.
    Syntax {
        /// The parser's message with the line, where it is known.
        detail: CompactString,
        /// Line of the fault, from 1.
        line: Option<usize>,
    },
    /// A field has a value that is not allowed.
    Field {
        /// Path of the field.
        field: CompactString,
        /// What is allowed.
        allowed: &'static str,
    },
    /// The items contradict each other.
    Inconsistent(ConfigurationError),
}

impl RawConfigurationError {
    /// How to react to this error.
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
