//! Options and arguments of the commands.

use std::str::FromStr;

use compact_str::CompactString;
use getopts::Matches;
use getopts::Options;
use hickorydoor::TimeMs;
use hickorydoor::configuration::operator_action::OperatorAction;
use hickorydoor::id::DataCentreId;
use hickorydoor::id::ModelId;
use hickorydoor::id::OperatorId;
use hickorydoor::id::VersionId;
use hickorydoor::quantity::Share;

use crate::cli_error::CliError;
use crate::command::BillQuery;
use crate::command::ChangeRequest;
use crate::command::Command;
use crate::config_file;
use crate::environment::Environment;
use crate::moment::Moment;
use crate::report::OutputForm;

type Parsed = Result<Command, CliError>;

const DEFAULT_HISTORY: u64 = 20;

pub fn common_options(options: &mut Options) {
    options.optmulti(
        "",
        "kv",
        "endpoint of the key-value service, http://HOST:PORT (HICKORY_KV)",
        "URL",
    );
    options.optmulti(
        "",
        "host",
        "operators' port of an entry or agent, IP:PORT (HICKORY_HOSTS)",
        "ADDRESS",
    );
    options.optopt("", "hosts-file", "file with one such address a line", "FILE");
    options.optopt("", "timeout", "time limit of the whole command (default 10)", "SECONDS");
    options.optopt("o", "output", "form of the output (default table)", "table|json");
    options.optflag("h", "help", "show this help");
}

pub fn change_options(options: &mut Options) {
    options.optopt("r", "reason", "why the change is made; needed unless --dry-run", "TEXT");
    options.optopt("", "operator", "who makes the change (HICKORY_OPERATOR, USER)", "NAME");
    options.optflag("n", "dry-run", "show the difference and change nothing");
}

pub fn share_options(options: &mut Options) {
    options.optopt("s", "share", "share of new sessions, such as 5% or 0.05", "SHARE");
    change_options(options);
}

pub fn force_options(options: &mut Options) {
    options.optflag("", "force", "even if nothing is left in service");
    change_options(options);
}

pub fn history_options(options: &mut Options) {
    options.optopt("l", "limit", "changes to look at (default 20)", "COUNT");
    options.optopt("c", "change", "only the change with this id", "CHANGE");
}

pub fn bill_options(options: &mut Options) {
    options.optopt("", "customer", "only this customer", "CUSTOMER");
    options.optopt("", "entry", "only this entry", "HOST");
    let time = "YYYY-MM-DD, YYYY-MM-DDTHH:MM:SSZ or Unix milliseconds";
    options.optopt("", "from", &format!("batches sealed at this time or later: {time}"), "TIME");
    options.optopt("", "to", "batches sealed before this time", "TIME");
}

/// The option's value, if it is given.
pub fn optional<T: FromStr>(matches: &Matches, option: &str) -> Result<Option<T>, CliError>
where
    T::Err: std::fmt::Display,
{
    let parse = |text: String| parse_value(&format!("--{option}"), &text);
    matches.opt_str(option).map(parse).transpose()
}

/// The option's value.
pub fn required<T: FromStr>(matches: &Matches, option: &'static str) -> Result<T, CliError>
where
    T::Err: std::fmt::Display,
{
    optional(matches, option)?.ok_or(CliError::MissingOption { option })
}

/// The option's values, in order.
pub fn repeated<T: FromStr>(matches: &Matches, option: &str) -> Result<Vec<T>, CliError>
where
    T::Err: std::fmt::Display,
{
    let name = format!("--{option}");
    matches.opt_strs(option).iter().map(|text| parse_value(&name, text)).collect()
}

/// The argument at this position; the caller has checked the number of arguments.
pub fn argument<T: FromStr>(matches: &Matches, index: usize, name: &str) -> Result<T, CliError>
where
    T::Err: std::fmt::Display,
{
    parse_value(name, matches.free.get(index).map_or("", String::as_str))
}

fn parse_value<T: FromStr>(name: &str, text: &str) -> Result<T, CliError>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error| CliError::value(name, error))
}

/// The form of the output.
pub fn output_form(matches: &Matches) -> Result<OutputForm, CliError> {
    match matches.opt_str("output").as_deref() {
        None | Some("table") => Ok(OutputForm::Table),
        Some("json") => Ok(OutputForm::Json),
        Some(_) => Err(CliError::value("--output", "must be table or json")),
    }
}

/// A change with the options of all changes.
pub fn change(matches: &Matches, environment: &Environment, action: OperatorAction) -> Parsed {
    change_with_key(matches, environment, action, None)
}

/// A change that prints a new API key.
pub fn change_with_key(
    matches: &Matches,
    environment: &Environment,
    action: OperatorAction,
    new_key: Option<String>,
) -> Parsed {
    let dry_run = matches.opt_present("dry-run");
    let reason = match matches.opt_str("reason") {
        Some(reason) if !reason.trim().is_empty() => CompactString::from(reason),
        None if dry_run => CompactString::default(),
        Some(_) => return Err(CliError::value("--reason", "must say why the change is made")),
        None => return Err(CliError::MissingOption { option: "reason" }),
    };
    let operator = operator(matches, environment)?;
    let request = ChangeRequest { action, new_key, operator, reason, dry_run };
    Ok(Command::Change(Box::new(request)))
}

fn operator(matches: &Matches, environment: &Environment) -> Result<OperatorId, CliError> {
    let variables = ["HICKORY_OPERATOR", "USER"];
    let from_variable = || variables.iter().find_map(|name| environment.variable(name));
    match matches.opt_str("operator") {
        Some(name) => parse_value("--operator", &name),
        None => from_variable()
            .ok_or(CliError::MissingOption { option: "operator" })
            .and_then(|name| parse_value("operator", name)),
    }
}

pub fn check(matches: &Matches, _environment: &Environment) -> Parsed {
    Ok(Command::Check { configuration: Box::new(file(matches)?) })
}

pub fn diff(matches: &Matches, _environment: &Environment) -> Parsed {
    Ok(Command::Diff { configuration: Box::new(file(matches)?) })
}

pub fn apply(matches: &Matches, environment: &Environment) -> Parsed {
    let configuration = Box::new(file(matches)?);
    change(matches, environment, OperatorAction::Replace { configuration })
}

fn file(matches: &Matches) -> Result<hickorydoor::Configuration, CliError> {
    config_file::read(&argument::<String>(matches, 0, "FILE")?)
}

pub fn history(matches: &Matches, _environment: &Environment) -> Parsed {
    let limit = optional(matches, "limit")?.unwrap_or(DEFAULT_HISTORY);
    Ok(Command::History { limit, change: optional(matches, "change")? })
}

fn version(matches: &Matches) -> Result<(ModelId, VersionId), CliError> {
    Ok((argument(matches, 0, "MODEL")?, argument(matches, 1, "VERSION")?))
}

fn canary_share(matches: &Matches) -> Result<Share, CliError> {
    let share: Share = required(matches, "share")?;
    if share == Share::ZERO {
        return Err(CliError::value("--share", "must be greater than 0"));
    }
    Ok(share)
}

pub fn start_version(matches: &Matches, environment: &Environment) -> Parsed {
    let (model, version) = version(matches)?;
    let share = canary_share(matches)?;
    change(matches, environment, OperatorAction::StartVersion { model, version, share })
}

pub fn pause_version(matches: &Matches, environment: &Environment) -> Parsed {
    let (model, version) = version(matches)?;
    change(matches, environment, OperatorAction::PauseVersion { model, version })
}

pub fn resume_version(matches: &Matches, environment: &Environment) -> Parsed {
    let (model, version) = version(matches)?;
    let share = canary_share(matches)?;
    change(matches, environment, OperatorAction::ResumeVersion { model, version, share })
}

pub fn promote_version(matches: &Matches, environment: &Environment) -> Parsed {
    let (model, version) = version(matches)?;
    change(matches, environment, OperatorAction::PromoteVersion { model, version })
}

pub fn withdraw_version(matches: &Matches, environment: &Environment) -> Parsed {
    let (model, version) = version(matches)?;
    let force = matches.opt_present("force");
    change(matches, environment, OperatorAction::WithdrawVersion { model, version, force })
}

pub fn data_centre_out(matches: &Matches, environment: &Environment) -> Parsed {
    let data_centre: DataCentreId = argument(matches, 0, "DATA_CENTRE")?;
    let force = matches.opt_present("force");
    let action = OperatorAction::SetDataCentre { data_centre, out: true, force };
    change(matches, environment, action)
}

pub fn data_centre_in(matches: &Matches, environment: &Environment) -> Parsed {
    let data_centre: DataCentreId = argument(matches, 0, "DATA_CENTRE")?;
    let action = OperatorAction::SetDataCentre { data_centre, out: false, force: false };
    change(matches, environment, action)
}

fn time(matches: &Matches, option: &str) -> Result<Option<TimeMs>, CliError> {
    Ok(optional::<Moment>(matches, option)?.map(|moment| moment.0))
}

pub fn bills(matches: &Matches, _environment: &Environment) -> Parsed {
    Ok(Command::Bills(BillQuery {
        customer: optional(matches, "customer")?,
        entry: optional(matches, "entry")?,
        from_ms: time(matches, "from")?,
        to_ms: time(matches, "to")?,
    }))
}

pub fn wait(matches: &Matches, _environment: &Environment) -> Parsed {
    Ok(Command::Wait { revision: argument(matches, 0, "REVISION")? })
}
