//! Calls of the fleet to the key-value service.

use hickorydoor::AgentEvent;
use hickorydoor::EntryEvent;
use hickorydoor::id::KvCallId;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvFault;
use hickorydoor::store::kv_call::KvOutcome;
use rand::RngExt;

use super::fleet::Fleet;
use super::fleet::Happening;
use super::fleet::ProcessId;
use super::fleet::Watch;

impl Fleet {
    pub fn kv_call(
        &mut self,
        node: ProcessId,
        incarnation: u64,
        call: KvCallId,
        operation: KvCall,
    ) {
        let answer_ms = self.rng.random_range(1..5);
        if self.now_ms < self.kv_down_until {
            let sent = self.rng.random_bool(0.5);
            let fault = if sent { KvFault::OutcomeUnknown } else { KvFault::NotSent };
            self.answer(answer_ms + 500, node, incarnation, call, KvOutcome::Fault(fault));
            return;
        }
        if let KvCall::Watch { prefix, from_store_revision } = operation {
            let prefix = prefix.to_string();
            let watch =
                Watch { node, incarnation, call, prefix, next_revision: from_store_revision };
            self.watches.push(watch);
            self.notify_watches();
            return;
        }
        if operation == KvCall::Unwatch {
            self.watches.retain(|watch| {
                (watch.node, watch.incarnation, watch.call) != (node, incarnation, call)
            });
            return;
        }
        let now = self.now();
        let Some(reply) = self.kv.run(&operation, now) else {
            return;
        };
        let lost = self.now_ms < self.kv_loses_until && self.rng.random_bool(0.5);
        let outcome =
            if lost { KvOutcome::Fault(KvFault::OutcomeUnknown) } else { KvOutcome::Reply(reply) };
        self.answer(answer_ms + if lost { 500 } else { 0 }, node, incarnation, call, outcome);
        self.notify_watches();
    }

    pub fn answer(
        &mut self,
        ms: u64,
        node: ProcessId,
        incarnation: u64,
        call: KvCallId,
        outcome: KvOutcome,
    ) {
        let happening = match node {
            ProcessId::Entry(index) => {
                Happening::Entry(index, incarnation, Box::new(EntryEvent::Kv { call, outcome }))
            }
            ProcessId::Agent(index) => {
                Happening::Agent(index, incarnation, Box::new(AgentEvent::Kv { call, outcome }))
            }
        };
        self.push(ms, happening);
    }

    pub fn notify_watches(&mut self) {
        let store_revision = self.kv.revision;
        let mut news = Vec::new();
        for watch in &mut self.watches {
            let written = self.kv.written_since(&watch.prefix, watch.next_revision);
            watch.next_revision = store_revision + 1;
            if !written.is_empty() {
                let outcome = KvOutcome::Watched { store_revision, written, deleted: Vec::new() };
                news.push((watch.node, watch.incarnation, watch.call, outcome));
            }
        }
        for (node, incarnation, call, outcome) in news {
            self.answer(5, node, incarnation, call, outcome);
        }
    }

    pub fn cut_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let outcome = KvOutcome::Fault(KvFault::WatchLost);
            self.answer(1, watch.node, watch.incarnation, watch.call, outcome);
        }
    }

    /// Entries with a pending watch, in order.
    pub fn watchers(&self) -> Vec<usize> {
        let live = |watch: &Watch| match watch.node {
            ProcessId::Entry(index) if self.entries[index].incarnation == watch.incarnation => {
                Some(index)
            }
            _ => None,
        };
        let mut watchers: Vec<usize> = self.watches.iter().filter_map(live).collect();
        watchers.sort_unstable();
        watchers
    }

    /// Watches that are pending for live processes.
    pub fn watch_count(&self) -> usize {
        let live = |watch: &&Watch| match watch.node {
            ProcessId::Entry(index) => self.entries[index].incarnation == watch.incarnation,
            ProcessId::Agent(index) => self.agents[index].incarnation == watch.incarnation,
        };
        self.watches.iter().filter(live).count()
    }
}
