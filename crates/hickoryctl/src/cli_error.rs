//! Failures of the tool.

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

/// Failures of the tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CliError {
    /// The command does not exist.
    UnknownCommand {
        /// The words as given.
        words: CompactString,
    },
    /// An option is not known or lacks its value.
    Options(getopts::Fail),
    /// The command has too few or too many arguments.
    ArgumentCount {
        /// The command's usage.
        usage: CompactString,
    },
    /// An option that the command needs is missing.
    MissingOption {
        /// The option.
        option: &'static str,
    },
    /// An argument or option has a value that is not allowed.
    Value {
        /// The argument or option.
        name: CompactString,
        /// What is allowed or what is wrong.
        detail: CompactString,
    },
    /// A file cannot be read.
    File {
        /// The file.
        file: CompactString,
        /// The system's message.
        detail: CompactString,
    },
    /// A configuration file is refused.
    Configuration {
        /// The file.
        file: CompactString,
        /// The line of the fault, from 1, where it is known.
        line: Option<usize>,
        /// What is wrong.
        error: RawConfigurationError,
    },
    /// An exception's or a customer's fields are refused.
    Item(RawConfigurationError),
    /// The action does not fit the configuration.
    Action(ActionError),
    /// The changed configuration would contradict itself.
    Inconsistent(ConfigurationError),
    /// An endpoint of the key-value service is malformed.
    Endpoint(SettingsError),
    /// A call to the key-value service failed.
    Store(CallError),
    /// What is stored cannot be read.
    Stored(StoredError),
}

impl CliError {
    /// A value that is not allowed.
    pub fn value(name: &str, detail: impl fmt::Display) -> Self {
        Self::Value { name: name.into(), detail: compact_str::format_compact!("{detail}") }
    }

    /// How the tool exits.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::UnknownCommand { .. }
            | Self::Options(_)
            | Self::ArgumentCount { .. }
            | Self::MissingOption { .. }
            | Self::Value { .. }
            | Self::Endpoint(_) => ExitStatus::Usage,
            Self::Action(error) => error.category().into(),
            // Only reads fail with this error, so nothing is left unknown.
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
                write!(f, "there is no command {words:?}; see hickoryctl --help")
            }
            Self::Options(error) => error.fmt(f),
            Self::ArgumentCount { usage } => write!(f, "usage: {usage}"),
            Self::MissingOption { option } => write!(f, "--{option} is needed"),
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
