//! An in-memory key-value service and a small test configuration.

#![allow(dead_code, reason = "tests and examples use a part of these helpers")]

use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::CompactString;
use hickorydoor::Configuration;
use hickorydoor::RawConfiguration;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvCompare;
use hickorydoor::store::kv_call::KvFault;
use hickorydoor::store::kv_call::KvOperation;
use hickorydoor::store::kv_call::KvOutcome;
use hickorydoor::store::kv_call::KvPair;
use hickorydoor::store::kv_call::KvReply;

#[derive(Debug, Default)]
pub struct MemoryKv {
    pairs: BTreeMap<CompactString, KvPair>,
    revision: u64,
}

impl MemoryKv {
    /// Executes a transaction; rejects all other calls.
    pub fn call(&mut self, call: &KvCall) -> KvOutcome {
        let KvCall::Transaction { compares, then, otherwise } = call else {
            return KvOutcome::Fault(KvFault::Rejected);
        };
        let succeeded = compares.iter().all(|compare| self.is_satisfied(compare));
        let operations = if succeeded { then } else { otherwise };
        self.revision += 1;
        let results = operations.iter().map(|operation| self.execute(operation)).collect();
        let store_revision = self.revision;
        KvOutcome::Reply(KvReply::Transaction { succeeded, store_revision, results })
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

    fn execute(&mut self, operation: &KvOperation) -> Vec<KvPair> {
        match operation {
            KvOperation::Put { key, value, .. } => self.put(key, value.clone()),
            KvOperation::Delete { key } => {
                self.pairs.remove(key);
            }
            KvOperation::Get { key } => return self.pairs.get(key).cloned().into_iter().collect(),
            KvOperation::List { prefix, .. } => return self.list(prefix),
        }
        Vec::new()
    }

    fn put(&mut self, key: &CompactString, value: Bytes) {
        let revision = self.revision;
        let create_revision = self.pairs.get(key).map_or(revision, |pair| pair.create_revision);
        let pair = KvPair { key: key.clone(), value, create_revision, modify_revision: revision };
        self.pairs.insert(key.clone(), pair);
    }

    /// Returns the pairs whose keys start with a prefix, in key order.
    pub fn list(&self, prefix: &str) -> Vec<KvPair> {
        self.pairs.values().filter(|pair| pair.key.starts_with(prefix)).cloned().collect()
    }
}

/// Returns a configuration with two models, two customers and three data centres.
pub fn configuration() -> Configuration {
    let text = "
models:
- id: brine
  prompt_cost_micros_per_1k_tokens: 100
  answer_cost_micros_per_1k_tokens: 300
  versions: [{id: brine-1, state: active}]
- id: chat
  prompt_cost_micros_per_1k_tokens: 10
  answer_cost_micros_per_1k_tokens: 30
  versions: [{id: chat-1, state: active}]
data_centres:
- {id: arauco-1, region: la-rioja}
- {id: san-blas-1, region: la-rioja}
- {id: famatina-1, region: la-rioja}
customers:
- {id: almazara, key_digests: [], models: [brine]}
- {id: bodega, key_digests: [], models: [brine, chat]}
";
    let raw = RawConfiguration::from_yaml(text).expect("the text is valid");
    Configuration::try_from(raw).expect("the configuration is valid")
}
