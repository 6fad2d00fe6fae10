//! How an entry keeps its configuration and its links to agents.

use crate::entry::Entry;
use crate::entry::KvPurpose;
use crate::entry_effect::EntryEffect;
use crate::host_record::HostRecord;
use crate::id::HostId;
use crate::id::KvCallId;
use crate::id::Revision;
use crate::kv_call::KvOutcome;
use crate::load_report::LoadReport;
use crate::message::AgentHello;
use crate::message::EntryHello;
use crate::message::EntryMessage;
use crate::observation::Observation;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// First pause before a lost link is opened again; it doubles up to [`MAX_CONNECT_PAUSE_MS`].
const CONNECT_PAUSE_MS: u64 = 100;
const MAX_CONNECT_PAUSE_MS: u64 = 5_000;

impl Entry {
    pub(crate) fn on_kv(&mut self, call: KvCallId, outcome: KvOutcome, now: TimeMs) {
        let Some(purpose) = self.kv_calls.get(&call).copied() else {
            return;
        };
        let watching = matches!(outcome, KvOutcome::Watched { .. });
        if !watching {
            self.kv_calls.remove(&call);
        }
        match purpose {
            KvPurpose::LoadConfiguration => self.on_configuration_loaded(outcome, now),
            KvPurpose::WatchChanges => self.on_changes(outcome, now),
            KvPurpose::PollHead => self.on_head_read(&outcome),
            KvPurpose::LookAtRolloutLease => self.on_lease_looked_at(&outcome),
            KvPurpose::GrantRolloutLease => self.on_lease_granted(&outcome, now),
            KvPurpose::ClaimRolloutLease => self.on_lease_claimed(&outcome),
            KvPurpose::KeepRolloutLease => self.on_lease_kept(&outcome),
            KvPurpose::ReadForHalt => self.on_read_for_halt(outcome, now),
            KvPurpose::WriteHalt => self.on_halt_written(&outcome),
            KvPurpose::StoreBatch { incarnation } => {
                self.on_batch_stored(incarnation, outcome, now);
            }
        }
    }

    pub(crate) fn on_peer_revision(&mut self, agent: &HostId, revision: Revision, now: TimeMs) {
        self.pull.note(agent, revision);
        self.pull_configuration(now);
    }

    pub(crate) fn on_config_pull(&mut self, agent: &HostId, have: Revision) {
        if let Some(update) = self.config.updates_since(have) {
            self.send(agent, EntryMessage::ConfigUpdate(update));
        }
    }

    pub(crate) fn on_host_list(&mut self, records: Vec<HostRecord>, now: TimeMs) {
        let own = &self.settings;
        self.watch.elect(&own.host, &own.data_centre, &records);
        self.members.apply_list(records);
        self.tick_links(now);
    }

    pub(crate) fn tick_links(&mut self, now: TimeMs) {
        let mut open =
            self.members.iter().filter(|(_, member)| member.connected || member.connecting).count();
        let mut connects = Vec::new();
        for (agent, member) in self.members.iter_mut() {
            let Some(record) = &member.record else {
                continue;
            };
            let idle = !member.connected && !member.connecting && !member.draining;
            if idle && now >= member.next_connect_at_ms && open < self.settings.max_links {
                member.connecting = true;
                open += 1;
                connects.push((agent.clone(), record.address));
            }
        }
        for (agent, address) in connects {
            self.push(EntryEffect::Connect { agent, address });
        }
        if now >= self.next_heartbeat_at_ms {
            self.next_heartbeat_at_ms = now + self.settings.heartbeat_interval_ms;
            self.send_heartbeats();
        }
    }

    fn send_heartbeats(&mut self) {
        let revision = self.revision();
        for agent in self.linked_agents() {
            self.send(&agent, EntryMessage::Heartbeat { revision });
        }
    }

    pub(crate) fn on_link_up(&mut self, agent: &HostId) {
        let Some(member) = self.members.get_mut(agent) else {
            self.push(EntryEffect::Disconnect { agent: agent.clone() });
            return;
        };
        member.connected = true;
        member.connecting = false;
        member.failed_connects = 0;
        self.send_hello(agent);
    }

    pub(crate) fn send_hello(&mut self, agent: &HostId) {
        let hello = EntryHello {
            entry: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            data_centre: self.settings.data_centre.clone(),
            revision: self.revision(),
        };
        self.send(agent, EntryMessage::Hello(hello));
    }

    /// Agents with an open link.
    pub(crate) fn linked_agents(&self) -> Vec<HostId> {
        let linked = self.members.iter().filter(|(_, member)| member.connected);
        linked.map(|(agent, _)| agent.clone()).collect()
    }

    pub(crate) fn on_link_down(&mut self, agent: &HostId, now: TimeMs) {
        if let Some(member) = self.members.get_mut(agent) {
            let was_connected = member.connected;
            member.connected = false;
            // The next life of the agent must say hello before it gets work.
            member.hello = None;
            member.draining = false;
            member.connecting = false;
            member.failed_connects += u32::from(!was_connected);
            let pause_ms = CONNECT_PAUSE_MS << member.failed_connects.min(6);
            member.next_connect_at_ms = now + DurationMs::new(pause_ms.min(MAX_CONNECT_PAUSE_MS));
            if was_connected {
                self.record(Observation::AgentUsable { agent: agent.clone(), usable: false });
            }
        }
        self.pull.forget(agent);
        self.lose_attempts_on(agent, now);
    }

    pub(crate) fn on_hello(&mut self, agent: &HostId, hello: AgentHello, now: TimeMs) {
        let incarnation = hello.incarnation;
        if self.members.get(agent).is_some_and(|member| incarnation < member.incarnation) {
            // A late hello of an earlier life.
            return;
        }
        let revision = hello.revision;
        let usable = !hello.draining;
        self.members.apply_hello(agent, hello, now);
        self.record(Observation::AgentUsable { agent: agent.clone(), usable });
        self.on_peer_revision(agent, revision, now);
        self.resume_attempts(agent, incarnation, now);
        self.send_settlement(agent, Vec::new());
    }

    pub(crate) fn on_load(&mut self, agent: &HostId, report: LoadReport, now: TimeMs) {
        let revision = report.revision;
        if let Some(member) = self.members.get_mut(agent) {
            member.load = report;
            member.load_received_at_ms = now;
        }
        self.on_peer_revision(agent, revision, now);
    }

    pub(crate) fn on_draining(&mut self, agent: &HostId) {
        if let Some(member) = self.members.get_mut(agent) {
            member.draining = true;
            self.record(Observation::AgentUsable { agent: agent.clone(), usable: false });
        }
    }
}
