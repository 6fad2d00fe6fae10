//! Key-value calls and watches of the simulated processes, with outages and lost replies.

use hickorydoor::AgentEvent;
use hickorydoor::EntryEvent;
use hickorydoor::id::KvCallId;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvFault;
use hickorydoor::store::kv_call::KvOutcome;
use rand::RngExt;

use super::fleet::Fleet;
use super::fleet::FleetEvent;
use super::fleet::ProcessId;
use super::fleet::Watch;

impl Fleet {
    /// Executes a call of a process and schedules its outcome.
    pub fn on_kv_call(
        &mut self,
        process: ProcessId,
        incarnation: u64,
        call: KvCallId,
        operation: KvCall,
    ) {
        let delay_ms = self.rng.random_range(1..5);
        if self.now_ms < self.kv_down_until_ms {
            let was_sent = self.rng.random_bool(0.5);
            let fault = if was_sent { KvFault::OutcomeUnknown } else { KvFault::NotSent };
            self.schedule_outcome(
                delay_ms + 500,
                process,
                incarnation,
                call,
                KvOutcome::Fault(fault),
            );
            return;
        }
        if let KvCall::Watch { prefix, from_store_revision } = operation {
            let prefix = prefix.to_string();
            let watch =
                Watch { process, incarnation, call, prefix, next_revision: from_store_revision };
            self.watches.push(watch);
            self.notify_watches();
            return;
        }
        if operation == KvCall::Unwatch {
            self.watches.retain(|watch| {
                (watch.process, watch.incarnation, watch.call) != (process, incarnation, call)
            });
            return;
        }
        let now = self.now();
        let Some(reply) = self.kv.run(&operation, now) else {
            return;
        };
        let lost = self.now_ms < self.kv_loses_replies_until_ms && self.rng.random_bool(0.5);
        let outcome =
            if lost { KvOutcome::Fault(KvFault::OutcomeUnknown) } else { KvOutcome::Reply(reply) };
        self.schedule_outcome(
            delay_ms + if lost { 500 } else { 0 },
            process,
            incarnation,
            call,
            outcome,
        );
        self.notify_watches();
    }

    /// Schedules the outcome of a call.
    pub fn schedule_outcome(
        &mut self,
        delay_ms: u64,
        process: ProcessId,
        incarnation: u64,
        call: KvCallId,
        outcome: KvOutcome,
    ) {
        let event = match process {
            ProcessId::Entry(index) => {
                FleetEvent::Entry(index, incarnation, Box::new(EntryEvent::Kv { call, outcome }))
            }
            ProcessId::Agent(index) => {
                FleetEvent::Agent(index, incarnation, Box::new(AgentEvent::Kv { call, outcome }))
            }
        };
        self.schedule(delay_ms, event);
    }

    /// Sends the writes since the last notification to all watches.
    pub fn notify_watches(&mut self) {
        let store_revision = self.kv.revision;
        let mut updates = Vec::new();
        for watch in &mut self.watches {
            let written = self.kv.written_since(&watch.prefix, watch.next_revision);
            watch.next_revision = store_revision + 1;
            if !written.is_empty() {
                let outcome = KvOutcome::Watched { store_revision, written, deleted: Vec::new() };
                updates.push((watch.process, watch.incarnation, watch.call, outcome));
            }
        }
        for (process, incarnation, call, outcome) in updates {
            self.schedule_outcome(5, process, incarnation, call, outcome);
        }
    }

    /// Ends all watches with a fault.
    pub fn cut_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let outcome = KvOutcome::Fault(KvFault::WatchLost);
            self.schedule_outcome(1, watch.process, watch.incarnation, watch.call, outcome);
        }
    }

    /// Returns the running entries with an open watch, in ascending order.
    pub fn watchers(&self) -> Vec<usize> {
        let running_entry = |watch: &Watch| match watch.process {
            ProcessId::Entry(index) if self.entries[index].incarnation == watch.incarnation => {
                Some(index)
            }
            _ => None,
        };
        let mut watchers: Vec<usize> = self.watches.iter().filter_map(running_entry).collect();
        watchers.sort_unstable();
        watchers
    }

    /// Returns the number of open watches of running processes.
    pub fn watch_count(&self) -> usize {
        let is_running = |watch: &&Watch| match watch.process {
            ProcessId::Entry(index) => self.entries[index].incarnation == watch.incarnation,
            ProcessId::Agent(index) => self.agents[index].incarnation == watch.incarnation,
        };
        self.watches.iter().filter(is_running).count()
    }
}
