//! Injection of faults, and crashes, starts and shutdowns of processes.

use hickorydoor::AgentEvent;
use hickorydoor::EntryEvent;

use super::fleet::Fleet;
use super::fleet::FleetEvent;
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
                self.schedule(down_ms, FleetEvent::Start(ProcessId::Entry(entry % entries)));
            }
            Fault::CrashAgent { agent, down_ms } => {
                self.crash(ProcessId::Agent(agent % agents));
                self.schedule(down_ms, FleetEvent::Start(ProcessId::Agent(agent % agents)));
            }
            Fault::PauseEntry { entry, ms } => {
                let until_ms = &mut self.entries[entry % entries].paused_until_ms;
                *until_ms = (*until_ms).max(self.now_ms + ms);
            }
            Fault::PauseAgent { agent, ms } => {
                let until_ms = &mut self.agents[agent % agents].paused_until_ms;
                *until_ms = (*until_ms).max(self.now_ms + ms);
            }
            Fault::KvOutage { ms } => {
                self.kv_down_until_ms = self.kv_down_until_ms.max(self.now_ms + ms);
                self.cut_watches();
            }
            Fault::KvLosesReplies { ms } => {
                self.kv_loses_replies_until_ms =
                    self.kv_loses_replies_until_ms.max(self.now_ms + ms);
            }
            Fault::CutWatches => self.cut_watches(),
            Fault::RestartEntry { entry } => {
                self.apply_to_entry(entry % entries, EntryEvent::Shutdown);
            }
            Fault::RestartAgent { agent } => {
                self.apply_to_agent(agent % agents, AgentEvent::Shutdown);
            }
        }
    }

    /// Terminates a process without a shutdown and cuts its connections.
    pub fn crash(&mut self, process: ProcessId) {
        match process {
            ProcessId::Entry(entry) => {
                if self.entries[entry].incarnation != 0 && !self.entries[entry].stopped {
                    self.crashed_incarnations.insert((process, self.entries[entry].incarnation));
                }
                self.entries[entry].incarnation = 0;
                self.callers.end_all_at(entry);
                (0..self.agents.len()).for_each(|agent| self.cut(entry, agent, false));
            }
            ProcessId::Agent(agent) => {
                if self.agents[agent].incarnation != 0 && !self.agents[agent].stopped {
                    self.crashed_incarnations.insert((process, self.agents[agent].incarnation));
                }
                self.agents[agent].incarnation = 0;
                (0..self.entries.len()).for_each(|entry| self.cut(entry, agent, false));
            }
        }
    }

    /// Starts a process, unless it is already up.
    pub fn start(&mut self, process: ProcessId) {
        match process {
            ProcessId::Entry(index) if self.entries[index].incarnation == 0 => {
                self.entries[index] = process::new_entry(index, self.now_ms);
            }
            ProcessId::Agent(index) if self.agents[index].incarnation == 0 => {
                self.agents[index] = process::new_agent(index, self.now_ms, self.setup);
            }
            ProcessId::Entry(_) | ProcessId::Agent(_) => {}
        }
    }

    /// Requests the shutdown of a process. The load balancer sends no more requests to a leaving entry.
    pub fn drain(&mut self, process: ProcessId) {
        match process {
            ProcessId::Entry(index) => {
                self.entries[index].leaving = true;
                self.apply_to_entry(index, EntryEvent::Shutdown);
            }
            ProcessId::Agent(index) => self.apply_to_agent(index, AgentEvent::Shutdown),
        }
    }

    pub fn incarnation(&self, process: ProcessId) -> u64 {
        match process {
            ProcessId::Entry(index) => self.entries[index].incarnation,
            ProcessId::Agent(index) => self.agents[index].incarnation,
        }
    }

    /// Restarts the processes that have completed their shutdown.
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
