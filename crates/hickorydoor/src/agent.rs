//! Reducer of the agent role.
//!
//! The agent is the gate of its upstream: every call passes through it, whichever entry sent it.
//! [`Agent::apply`] takes one event and the time and returns the effects to carry out. Handlers
//! are grouped by concern: `agent_attempt` runs attempts, `agent_config` keeps configuration and
//! links.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::agent_attempt::AttemptState;
use crate::agent_effect::AgentEffect;
use crate::agent_event::AgentEvent;
use crate::agent_event::UpstreamReport;
use crate::agent_settings::AgentSettings;
use crate::config_log::ConfigLog;
use crate::configuration::Configuration;
use crate::evidence::Evidence;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::id::VersionId;
use crate::message::AgentMessage;
use crate::observation::Observation;
use crate::recent_map::RecentMap;
use crate::session_pin::Pin;
use crate::session_pin::PinKey;
use crate::time::TimeMs;
use crate::usage_store::UsageStore;

/// Pins that an agent holds at least, under 20 MB with their versions' names. Two homes for each
/// of 12,000 agents hold 780 million sessions.
const HELD_PINS: usize = 1 << 17;

/// What an agent knows about one entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryLink {
    /// Whether a connection is open.
    pub connected: bool,
    /// The life of the entry that said hello last.
    pub incarnation: Incarnation,
    /// Attempts received from that life.
    pub received: u64,
    /// When the connection was lost.
    pub lost_at_ms: Option<TimeMs>,
}

/// State of one agent.
#[derive(Clone, Debug)]
pub struct Agent {
    pub(crate) settings: AgentSettings,
    pub(crate) config: ConfigLog,
    pub(crate) links: HashMap<HostId, EntryLink>,
    pub(crate) attempts: HashMap<AttemptId, AttemptState>,
    pub(crate) fenced: HashMap<AttemptId, TimeMs>,
    pub(crate) pins: RecentMap<PinKey, Pin>,
    pub(crate) evidence: BTreeMap<VersionId, Evidence>,
    pub(crate) evidence_from: Revision,
    pub(crate) next_evidence_at_ms: TimeMs,
    pub(crate) usage: UsageStore,
    pub(crate) report: UpstreamReport,
    pub(crate) upstream_up: bool,
    pub(crate) first_token_ms: f64,
    pub(crate) pull: Option<(HostId, TimeMs)>,
    pub(crate) next_report_at_ms: TimeMs,
    pub(crate) draining: bool,
    pub(crate) stopped: bool,
    effects: Vec<AgentEffect>,
}

impl Agent {
    /// An agent that knows no configuration and no entries yet.
    ///
    /// The same settings, events and times always give the same effects.
    pub fn new(settings: AgentSettings, now: TimeMs) -> Self {
        Self {
            config: ConfigLog::default(),
            links: HashMap::new(),
            attempts: HashMap::new(),
            fenced: HashMap::new(),
            pins: RecentMap::new(HELD_PINS),
            evidence: BTreeMap::new(),
            evidence_from: Revision::default(),
            next_evidence_at_ms: now,
            usage: UsageStore::default(),
            report: UpstreamReport::default(),
            upstream_up: true,
            first_token_ms: 0.0,
            pull: None,
            next_report_at_ms: now + settings.report_interval_ms,
            draining: false,
            stopped: false,
            effects: Vec::new(),
            settings,
        }
    }

    /// Applies one event and returns the effects to carry out, in order.
    pub fn apply(&mut self, event: AgentEvent, now: TimeMs) -> Vec<AgentEffect> {
        match event {
            AgentEvent::LinkUp { entry } => self.on_link_up(&entry),
            AgentEvent::LinkDown { entry } => self.on_link_down(&entry, now),
            AgentEvent::Message { entry, message } => self.on_message(&entry, message, now),
            AgentEvent::UpstreamStarted { attempt, status, content_type } => {
                self.on_upstream_started(&attempt, status, content_type, now);
            }
            AgentEvent::UpstreamChunk { attempt, tokens, data } => {
                self.on_upstream_chunk(&attempt, tokens, data, now);
            }
            AgentEvent::UpstreamEnded { attempt, usage } => {
                self.on_upstream_ended(&attempt, usage, now);
            }
            AgentEvent::UpstreamFailed { attempt, fault } => {
                self.on_upstream_failed(&attempt, fault, now);
            }
            AgentEvent::UpstreamReport(report) => self.on_upstream_report(report),
            AgentEvent::Kv { .. } => {}
            AgentEvent::Tick => self.on_tick(now),
            AgentEvent::Shutdown => self.on_shutdown(),
        }
        self.finish_shutdown();
        std::mem::take(&mut self.effects)
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Configuration {
        self.config.current()
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// Attempts that run at the upstream.
    pub fn running(&self) -> usize {
        self.attempts.values().filter(|attempt| !attempt.is_over()).count()
    }

    /// Usage copies that wait for their bills to be stored.
    pub const fn usage(&self) -> &UsageStore {
        &self.usage
    }

    fn on_tick(&mut self, now: TimeMs) {
        self.expire_attempts(now);
        self.tick_reports(now);
        self.tick_evidence(now);
    }

    fn on_shutdown(&mut self) {
        self.draining = true;
        for entry in self.connected_entries() {
            self.send(&entry, AgentMessage::Draining);
        }
    }

    fn finish_shutdown(&mut self) {
        if self.draining && self.attempts.is_empty() && !self.stopped {
            self.stopped = true;
            self.push(AgentEffect::Stopped);
        }
    }

    pub(crate) fn connected_entries(&self) -> Vec<HostId> {
        let mut entries: Vec<HostId> = self
            .links
            .iter()
            .filter(|(_, link)| link.connected)
            .map(|(entry, _)| entry.clone())
            .collect();
        entries.sort_unstable();
        entries
    }

    pub(crate) fn push(&mut self, effect: AgentEffect) {
        self.effects.push(effect);
    }

    pub(crate) fn send(&mut self, entry: &HostId, message: AgentMessage) {
        self.push(AgentEffect::Send { entry: entry.clone(), message });
    }

    pub(crate) fn record(&mut self, observation: Observation) {
        self.push(AgentEffect::Record(observation));
    }
}
