//! Exit codes of the tool.

use hickorydoor::Category;

/// Outcome of a command. Each kind of failure has its own exit code, so that scripts can tell them
/// apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success,
    /// The command line is invalid.
    Usage,
    /// A file, value or action is invalid.
    Input,
    /// The change conflicts with one that another operator made in the meantime.
    Conflict,
    /// A service is unreachable; nothing was changed.
    Unavailable,
    /// It is unknown whether a change was accepted.
    Unknown,
    /// A revision was not in force at every host within the time limit.
    Lagging,
    /// The operators' key is missing or was rejected.
    Forbidden,
}

impl ExitStatus {
    /// Exit code of the process. Code 1 is left to failures before a command starts.
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Usage => 2,
            Self::Input => 3,
            Self::Conflict => 4,
            Self::Unavailable => 5,
            Self::Unknown => 6,
            Self::Lagging => 7,
            Self::Forbidden => 8,
        }
    }

    /// Name in JSON output, as the value of `kind`.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Success => "success",
            Self::Usage => "usage",
            Self::Input => "input",
            Self::Conflict => "conflict",
            Self::Unavailable => "unavailable",
            Self::Unknown => "unknown",
            Self::Lagging => "lagging",
            Self::Forbidden => "forbidden",
        }
    }
}

impl From<Category> for ExitStatus {
    fn from(category: Category) -> Self {
        match category {
            Category::Input => Self::Input,
            Category::Forbidden => Self::Forbidden,
            Category::Conflict => Self::Conflict,
            Category::Unavailable => Self::Unavailable,
            Category::Unknown => Self::Unknown,
        }
    }
}
