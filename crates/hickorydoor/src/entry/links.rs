//! Links from an entry to its agents.
//!
//! The host list determines which links are opened. Whether an agent gets new work depends on the
//! messages it sends and on the time of the last contact. An agent with work in flight sends a
//! message at least once a second, so one without contact for 2.5 s gets no new work.

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

/// Delay before a lost link is opened again. It doubles with each failed attempt, up to
/// [`MAX_CONNECT_BACKOFF_MS`].
const MIN_CONNECT_BACKOFF_MS: u64 = 100;
/// Upper bound of the delay between two attempts to open a link.
const MAX_CONNECT_BACKOFF_MS: u64 = 5_000;
/// Time without contact after which an agent with work in flight is unusable. Such an agent sends a
/// message at least once a second.
const BUSY_CONTACT_TIMEOUT_MS: DurationMs = DurationMs::new(2_500);
/// Further time without contact, beyond the timeout of an idle agent, after which the link is
/// closed and reopened. Covers lost network paths that the transport does not report.
const DEAD_LINK_GRACE_MS: DurationMs = DurationMs::from_secs(15);

impl Entry {
    pub(crate) fn on_host_list(&mut self, records: Vec<HostRecord>, now: TimeMs) {
        let own = &self.settings;
        self.watch.apply_host_list(&own.host, &own.data_centre, &records);
        let (sole_servers, has_unserved) = self.spare_link_needs();
        self.links.choose(&self.settings, &records, &sole_servers, has_unserved);
        self.update_entry_count(&records);
        self.members.apply_host_list(records, &self.links);
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

    /// Returns the connected agents that alone serve some version or service, and whether a version
    /// or service has no connected agent.
    fn spare_link_needs(&self) -> (BTreeSet<HostId>, bool) {
        let configuration = self.config.current();
        let versions = configuration.models.values().flat_map(|model| &model.versions);
        let versions = versions.filter(|version| version.state.serves_sessions());
        let mut sole_servers = BTreeSet::new();
        let mut has_unserved = false;
        let mut count_servers = |servers: Vec<&HostId>| match servers.as_slice() {
            [] => has_unserved = true,
            [only] => {
                sole_servers.insert((*only).clone());
            }
            _ => {}
        };
        for version in versions {
            count_servers(self.servers_of_version(&version.id));
        }
        for service in configuration.services.keys() {
            count_servers(self.servers_of_service(service));
        }
        (sole_servers, has_unserved)
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
        self.check_last_contact(now);
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
            if member.close_when_idle && member.connected && member.in_flight == 0 {
                disconnects.push(agent.clone());
                member.close_when_idle = false;
            }
            let Some(record) = &member.record else {
                continue;
            };
            let wanted = self.links.contains(agent) || member.in_flight > 0;
            let disconnected = !member.connected && !member.connecting;
            if wanted && disconnected && now >= member.next_connect_at_ms {
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

    fn check_last_contact(&mut self, now: TimeMs) {
        let idle_timeout_ms = DurationMs::new(2 * self.heartbeat_interval_ms().get() + 1_000);
        let mut unresponsive = Vec::new();
        let mut dead = Vec::new();
        for (agent, member) in self.members.iter_mut().filter(|(_, member)| member.connected) {
            let was_unresponsive = member.unresponsive;
            member.unresponsive = is_unresponsive(member, idle_timeout_ms, now);
            if member.unresponsive && !was_unresponsive {
                unresponsive.push(agent.clone());
            }
            if member.unresponsive
                && now >= member.last_contact_at_ms + idle_timeout_ms + DEAD_LINK_GRACE_MS
            {
                dead.push(agent.clone());
                member.last_contact_at_ms = now;
            }
        }
        for agent in unresponsive {
            self.record(Observation::AgentUsable { agent: agent.clone(), usable: false });
            self.start_resume_windows(&agent, now);
        }
        for agent in dead {
            self.push(EntryEffect::Disconnect { agent });
        }
    }

    /// Records that a message of an agent has arrived. An agent that was unresponsive becomes
    /// usable.
    pub(crate) fn record_contact(&mut self, agent: &HostId, now: TimeMs) {
        let Some(member) = self.members.get_mut(agent) else {
            return;
        };
        member.last_contact_at_ms = now;
        member.contact_awaited_since_ms = None;
        if !member.unresponsive {
            return;
        }
        member.unresponsive = false;
        if member.connected && member.hello.is_some() {
            // The link was not lost, so attempts that could not move continue on it.
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
        member.unresponsive = false;
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

    /// Hosts of the agents with an open link, in the order of the member table.
    pub(crate) fn linked_agents(&self) -> Vec<HostId> {
        let linked = self.members.iter().filter(|(_, member)| member.connected);
        linked.map(|(agent, _)| agent.clone()).collect()
    }

    /// Closes every link, as the last step of a shutdown.
    pub(crate) fn close_links(&mut self) {
        for agent in self.linked_agents() {
            self.push(EntryEffect::Disconnect { agent });
        }
    }

    pub(crate) fn on_link_down(&mut self, agent: &HostId, now: TimeMs) {
        if let Some(member) = self.members.get_mut(agent) {
            let was_connected = member.connected;
            member.connected = false;
            // A reconnected agent gets no work before its hello, since it may have restarted.
            member.hello = None;
            member.draining = false;
            member.connecting = false;
            member.failed_connects += u32::from(!was_connected);
            let backoff_ms = MIN_CONNECT_BACKOFF_MS << member.failed_connects.min(6);
            member.next_connect_at_ms =
                now + DurationMs::new(backoff_ms.min(MAX_CONNECT_BACKOFF_MS));
            if was_connected {
                self.record(Observation::AgentUsable { agent: agent.clone(), usable: false });
            }
        }
        self.pull.remove_peer(agent);
        self.start_resume_windows(agent, now);
    }
}

/// Whether an agent has sent nothing for longer than its timeout: [`BUSY_CONTACT_TIMEOUT_MS`] with
/// work in flight, `idle_timeout_ms` otherwise. Updates the time since which a message is awaited.
fn is_unresponsive(member: &mut Member, idle_timeout_ms: DurationMs, now: TimeMs) -> bool {
    if member.in_flight == 0 {
        member.contact_awaited_since_ms = None;
    } else {
        member.contact_awaited_since_ms.get_or_insert(now);
    }
    let busy_timed_out =
        member.contact_awaited_since_ms.is_some_and(|since| now >= since + BUSY_CONTACT_TIMEOUT_MS);
    busy_timed_out || now >= member.last_contact_at_ms + idle_timeout_ms
}
