//! Reasons why settings are refused.

use std::fmt;
use std::io;
use std::path::PathBuf;

use compact_str::CompactString;

/// A value that a settings field does not allow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field, for example `http.listen`.
    pub field: CompactString,
    /// What is allowed.
    pub allowed: &'static str,
}

impl FieldError {
    /// An error at a field.
    pub fn new(field: &str, allowed: &'static str) -> Self {
        Self { field: field.into(), allowed }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: must be {}", self.field, self.allowed)
    }
}

impl std::error::Error for FieldError {}

/// Reasons why settings are refused.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// The text is not YAML, or a field is unknown, missing or of the wrong type.
    Syntax {
        /// The file.
        file: PathBuf,
        /// Line of the fault, from 1.
        line: Option<usize>,
        /// The field and what is allowed.
        detail: CompactString,
    },
    /// A field has a value that is not allowed.
    Field {
        /// The file.
        file: PathBuf,
        /// Line of the field, from 1.
        line: Option<usize>,
        /// The field and what is allowed.
        error: FieldError,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file, cause } => {
                write!(f, "{}: cannot be read: {cause}", file.display())
            }
            Self::Syntax { file, line, detail } => {
                write!(f, "{}:{}: {detail}", file.display(), line.unwrap_or(1))
            }
            Self::Field { file, line, error } => {
                write!(f, "{}:{}: {error}", file.display(), line.unwrap_or(1))
            }
        }
    }
}

impl std::error::Error for SettingsError {}
