//! Running a command.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::Matches;
use hickory_kv::Client;
use hickory_kv::ClientSettings;
use hickorydoor::configuration::change_attempt::ChangeDraft;
use hickorydoor::id::Revision;
use tokio::time::Instant;

use crate::arguments::optional;
use crate::arguments::output_form;
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
use crate::report::OutputForm;
use crate::report::Report;
use crate::store::Store;
use crate::stored_reports;

const DEFAULT_TIMEOUT_S: f64 = 10.0;
const MAX_TIMEOUT_S: f64 = 86_400.0;
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the tool with its arguments, without the program's name.
pub async fn run(arguments: &[String], environment: &Environment) -> Report {
    if matches!(arguments.first().map(String::as_str), None | Some("-h" | "--help" | "help")) {
        return text_report(command_spec::help());
    }
    let Some((spec, words)) = CommandSpec::find(arguments) else {
        let words = arguments.iter().take_while(|word| !word.starts_with('-'));
        let words: Vec<&str> = words.take(2).map(String::as_str).collect();
        let error = CliError::UnknownCommand { words: words.join(" ").into() };
        return Report::failure(OutputForm::Table, &error);
    };
    let matches = match spec.all_options().parse(words) {
        Ok(matches) => matches,
        Err(fail) => return Report::failure(OutputForm::Table, &CliError::Options(fail)),
    };
    if matches.opt_present("help") {
        return text_report(spec.help());
    }
    match output_form(&matches) {
        Ok(form) => run_matches(spec, &matches, environment, form)
            .await
            .unwrap_or_else(|error| Report::failure(form, &error)),
        Err(error) => Report::failure(OutputForm::Table, &error),
    }
}

fn text_report(text: String) -> Report {
    Report { output: text, errors: String::new(), status: ExitStatus::Success }
}

async fn run_matches(
    spec: &CommandSpec,
    matches: &Matches,
    environment: &Environment,
    form: OutputForm,
) -> Result<Report, CliError> {
    if matches.free.len() != spec.arguments.len() {
        return Err(CliError::ArgumentCount { usage: spec.usage().into() });
    }
    let command = (spec.parser)(matches, environment)?;
    let session = Session { matches, environment, form, limit: time_limit(matches)? };
    session.run(command).await
}

fn time_limit(matches: &Matches) -> Result<Duration, CliError> {
    let seconds: f64 = optional(matches, "timeout")?.unwrap_or(DEFAULT_TIMEOUT_S);
    if !(0.0..=MAX_TIMEOUT_S).contains(&seconds) {
        return Err(CliError::value("--timeout", "must be between 0 and 86400 seconds"));
    }
    Ok(Duration::from_secs_f64(seconds))
}

/// What a command runs with.
struct Session<'a> {
    matches: &'a Matches,
    environment: &'a Environment,
    form: OutputForm,
    limit: Duration,
}

impl Session<'_> {
    async fn run(&self, command: Command) -> Result<Report, CliError> {
        let form = self.form;
        match command {
            Command::Check { configuration } => Ok(stored_reports::check(form, &configuration)),
            Command::Show => {
                stored_reports::show(form, &self.store()?.configuration().await?.configuration)
            }
            Command::Diff { configuration } => {
                let current = self.store()?.configuration().await?.configuration;
                Ok(stored_reports::diff(form, &current, &configuration))
            }
            Command::History { limit, change } => {
                let store = self.store()?;
                let newest = store.configuration().await?.configuration.revision;
                let mut records = store.changes(newest, limit).await?;
                records.retain(|record| change.as_ref().is_none_or(|id| record.change == *id));
                Ok(stored_reports::history(form, &records))
            }
            Command::ListVersions => {
                let stored = self.store()?.configuration().await?;
                Ok(stored_reports::versions(form, &stored.configuration))
            }
            Command::ListExceptions => {
                let stored = self.store()?.configuration().await?;
                let now = self.environment.now_ms;
                Ok(stored_reports::exceptions(form, &stored.configuration, now))
            }
            Command::Change(request) => self.change(*request).await,
            Command::Status => self.status().await,
            Command::Bills(query) => {
                Ok(BillTotals::read(&self.store()?, &query).await?.report(form))
            }
            Command::Wait { revision } => self.wait(revision).await,
        }
    }

    async fn change(&self, request: ChangeRequest) -> Result<Report, CliError> {
        let store = self.store()?;
        if request.dry_run {
            let current = store.configuration().await?.configuration;
            return change_report::dry_run(self.form, &current, &request);
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
        Ok(change_report::outcome(self.form, &request, &outcome))
    }

    async fn status(&self) -> Result<Report, CliError> {
        let fleet = self.fleet()?;
        let stored = match self.store() {
            Ok(store) => {
                store.configuration().await.ok().map(|stored| stored.configuration.revision)
            }
            Err(CliError::MissingOption { .. }) => None,
            Err(error) => return Err(error),
        };
        let report = FleetReport { stored, hosts: fleet.observe().await };
        Ok(report.status(self.form))
    }

    async fn wait(&self, revision: Revision) -> Result<Report, CliError> {
        let fleet = self.fleet()?;
        let deadline = Instant::now() + self.limit;
        let mut hosts = fleet.observe().await;
        loop {
            let done = hosts.iter().all(|host| host.has(revision));
            if done || Instant::now() + POLL_INTERVAL >= deadline {
                let report = FleetReport { stored: None, hosts };
                return Ok(report.wait(self.form, revision));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            hosts = fleet.observe_lagging(hosts, revision).await;
        }
    }

    fn store(&self) -> Result<Store, CliError> {
        let endpoints = self.list("kv", "HICKORY_KV");
        if endpoints.is_empty() {
            return Err(CliError::MissingOption { option: "kv" });
        }
        let settings = ClientSettings::new(endpoints).map_err(CliError::Endpoint)?;
        Ok(Store::new(Client::new(settings), self.environment.now_ms, self.limit))
    }

    fn fleet(&self) -> Result<Fleet, CliError> {
        let mut texts = self.list("host", "HICKORY_HOSTS");
        if let Some(file) = self.matches.opt_str("hosts-file") {
            texts.extend(lines(&file)?);
        }
        if texts.is_empty() {
            return Err(CliError::MissingOption { option: "host" });
        }
        let parse = |text: &String| {
            let bad = |_error| CliError::value(text, "must be IP:PORT");
            text.parse::<SocketAddr>().map_err(bad)
        };
        let addresses = texts.iter().map(parse).collect::<Result<_, _>>()?;
        let key = self.environment.variable("HICKORY_OPERATOR_KEY").map(str::to_owned);
        Ok(Fleet::new(addresses, key))
    }

    /// An option's values, or else the comma-separated ones of a variable.
    fn list(&self, option: &str, variable: &str) -> Vec<String> {
        let given = repeated(self.matches, option).unwrap_or_default();
        if !given.is_empty() {
            return given;
        }
        let text = self.environment.variable(variable).unwrap_or_default();
        text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(str::to_owned).collect()
    }
}

/// The lines of a file without blank ones and comments.
fn lines(file: &str) -> Result<Vec<String>, CliError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CliError::File { file: file.into(), detail: error.to_string().into() })?;
    let lines = text.lines().map(str::trim);
    Ok(lines.filter(|line| !line.is_empty() && !line.starts_with('#')).map(str::to_owned).collect())
}
