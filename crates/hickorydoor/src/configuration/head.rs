//! The stored head, which names the newest revision of the configuration.
//!
//! Every change writes the head, so a transaction that compares it detects concurrent changes.

use serde::Deserialize;
use serde::Serialize;

use crate::id::ChangeId;
use crate::id::Revision;

/// Value stored under [`keys::HEAD`](crate::store::keys::HEAD).
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Newest revision of the stored configuration.
    pub revision: Revision,
    /// Id of the change that produced `revision`.
    pub change: ChangeId,
}
