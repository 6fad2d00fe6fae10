//! Faults, crashes and restarts.

use hickorydoor::AgentEvent;
use hickorydoor::EntryEvent;

use super::fleet::Fleet;
use super::fleet::Happening;
use super::fleet::Node;
use super::process;
use super::schedule::Fault;

impl Fleet {
    pub fn apply(&mut self, fault: Fault) {
        let (entries, agents) = (self.entries.len(), self.agents.len());
        match fault {
            Fault::CutLink { entry, agent, late } => {
                self.cut(entry % entries, agent % agents, late);
            }
            Fault::CrashEntry { entry, down_ms } => {
                self.crash(Node::Entry(entry % entries));
                self.push(down_ms, Happening::Start(Node::Entry(entry % entries)));
            }
            Fault::CrashAgent { agent, down_ms } => {
                self.crash(Node::Agent(agent % agents));
                self.push(down_ms, Happening::Start(Node::Agent(agent % agents)));
            }
            Fault::PauseEntry { entry, ms } => {
                let until = &mut self.entries[entry % entries].paused_until;
                *until = (*until).max(self.now_ms + ms);
            }
            Fault::PauseAgent { agent, ms } => {
                let until = &mut self.agents[agent % agents].paused_until;
                *until = (*until).max(self.now_ms + ms);
            }
            Fault::KvOutage { ms } => {
                self.kv_down_until = self.kv_down_until.max(self.now_ms + ms);
                self.cut_watches();
            }
            Fault::KvLosesAnswers { ms } => {
                self.kv_loses_until = self.kv_loses_until.max(self.now_ms + ms);
            }
            Fault::CutWatches => self.cut_watches(),
            Fault::RestartEntry { entry } => self.at_entry(entry % entries, EntryEvent::Shutdown),
            Fault::RestartAgent { agent } => self.at_agent(agent % agents, AgentEvent::Shutdown),
        }
    }

    pub fn crash(&mut self, node: Node) {
        match node {
            Node::Entry(entry) => {
                if self.entries[entry].life != 0 && !self.entries[entry].stopped {
                    self.crashed.insert((node, self.entries[entry].life));
                }
                self.entries[entry].life = 0;
                self.callers.lose_entry(entry);
                (0..self.agents.len()).for_each(|agent| self.cut(entry, agent, false));
            }
            Node::Agent(agent) => {
                if self.agents[agent].life != 0 && !self.agents[agent].stopped {
                    self.crashed.insert((node, self.agents[agent].life));
                }
                self.agents[agent].life = 0;
                (0..self.entries.len()).for_each(|entry| self.cut(entry, agent, false));
            }
        }
    }

    pub fn start(&mut self, node: Node) {
        match node {
            Node::Entry(index) if self.entries[index].life == 0 => {
                self.entries[index] = process::new_entry(index, self.now_ms);
            }
            Node::Agent(index) if self.agents[index].life == 0 => {
                self.agents[index] = process::new_agent(index, self.now_ms, self.setup);
            }
            Node::Entry(_) | Node::Agent(_) => {}
        }
    }

    /// Asks a process to stop; the load balancer sends it no more callers.
    pub fn drain(&mut self, node: Node) {
        match node {
            Node::Entry(index) => {
                self.entries[index].leaving = true;
                self.at_entry(index, EntryEvent::Shutdown);
            }
            Node::Agent(index) => self.at_agent(index, AgentEvent::Shutdown),
        }
    }

    pub fn life(&self, node: Node) -> u64 {
        match node {
            Node::Entry(index) => self.entries[index].life,
            Node::Agent(index) => self.agents[index].life,
        }
    }

    /// Starts processes again that have stopped by themselves.
    pub fn start_stopped(&mut self) {
        for index in 0..self.entries.len() {
            if self.entries[index].stopped {
                self.crash(Node::Entry(index));
                self.start(Node::Entry(index));
            }
        }
        for index in 0..self.agents.len() {
            if self.agents[index].stopped {
                self.crash(Node::Agent(index));
                self.start(Node::Agent(index));
            }
        }
    }
}
