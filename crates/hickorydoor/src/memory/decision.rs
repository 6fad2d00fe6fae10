//! What a budget decides about those that asked it.

use super::holder::HolderId;

/// Decision about a holder that waits or that has memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryDecision {
    /// The holder has the memory that it waited for.
    Granted(HolderId),
    /// The deadline of the request passed; the holder keeps what it had before.
    Refused(HolderId),
    /// The holder has made no progress while others wait. It is to release what it holds.
    Evicted(HolderId),
}
