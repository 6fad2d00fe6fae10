//! Configuration updates and links to entries.

use std::collections::BTreeSet;

use crate::agent::Agent;
use crate::agent::EntryLink;
use crate::agent::event::ReportFault;
use crate::agent::event::UpstreamReport;
use crate::configuration::exception::Override;
use crate::id::HostId;
use crate::id::Revision;
use crate::id::VersionId;
use crate::load_report::LoadReport;
use crate::message::AgentHello;
use crate::message::AgentMessage;
use crate::message::ConfigUpdate;
use crate::message::EntryHello;
use crate::message::EntryMessage;
use crate::message::Offer;
use crate::observation::Observation;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Validity of a leave notice; entries repeat the notice with every host list. A wrong host list
/// therefore takes the agent out of service for at most this time.
const LEAVE_NOTICE_TTL_MS: DurationMs = DurationMs::from_secs(30);
/// How long new work is refused after a pause of the process, so that missed configuration changes
/// can arrive; a pull takes a few milliseconds.
const CATCH_UP_DELAY_MS: DurationMs = DurationMs::from_secs(1);
/// Number of peers to pull the configuration from after a pause. One may not be enough, because a
/// peer may lag or have been paused as well.
const CATCH_UP_PEERS: usize = 3;

impl Agent {
    pub(crate) fn on_link_up(&mut self, entry: &HostId, now: TimeMs) {
        let link = self.links.entry(entry.clone()).or_default();
        link.connected = true;
        link.last_contact_at_ms = now;
    }

    pub(crate) fn on_link_down(&mut self, entry: &HostId, now: TimeMs) {
        if let Some(link) = self.links.get_mut(entry) {
            link.connected = false;
        }
        self.pull.remove_peer(entry);
        self.mark_link_lost(entry, now);
    }

    pub(crate) fn on_message(&mut self, entry: &HostId, message: EntryMessage, now: TimeMs) {
        if let Some(link) = self.links.get_mut(entry) {
            link.last_contact_at_ms = now;
        }
        match message {
            EntryMessage::Hello(hello) => self.on_hello(entry, &hello, now),
            EntryMessage::Dispatch(dispatch) => self.on_dispatch(entry, &dispatch, now),
            EntryMessage::Cancel { attempt } => self.on_cancel(&attempt, now),
            EntryMessage::Credit { attempt, read_bytes } => {
                self.on_credit(&attempt, read_bytes);
            }
            EntryMessage::Ratings(ratings) => self.on_ratings(&ratings),
            EntryMessage::Resume { attempt, offset } => {
                self.on_resume(entry, &attempt, offset);
            }
            EntryMessage::Settled(settlement) => self.on_settled(&settlement),
            EntryMessage::Heartbeat { revision } | EntryMessage::ConfigNotice { revision } => {
                self.on_peer_revision(entry, revision, now);
            }
            EntryMessage::ConfigPull { current } => self.on_config_pull(entry, current),
            EntryMessage::ConfigUpdate(update) => self.on_config_update(update, now),
            EntryMessage::LeaveNotice => self.on_leave_notice(now),
            EntryMessage::Pin { key, pin, confirmed } => self.on_pin(entry, key, pin, confirmed),
        }
    }

    fn on_hello(&mut self, entry: &HostId, hello: &EntryHello, now: TimeMs) {
        let link = self.links.entry(entry.clone()).or_default();
        if hello.incarnation < link.incarnation {
            // Delayed hello of an earlier incarnation.
            return;
        }
        link.connected = true;
        link.last_contact_at_ms = now;
        link.report_interval_ms = hello.heartbeat_interval_ms;
        if link.incarnation != hello.incarnation {
            link.incarnation = hello.incarnation;
            link.received_attempts = 0;
            self.fence.start_incarnation(entry, hello.incarnation);
        }
        self.send_hello(entry);
        self.send_report(entry, now);
        self.send_evidence(entry);
        self.notify_if_closed(&(entry.clone(), hello.incarnation));
        self.on_peer_revision(entry, hello.revision, now);
    }

    fn send_hello(&mut self, entry: &HostId) {
        let reply = AgentHello {
            agent: self.settings.host.clone(),
            upstream: self.settings.upstream.clone(),
            incarnation: self.settings.incarnation,
            data_centre: self.settings.data_centre.clone(),
            region: self.settings.region.clone(),
            offer: self.offer(),
            revision: self.revision(),
            draining: self.is_leaving(),
        };
        self.send(entry, AgentMessage::Hello(reply));
    }

    /// Whether the agent is shutting down, its host or its upstream is leaving, or its upstream is
    /// taken out of service.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.draining
            || self.upstream_out
            || self.leaving_until_ms.is_some()
            || self.room.has_said_it_leaves()
    }

    /// Applies configured exceptions that take this upstream out of service. Entries are notified
    /// of a change at once; the agent refuses work that they send before the notification arrives.
    pub(crate) fn tick_upstream_out(&mut self, now: TimeMs) {
        let is_out = self.config.current().overrides(now).any(|change| match change {
            Override::UpstreamOut { upstream } => *upstream == self.settings.upstream,
            _ => false,
        });
        if is_out == self.upstream_out {
            return;
        }
        self.upstream_out = is_out;
        for entry in self.connected_entries() {
            self.send_hello(&entry);
        }
    }

    fn offer(&self) -> Offer {
        match &self.settings.offer {
            Offer::Engine { .. } => Offer::Engine { versions: self.versions() },
            service @ Offer::Service { .. } => service.clone(),
        }
    }

    /// Versions that the engine serves: the reported ones, or the assigned ones until the engine
    /// has reported any.
    pub(crate) fn versions(&self) -> Vec<VersionId> {
        match &self.settings.offer {
            Offer::Engine { versions } if self.report.versions.is_empty() => versions.clone(),
            Offer::Engine { .. } => self.report.versions.clone(),
            Offer::Service { .. } => Vec::new(),
        }
    }

    pub(crate) fn on_upstream_report(
        &mut self,
        report: Result<UpstreamReport, ReportFault>,
        now: TimeMs,
    ) {
        let was_up = std::mem::replace(&mut self.upstream_up, report.is_ok());
        if report == Err(ReportFault::NotListening) {
            self.forget_upstream_notices();
        }
        let Ok(report) = report else {
            if was_up {
                self.reset_admission(now);
            }
            return;
        };
        self.engine_reported = true;
        let has_versions = !self.report.versions.is_empty();
        if has_versions && self.report.versions != report.versions {
            self.reset_admission(now);
        }
        self.speed.observe(&report, self.settings.warm_limit);
        self.report = report;
    }

    /// Sends due load reports: on idle links at the link's interval, and on links with attempts in
    /// progress whenever nothing was sent for the agent's own interval, so that an entry can
    /// distinguish a slow engine from a lost agent.
    pub(crate) fn tick_reports(&mut self, now: TimeMs) {
        let busy = self.busy_entries();
        let min_interval_ms = self.settings.report_interval_ms;
        let due = |(entry, link): &(&HostId, &EntryLink)| {
            let idle_ms = min_interval_ms.max(link.report_interval_ms);
            let is_silent = now >= link.last_sent_at_ms + min_interval_ms;
            let report_due = now >= link.last_report_at_ms + idle_ms;
            link.connected && (report_due || (is_silent && busy.contains(*entry)))
        };
        let mut entries: Vec<HostId> =
            self.links.iter().filter(due).map(|(entry, _)| entry.clone()).collect();
        entries.sort_unstable();
        for entry in entries {
            self.send_report(&entry, now);
        }
    }

    /// Sends a load report to all entries at once, for changes that must not wait for the interval.
    pub(crate) fn send_reports_now(&mut self, now: TimeMs) {
        for entry in self.connected_entries() {
            self.send_report(&entry, now);
        }
    }

    fn busy_entries(&self) -> BTreeSet<HostId> {
        let running = self.attempts.values().filter(|state| !state.is_over());
        running.map(|state| state.entry.clone()).collect()
    }

    /// Notifies entries that this host stays, once the last leave notice has expired.
    pub(crate) fn tick_leaving(&mut self, now: TimeMs) {
        if self.leaving_until_ms.is_none_or(|until| now < until) {
            return;
        }
        self.leaving_until_ms = None;
        for entry in self.connected_entries() {
            self.send_hello(&entry);
        }
    }

    fn send_report(&mut self, entry: &HostId, now: TimeMs) {
        if let Some(link) = self.links.get_mut(entry) {
            link.last_report_at_ms = now;
        }
        let received_from_entry = self.links.get(entry).map_or(0, |link| link.received_attempts);
        let running = self.running() as u32;
        let report = LoadReport {
            leaving: self.is_leaving(),
            observed_at_ms: now,
            revision: self.revision(),
            running,
            queued: self.report.queued,
            admission_limit: self.admission_limit(),
            warm_limit: self.settings.warm_limit,
            queued_prompt_tokens: self.report.queued_prompt_tokens,
            prefill_tokens_per_s: self.speed.prefill_tokens_per_s(),
            token_interval_ms: self.speed.token_interval_ms(running, self.settings.warm_limit),
            first_token_ms: DurationMs::new(self.first_token_ms as u64),
            versions: self.versions(),
            received_from_entry,
        };
        self.send(entry, AgentMessage::Load(Box::new(report)));
    }

    /// Requests configuration changes that were missed while this process was paused. Until they
    /// can have arrived, new work is refused, so that dispatches from before the pause do not run
    /// under an outdated configuration.
    pub(crate) fn catch_up(&mut self, now: TimeMs) {
        self.stale_until_ms = now + CATCH_UP_DELAY_MS;
        let current = self.revision();
        for entry in self.connected_entries().into_iter().take(CATCH_UP_PEERS) {
            self.send(&entry, AgentMessage::ConfigPull { current });
        }
    }

    fn on_peer_revision(&mut self, entry: &HostId, revision: Revision, now: TimeMs) {
        self.pull.record_revision(entry, revision);
        self.tick_configuration(now);
    }

    /// Pulls newer configuration, and announces the revision in force to peers that lag behind.
    pub(crate) fn tick_configuration(&mut self, now: TimeMs) {
        let current = self.revision();
        if let Some(entry) = self.pull.next_peer(current, now, &mut self.rng) {
            self.send(&entry, AgentMessage::ConfigPull { current });
        }
        for entry in self.pull.due_notices(current, now) {
            self.send(&entry, AgentMessage::ConfigNotice { revision: current });
        }
    }

    fn on_config_pull(&mut self, entry: &HostId, current: Revision) {
        if let Some(update) = self.config.updates_since(current) {
            self.send(entry, AgentMessage::ConfigUpdate(update));
        }
    }

    fn on_config_update(&mut self, update: ConfigUpdate, now: TimeMs) {
        self.pull.update_received();
        let before = self.revision();
        let compared = self.compared_versions();
        let result = self.config.apply(update);
        let revision = self.revision();
        self.reset_evidence(&compared);
        if revision > before {
            self.record(Observation::RevisionInForce { revision });
            self.pull.schedule_notice(now);
            self.tick_configuration(now);
        }
        if before == Revision::default() {
            // Entries send no work to an agent without a configuration, so report at once.
            for entry in self.connected_entries() {
                self.send_report(&entry, now);
            }
        }
        if result.is_err() {
            self.record(Observation::ConfigurationRefused { revision });
        }
    }

    fn on_leave_notice(&mut self, now: TimeMs) {
        let was_leaving = self.is_leaving();
        self.leaving_until_ms = Some(now + LEAVE_NOTICE_TTL_MS);
        if was_leaving {
            return;
        }
        for entry in self.connected_entries() {
            self.send(&entry, AgentMessage::Draining);
        }
    }
}
