//! Reports on the fleet.

use hickorydoor::id::Revision;
use serde_json::Value;
use serde_json::json;

use crate::exit_status::ExitStatus;
use crate::fleet::Observed;
use crate::fleet::StatusFault;
use crate::report::OutputForm;
use crate::report::Report;
use crate::table::Table;

/// The fleet at a moment; the stored revision is absent while the key-value service is down.
#[derive(Debug)]
pub struct FleetReport {
    /// The newest revision that is stored.
    pub stored: Option<Revision>,
    /// The hosts.
    pub hosts: Vec<Observed>,
}

impl FleetReport {
    /// The newest revision that is known.
    fn newest(&self) -> Revision {
        let reported = self.hosts.iter().filter_map(|host| host.status.as_ref().ok());
        let reported = reported.map(|status| status.revision).max();
        self.stored.max(reported).unwrap_or_default()
    }

    /// The state of the fleet.
    pub fn status(&self, form: OutputForm) -> Report {
        let newest = self.newest();
        let revision = match self.stored {
            Some(revision) => format!("Stored revision: {revision}"),
            None => format!("The key-value service is not reachable; newest revision: {newest}"),
        };
        let hosts = self.hosts.len();
        let lagging = self.hosts.iter().filter(|host| !host.has(newest)).count();
        let links = self.links();
        let table = self.table(newest);
        let ahead = self.ahead();
        let warning = if ahead == 0 { String::new() } else { ahead_warning(ahead) };
        let text = format!(
            "{revision}\nHosts: {hosts}, lagging or unknown: {lagging}\n{links}{warning}\n{table}"
        );
        let json = json!({
            "stored_revision": self.stored,
            "newest_revision": newest,
            "hosts_ahead_of_store": ahead,
            "hosts": self.hosts_json(newest),
        });
        Report::success(form, text, &json)
    }

    /// Hosts with a higher revision than the stored one. The store was read before the hosts, so
    /// a few are normal while changes are made.
    fn ahead(&self) -> usize {
        let stored = |stored: Revision| {
            let reported = self.hosts.iter().filter_map(|host| host.status.as_ref().ok());
            reported.filter(|status| status.revision > stored).count()
        };
        self.stored.map_or(0, stored)
    }

    /// How many links from entries to agents are open.
    fn links(&self) -> String {
        let members = self.hosts.iter().filter_map(|host| host.status.as_ref().ok());
        let members: Vec<_> = members.flat_map(|status| &status.members).collect();
        let connected = members.iter().filter(|member| member.connected).count();
        let draining = members.iter().filter(|member| member.draining).count();
        format!("Links to agents: {}, open: {connected}, draining: {draining}\n", members.len())
    }

    fn table(&self, newest: Revision) -> Table {
        let mut table =
            Table::new(["ADDRESS", "HOST", "ROLE", "REVISION", "BEHIND", "READY", "IN FLIGHT"]);
        for host in &self.hosts {
            match &host.status {
                Ok(status) => {
                    let behind = newest.get().saturating_sub(status.revision.get());
                    let ready = if status.ready { "yes" } else { "no" };
                    table.row([
                        &host.address,
                        &status.host,
                        &status.role,
                        &status.revision,
                        &behind,
                        &ready,
                        &status.in_flight,
                    ]);
                }
                Err(fault) => {
                    table.row([&host.address, &fault.text(), &"-", &"-", &"-", &"-", &"-"]);
                }
            }
        }
        table
    }

    fn hosts_json(&self, newest: Revision) -> Vec<Value> {
        let host = |host: &Observed| match &host.status {
            Ok(status) => json!({
                "address": host.address,
                "status": status,
                "behind": newest.get().saturating_sub(status.revision.get()),
            }),
            Err(fault) => json!({"address": host.address, "fault": fault.text()}),
        };
        self.hosts.iter().map(host).collect()
    }

    /// Whether a revision is in force everywhere.
    pub fn wait(&self, form: OutputForm, revision: Revision) -> Report {
        let lagging: Vec<&Observed> =
            self.hosts.iter().filter(|host| !host.has(revision)).collect();
        let json = json!({
            "revision": revision,
            "in_force_everywhere": lagging.is_empty(),
            "hosts": self.hosts.len(),
            "lagging": lagging.iter().map(|host| host.address).collect::<Vec<_>>(),
        });
        if lagging.is_empty() {
            let text =
                format!("Revision {revision} is in force at all {} hosts.\n", self.hosts.len());
            return Report::success(form, text, &json);
        }
        let text: String = lagging.iter().map(|host| lag_line(host)).collect();
        let text = format!("Revision {revision} is not in force everywhere:\n{text}");
        Report::with_status(form, text, &json, self.wait_status())
    }

    /// A key that no host accepts is the operator's fault and not a lag.
    fn wait_status(&self) -> ExitStatus {
        let forbidden = |host: &Observed| matches!(host.status, Err(StatusFault::Forbidden));
        if self.hosts.iter().all(forbidden) { ExitStatus::Forbidden } else { ExitStatus::Lagging }
    }
}

fn lag_line(host: &Observed) -> String {
    match &host.status {
        Ok(status) => format!("    {} is at revision {}\n", status.host, status.revision),
        Err(fault) => format!("    {}: {}\n", host.address, fault.text()),
    }
}

fn ahead_warning(ahead: usize) -> String {
    format!(
        "Hosts ahead of the store: {ahead}. If this lasts, the key-value service has lost changes, \
         and hosts ignore new ones up to their own revision.\n"
    )
}
