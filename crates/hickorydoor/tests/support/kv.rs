//! An in-memory key-value service with revisions, leases and the log of writes that watches need.

use std::collections::BTreeMap;

use compact_str::CompactString;
use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvCompare;
use hickorydoor::store::kv_call::KvOperation;
use hickorydoor::store::kv_call::KvPair;
use hickorydoor::store::kv_call::KvReply;

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: DurationMs,
    ends_at_ms: TimeMs,
}

#[derive(Clone, Debug, Default)]
pub struct FakeKv {
    pub pairs: BTreeMap<CompactString, KvPair>,
    pub revision: u64,
    /// Number of transactions with writes and of lease calls.
    pub writes: u64,
    /// Number of transactions without writes.
    pub reads: u64,
    leases: BTreeMap<u64, Lease>,
    lease_by_key: BTreeMap<CompactString, u64>,
    /// All written pairs with their store revisions.
    write_log: Vec<(u64, KvPair)>,
}

impl FakeKv {
    /// Executes a call. Returns `None` for watches, which the caller has to simulate.
    pub fn run(&mut self, call: &KvCall, now: TimeMs) -> Option<KvReply> {
        self.expire(now);
        match call {
            KvCall::Transaction { compares, then, otherwise } => {
                let succeeded = compares.iter().all(|compare| self.is_satisfied(compare));
                let operations = if succeeded { then } else { otherwise };
                Some(self.execute_transaction(succeeded, operations))
            }
            KvCall::Grant { ttl_ms } => {
                self.writes += 1;
                self.revision += 1;
                let lease = self.revision;
                self.leases.insert(lease, Lease { ttl_ms: *ttl_ms, ends_at_ms: now + *ttl_ms });
                Some(KvReply::Lease { lease, ttl_ms: *ttl_ms })
            }
            KvCall::KeepAlive { lease } => {
                self.writes += 1;
                let ttl_ms = self.leases.get_mut(lease).map_or(DurationMs::new(0), |known| {
                    known.ends_at_ms = now + known.ttl_ms;
                    known.ttl_ms
                });
                Some(KvReply::Lease { lease: *lease, ttl_ms })
            }
            KvCall::Revoke { lease } => {
                self.writes += 1;
                self.end_lease(*lease);
                Some(KvReply::Done)
            }
            KvCall::Watch { .. } | KvCall::Unwatch => None,
        }
    }

    /// Returns the pairs under a prefix that were written at or after a store revision.
    pub fn written_since(&self, prefix: &str, revision: u64) -> Vec<KvPair> {
        let newer = self.write_log.iter().filter(|(at, _)| *at >= revision);
        newer.filter(|(_, pair)| pair.key.starts_with(prefix)).map(|(_, p)| p.clone()).collect()
    }

    /// Returns the current pairs under a prefix.
    pub fn list(&self, prefix: &str) -> Vec<KvPair> {
        let matching = self.pairs.iter().filter(|(key, _)| key.starts_with(prefix));
        matching.map(|(_, pair)| pair.clone()).collect()
    }

    /// Ends the leases whose time to live has passed, and deletes their keys.
    pub fn expire(&mut self, now: TimeMs) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.ends_at_ms)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<CompactString> = self
            .lease_by_key
            .iter()
            .filter(|(_, owner)| **owner == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.lease_by_key.remove(&key);
            self.pairs.remove(&key);
        }
    }

    fn is_satisfied(&self, compare: &KvCompare) -> bool {
        match compare {
            KvCompare::Absent { key } => !self.pairs.contains_key(key),
            KvCompare::Present { key } => self.pairs.contains_key(key),
            KvCompare::ModifiedAt { key, store_revision } => {
                self.pairs.get(key).is_some_and(|pair| pair.modify_revision == *store_revision)
            }
        }
    }

    fn execute_transaction(&mut self, succeeded: bool, operations: &[KvOperation]) -> KvReply {
        let is_write = |operation: &KvOperation| {
            matches!(operation, KvOperation::Put { .. } | KvOperation::Delete { .. })
        };
        let writes = operations.iter().any(is_write);
        self.revision += u64::from(writes);
        self.writes += u64::from(writes);
        self.reads += u64::from(!writes);
        let results =
            operations.iter().map(|operation| self.execute_operation(operation)).collect();
        KvReply::Transaction { succeeded, store_revision: self.revision, results }
    }

    fn execute_operation(&mut self, operation: &KvOperation) -> Vec<KvPair> {
        match operation {
            KvOperation::Put { key, value, lease } => {
                assert!(value.len() <= 1_000_000, "value of {key} is larger than 1 MB");
                let create_revision =
                    self.pairs.get(key).map_or(self.revision, |pair| pair.create_revision);
                let pair = KvPair {
                    key: key.clone(),
                    value: value.clone(),
                    create_revision,
                    modify_revision: self.revision,
                };
                self.write_log.push((self.revision, pair.clone()));
                self.pairs.insert(key.clone(), pair);
                self.lease_by_key.remove(key);
                if let Some(lease) = lease {
                    self.lease_by_key.insert(key.clone(), *lease);
                }
                Vec::new()
            }
            KvOperation::Delete { key } => {
                self.pairs.remove(key);
                self.lease_by_key.remove(key);
                Vec::new()
            }
            KvOperation::Get { key } => self.pairs.get(key).cloned().into_iter().collect(),
            KvOperation::List { prefix, limit } => {
                let mut found = self.list(prefix);
                if *limit > 0 {
                    found.truncate(*limit as usize);
                }
                found
            }
        }
    }
}
