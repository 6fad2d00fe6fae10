//! In-memory key-value service of the test fleet, with transactions, leases and watches.

use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::CompactString;
use hickorydoor::Configuration;
use hickorydoor::DurationMs;
use hickorydoor::EntryEvent;
use hickorydoor::TimeMs;
use hickorydoor::configuration::change::ChangeRecord;
use hickorydoor::configuration::change::Operation;
use hickorydoor::configuration::head::Head;
use hickorydoor::configuration::item::Item;
use hickorydoor::configuration::raw::RawChangeRecord;
use hickorydoor::configuration::raw::RawItem;
use hickorydoor::id::KvCallId;
use hickorydoor::quantity::Share;
use hickorydoor::store::keys;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvCompare;
use hickorydoor::store::kv_call::KvFault;
use hickorydoor::store::kv_call::KvOperation;
use hickorydoor::store::kv_call::KvOutcome;
use hickorydoor::store::kv_call::KvPair;
use hickorydoor::store::kv_call::KvReply;

type Events = Vec<(usize, EntryEvent)>;

#[derive(Default)]
pub struct Store {
    /// While set, every call fails without effect.
    pub down: bool,
    /// If set, the next transaction that writes takes effect but its reply is lost. That transaction
    /// clears the flag.
    pub lose_next_reply: bool,
    /// Number of calls, including failed ones.
    pub calls: u64,
    pairs: BTreeMap<CompactString, (KvPair, Option<u64>)>,
    revision: u64,
    watches: Vec<(usize, KvCallId, CompactString)>,
    leases: BTreeMap<u64, (TimeMs, DurationMs)>,
    changes: u64,
}

impl Store {
    pub fn put_configuration(&mut self, configuration: &Configuration) {
        for item in configuration.items() {
            self.put_item(&item);
        }
        self.put_head("initial");
    }

    fn put_item(&mut self, item: &Item) {
        let value = serde_json::to_vec(&RawItem::from(item)).expect("the item encodes");
        self.put(keys::item(&item.key()), value.into(), None);
    }

    fn put_head(&mut self, change: &str) {
        let revision = self.head_revision().next();
        let head = Head { revision, change: change.parse().expect("the id is valid") };
        let value = serde_json::to_vec(&head).expect("the head encodes");
        self.put(keys::HEAD.into(), value.into(), None);
    }

    fn head_revision(&self) -> hickorydoor::id::Revision {
        let head = self.pairs.get(keys::HEAD);
        let head = head.map(|(pair, _)| serde_json::from_slice(&pair.value));
        head.map_or_else(Default::default, |head: Result<Head, _>| head.expect("valid").revision)
    }

    /// Returns the stored change records, oldest first.
    pub fn records(&self) -> Vec<ChangeRecord> {
        let pairs = self.pairs.iter().filter(|(key, _)| key.starts_with(keys::CHANGES_PREFIX));
        let decode = |(_, (pair, _)): (_, &(KvPair, Option<u64>))| {
            let raw: RawChangeRecord = serde_json::from_slice(&pair.value).expect("valid");
            ChangeRecord::try_from(raw).expect("the record is valid")
        };
        pairs.map(decode).collect()
    }

    /// Returns the keys with this prefix.
    pub fn keys_under(&self, prefix: &str) -> Vec<String> {
        self.pairs.keys().filter(|key| key.starts_with(prefix)).map(ToString::to_string).collect()
    }

    /// Changes the state of one version, as an operator would. Returns the resulting watch events;
    /// there are none while the store is down.
    pub fn set_version(&mut self, version: &str, state: &str, share: Option<f64>) -> Events {
        let prefix = format!("{}model/", keys::CONFIG_PREFIX);
        let models = self.pairs.iter().filter(|(key, _)| key.starts_with(prefix.as_str()));
        let mut models = models.map(|(_, (pair, _))| {
            let raw: RawItem = serde_json::from_slice(&pair.value).expect("the item is valid");
            Item::try_from(raw).expect("the item is valid")
        });
        let item = models.find_map(|item| match item {
            Item::Model(model) if model.versions.iter().any(|v| v.id.as_str() == version) => {
                Some(model)
            }
            _ => None,
        });
        let mut model = item.expect("a model declares the version");
        for known in &mut model.versions {
            if known.id.as_str() == version {
                known.state = state.parse().expect("the state is known");
                known.canary_share =
                    Share::try_from(share.unwrap_or_default()).expect("the share is valid");
            }
        }
        self.changes += 1;
        let change = format!("change-{}", self.changes);
        let record = ChangeRecord {
            revision: self.head_revision().next(),
            change: change.parse().expect("the id is valid"),
            operator: "operator-1".parse().expect("the id is valid"),
            reason: "test".into(),
            made_at_ms: TimeMs::new(0),
            operations: vec![Operation::Put(Item::Model(model.clone()))],
        };
        self.revision += 1;
        self.put_item(&Item::Model(model));
        self.put_head(&change);
        let value = serde_json::to_vec(&RawChangeRecord::from(&record)).expect("encodes");
        let pair = self.put(keys::change(record.revision), value.into(), None);
        if self.down { Vec::new() } else { self.watch_events(&[pair]) }
    }

    fn put(&mut self, key: CompactString, value: Bytes, lease: Option<u64>) -> KvPair {
        let create_revision =
            self.pairs.get(&key).map_or(self.revision, |(pair, _)| pair.create_revision);
        let modify_revision = self.revision;
        let pair = KvPair { key: key.clone(), value, create_revision, modify_revision };
        self.pairs.insert(key, (pair.clone(), lease));
        pair
    }

    fn watch_events(&self, written: &[KvPair]) -> Events {
        let mut events = Vec::new();
        for (entry, call, prefix) in &self.watches {
            let written: Vec<KvPair> =
                written.iter().filter(|p| p.key.starts_with(prefix.as_str())).cloned().collect();
            if !written.is_empty() {
                let store_revision = self.revision;
                let outcome = KvOutcome::Watched { store_revision, written, deleted: Vec::new() };
                events.push((*entry, EntryEvent::Kv { call: *call, outcome }));
            }
        }
        events
    }

    pub fn remove_watches(&mut self, entry: usize) {
        self.watches.retain(|(watcher, _, _)| *watcher != entry);
    }

    /// Interrupts all watches, as an outage does, and returns the resulting events.
    pub fn interrupt_watches(&mut self) -> Events {
        let interrupt = |(entry, call, _)| {
            let outcome = KvOutcome::Fault(KvFault::WatchLost);
            (entry, EntryEvent::Kv { call, outcome })
        };
        std::mem::take(&mut self.watches).into_iter().map(interrupt).collect()
    }

    /// Removes leases that have expired, together with their keys.
    pub fn expire(&mut self, now: TimeMs) {
        self.leases.retain(|_, (expires_at, _)| now < *expires_at);
        let leases = &self.leases;
        self.pairs.retain(|_, (_, lease)| lease.is_none_or(|lease| leases.contains_key(&lease)));
    }

    pub fn call(&mut self, entry: usize, call: KvCallId, operation: KvCall, now: TimeMs) -> Events {
        self.calls += 1;
        if self.down {
            let outcome = KvOutcome::Fault(KvFault::NotSent);
            return vec![(entry, EntryEvent::Kv { call, outcome })];
        }
        let mut events = Vec::new();
        let reply = match operation {
            KvCall::Watch { prefix, .. } => {
                self.watches.push((entry, call, prefix));
                return events;
            }
            KvCall::Transaction { compares, then, otherwise } => {
                let succeeded = compares.iter().all(|compare| self.is_satisfied(compare));
                let operations = if succeeded { then } else { otherwise };
                let (results, written) = self.execute(operations);
                events = self.watch_events(&written);
                if self.lose_next_reply && !written.is_empty() {
                    self.lose_next_reply = false;
                    let outcome = KvOutcome::Fault(KvFault::OutcomeUnknown);
                    events.push((entry, EntryEvent::Kv { call, outcome }));
                    return events;
                }
                let store_revision = self.revision;
                KvReply::Transaction { succeeded, store_revision, results }
            }
            KvCall::Grant { ttl_ms } => {
                self.revision += 1;
                let lease = self.revision;
                self.leases.insert(lease, (now + ttl_ms, ttl_ms));
                KvReply::Lease { lease, ttl_ms }
            }
            KvCall::KeepAlive { lease } => match self.leases.get_mut(&lease) {
                Some((expires_at, ttl_ms)) => {
                    *expires_at = now + *ttl_ms;
                    KvReply::Lease { lease, ttl_ms: *ttl_ms }
                }
                None => KvReply::Lease { lease, ttl_ms: DurationMs::default() },
            },
            KvCall::Revoke { lease } => {
                self.leases.remove(&lease);
                self.expire(now);
                KvReply::Done
            }
            KvCall::Unwatch => KvReply::Done,
        };
        events.push((entry, EntryEvent::Kv { call, outcome: KvOutcome::Reply(reply) }));
        events
    }

    fn is_satisfied(&self, compare: &KvCompare) -> bool {
        match compare {
            KvCompare::Absent { key } => !self.pairs.contains_key(key),
            KvCompare::Present { key } => self.pairs.contains_key(key),
            KvCompare::ModifiedAt { key, store_revision } => {
                let known = self.pairs.get(key);
                known.is_some_and(|(pair, _)| pair.modify_revision == *store_revision)
            }
        }
    }

    fn execute(&mut self, operations: Vec<KvOperation>) -> (Vec<Vec<KvPair>>, Vec<KvPair>) {
        let mut written = Vec::new();
        let mut results = Vec::new();
        self.revision += 1;
        for operation in operations {
            results.push(match operation {
                KvOperation::Put { key, value, lease } => {
                    written.push(self.put(key, value, lease));
                    Vec::new()
                }
                KvOperation::Delete { key } => {
                    self.pairs.remove(&key);
                    Vec::new()
                }
                KvOperation::Get { key } => {
                    self.pairs.get(&key).map(|(pair, _)| pair.clone()).into_iter().collect()
                }
                KvOperation::List { prefix, .. } => {
                    let under = self.pairs.iter().filter(|(k, _)| k.starts_with(prefix.as_str()));
                    under.map(|(_, (pair, _))| pair.clone()).collect()
                }
            });
        }
        (results, written)
    }
}
