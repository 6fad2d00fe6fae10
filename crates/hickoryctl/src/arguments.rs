//! Declares the options of the commands and parses their options and arguments into a [`Command`].
//!
//! The customer and exception commands have modules of their own and use the helpers of this one.

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
use crate::report::OutputFormat;
use crate::timestamp::Timestamp;

type CommandResult = Result<Command, CliError>;

const DEFAULT_HISTORY_LIMIT: u64 = 20;

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
    options.optopt(
        "",
        "hosts-file",
        "file with one address per line, in the form of --host",
        "FILE",
    );
    options.optopt("", "timeout", "time limit for the whole command (default 10)", "SECONDS");
    options.optopt("o", "output", "output format (default table)", "table|json");
    options.optflag("h", "help", "show this help");
}

pub fn change_options(options: &mut Options) {
    options.optopt("r", "reason", "reason for the change; required unless --dry-run", "TEXT");
    options.optopt(
        "",
        "operator",
        "operator who makes the change (HICKORY_OPERATOR, USER)",
        "NAME",
    );
    options.optflag("n", "dry-run", "show the difference without applying the change");
}

pub fn share_options(options: &mut Options) {
    options.optopt("s", "share", "share of new sessions, such as 5% or 0.05", "SHARE");
    change_options(options);
}

pub fn withdrawal_options(options: &mut Options) {
    options.optflag("", "force", "proceed even if nothing remains in service");
    change_options(options);
}

pub fn history_options(options: &mut Options) {
    options.optopt("l", "limit", "number of latest changes to read (default 20)", "COUNT");
    options.optopt("c", "change", "list only the change with this id", "CHANGE");
}

pub fn bill_options(options: &mut Options) {
    options.optopt("", "customer", "sum only the bills of this customer", "CUSTOMER");
    options.optopt("", "entry", "sum only the bills of this entry", "HOST");
    let time = "YYYY-MM-DD, YYYY-MM-DDTHH:MM:SSZ or Unix milliseconds";
    options.optopt("", "from", &format!("batches sealed at this time or later: {time}"), "TIME");
    options.optopt("", "to", "batches sealed before this time", "TIME");
}

/// Parses an option that may be omitted.
pub fn optional<T: FromStr>(matches: &Matches, option: &str) -> Result<Option<T>, CliError>
where
    T::Err: std::fmt::Display,
{
    let parse = |text: String| parse_value(&format!("--{option}"), &text);
    matches.opt_str(option).map(parse).transpose()
}

/// Parses an option that must be given.
pub fn required<T: FromStr>(matches: &Matches, option: &'static str) -> Result<T, CliError>
where
    T::Err: std::fmt::Display,
{
    optional(matches, option)?.ok_or(CliError::MissingOption { option })
}

/// Parses an option that may be given several times; the values keep their order.
pub fn repeated<T: FromStr>(matches: &Matches, option: &str) -> Result<Vec<T>, CliError>
where
    T::Err: std::fmt::Display,
{
    let name = format!("--{option}");
    matches.opt_strs(option).iter().map(|text| parse_value(&name, text)).collect()
}

/// Parses the positional argument at `index`. The caller has checked the number of arguments.
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

pub fn output_format(matches: &Matches) -> Result<OutputFormat, CliError> {
    match matches.opt_str("output").as_deref() {
        None | Some("table") => Ok(OutputFormat::Table),
        Some("json") => Ok(OutputFormat::Json),
        Some(_) => Err(CliError::value("--output", "must be table or json")),
    }
}

/// Builds a change that creates no API key, from the options that all changes share.
pub fn change_command(
    matches: &Matches,
    environment: &Environment,
    action: OperatorAction,
) -> CommandResult {
    change_command_with_key(matches, environment, action, None)
}

/// Builds a change; `new_key` is printed if the change may have been stored.
pub fn change_command_with_key(
    matches: &Matches,
    environment: &Environment,
    action: OperatorAction,
    new_key: Option<String>,
) -> CommandResult {
    let dry_run = matches.opt_present("dry-run");
    let reason = match matches.opt_str("reason") {
        Some(reason) if !reason.trim().is_empty() => CompactString::from(reason),
        None if dry_run => CompactString::default(),
        Some(_) => return Err(CliError::value("--reason", "must state the reason for the change")),
        None => return Err(CliError::MissingOption { option: "reason" }),
    };
    let operator = operator_id(matches, environment)?;
    let request = ChangeRequest { action, new_key, operator, reason, dry_run };
    Ok(Command::Change(Box::new(request)))
}

fn operator_id(matches: &Matches, environment: &Environment) -> Result<OperatorId, CliError> {
    let variables = ["HICKORY_OPERATOR", "USER"];
    let from_variable = || variables.iter().find_map(|name| environment.variable(name));
    match matches.opt_str("operator") {
        Some(name) => parse_value("--operator", &name),
        None => from_variable()
            .ok_or(CliError::MissingOption { option: "operator" })
            .and_then(|name| parse_value("operator", name)),
    }
}

pub fn check(matches: &Matches, _environment: &Environment) -> CommandResult {
    Ok(Command::Check { configuration: Box::new(configuration_file(matches)?) })
}

pub fn diff(matches: &Matches, _environment: &Environment) -> CommandResult {
    Ok(Command::Diff { configuration: Box::new(configuration_file(matches)?) })
}

pub fn apply(matches: &Matches, environment: &Environment) -> CommandResult {
    let configuration = Box::new(configuration_file(matches)?);
    change_command(matches, environment, OperatorAction::Replace { configuration })
}

fn configuration_file(matches: &Matches) -> Result<hickorydoor::Configuration, CliError> {
    config_file::read(&argument::<String>(matches, 0, "FILE")?)
}

pub fn history(matches: &Matches, _environment: &Environment) -> CommandResult {
    let limit = optional(matches, "limit")?.unwrap_or(DEFAULT_HISTORY_LIMIT);
    Ok(Command::History { limit, change: optional(matches, "change")? })
}

fn model_and_version(matches: &Matches) -> Result<(ModelId, VersionId), CliError> {
    Ok((argument(matches, 0, "MODEL")?, argument(matches, 1, "VERSION")?))
}

fn canary_share(matches: &Matches) -> Result<Share, CliError> {
    let share: Share = required(matches, "share")?;
    if share == Share::ZERO {
        return Err(CliError::value("--share", "must be greater than 0"));
    }
    Ok(share)
}

pub fn start_version(matches: &Matches, environment: &Environment) -> CommandResult {
    let (model, version) = model_and_version(matches)?;
    let share = canary_share(matches)?;
    change_command(matches, environment, OperatorAction::StartVersion { model, version, share })
}

pub fn pause_version(matches: &Matches, environment: &Environment) -> CommandResult {
    let (model, version) = model_and_version(matches)?;
    change_command(matches, environment, OperatorAction::PauseVersion { model, version })
}

pub fn resume_version(matches: &Matches, environment: &Environment) -> CommandResult {
    let (model, version) = model_and_version(matches)?;
    let share = canary_share(matches)?;
    change_command(matches, environment, OperatorAction::ResumeVersion { model, version, share })
}

pub fn promote_version(matches: &Matches, environment: &Environment) -> CommandResult {
    let (model, version) = model_and_version(matches)?;
    change_command(matches, environment, OperatorAction::PromoteVersion { model, version })
}

pub fn withdraw_version(matches: &Matches, environment: &Environment) -> CommandResult {
    let (model, version) = model_and_version(matches)?;
    let force = matches.opt_present("force");
    change_command(matches, environment, OperatorAction::WithdrawVersion { model, version, force })
}

pub fn data_centre_out(matches: &Matches, environment: &Environment) -> CommandResult {
    let data_centre: DataCentreId = argument(matches, 0, "DATA_CENTRE")?;
    let force = matches.opt_present("force");
    let action = OperatorAction::SetDataCentre { data_centre, out: true, force };
    change_command(matches, environment, action)
}

pub fn data_centre_in(matches: &Matches, environment: &Environment) -> CommandResult {
    let data_centre: DataCentreId = argument(matches, 0, "DATA_CENTRE")?;
    let action = OperatorAction::SetDataCentre { data_centre, out: false, force: false };
    change_command(matches, environment, action)
}

fn timestamp(matches: &Matches, option: &str) -> Result<Option<TimeMs>, CliError> {
    Ok(optional::<Timestamp>(matches, option)?.map(|timestamp| timestamp.0))
}

pub fn bills(matches: &Matches, _environment: &Environment) -> CommandResult {
    Ok(Command::Bills(BillQuery {
        customer: optional(matches, "customer")?,
        entry: optional(matches, "entry")?,
        from_ms: timestamp(matches, "from")?,
        to_ms: timestamp(matches, "to")?,
    }))
}

pub fn wait(matches: &Matches, _environment: &Environment) -> CommandResult {
    Ok(Command::Wait { revision: argument(matches, 0, "REVISION")? })
}
