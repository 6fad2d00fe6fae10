//! Head of the configuration in the key-value service.

use serde::Deserialize;
use serde::Serialize;

use crate::id::ChangeId;
use crate::id::Revision;

/// The newest revision and the change that produced it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// The newest revision.
    pub revision: Revision,
    /// The change that produced it.
    pub change: ChangeId,
}
