//! Reports on the status of the fleet and on the progress of a revision.

use hickorydoor::id::Revision;
use serde_json::Value;
use serde_json::json;

use crate::exit_status::ExitStatus;
use crate::fleet::HostObservation;
use crate::fleet::StatusError;
use crate::report::OutputFormat;
use crate::report::Report;
use crate::table::Table;

/// Status of the fleet at one point in time.
#[derive(Debug)]
pub struct FleetReport {
    /// Revision of the stored configuration; `None` if it was not read or could not be read.
    pub stored_revision: Option<Revision>,
    pub hosts: Vec<HostObservation>,
}

impl FleetReport {
    /// Highest revision that is stored or in force at a host.
    fn newest_revision(&self) -> Revision {
        let reported = self.hosts.iter().filter_map(|host| host.status.as_ref().ok());
        let reported = reported.map(|status| status.revision).max();
        self.stored_revision.max(reported).unwrap_or_default()
    }

    /// Report of `hickoryctl status`.
    pub fn status_report(&self, format: OutputFormat) -> Report {
        let newest = self.newest_revision();
        let revision = match self.stored_revision {
            Some(revision) => format!("Stored revision: {revision}"),
            None => format!("The key-value service is not reachable; newest revision: {newest}"),
        };
        let hosts = self.hosts.len();
        let lagging = self.hosts.iter().filter(|host| !host.has_revision(newest)).count();
        let links = self.link_summary();
        let table = self.table(newest);
        let ahead = self.count_ahead_of_store();
        let warning = if ahead == 0 { String::new() } else { ahead_warning(ahead) };
        let text = format!(
            "{revision}\nHosts: {hosts}, lagging or unknown: {lagging}\n{links}{warning}\n{table}"
        );
        let json = json!({
            "stored_revision": self.stored_revision,
            "newest_revision": newest,
            "hosts_ahead_of_store": ahead,
            "hosts": self.hosts_json(newest),
        });
        Report::success(format, text, &json)
    }

    /// Number of hosts with a higher revision than the stored one. The store is read before the
    /// hosts, so a few such hosts are normal while changes are being made.
    fn count_ahead_of_store(&self) -> usize {
        let count_ahead = |stored: Revision| {
            let reported = self.hosts.iter().filter_map(|host| host.status.as_ref().ok());
            reported.filter(|status| status.revision > stored).count()
        };
        self.stored_revision.map_or(0, count_ahead)
    }

    /// Summary line of the links from entries to agents.
    fn link_summary(&self) -> String {
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
                    table.push_row([
                        &host.address,
                        &status.host,
                        &status.role,
                        &status.revision,
                        &behind,
                        &ready,
                        &status.in_flight,
                    ]);
                }
                Err(error) => {
                    table.push_row([
                        &host.address,
                        &error.description(),
                        &"-",
                        &"-",
                        &"-",
                        &"-",
                        &"-",
                    ]);
                }
            }
        }
        table
    }

    fn hosts_json(&self, newest: Revision) -> Vec<Value> {
        let host = |host: &HostObservation| match &host.status {
            Ok(status) => json!({
                "address": host.address,
                "status": status,
                "behind": newest.get().saturating_sub(status.revision.get()),
            }),
            Err(error) => json!({"address": host.address, "fault": error.description()}),
        };
        self.hosts.iter().map(host).collect()
    }

    /// Report of `hickoryctl wait`.
    pub fn wait_report(&self, format: OutputFormat, revision: Revision) -> Report {
        let lagging: Vec<&HostObservation> =
            self.hosts.iter().filter(|host| !host.has_revision(revision)).collect();
        let json = json!({
            "revision": revision,
            "in_force_everywhere": lagging.is_empty(),
            "hosts": self.hosts.len(),
            "lagging": lagging.iter().map(|host| host.address).collect::<Vec<_>>(),
        });
        if lagging.is_empty() {
            let text =
                format!("Revision {revision} is in force at all {} hosts.\n", self.hosts.len());
            return Report::success(format, text, &json);
        }
        let text: String = lagging.iter().map(|host| lagging_host_line(host)).collect();
        let text = format!("Revision {revision} is not in force everywhere:\n{text}");
        Report::with_status(format, text, &json, self.wait_exit_status())
    }

    /// Exit status if a revision is not in force everywhere. A key that every host rejects is an
    /// error of the operator and not a lag.
    fn wait_exit_status(&self) -> ExitStatus {
        let forbidden = |host: &HostObservation| matches!(host.status, Err(StatusError::Forbidden));
        if self.hosts.iter().all(forbidden) { ExitStatus::Forbidden } else { ExitStatus::Lagging }
    }
}

fn lagging_host_line(host: &HostObservation) -> String {
    match &host.status {
        Ok(status) => format!("    {} is at revision {}\n", status.host, status.revision),
        Err(error) => format!("    {}: {}\n", host.address, error.description()),
    }
}

fn ahead_warning(ahead: usize) -> String {
    format!(
        "Hosts ahead of the store: {ahead}. If this persists, the key-value service has lost \
         changes, and these hosts ignore every change up to their own revision.\n"
    )
}
