//! Connections of the fleet.

use hickorydoor::AgentEvent;
use hickorydoor::AgentMessage;
use hickorydoor::EntryEvent;
use hickorydoor::EntryMessage;
use hickorydoor::id::HostId;
use rand::RngExt;

use super::fleet::Connection;
use super::fleet::Fleet;
use super::fleet::Happening;
use super::fleet::ProcessId;

impl Fleet {
    pub fn connect(&mut self, entry: usize, entry_life: u64, agent: &HostId) {
        let Some(agent) = self.agent_index(agent) else {
            return;
        };
        let agent_life = self.agents[agent].incarnation;
        let delay_ms = self.rng.random_range(1..20);
        if agent_life == 0 || self.agents[agent].stopped {
            let down = EntryEvent::LinkDown { agent: self.agents[agent].host.clone() };
            self.push(delay_ms, Happening::Entry(entry, entry_life, Box::new(down)));
            return;
        }
        self.connections.push(Connection {
            entry,
            agent,
            incarnations: (entry_life, agent_life),
            open: true,
            delivers_late: false,
            to_entry_at: 0,
            to_agent_at: 0,
        });
        self.push(delay_ms, Happening::Opened(self.connections.len() - 1));
    }

    pub fn opened(&mut self, id: usize) {
        let (entry, agent) = (self.connections[id].entry, self.connections[id].agent);
        self.current.insert((entry, agent), id);
        let (entry_life, agent_life) = self.connections[id].incarnations;
        let up = EntryEvent::LinkUp { agent: self.agents[agent].host.clone() };
        self.push(0, Happening::Entry(entry, entry_life, Box::new(up)));
        let up = AgentEvent::LinkUp { entry: self.entries[entry].host.clone() };
        self.push(0, Happening::Agent(agent, agent_life, Box::new(up)));
    }

    pub fn open_connection(&self, entry: usize, agent: usize) -> Option<usize> {
        let id = *self.current.get(&(entry, agent))?;
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
        let arrives = self.now_ms + self.rng.random_range(1..8_u64);
        let arrives = arrives.max(self.connections[id].to_agent_at);
        self.connections[id].to_agent_at = arrives;
        if self.rng.random_bool(self.setup.duplicate_probability) {
            let late = Happening::ToAgent(id, Box::new(message.clone()));
            self.push(arrives - self.now_ms + 3_000, late);
        }
        self.push(arrives - self.now_ms, Happening::ToAgent(id, Box::new(message)));
    }

    pub fn send_to_entry(&mut self, agent: usize, entry: &HostId, message: AgentMessage) {
        let Some(entry) = self.entries.iter().position(|process| process.host == *entry) else {
            return;
        };
        let Some(id) = self.open_connection(entry, agent) else {
            return;
        };
        let arrives = self.now_ms + self.rng.random_range(1..8_u64);
        let arrives = arrives.max(self.connections[id].to_entry_at);
        self.connections[id].to_entry_at = arrives;
        if self.rng.random_bool(self.setup.duplicate_probability) {
            let late = Happening::ToEntry(id, Box::new(message.clone()));
            self.push(arrives - self.now_ms + 3_000, late);
        }
        self.push(arrives - self.now_ms, Happening::ToEntry(id, Box::new(message)));
    }

    pub fn arrive_at_agent(&mut self, id: usize, message: EntryMessage) {
        let connection = &self.connections[id];
        if connection.open || connection.delivers_late {
            let event =
                AgentEvent::Message { entry: self.entries[connection.entry].host.clone(), message };
            let happening =
                Happening::Agent(connection.agent, connection.incarnations.1, Box::new(event));
            self.push(0, happening);
        }
    }

    pub fn arrive_at_entry(&mut self, id: usize, message: AgentMessage) {
        let connection = &self.connections[id];
        if connection.open || connection.delivers_late {
            let event =
                EntryEvent::Message { agent: self.agents[connection.agent].host.clone(), message };
            let happening =
                Happening::Entry(connection.entry, connection.incarnations.0, Box::new(event));
            self.push(0, happening);
        }
    }

    pub fn cut(&mut self, entry: usize, agent: usize, late: bool) {
        let Some(id) = self.current.remove(&(entry, agent)) else {
            return;
        };
        self.connections[id].open = false;
        self.connections[id].delivers_late = late;
        let entry_ms = self.rng.random_range(0..400);
        let agent_ms = self.rng.random_range(0..2_000);
        self.push(entry_ms, Happening::LinkDown(id, ProcessId::Entry(entry)));
        self.push(agent_ms, Happening::LinkDown(id, ProcessId::Agent(agent)));
    }

    pub fn link_down(&mut self, id: usize, node: ProcessId) {
        let connection = &self.connections[id];
        let (entry, agent) = (connection.entry, connection.agent);
        // A newer connection replaces the older one at both ends.
        if self.current.contains_key(&(entry, agent)) {
            return;
        }
        let (entry_life, agent_life) = connection.incarnations;
        match node {
            ProcessId::Entry(_) => {
                let down = EntryEvent::LinkDown { agent: self.agents[agent].host.clone() };
                self.push(0, Happening::Entry(entry, entry_life, Box::new(down)));
            }
            ProcessId::Agent(_) => {
                let down = AgentEvent::LinkDown { entry: self.entries[entry].host.clone() };
                self.push(0, Happening::Agent(agent, agent_life, Box::new(down)));
            }
        }
    }
}
