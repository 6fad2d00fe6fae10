//! Key-value operations as data.
//!
//! Reducers issue [`KvCall`] effects and receive [`KvOutcome`] events. A transaction compares
//! create or modification revisions and then runs one of two lists of operations, as in etcd v3.

use bytes::Bytes;
use compact_str::CompactString;

use crate::time::DurationMs;

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvCompare {
    /// The key does not exist.
    Absent {
        /// The key.
        key: CompactString,
    },
    /// The key exists.
    Present {
        /// The key.
        key: CompactString,
    },
    /// The key was last modified at this store revision.
    ModifiedAt {
        /// The key.
        key: CompactString,
        /// The expected modification revision of the store.
        store_revision: u64,
    },
}

/// An operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvOperation {
    /// Writes a key.
    Put {
        /// The key.
        key: CompactString,
        /// The value, at most 1 MB.
        value: Bytes,
        /// The lease that the key is attached to.
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: CompactString,
    },
    /// Reads a key.
    Get {
        /// The key.
        key: CompactString,
    },
    /// Reads the keys that start with a prefix, in key order.
    List {
        /// The prefix.
        prefix: CompactString,
        /// Keys to return at most; 0 means all.
        limit: u32,
    },
}

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvCall {
    /// Runs `then` if all of `compares` hold, else `otherwise`, atomically.
    Transaction {
        /// The conditions.
        compares: Vec<KvCompare>,
        /// Run when all conditions hold.
        then: Vec<KvOperation>,
        /// Run when a condition fails.
        otherwise: Vec<KvOperation>,
    },
    /// Creates a lease.
    Grant {
        /// Time to live.
        ttl_ms: DurationMs,
    },
    /// Renews a lease.
    KeepAlive {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease and deletes its keys.
    Revoke {
        /// The lease.
        lease: u64,
    },
    /// Watches a prefix from a store revision on; answers arrive as [`KvOutcome::Watched`].
    Watch {
        /// The prefix.
        prefix: CompactString,
        /// The first store revision to report.
        from_store_revision: u64,
    },
    /// Ends the watch that was started under this call id.
    Unwatch,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvPair {
    /// The key.
    pub key: CompactString,
    /// The value.
    pub value: Bytes,
    /// Store revision at which the key was created.
    pub create_revision: u64,
    /// Store revision of the last modification.
    pub modify_revision: u64,
}

/// A successful answer of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvReply {
    /// Answer to a transaction.
    Transaction {
        /// Whether the conditions held.
        succeeded: bool,
        /// Store revision after the transaction.
        store_revision: u64,
        /// One list of pairs for each operation that was run; empty for writes.
        results: Vec<Vec<KvPair>>,
    },
    /// A lease was created or renewed.
    Lease {
        /// The lease.
        lease: u64,
        /// Time to live; zero if the lease has lapsed.
        ttl_ms: DurationMs,
    },
    /// The call took effect and has no result.
    Done,
}

/// A failed call to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvFault {
    /// The call certainly had no effect.
    NotSent,
    /// The answer was lost or late; the call may have had its effect.
    OutcomeUnknown,
    /// The service refused the call.
    Rejected,
    /// A watch was cut or its start revision was compacted away.
    WatchLost,
}

/// What came back for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvOutcome {
    /// The call succeeded.
    Reply(KvReply),
    /// The call failed.
    Fault(KvFault),
    /// A watch reports changed keys; deleted keys have no value.
    Watched {
        /// Store revision of the newest reported change.
        store_revision: u64,
        /// Written keys.
        written: Vec<KvPair>,
        /// Deleted keys.
        deleted: Vec<CompactString>,
    },
}
