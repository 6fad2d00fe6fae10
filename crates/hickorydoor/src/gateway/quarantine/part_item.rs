//! What the store keeps about prompt parts, so that it outlasts all gateways.

use std::fmt;

use compact_str::CompactString;
use compact_str::format_compact;
use xxhash_rust::xxh3::Xxh3Default;

use crate::gateway::quarantine::engine_end::EngineEnd;
use crate::gateway::quarantine::quarantine_record::QuarantineRecord;
use crate::gateway::store_position::StorePosition;
use crate::time::DurationMs;

/// Key of an item, without the prefix of all items. It is derived from the subject of the item, so
/// that all gateways use the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartItemKey(CompactString);

impl PartItemKey {
    /// Returns the key of an end of an engine.
    pub fn of_end(end: &EngineEnd) -> Self {
        let mut hash = Xxh3Default::new();
        hash.update(end.service.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(end.upstream.as_str().as_bytes());
        hash.update(&end.started_unix_ms.to_le_bytes());
        Self(format_compact!("end-{:016x}", hash.digest()))
    }

    /// Returns the key of a record.
    pub fn of_record(record: &QuarantineRecord) -> Self {
        let mut hash = Xxh3Default::new();
        hash.update(record.service.as_str().as_bytes());
        hash.update(&[0]);
        for part in &record.parts {
            hash.update(&part.get().to_le_bytes());
        }
        Self(format_compact!("record-{:016x}", hash.digest()))
    }

    /// Takes the text form of a key, which need not be one that a gateway of this version derives.
    pub const fn new(key: CompactString) -> Self {
        Self(key)
    }

    /// Returns the text form.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for PartItemKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A fact about prompt parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartItem {
    /// An engine has ended.
    End {
        /// The end, with the parts that may have caused it.
        end: EngineEnd,
        /// Time since the end when this was written. The time since then is not known.
        age_ms: DurationMs,
    },
    /// Parts are quarantined, on probation or released.
    Record {
        /// The record.
        record: QuarantineRecord,
        /// Time for which it applied when this was written.
        left_ms: DurationMs,
    },
}

impl PartItem {
    /// Returns the key under which the item is stored.
    pub fn key(&self) -> PartItemKey {
        match self {
            Self::End { end, .. } => PartItemKey::of_end(end),
            Self::Record { record, .. } => PartItemKey::of_record(record),
        }
    }
}

/// An item in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredPartItem {
    /// Its key.
    pub key: PartItemKey,
    /// What it says; `None` if it cannot be read.
    pub item: Option<PartItem>,
    /// Position of its last change.
    pub position: StorePosition,
}

/// A change of an item that is to be made in the store, if nobody has changed the item meanwhile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartWrite {
    /// Key of the item.
    pub key: PartItemKey,
    /// What to write; `None` to remove the item.
    pub item: Option<PartItem>,
    /// Position of the change that is replaced; revision 0 if there is no such item.
    pub replaces: StorePosition,
    /// Time after which the store drops the item.
    pub ttl_ms: DurationMs,
}
