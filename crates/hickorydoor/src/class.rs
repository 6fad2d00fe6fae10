//! Urgency classes of requests.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Urgency class of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A user waits for the first token.
    #[default]
    Interactive,
    /// Background work that may be delayed but must finish before its deadline.
    Batch,
}

/// The text is neither `interactive` nor `batch`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownClass;

impl fmt::Display for UnknownClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the class must be `interactive` or `batch`")
    }
}

impl std::error::Error for UnknownClass {}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        })
    }
}

impl FromStr for Class {
    type Err = UnknownClass;

    fn from_str(text: &str) -> Result<Self, UnknownClass> {
        match text {
            "interactive" => Ok(Self::Interactive),
            "batch" => Ok(Self::Batch),
            _ => Err(UnknownClass),
        }
    }
}
