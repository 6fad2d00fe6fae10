//! How an entry keeps its links to agents.
//!
//! The host list proposes links; what agents say and whether they are heard decides. An agent with
//! work in flight says something every second, so one that is silent for 2.5 s gets no new work.

use std::collections::BTreeSet;

use crate::entry::Entry;
use crate::entry::effect::EntryEffect;
use crate::entry::member_table::Member;
use crate::host_record::HostRecord;
use crate::id::HostId;
use crate::id::ServiceName;
use crate::id::VersionId;
use crate::message::EntryHello;
use crate::message::EntryMessage;
use crate::observation::Observation;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// First pause before a lost link is opened again; it doubles up to [`MAX_CONNECT_PAUSE_MS`].
const CONNECT_PAUSE_MS: u64 = 100;
const MAX_CONNECT_PAUSE_MS: u64 = 5_000;
/// Silence after which an agent with work in flight is unusable; such an agent sends at least
/// once a second.
const BUSY_SILENCE_MS: DurationMs = DurationMs::new(2_500);
/// Silence after which a link is closed to open a new one, as for a lost network path.
const DEAD_LINK_MS: DurationMs = DurationMs::from_secs(15);

impl Entry {
    pub(crate) fn on_host_list(&mut self, records: Vec<HostRecord>, now: TimeMs) {
        let own = &self.settings;
        self.watch.elect(&own.host, &own.data_centre, &records);
        let (useful, is_lacking) = self.spare_links();
        self.links.choose(&self.settings, &records, &useful, is_lacking);
        self.update_entry_count(&records);
        self.members.apply_list(records, &self.links);
        let leaving: Vec<HostId> = self
            .members
            .iter()
            .filter(|(_, member)| member.connected && member.is_leaving() && !member.draining)
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in leaving {
            self.send(&agent, EntryMessage::LeaveNotice);
        }
        self.tick_links(now);
    }

    /// Linked agents that alone serve a version or service, and whether one is served by none.
    fn spare_links(&self) -> (BTreeSet<HostId>, bool) {
        let configuration = self.config.current();
        let versions = configuration.models.values().flat_map(|model| &model.versions);
        let versions = versions.filter(|version| version.state.serves_sessions());
        let mut useful = BTreeSet::new();
        let mut is_lacking = false;
        let mut serve = |servers: Vec<&HostId>| match servers.as_slice() {
            [] => is_lacking = true,
            [only] => {
                useful.insert((*only).clone());
            }
            _ => {}
        };
        for version in versions {
            serve(self.servers_of_version(&version.id));
        }
        for service in configuration.services.keys() {
            serve(self.servers_of_service(service));
        }
        (useful, is_lacking)
    }

    fn servers_of_version(&self, version: &VersionId) -> Vec<&HostId> {
        let servers = self.members.iter().filter(|(_, member)| member.serves_version(version));
        servers.map(|(agent, _)| agent).collect()
    }

    fn servers_of_service(&self, service: &ServiceName) -> Vec<&HostId> {
        let servers = self.members.iter().filter(|(_, member)| member.serves_service(service));
        servers.map(|(agent, _)| agent).collect()
    }

    pub(crate) fn tick_links(&mut self, now: TimeMs) {
        self.open_links(now);
        self.watch_silence(now);
        if now >= self.next_heartbeat_at_ms {
            self.next_heartbeat_at_ms = now + self.heartbeat_interval_ms();
            self.send_heartbeats();
        }
    }

    fn heartbeat_interval_ms(&self) -> DurationMs {
        self.links.heartbeat_interval_ms(self.settings.heartbeat_interval_ms)
    }

    fn open_links(&mut self, now: TimeMs) {
        let mut connects = Vec::new();
        let mut disconnects = Vec::new();
        for (agent, member) in self.members.iter_mut() {
            if member.is_unwanted && member.connected && member.in_flight == 0 {
                disconnects.push(agent.clone());
                member.is_unwanted = false;
            }
            let Some(record) = &member.record else {
                continue;
            };
            let wanted = self.links.contains(agent) || member.in_flight > 0;
            let idle = !member.connected && !member.connecting;
            if wanted && idle && now >= member.next_connect_at_ms {
                member.connecting = true;
                connects.push((agent.clone(), record.address));
            }
        }
        for (agent, address) in connects {
            self.push(EntryEffect::Connect { agent, address });
        }
        for agent in disconnects {
            self.push(EntryEffect::Disconnect { agent });
        }
    }

    fn watch_silence(&mut self, now: TimeMs) {
        let idle_ms = DurationMs::new(2 * self.heartbeat_interval_ms().get() + 1_000);
        let mut silent = Vec::new();
        let mut dead = Vec::new();
        for (agent, member) in self.members.iter_mut().filter(|(_, member)| member.connected) {
            let was_silent = member.silent;
            member.silent = is_silent(member, idle_ms, now);
            if member.silent && !was_silent {
                silent.push(agent.clone());
            }
            if member.silent && now >= member.last_contact_at_ms + idle_ms + DEAD_LINK_MS {
                dead.push(agent.clone());
                member.last_contact_at_ms = now;
            }
        }
        for agent in silent {
            self.record(Observation::AgentUsable { agent: agent.clone(), usable: false });
            self.start_resume_windows(&agent, now);
        }
        for agent in dead {
            self.push(EntryEffect::Disconnect { agent });
        }
    }

    /// Notes that an agent was heard.
    pub(crate) fn record_contact(&mut self, agent: &HostId, now: TimeMs) {
        let Some(member) = self.members.get_mut(agent) else {
            return;
        };
        member.last_contact_at_ms = now;
        member.contact_awaited_since_ms = None;
        if !member.silent {
            return;
        }
        member.silent = false;
        if member.connected && member.hello.is_some() {
            // The link held, so attempts that could not move simply go on.
            self.end_resume_windows(agent);
            self.record(Observation::AgentUsable { agent: agent.clone(), usable: true });
        }
    }

    fn send_heartbeats(&mut self) {
        let revision = self.revision();
        for agent in self.linked_agents() {
            self.send(&agent, EntryMessage::Heartbeat { revision });
        }
    }

    pub(crate) fn on_link_up(&mut self, agent: &HostId, now: TimeMs) {
        let Some(member) = self.members.get_mut(agent) else {
            self.push(EntryEffect::Disconnect { agent: agent.clone() });
            return;
        };
        member.connected = true;
        member.connecting = false;
        member.failed_connects = 0;
        member.silent = false;
        member.last_contact_at_ms = now;
        member.contact_awaited_since_ms = None;
        self.send_hello(agent);
    }

    pub(crate) fn send_hello(&mut self, agent: &HostId) {
        let hello = EntryHello {
            entry: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            data_centre: self.settings.data_centre.clone(),
            revision: self.revision(),
            heartbeat_interval_ms: self.heartbeat_interval_ms(),
        };
        self.send(agent, EntryMessage::Hello(hello));
    }

    /// Agents with an open link.
    pub(crate) fn linked_agents(&self) -> Vec<HostId> {
        let linked = self.members.iter().filter(|(_, member)| member.connected);
        linked.map(|(agent, _)| agent.clone()).collect()
    }

    /// Closes every link at the end of a shutdown.
    pub(crate) fn close_links(&mut self) {
        for agent in self.linked_agents() {
            self.push(EntryEffect::Disconnect { agent });
        }
    }

    pub(crate) fn on_link_down(&mut self, agent: &HostId, now: TimeMs) {
        if let Some(member) = self.members.get_mut(agent) {
            let was_connected = member.connected;
            member.connected = false;
            // The next incarnation of the agent must say hello before it gets work.
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
        self.pull.remove_peer(agent);
        self.start_resume_windows(agent, now);
    }
}

/// Whether an agent that should have been heard was not.
fn is_silent(member: &mut Member, idle_ms: DurationMs, now: TimeMs) -> bool {
    if member.in_flight == 0 {
        member.contact_awaited_since_ms = None;
    } else {
        member.contact_awaited_since_ms.get_or_insert(now);
    }
    let busy = member.contact_awaited_since_ms.is_some_and(|since| now >= since + BUSY_SILENCE_MS);
    busy || now >= member.last_contact_at_ms + idle_ms
}
