//! Faults, crashes and restarts.

use hickorydoor::AgentEvent;
use hickorydoor::EntryEvent;

use super::fleet::Fleet;
use super::fleet::Happening;
use super::fleet::ProcessId;
use super::process;
use super::schedule::Fault;

impl Fleet {
    pub fn inject(&mut self, fault: Fault) {
        let (entries, agents) = (self.entries.len(), self.agents.len());
        match fault {
            Fault::CutLink { entry, agent, late } => {
                self.cut(entry % entries, agent % agents, late);
            }
            Fault::CrashEntry { entry, down_ms } => {
                self.crash(ProcessId::Entry(entry % entries));
                self.push(down_ms, Happening::Start(ProcessId::Entry(entry % entries)));
            }
            Fault::CrashAgent { agent, down_ms } => {
                self.crash(ProcessId::Agent(agent % agents));
                self.push(down_ms, Happening::Start(ProcessId::Agent(agent % agents)));
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
            Fault::KvLosesReplies { ms } => {
                self.kv_loses_until = self.kv_loses_until.max(self.now_ms + ms);
            }
            Fault::CutWatches => self.cut_watches(),
            Fault::RestartEntry { entry } => {
                self.apply_to_entry(entry % entries, EntryEvent::Shutdown)
            }
            Fault::RestartAgent { agent } => {
                self.apply_to_agent(agent % agents, AgentEvent::Shutdown)
            }
        }
    }

    pub fn crash(&mut self, node: ProcessId) {
        match node {
            ProcessId::Entry(entry) => {
                if self.entries[entry].incarnation != 0 && !self.entries[entry].stopped {
                    self.crashed.insert((node, self.entries[entry].incarnation));
                }
                self.entries[entry].incarnation = 0;
                self.callers.lose_entry(entry);
                (0..self.agents.len()).for_each(|agent| self.cut(entry, agent, false));
            }
            ProcessId::Agent(agent) => {
                if self.agents[agent].incarnation != 0 && !self.agents[agent].stopped {
                    self.crashed.insert((node, self.agents[agent].incarnation));
                }
                self.agents[agent].incarnation = 0;
                (0..self.entries.len()).for_each(|entry| self.cut(entry, agent, false));
            }
        }
    }

    pub fn start(&mut self, node: ProcessId) {
        match node {
            ProcessId::Entry(index) if self.entries[index].incarnation == 0 => {
                self.entries[index] = process::new_entry(index, self.now_ms);
            }
            ProcessId::Agent(index) if self.agents[index].incarnation == 0 => {
                self.agents[index] = process::new_agent(index, self.now_ms, self.setup);
            }
            ProcessId::Entry(_) | ProcessId::Agent(_) => {}
        }
    }

    /// Asks a process to stop; the load balancer sends it no more callers.
    pub fn drain(&mut self, node: ProcessId) {
        match node {
            ProcessId::Entry(index) => {
                self.entries[index].leaving = true;
                self.apply_to_entry(index, EntryEvent::Shutdown);
            }
            ProcessId::Agent(index) => self.apply_to_agent(index, AgentEvent::Shutdown),
        }
    }

    pub fn incarnation(&self, node: ProcessId) -> u64 {
        match node {
            ProcessId::Entry(index) => self.entries[index].incarnation,
            ProcessId::Agent(index) => self.agents[index].incarnation,
        }
    }

    /// Starts processes again that have stopped by themselves.
    pub fn restart_stopped(&mut self) {
        for index in 0..self.entries.len() {
            if self.entries[index].stopped {
                self.crash(ProcessId::Entry(index));
                self.start(ProcessId::Entry(index));
            }
        }
        for index in 0..self.agents.len() {
            if self.agents[index].stopped {
                self.crash(ProcessId::Agent(index));
                self.start(ProcessId::Agent(index));
            }
        }
    }
}
