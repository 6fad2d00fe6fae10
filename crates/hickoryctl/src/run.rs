//! Parses a command line and executes its command.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::Matches;
use hickory_kv::Client;
use hickory_kv::ClientSettings;
use hickorydoor::configuration::change_attempt::ChangeDraft;
use hickorydoor::id::Revision;
use tokio::time::Instant;

use crate::arguments::optional;
use crate::arguments::output_format;
use crate::arguments::repeated;
use crate::bill_report::BillTotals;
use crate::change_report;
use crate::cli_error::CliError;
use crate::command::ChangeRequest;
use crate::command::Command;
use crate::command_spec;
use crate::command_spec::CommandSpec;
use crate::environment::Environment;
use crate::exit_status::ExitStatus;
use crate::fleet::Fleet;
use crate::fleet_report::FleetReport;
use crate::report::OutputFormat;
use crate::report::Report;
use crate::store::Store;
use crate::stored_reports;

const DEFAULT_TIMEOUT_S: f64 = 10.0;
const MAX_TIMEOUT_S: f64 = 86_400.0;
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the command line `arguments`, which does not include the name of the program.
///
/// Never fails: errors are part of the returned report.
pub async fn run(arguments: &[String], environment: &Environment) -> Report {
    if matches!(arguments.first().map(String::as_str), None | Some("-h" | "--help" | "help")) {
        return text_report(command_spec::help());
    }
    let Some((spec, words)) = CommandSpec::find(arguments) else {
        let words = arguments.iter().take_while(|word| !word.starts_with('-'));
        let words: Vec<&str> = words.take(2).map(String::as_str).collect();
        let error = CliError::UnknownCommand { words: words.join(" ").into() };
        return Report::failure(OutputFormat::Table, &error);
    };
    let matches = match spec.all_options().parse(words) {
        Ok(matches) => matches,
        Err(error) => return Report::failure(OutputFormat::Table, &CliError::Options(error)),
    };
    if matches.opt_present("help") {
        return text_report(spec.help());
    }
    match output_format(&matches) {
        Ok(format) => run_command(spec, &matches, environment, format)
            .await
            .unwrap_or_else(|error| Report::failure(format, &error)),
        Err(error) => Report::failure(OutputFormat::Table, &error),
    }
}

fn text_report(text: String) -> Report {
    Report { output: text, errors: String::new(), status: ExitStatus::Success }
}

async fn run_command(
    spec: &CommandSpec,
    matches: &Matches,
    environment: &Environment,
    format: OutputFormat,
) -> Result<Report, CliError> {
    if matches.free.len() != spec.arguments.len() {
        return Err(CliError::ArgumentCount { usage: spec.usage().into() });
    }
    let command = (spec.parser)(matches, environment)?;
    let invocation = Invocation { matches, environment, format, time_limit: time_limit(matches)? };
    invocation.run(command).await
}

fn time_limit(matches: &Matches) -> Result<Duration, CliError> {
    let seconds: f64 = optional(matches, "timeout")?.unwrap_or(DEFAULT_TIMEOUT_S);
    if !(0.0..=MAX_TIMEOUT_S).contains(&seconds) {
        return Err(CliError::value("--timeout", "must be between 0 and 86400 seconds"));
    }
    Ok(Duration::from_secs_f64(seconds))
}

/// Options and environment with which a command is executed.
struct Invocation<'a> {
    matches: &'a Matches,
    environment: &'a Environment,
    format: OutputFormat,
    time_limit: Duration,
}

impl Invocation<'_> {
    async fn run(&self, command: Command) -> Result<Report, CliError> {
        let format = self.format;
        match command {
            Command::Check { configuration } => Ok(stored_reports::check(format, &configuration)),
            Command::Show => {
                stored_reports::show(format, &self.store()?.configuration().await?.configuration)
            }
            Command::Diff { configuration } => {
                let current = self.store()?.configuration().await?.configuration;
                Ok(stored_reports::diff(format, &current, &configuration))
            }
            Command::History { limit, change } => {
                let store = self.store()?;
                let newest = store.configuration().await?.configuration.revision;
                let mut records = store.changes(newest, limit).await?;
                records.retain(|record| change.as_ref().is_none_or(|id| record.change == *id));
                Ok(stored_reports::history(format, &records))
            }
            Command::ListVersions => {
                let stored = self.store()?.configuration().await?;
                Ok(stored_reports::versions(format, &stored.configuration))
            }
            Command::ListExceptions => {
                let stored = self.store()?.configuration().await?;
                let now = self.environment.now_ms;
                Ok(stored_reports::exceptions(format, &stored.configuration, now))
            }
            Command::Change(request) => self.change(*request).await,
            Command::Status => self.status().await,
            Command::Bills(query) => {
                Ok(BillTotals::read(&self.store()?, &query).await?.report(format))
            }
            Command::Wait { revision } => self.wait(revision).await,
        }
    }

    async fn change(&self, request: ChangeRequest) -> Result<Report, CliError> {
        let store = self.store()?;
        if request.dry_run {
            let current = store.configuration().await?.configuration;
            return change_report::dry_run(self.format, &current, &request);
        }
        let id = self.environment.change_id();
        let draft = ChangeDraft {
            change: id.parse().map_err(|error| CliError::value("change id", error))?,
            operator: request.operator.clone(),
            reason: request.reason.clone(),
            made_at_ms: self.environment.now_ms,
            action: request.action.clone(),
        };
        let outcome = store.change(draft).await;
        Ok(change_report::outcome(self.format, &request, &outcome))
    }

    async fn status(&self) -> Result<Report, CliError> {
        let fleet = self.fleet()?;
        let stored_revision = match self.store() {
            Ok(store) => {
                store.configuration().await.ok().map(|stored| stored.configuration.revision)
            }
            Err(CliError::MissingOption { .. }) => None,
            Err(error) => return Err(error),
        };
        let report = FleetReport { stored_revision, hosts: fleet.observe().await };
        Ok(report.status_report(self.format))
    }

    async fn wait(&self, revision: Revision) -> Result<Report, CliError> {
        let fleet = self.fleet()?;
        let deadline = Instant::now() + self.time_limit;
        let mut hosts = fleet.observe().await;
        loop {
            let in_force_everywhere = hosts.iter().all(|host| host.has_revision(revision));
            if in_force_everywhere || Instant::now() + POLL_INTERVAL >= deadline {
                let report = FleetReport { stored_revision: None, hosts };
                return Ok(report.wait_report(self.format, revision));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            hosts = fleet.refresh_lagging(hosts, revision).await;
        }
    }

    fn store(&self) -> Result<Store, CliError> {
        let endpoints = self.option_or_variable("kv", "HICKORY_KV");
        if endpoints.is_empty() {
            return Err(CliError::MissingOption { option: "kv" });
        }
        let settings = ClientSettings::new(endpoints).map_err(CliError::Endpoint)?;
        Ok(Store::new(Client::new(settings), self.environment.now_ms, self.time_limit))
    }

    fn fleet(&self) -> Result<Fleet, CliError> {
        let mut addresses_text = self.option_or_variable("host", "HICKORY_HOSTS");
        if let Some(file) = self.matches.opt_str("hosts-file") {
            addresses_text.extend(read_lines(&file)?);
        }
        if addresses_text.is_empty() {
            return Err(CliError::MissingOption { option: "host" });
        }
        let parse = |text: &String| {
            let invalid = |_error| CliError::value(text, "must be IP:PORT");
            text.parse::<SocketAddr>().map_err(invalid)
        };
        let addresses = addresses_text.iter().map(parse).collect::<Result<_, _>>()?;
        let key = self.environment.variable("HICKORY_OPERATOR_KEY").map(str::to_owned);
        Ok(Fleet::new(addresses, key))
    }

    /// Returns the values of an option, or the comma-separated values of a variable if the option
    /// is not given.
    fn option_or_variable(&self, option: &str, variable: &str) -> Vec<String> {
        let values = repeated(self.matches, option).unwrap_or_default();
        if !values.is_empty() {
            return values;
        }
        let text = self.environment.variable(variable).unwrap_or_default();
        text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(str::to_owned).collect()
    }
}

/// Reads the lines of a file, without blank lines and comments.
fn read_lines(file: &str) -> Result<Vec<String>, CliError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CliError::File { file: file.into(), detail: error.to_string().into() })?;
    let lines = text.lines().map(str::trim);
    Ok(lines.filter(|line| !line.is_empty() && !line.starts_with('#')).map(str::to_owned).collect())
}
