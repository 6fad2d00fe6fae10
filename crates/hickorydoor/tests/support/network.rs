//! Simulated connections between entries and agents.

use hickorydoor::AgentEvent;
use hickorydoor::AgentMessage;
use hickorydoor::EntryEvent;
use hickorydoor::EntryMessage;
use hickorydoor::id::HostId;
use rand::RngExt;

use super::fleet::Connection;
use super::fleet::Fleet;
use super::fleet::FleetEvent;
use super::fleet::ProcessId;

impl Fleet {
    /// Opens a connection after a delay, or reports the link as down if the agent is down.
    pub fn connect(&mut self, entry: usize, entry_incarnation: u64, agent: &HostId) {
        let Some(agent) = self.agent_index(agent) else {
            return;
        };
        let agent_incarnation = self.agents[agent].incarnation;
        let delay_ms = self.rng.random_range(1..20);
        if agent_incarnation == 0 || self.agents[agent].stopped {
            let link_down = EntryEvent::LinkDown { agent: self.agents[agent].host.clone() };
            self.schedule(
                delay_ms,
                FleetEvent::Entry(entry, entry_incarnation, Box::new(link_down)),
            );
            return;
        }
        self.connections.push(Connection {
            entry,
            agent,
            incarnations: (entry_incarnation, agent_incarnation),
            open: true,
            delivers_late: false,
            last_to_entry_ms: 0,
            last_to_agent_ms: 0,
        });
        self.schedule(delay_ms, FleetEvent::ConnectionOpened(self.connections.len() - 1));
    }

    pub fn on_connection_opened(&mut self, id: usize) {
        let (entry, agent) = (self.connections[id].entry, self.connections[id].agent);
        self.current_connections.insert((entry, agent), id);
        let (entry_incarnation, agent_incarnation) = self.connections[id].incarnations;
        let link_up = EntryEvent::LinkUp { agent: self.agents[agent].host.clone() };
        self.schedule(0, FleetEvent::Entry(entry, entry_incarnation, Box::new(link_up)));
        let link_up = AgentEvent::LinkUp { entry: self.entries[entry].host.clone() };
        self.schedule(0, FleetEvent::Agent(agent, agent_incarnation, Box::new(link_up)));
    }

    /// Returns the current connection if it is open and both processes still have its incarnations.
    pub fn open_connection(&self, entry: usize, agent: usize) -> Option<usize> {
        let id = *self.current_connections.get(&(entry, agent))?;
        let incarnations = (self.entries[entry].incarnation, self.agents[agent].incarnation);
        let connection = &self.connections[id];
        (connection.open && connection.incarnations == incarnations).then_some(id)
    }

    pub fn send_to_agent(&mut self, entry: usize, agent: &HostId, message: EntryMessage) {
        let Some(agent) = self.agent_index(agent) else {
            return;
        };
        let Some(id) = self.open_connection(entry, agent) else {
            return;
        };
        let arrives_at_ms = self.now_ms + self.rng.random_range(1..8_u64);
        let arrives_at_ms = arrives_at_ms.max(self.connections[id].last_to_agent_ms);
        self.connections[id].last_to_agent_ms = arrives_at_ms;
        if self.rng.random_bool(self.setup.duplicate_probability) {
            let duplicate = FleetEvent::ToAgent(id, Box::new(message.clone()));
            self.schedule(arrives_at_ms - self.now_ms + 3_000, duplicate);
        }
        self.schedule(arrives_at_ms - self.now_ms, FleetEvent::ToAgent(id, Box::new(message)));
    }

    pub fn send_to_entry(&mut self, agent: usize, entry: &HostId, message: AgentMessage) {
        let Some(entry) = self.entries.iter().position(|process| process.host == *entry) else {
            return;
        };
        let Some(id) = self.open_connection(entry, agent) else {
            return;
        };
        let arrives_at_ms = self.now_ms + self.rng.random_range(1..8_u64);
        let arrives_at_ms = arrives_at_ms.max(self.connections[id].last_to_entry_ms);
        self.connections[id].last_to_entry_ms = arrives_at_ms;
        if self.rng.random_bool(self.setup.duplicate_probability) {
            let duplicate = FleetEvent::ToEntry(id, Box::new(message.clone()));
            self.schedule(arrives_at_ms - self.now_ms + 3_000, duplicate);
        }
        self.schedule(arrives_at_ms - self.now_ms, FleetEvent::ToEntry(id, Box::new(message)));
    }

    pub fn deliver_to_agent(&mut self, id: usize, message: EntryMessage) {
        let connection = &self.connections[id];
        if connection.open || connection.delivers_late {
            let event =
                AgentEvent::Message { entry: self.entries[connection.entry].host.clone(), message };
            let event =
                FleetEvent::Agent(connection.agent, connection.incarnations.1, Box::new(event));
            self.schedule(0, event);
        }
    }

    pub fn deliver_to_entry(&mut self, id: usize, message: AgentMessage) {
        let connection = &self.connections[id];
        if connection.open || connection.delivers_late {
            let event =
                EntryEvent::Message { agent: self.agents[connection.agent].host.clone(), message };
            let event =
                FleetEvent::Entry(connection.entry, connection.incarnations.0, Box::new(event));
            self.schedule(0, event);
        }
    }

    /// Cuts the current connection of an entry and an agent. Both ends are notified after separate
    /// random delays.
    pub fn cut(&mut self, entry: usize, agent: usize, delivers_late: bool) {
        let Some(id) = self.current_connections.remove(&(entry, agent)) else {
            return;
        };
        self.connections[id].open = false;
        self.connections[id].delivers_late = delivers_late;
        let entry_ms = self.rng.random_range(0..400);
        let agent_ms = self.rng.random_range(0..2_000);
        self.schedule(entry_ms, FleetEvent::LinkDown(id, ProcessId::Entry(entry)));
        self.schedule(agent_ms, FleetEvent::LinkDown(id, ProcessId::Agent(agent)));
    }

    pub fn on_link_down(&mut self, id: usize, process: ProcessId) {
        let connection = &self.connections[id];
        let (entry, agent) = (connection.entry, connection.agent);
        // A newer connection has replaced this one at both ends.
        if self.current_connections.contains_key(&(entry, agent)) {
            return;
        }
        let (entry_incarnation, agent_incarnation) = connection.incarnations;
        match process {
            ProcessId::Entry(_) => {
                let link_down = EntryEvent::LinkDown { agent: self.agents[agent].host.clone() };
                self.schedule(0, FleetEvent::Entry(entry, entry_incarnation, Box::new(link_down)));
            }
            ProcessId::Agent(_) => {
                let link_down = AgentEvent::LinkDown { entry: self.entries[entry].host.clone() };
                self.schedule(0, FleetEvent::Agent(agent, agent_incarnation, Box::new(link_down)));
            }
        }
    }
}
