//! Errors of the tool, with the exit status of each.

use std::fmt;

use compact_str::CompactString;
use hickory_kv::CallError;
use hickory_kv::SettingsError;
use hickorydoor::Category;
use hickorydoor::configuration::ConfigurationError;
use hickorydoor::configuration::action_error::ActionError;
use hickorydoor::configuration::raw::RawConfigurationError;
use hickorydoor::configuration::stored::StoredError;

use crate::exit_status::ExitStatus;

/// Error of a command, printed on the standard error stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CliError {
    /// No command has this name.
    UnknownCommand {
        /// First words of the command line, at most two.
        words: CompactString,
    },
    /// An option is unknown, lacks its value, or is given too often.
    Options(getopts::Fail),
    /// The command has too few or too many arguments.
    ArgumentCount {
        /// Usage line of the command.
        usage: CompactString,
    },
    /// A required option is missing.
    MissingOption {
        /// Name of the option, without dashes.
        option: &'static str,
    },
    /// An argument or option has an invalid value.
    Value {
        /// Name of the argument or option, or the text itself.
        name: CompactString,
        /// Allowed values, or the parse error.
        detail: CompactString,
    },
    /// A file cannot be read.
    File {
        /// Path as given.
        file: CompactString,
        /// Error message of the operating system.
        detail: CompactString,
    },
    /// A configuration file is invalid.
    Configuration {
        /// Path as given.
        file: CompactString,
        /// Line of the error, counted from 1; `None` if the error has no place in the file.
        line: Option<usize>,
        /// Syntax error, invalid field or inconsistency between items.
        error: RawConfigurationError,
    },
    /// The options of an exception or customer are invalid, or YAML output failed.
    Item(RawConfigurationError),
    /// The action cannot be applied to the stored configuration.
    Action(ActionError),
    /// The change would make the configuration inconsistent.
    Inconsistent(ConfigurationError),
    /// An endpoint of the key-value service is invalid.
    Endpoint(SettingsError),
    /// A call to the key-value service failed.
    Store(CallError),
    /// Stored data cannot be decoded.
    Stored(StoredError),
}

impl CliError {
    /// Error for an invalid value of `name`; `detail` states the allowed values or the problem.
    pub fn value(name: &str, detail: impl fmt::Display) -> Self {
        Self::Value { name: name.into(), detail: compact_str::format_compact!("{detail}") }
    }

    /// Exit status that reports this error.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::UnknownCommand { .. }
            | Self::Options(_)
            | Self::ArgumentCount { .. }
            | Self::MissingOption { .. }
            | Self::Value { .. }
            | Self::Endpoint(_) => ExitStatus::Usage,
            Self::Action(error) => error.category().into(),
            // Only reads fail with this error, so there is no change whose outcome is unknown.
            Self::Store(error) if error.category() == Category::Unknown => ExitStatus::Unavailable,
            Self::Store(error) => error.category().into(),
            Self::File { .. }
            | Self::Configuration { .. }
            | Self::Item(_)
            | Self::Inconsistent(_)
            | Self::Stored(_) => ExitStatus::Input,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownCommand { words } => {
                write!(f, "unknown command {words:?}; see hickoryctl --help")
            }
            Self::Options(error) => error.fmt(f),
            Self::ArgumentCount { usage } => write!(f, "usage: {usage}"),
            Self::MissingOption { option } => write!(f, "missing required option --{option}"),
            Self::Value { name, detail } => write!(f, "{name}: {detail}"),
            Self::File { file, detail } => write!(f, "{file}: {detail}"),
            Self::Configuration { file, line: Some(line), error } => {
                write!(f, "{file}:{line}: {error}")
            }
            Self::Configuration { file, line: None, error } => write!(f, "{file}: {error}"),
            Self::Item(error) => error.fmt(f),
            Self::Action(error) => error.fmt(f),
            Self::Inconsistent(error) => error.fmt(f),
            Self::Endpoint(error) => error.fmt(f),
            Self::Store(error) => write!(f, "key-value service: {error}"),
            Self::Stored(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for CliError {}

impl From<CallError> for CliError {
    fn from(error: CallError) -> Self {
        Self::Store(error)
    }
}

impl From<StoredError> for CliError {
    fn from(error: StoredError) -> Self {
        Self::Stored(error)
    }
}
