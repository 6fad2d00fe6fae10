//! Agents as an entry sees them.
//!
//! An agent is usable while its link is up, its hello has arrived, it is not draining, the
//! platform does not list it as leaving, and its data centre is in.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::configuration::Configuration;
use crate::entry::link_plan::LinkPlan;
use crate::host_record::HostRecord;
use crate::host_record::HostRole;
use crate::host_record::HostState;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::id::Serial;
use crate::id::ServiceName;
use crate::id::VersionId;
use crate::load_report::LoadReport;
use crate::message::AgentHello;
use crate::message::Offer;
use crate::quantity::Tokens;
use crate::time::TimeMs;

/// What an entry knows about one agent.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts about one link")]
pub struct Member {
    /// The platform's record, once listed.
    pub record: Option<HostRecord>,
    /// The agent's hello on the current link.
    pub hello: Option<AgentHello>,
    /// Whether a connection is open.
    pub connected: bool,
    /// Whether a connection is being opened.
    pub connecting: bool,
    /// When the next connection attempt may be made.
    pub next_connect_at_ms: TimeMs,
    /// Connection attempts that failed in a row.
    pub failed_connects: u32,
    /// Whether the agent said on the current link that it is leaving.
    pub draining: bool,
    /// The newest load report.
    pub load: LoadReport,
    /// When that report arrived, on this entry's clock.
    pub load_received_at_ms: TimeMs,
    /// Attempts sent to the agent on its current incarnation.
    pub sent: u64,
    /// Attempts of this entry that run there.
    pub in_flight: u32,
    /// Numbers and prompt tokens of the attempts that the newest report may not include.
    unreported: VecDeque<(u64, Tokens)>,
    /// Attempts of other entries that ran there when the newest report was made.
    pub others_running: u32,
    /// Configuration in force at the agent; without one it refuses all work.
    pub revision: Revision,
    /// Newest request that was sent to the agent.
    pub last_serial: Option<Serial>,
    /// Every request below this number is settled, as the agent was told last.
    pub settled_below: Serial,
    /// When the agent was heard last.
    pub last_contact_at_ms: TimeMs,
    /// Since when an agent with work in flight is awaited to say something.
    pub contact_awaited_since_ms: Option<TimeMs>,
    /// Whether the agent was not heard although it should have been.
    pub silent: bool,
    /// Whether the link is to be closed when it is idle.
    pub is_unwanted: bool,
    /// Newest incarnation of the agent that said hello.
    pub incarnation: Incarnation,
    /// Cancels that wait for the link, with the agent's incarnation that they are for.
    pub pending_cancels: Vec<(Incarnation, AttemptId)>,
}

/// Unreported attempts whose prompts are remembered.
const MAX_UNREPORTED: usize = 256;

impl Member {
    fn new() -> Self {
        Self {
            record: None,
            hello: None,
            connected: false,
            connecting: false,
            next_connect_at_ms: TimeMs::default(),
            failed_connects: 0,
            draining: false,
            load: LoadReport::default(),
            load_received_at_ms: TimeMs::default(),
            sent: 0,
            in_flight: 0,
            unreported: VecDeque::new(),
            others_running: 0,
            revision: Revision::default(),
            last_serial: None,
            settled_below: Serial::default(),
            last_contact_at_ms: TimeMs::default(),
            contact_awaited_since_ms: None,
            silent: false,
            is_unwanted: false,
            incarnation: Incarnation::default(),
            pending_cancels: Vec::new(),
        }
    }

    /// Whether the platform lists the agent's host as leaving.
    pub fn is_leaving(&self) -> bool {
        self.record.as_ref().is_some_and(|record| record.state == HostState::Leaving)
    }

    /// Attempts sent since the newest load report was made.
    pub const fn sent_since_report(&self) -> u64 {
        self.sent.saturating_sub(self.load.received_from_entry)
    }

    /// Prompt tokens sent since the newest load report was made.
    pub fn sent_tokens_since_report(&self) -> Tokens {
        self.unreported.iter().map(|(_, tokens)| *tokens).sum()
    }

    /// Counts an attempt that is sent to the agent.
    pub fn count_sent(&mut self, prompt_tokens: Tokens) {
        self.sent += 1;
        self.in_flight += 1;
        if self.unreported.len() == MAX_UNREPORTED {
            self.unreported.pop_front();
        }
        self.unreported.push_back((self.sent, prompt_tokens));
    }

    /// Whether the agent is likely to admit one more attempt.
    pub const fn has_capacity(&self) -> bool {
        let limit = self.load.admission_limit as u64;
        // A limit of 0 means that no report has arrived yet.
        limit == 0 || self.others_running as u64 + (self.in_flight as u64) < limit
    }

    /// The agent refused an attempt at its limit, so other entries hold the rest of it.
    pub const fn record_limit_refusal(&mut self) {
        self.others_running = self.load.admission_limit.saturating_sub(self.in_flight);
    }

    /// Takes over a load report; returns whether the served versions changed.
    fn apply_load(&mut self, load: LoadReport, now: TimeMs) -> bool {
        let changed = self.load.versions != load.versions;
        let included = load.received_from_entry;
        while self.unreported.front().is_some_and(|(number, _)| *number <= included) {
            self.unreported.pop_front();
        }
        self.load = load;
        let own = u64::from(self.in_flight).saturating_sub(self.sent_since_report());
        self.others_running = self.load.running.saturating_sub(own as u32);
        self.load_received_at_ms = now;
        changed
    }

    /// The service beside the agent, if it is one.
    pub fn service(&self) -> Option<&ServiceName> {
        match &self.hello.as_ref()?.offer {
            Offer::Service { service } => Some(service),
            Offer::Engine { .. } => None,
        }
    }

    /// Whether the agent may get new work under this configuration.
    pub fn is_usable(&self, configuration: &Configuration) -> bool {
        let Some(hello) = &self.hello else {
            return false;
        };
        let leaving = self.draining || self.is_leaving();
        let configured = self.revision > Revision::default();
        self.connected
            && configured
            && !self.silent
            && !leaving
            && !configuration.is_data_centre_out(&hello.data_centre)
    }

    /// Whether the agent's engine serves this version.
    pub fn serves_version(&self, version: &VersionId) -> bool {
        self.load.versions.contains(version)
    }

    /// Whether the agent stands beside this service.
    pub fn serves_service(&self, service: &ServiceName) -> bool {
        match &self.hello {
            Some(hello) => {
                matches!(&hello.offer, Offer::Service { service: own } if own == service)
            }
            None => false,
        }
    }
}

/// All agents that an entry knows.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: IndexMap<HostId, Member>,
    generation: u64,
}

impl MemberTable {
    /// The agent on this host.
    pub fn get(&self, agent: &HostId) -> Option<&Member> {
        self.members.get(agent)
    }

    /// The agent on this host, for changes.
    pub fn get_mut(&mut self, agent: &HostId) -> Option<&mut Member> {
        self.members.get_mut(agent)
    }

    /// The agent at this position, if there is one.
    pub fn get_index(&self, position: usize) -> Option<(&HostId, &Member)> {
        self.members.get_index(position)
    }

    /// Grows whenever the agents, their positions or what they serve change.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Takes over a load report of an agent.
    pub fn apply_load(&mut self, agent: &HostId, load: LoadReport, now: TimeMs) {
        if let Some(member) = self.members.get_mut(agent) {
            self.generation += u64::from(member.apply_load(load, now));
        }
    }

    /// Every agent with its host.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &Member)> {
        self.members.iter()
    }

    /// Every agent with its host, for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&HostId, &mut Member)> {
        self.members.iter_mut()
    }

    /// Takes over the platform's list as far as it concerns planned links. A linked agent that the
    /// list does not name stays: the list lags, and the link is newer.
    pub fn apply_list(&mut self, records: Vec<HostRecord>, plan: &LinkPlan) {
        self.generation += 1;
        for member in self.members.values_mut() {
            member.record = None;
            member.is_unwanted = false;
        }
        for record in records {
            if record.role != HostRole::Agent {
                continue;
            }
            let planned = plan.contains(&record.host);
            if planned {
                self.members.entry(record.host.clone()).or_insert_with(Member::new);
            }
            if let Some(member) = self.members.get_mut(&record.host) {
                member.is_unwanted = !planned && record.state == HostState::Live;
                member.record = Some(record);
            }
        }
        self.members.retain(|agent, member| {
            let planned = member.record.is_some() && plan.contains(agent);
            planned || member.connected || member.in_flight > 0
        });
    }

    /// Takes over the hello of an agent.
    pub fn apply_hello(&mut self, agent: &HostId, hello: AgentHello, now: TimeMs) {
        self.generation += 1;
        let member = self.members.entry(agent.clone()).or_insert_with(Member::new);
        if member.incarnation != hello.incarnation {
            member.incarnation = hello.incarnation;
            member.sent = 0;
            member.unreported.clear();
            member.load = LoadReport::default();
        }
        if let Offer::Engine { versions } = &hello.offer {
            member.load.versions.clone_from(versions);
        }
        member.draining = hello.draining;
        member.revision = hello.revision;
        member.load_received_at_ms = now;
        member.hello = Some(hello);
    }
}
