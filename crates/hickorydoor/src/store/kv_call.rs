//! Calls to the key-value service and their outcomes, as plain data without I/O.
//!
//! Reducers issue a [`KvCall`] as an effect and receive its [`KvOutcome`] as an event. The
//! semantics are those of etcd v3: a transaction compares create or modification revisions and then
//! executes one of two lists of operations. A store revision is the counter that the key-value
//! service increases with every write; it is unrelated to the revision of the configuration.

use bytes::Bytes;
use compact_str::CompactString;

use crate::time::DurationMs;

/// A condition of a transaction, evaluated atomically with its operations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvCompare {
    /// Holds if the key does not exist.
    Absent {
        /// Key that must not exist.
        key: CompactString,
    },
    /// Holds if the key exists.
    Present {
        /// Key that must exist.
        key: CompactString,
    },
    /// Holds if the key exists and was last modified at a given store revision.
    ModifiedAt {
        /// Key whose modification revision is compared.
        key: CompactString,
        /// Expected store revision of the last modification.
        store_revision: u64,
    },
}

/// One read or write in a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvOperation {
    /// Creates or overwrites a key.
    Put {
        /// Key to write.
        key: CompactString,
        /// New value, at most 1 MB.
        value: Bytes,
        /// Lease at whose end the key is deleted; `None` for a permanent key.
        lease: Option<u64>,
    },
    /// Deletes a key; no error if it does not exist.
    Delete {
        /// Key to delete.
        key: CompactString,
    },
    /// Reads a key; the result is empty if it does not exist.
    Get {
        /// Key to read.
        key: CompactString,
    },
    /// Reads the keys that start with a prefix, in key order.
    List {
        /// Prefix of the keys to return.
        prefix: CompactString,
        /// Maximum number of keys to return; 0 means no limit.
        limit: u32,
    },
}

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvCall {
    /// Atomically executes `then` if all conditions hold, otherwise `otherwise`.
    Transaction {
        /// Conditions, all of which must hold; an empty list always holds.
        compares: Vec<KvCompare>,
        /// Operations executed if all conditions hold.
        then: Vec<KvOperation>,
        /// Operations executed if a condition fails.
        otherwise: Vec<KvOperation>,
    },
    /// Creates a lease; the reply is [`KvReply::Lease`].
    Grant {
        /// Requested time to live, which each renewal restarts.
        ttl_ms: DurationMs,
    },
    /// Renews a lease; the reply is [`KvReply::Lease`].
    KeepAlive {
        /// Id of the lease to renew.
        lease: u64,
    },
    /// Ends a lease and deletes the keys that are attached to it.
    Revoke {
        /// Id of the lease to end.
        lease: u64,
    },
    /// Watches a prefix from a store revision on; changes arrive as [`KvOutcome::Watched`].
    Watch {
        /// Prefix of the keys to watch.
        prefix: CompactString,
        /// First store revision whose changes are reported.
        from_store_revision: u64,
    },
    /// Ends the watch that was started under this call id.
    Unwatch,
}

/// A stored key with its value and revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvPair {
    /// Full key, including its prefix.
    pub key: CompactString,
    /// Value as stored; the format depends on the key.
    pub value: Bytes,
    /// Store revision at which the key was created; a deleted and recreated key gets a new one.
    pub create_revision: u64,
    /// Store revision at which the key was last written.
    pub modify_revision: u64,
}

/// Reply of the key-value service to a successful call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvReply {
    /// Reply to [`KvCall::Transaction`].
    Transaction {
        /// Whether all conditions held, so that `then` was executed.
        succeeded: bool,
        /// Store revision after the transaction.
        store_revision: u64,
        /// One list of pairs for each executed operation; empty for writes.
        results: Vec<Vec<KvPair>>,
    },
    /// Reply to [`KvCall::Grant`] or [`KvCall::KeepAlive`].
    Lease {
        /// Id of the lease.
        lease: u64,
        /// Remaining time to live; 0 if the lease has expired.
        ttl_ms: DurationMs,
    },
    /// The call took effect and returns no data.
    Done,
}

/// The way in which a call to the key-value service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvFault {
    /// The call was not sent, so it had no effect.
    NotSent,
    /// No reply arrived in time; the call may have taken effect.
    OutcomeUnknown,
    /// The service rejected the call, which had no effect.
    Rejected,
    /// A watch was interrupted, or its start revision has been compacted.
    WatchLost,
}

/// Outcome of a call; a watch yields several.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvOutcome {
    /// The service executed the call, even if the conditions of a transaction failed.
    Reply(KvReply),
    /// The call failed, or a watch has ended.
    Fault(KvFault),
    /// A watch reports changed keys.
    Watched {
        /// Store revision of the newest reported change.
        store_revision: u64,
        /// Keys that were created or overwritten, with their new values.
        written: Vec<KvPair>,
        /// Keys that were deleted or whose lease has ended.
        deleted: Vec<CompactString>,
    },
}
