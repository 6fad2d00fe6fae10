//! How the tool exits.

use hickorydoor::Category;

/// How the tool exits; each kind of failure has its own code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Success,
    /// The command line is wrong.
    Usage,
    /// A file, value or action does not fit.
    Input,
    /// Another operator's change came first.
    Conflict,
    /// A service is not reachable.
    Unavailable,
    /// It is not known whether a change was accepted.
    Unknown,
    /// A revision is not in force everywhere in time.
    Lagging,
    /// The operators' key is missing or not accepted.
    Forbidden,
}

impl ExitStatus {
    /// The process's exit code.
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

    /// The name in JSON output.
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
