//! Reads and watches of the configuration in the key-value service, and its exchange with agents.
//!
//! Entries that watch apply change records as they are written. When a change is missing or a
//! watch fails, the whole configuration is read again.

use crate::configuration::ConfigurationError;
use crate::configuration::stored::StoredConfiguration;
use crate::configuration::stored::decode_change;
use crate::configuration::stored::decode_head;
use crate::entry::Entry;
use crate::entry::KvPurpose;
use crate::entry::effect::EntryEffect;
use crate::id::KvCallId;
use crate::message::ConfigUpdate;
use crate::message::EntryMessage;
use crate::observation::Observation;
use crate::store::keys;
use crate::store::kv_call::KvCall;
use crate::store::kv_call::KvOperation;
use crate::store::kv_call::KvOutcome;
use crate::store::kv_call::KvReply;
use crate::time::TimeMs;

impl Entry {
    pub(crate) fn tick_configuration(&mut self, now: TimeMs) {
        self.pull_configuration(now);
        self.send_notices(now);
        if self.draining {
            return;
        }
        if !self.watch.is_watcher {
            self.end_watch();
        }
        let loading = self.kv_calls.values().any(|known| *known == KvPurpose::LoadConfiguration);
        if !loading && self.watch.is_load_due(now) {
            self.end_watch();
            self.call_kv(KvPurpose::LoadConfiguration, StoredConfiguration::read_call());
        } else if self.watch.start_poll_if_due(now, &mut self.rng) {
            self.poll_head();
        }
    }

    fn poll_head(&mut self) {
        let operation = KvCall::Transaction {
            compares: Vec::new(),
            then: vec![KvOperation::Get { key: keys::HEAD.into() }],
            otherwise: Vec::new(),
        };
        self.call_kv(KvPurpose::PollHead, operation);
    }

    fn watch_call(&self) -> Option<KvCallId> {
        let watch = self.kv_calls.iter().find(|(_, known)| **known == KvPurpose::WatchChanges);
        watch.map(|(call, _)| *call)
    }

    /// Ends the watch, if there is one. `Unwatch` carries the call id of the watch; its reply
    /// arrives under that id and is ignored.
    fn end_watch(&mut self) {
        if let Some(call) = self.watch_call() {
            self.kv_calls.remove(&call);
            self.push(EntryEffect::Kv { call, operation: KvCall::Unwatch });
        }
    }

    pub(crate) fn on_configuration_loaded(&mut self, outcome: KvOutcome, now: TimeMs) {
        let KvOutcome::Reply(KvReply::Transaction { store_revision, results, .. }) = outcome else {
            self.watch.record_failure(now, &mut self.rng);
            self.record(Observation::KvUnavailable);
            return;
        };
        self.watch.record_load();
        if let Ok(stored) = StoredConfiguration::decode(&results) {
            let configuration = Box::new(stored.configuration);
            self.on_config_update(ConfigUpdate::Snapshot(configuration), now);
        } else {
            self.record(Observation::ConfigurationRefused { revision: self.revision() });
        }
        if self.watch.is_watcher && self.watch_call().is_none() {
            let operation = KvCall::Watch {
                prefix: keys::CHANGES_PREFIX.into(),
                from_store_revision: store_revision + 1,
            };
            self.call_kv(KvPurpose::WatchChanges, operation);
        }
    }

    pub(crate) fn on_changes(&mut self, outcome: KvOutcome, now: TimeMs) {
        let KvOutcome::Watched { written, .. } = outcome else {
            self.watch.load_pending = true;
            self.watch.record_failure(now, &mut self.rng);
            return;
        };
        let records = written.iter().filter_map(|pair| decode_change(pair).ok()).collect();
        self.on_config_update(ConfigUpdate::Deltas(records), now);
    }

    pub(crate) fn on_head_read(&mut self, outcome: &KvOutcome) {
        let KvOutcome::Reply(KvReply::Transaction { results, .. }) = outcome else {
            self.record(Observation::KvUnavailable);
            return;
        };
        let head = results.first().and_then(|pairs| pairs.first());
        let head = head.and_then(|pair| decode_head(pair).ok());
        if head.is_some_and(|head| head.revision > self.revision()) {
            self.watch.load_pending = true;
        }
    }

    pub(crate) fn on_config_update(&mut self, update: ConfigUpdate, now: TimeMs) {
        self.pull.update_received();
        let before = self.revision();
        let models = self.config.current().models.clone();
        let result = self.config.apply(update);
        let revision = self.revision();
        if self.config.current().models != models {
            self.on_models_changed();
        }
        if revision > before {
            self.record(Observation::RevisionInForce { revision });
            self.pull.schedule_notice(now);
            self.send_notices(now);
        }
        match result {
            Ok(_) => {}
            // A change in between was missed, so the whole configuration must be read.
            Err(ConfigurationError::NonConsecutiveRevision { .. }) => {
                self.watch.load_pending = true;
            }
            Err(_) => self.record(Observation::ConfigurationRefused { revision }),
        }
    }

    pub(crate) fn pull_configuration(&mut self, now: TimeMs) {
        let current = self.revision();
        if let Some(agent) = self.pull.next_peer(current, now, &mut self.rng) {
            self.send(&agent, EntryMessage::ConfigPull { current });
        }
    }

    fn send_notices(&mut self, now: TimeMs) {
        let revision = self.revision();
        for agent in self.pull.due_notices(revision, now) {
            self.send(&agent, EntryMessage::ConfigNotice { revision });
        }
    }
}
