//! Handlers for key-value replies and for what agents report about themselves.
//!
//! Replies of the key-value service are routed by the purpose of the call. Agents report their
//! configuration revision, incarnation, load and draining state.

use crate::entry::Entry;
use crate::entry::KvPurpose;
use crate::id::HostId;
use crate::id::KvCallId;
use crate::id::Revision;
use crate::load_report::LoadReport;
use crate::message::AgentHello;
use crate::message::EntryMessage;
use crate::observation::Observation;
use crate::store::kv_call::KvOutcome;
use crate::time::TimeMs;

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
            KvPurpose::CheckRolloutLease => self.on_lease_checked(&outcome),
            KvPurpose::GrantRolloutLease => self.on_lease_granted(&outcome, now),
            KvPurpose::AcquireRolloutLease => self.on_lease_acquired(&outcome),
            KvPurpose::RenewRolloutLease => self.on_lease_renewed(&outcome),
            KvPurpose::ReadForHalt => self.on_halt_state_read(outcome, now),
            KvPurpose::WriteHalt => self.on_halt_written(&outcome),
            KvPurpose::StoreBatch { incarnation } => {
                self.on_batch_stored(incarnation, outcome, now);
            }
        }
    }

    pub(crate) fn on_peer_revision(&mut self, agent: &HostId, revision: Revision, now: TimeMs) {
        if let Some(member) = self.members.get_mut(agent) {
            member.revision = revision.max(member.revision);
        }
        self.pull.record_revision(agent, revision);
        self.pull_configuration(now);
    }

    pub(crate) fn on_config_pull(&mut self, agent: &HostId, have: Revision) {
        if let Some(update) = self.config.updates_since(have) {
            self.send(agent, EntryMessage::ConfigUpdate(update));
        }
    }

    pub(crate) fn on_hello(&mut self, agent: &HostId, hello: AgentHello, now: TimeMs) {
        let incarnation = hello.incarnation;
        if self.members.get(agent).is_some_and(|member| incarnation < member.incarnation) {
            // A delayed hello of an earlier incarnation must not overwrite the newer state.
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
        if let Some(member) = self.members.get_mut(agent)
            && report.observed_at_ms >= member.load.observed_at_ms
        {
            // A duplicate drain notice may arrive after the agent has withdrawn it; the load report
            // corrects the state.
            member.draining = report.leaving;
        }
        self.members.apply_load(agent, report, now);
        self.capacity_freed = true;
        self.on_peer_revision(agent, revision, now);
    }

    pub(crate) fn on_draining(&mut self, agent: &HostId) {
        if let Some(member) = self.members.get_mut(agent) {
            member.draining = true;
            self.record(Observation::AgentUsable { agent: agent.clone(), usable: false });
        }
    }
}
