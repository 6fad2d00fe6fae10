//! State that an entry, which accepts callers' requests, keeps about each agent, the sidecar of an
//! upstream.
//!
//! An agent is usable while its link is up, its hello has arrived, it has a configuration, it is
//! responsive and not draining, the platform does not list its host as leaving, and its data
//! centre is not taken out.

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

/// State of one agent and of the link to it.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts about one link")]
pub struct Member {
    /// The platform's record of the host; `None` if the newest host list does not name it.
    pub record: Option<HostRecord>,
    /// The agent's hello on the current link; `None` until it arrives.
    pub hello: Option<AgentHello>,
    /// Whether the link is open.
    pub connected: bool,
    /// Whether an attempt to open the link is in progress.
    pub connecting: bool,
    /// Earliest time of the next attempt to open the link.
    pub next_connect_at_ms: TimeMs,
    /// Consecutive failed attempts to open the link.
    pub failed_connects: u32,
    /// Whether the agent has announced on the current link that it is draining.
    pub draining: bool,
    /// The newest load report, or the default before the first one. A hello from the agent of an
    /// engine replaces the versions in it.
    pub load: LoadReport,
    /// When the newest load report or hello arrived, whichever is later, on this entry's clock.
    pub load_received_at_ms: TimeMs,
    /// Number of attempts sent to the current incarnation of the agent.
    pub sent: u64,
    /// Attempts of this entry that run on the agent.
    pub in_flight: u32,
    /// Sequence numbers, as counted by `sent`, and prompt tokens of the attempts that the newest
    /// report does not include.
    unreported: VecDeque<(u64, Tokens)>,
    /// Estimated number of attempts of other entries on the agent, from the newest report or a
    /// later refusal at the admission limit.
    pub others_running: u32,
    /// Revision of the configuration in force at the agent. The default means that the agent has no
    /// configuration and rejects all work.
    pub revision: Revision,
    /// Serial of the newest request that was sent to the agent. Serials number the requests of this
    /// entry across all agents.
    pub last_serial: Option<Serial>,
    /// Serial below which all requests are settled, as last sent to the agent. A request is settled
    /// once its bill is stored or if it has none.
    pub settled_below: Serial,
    /// When a message from the agent last arrived or the link was opened. Set to the current time
    /// when an unresponsive link is closed, and shifted by pauses of this process.
    pub last_contact_at_ms: TimeMs,
    /// When the entry began to wait for a message from the agent with attempts in flight; `None` if
    /// it does not wait for one.
    pub contact_awaited_since_ms: Option<TimeMs>,
    /// Whether the agent has sent nothing for longer than its timeout; it then gets no new work.
    pub unresponsive: bool,
    /// Whether the link is no longer planned and is to be closed once it has no attempts in flight.
    pub close_when_idle: bool,
    /// Newest incarnation of the agent that has sent a hello; the default if none has.
    pub incarnation: Incarnation,
    /// Attempts for which a cancel is sent once the link is up again, each with the incarnation of
    /// the agent that it was sent to.
    pub pending_cancels: Vec<(Incarnation, AttemptId)>,
}

/// Maximum number of unreported attempts whose prompt tokens are kept for each agent.
const MAX_UNREPORTED_ATTEMPTS: usize = 256;

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
            unresponsive: false,
            close_when_idle: false,
            incarnation: Incarnation::default(),
            pending_cancels: Vec::new(),
        }
    }

    /// Whether the platform lists the agent's host as leaving.
    pub fn is_leaving(&self) -> bool {
        self.record.as_ref().is_some_and(|record| record.state == HostState::Leaving)
    }

    /// Number of attempts sent to the agent that the newest load report does not include.
    pub const fn sent_since_report(&self) -> u64 {
        self.sent.saturating_sub(self.load.received_from_entry)
    }

    /// Total prompt tokens of the attempts that the newest load report does not include. Covers at
    /// most the last `MAX_UNREPORTED_ATTEMPTS` attempts.
    pub fn sent_tokens_since_report(&self) -> Tokens {
        self.unreported.iter().map(|(_, tokens)| *tokens).sum()
    }

    /// Records that an attempt is sent to the agent.
    pub fn count_sent(&mut self, prompt_tokens: Tokens) {
        self.sent += 1;
        self.in_flight += 1;
        if self.unreported.len() == MAX_UNREPORTED_ATTEMPTS {
            self.unreported.pop_front();
        }
        self.unreported.push_back((self.sent, prompt_tokens));
    }

    /// Whether the agent is expected to admit one more attempt within its admission limit.
    pub const fn has_capacity(&self) -> bool {
        let limit = self.load.admission_limit as u64;
        // A limit of 0 means that no report has arrived yet.
        limit == 0 || self.others_running as u64 + (self.in_flight as u64) < limit
    }

    /// Records that the agent refused an attempt at its admission limit. The part of the limit that
    /// this entry does not use is then attributed to other entries.
    pub const fn record_limit_refusal(&mut self) {
        self.others_running = self.load.admission_limit.saturating_sub(self.in_flight);
    }

    /// Applies a load report; returns whether the served versions changed.
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

    /// The service that runs next to the agent; `None` before the agent's hello or if its upstream
    /// is an engine.
    pub fn service(&self) -> Option<&ServiceName> {
        match &self.hello.as_ref()?.offer {
            Offer::Service { service } => Some(service),
            Offer::Engine { .. } => None,
        }
    }

    /// Whether the agent may get new work under this configuration; see the module documentation.
    pub fn is_usable(&self, configuration: &Configuration) -> bool {
        let Some(hello) = &self.hello else {
            return false;
        };
        let leaving = self.draining || self.is_leaving();
        let configured = self.revision > Revision::default();
        self.connected
            && configured
            && !self.unresponsive
            && !leaving
            && !configuration.is_data_centre_out(&hello.data_centre)
    }

    /// Whether the agent's engine serves this version, by its newest hello or load report. Does not
    /// imply that the agent is usable.
    pub fn serves_version(&self, version: &VersionId) -> bool {
        self.load.versions.contains(version)
    }

    /// Whether the agent runs next to an instance of this service, by its hello on the current
    /// link.
    pub fn serves_service(&self, service: &ServiceName) -> bool {
        match &self.hello {
            Some(hello) => {
                matches!(&hello.offer, Offer::Service { service: own } if own == service)
            }
            None => false,
        }
    }
}

/// Table of all agents that an entry is connected to or plans to connect to.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: IndexMap<HostId, Member>,
    generation: u64,
}

impl MemberTable {
    /// Returns the agent on this host; `None` if it is neither planned nor connected.
    pub fn get(&self, agent: &HostId) -> Option<&Member> {
        self.members.get(agent)
    }

    /// Returns the agent on this host for modification.
    pub fn get_mut(&mut self, agent: &HostId) -> Option<&mut Member> {
        self.members.get_mut(agent)
    }

    /// Returns the agent at this position. Positions are valid for one
    /// [`generation`](Self::generation).
    pub fn get_index(&self, position: usize) -> Option<(&HostId, &Member)> {
        self.members.get_index(position)
    }

    /// Counter that is incremented whenever agents, their positions or the versions and services
    /// that they serve may have changed.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Applies a load report. Ignored if the agent is not in the table.
    pub fn apply_load(&mut self, agent: &HostId, load: LoadReport, now: TimeMs) {
        if let Some(member) = self.members.get_mut(agent) {
            self.generation += u64::from(member.apply_load(load, now));
        }
    }

    /// Iterates over the agents in the order of their positions.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &Member)> {
        self.members.iter()
    }

    /// Iterates over the agents in the order of their positions, for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&HostId, &mut Member)> {
        self.members.iter_mut()
    }

    /// Applies the platform's host list: adds the planned agents and removes those that are neither
    /// planned nor in use. A connected agent that the list does not name stays, since the list lags
    /// behind and the link is newer.
    pub fn apply_host_list(&mut self, records: Vec<HostRecord>, plan: &LinkPlan) {
        self.generation += 1;
        for member in self.members.values_mut() {
            member.record = None;
            member.close_when_idle = false;
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
                member.close_when_idle = !planned && record.state == HostState::Live;
                member.record = Some(record);
            }
        }
        self.members.retain(|agent, member| {
            let planned = member.record.is_some() && plan.contains(agent);
            planned || member.connected || member.in_flight > 0
        });
    }

    /// Applies a hello from an agent and adds the agent if it is not in the table. A new
    /// incarnation resets the counters and the load report.
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
