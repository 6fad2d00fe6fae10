//! Errors of reading and checking settings.

use std::fmt;
use std::io;
use std::path::PathBuf;

use compact_str::CompactString;

/// Error for a settings field whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field, for example `http.listen`.
    pub field: CompactString,
    /// Allowed values, worded to follow "must be".
    pub allowed: &'static str,
}

impl FieldError {
    /// Creates the error for the field with this dotted path.
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

/// Error of reading or checking a settings file.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// Path of the settings file, as given by the caller.
        file: PathBuf,
        /// Error of the operating system, or of decoding UTF-8.
        cause: io::Error,
    },
    /// The text is not valid YAML, or a field is unknown, missing or of the wrong type.
    Syntax {
        /// Path of the settings file, as given by the caller.
        file: PathBuf,
        /// Line of the error, from 1; `None` if the parser reports no location.
        line: Option<usize>,
        /// Message of the YAML parser.
        detail: CompactString,
    },
    /// A field has a value that is not allowed.
    Field {
        /// Path of the settings file, as given by the caller.
        file: PathBuf,
        /// Line of the field or of its nearest parent, from 1; `None` if neither is in the file.
        line: Option<usize>,
        /// Path of the field, and the values that it allows.
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
