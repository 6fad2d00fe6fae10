//! Table of the commands, from which the command line is parsed and the help is generated.

use getopts::Matches;
use getopts::Options;

use crate::arguments;
use crate::cli_error::CliError;
use crate::command::Command;
use crate::customer_arguments;
use crate::environment::Environment;
use crate::exception_arguments;

/// Builds a command from its options and arguments.
pub type Parser = fn(&Matches, &Environment) -> Result<Command, CliError>;

/// Names, options and parser of one command.
#[derive(Debug)]
pub struct CommandSpec {
    /// One or two words, such as `version start`.
    pub words: &'static [&'static str],
    /// Names of the positional arguments, all of which are required.
    pub arguments: &'static [&'static str],
    /// Description in the help, without a final period.
    pub brief: &'static str,
    /// Adds the options that the command has besides the common ones.
    pub options: fn(&mut Options),
    pub parser: Parser,
}

const fn spec(
    words: &'static [&'static str],
    arguments: &'static [&'static str],
    brief: &'static str,
    options: fn(&mut Options),
    parser: Parser,
) -> CommandSpec {
    CommandSpec { words, arguments, brief, options, parser }
}

fn no_options(_options: &mut Options) {}

/// All commands, in the order in which the help lists them.
pub const COMMANDS: &[CommandSpec] = &[
    spec(&["check"], &["FILE"], "Check a configuration file", no_options, arguments::check),
    spec(
        &["apply"],
        &["FILE"],
        "Replace the configuration with the contents of a file",
        arguments::change_options,
        arguments::apply,
    ),
    spec(&["show"], &[], "Print the configuration in force", no_options, |_, _| Ok(Command::Show)),
    spec(
        &["diff"],
        &["FILE"],
        "Show what applying a file would change",
        no_options,
        arguments::diff,
    ),
    spec(
        &["history"],
        &[],
        "List changes, newest first",
        arguments::history_options,
        arguments::history,
    ),
    spec(
        &["customer", "create"],
        &["CUSTOMER"],
        "Create a customer and print its API key once",
        customer_arguments::options,
        customer_arguments::create,
    ),
    spec(
        &["customer", "rotate-key"],
        &["CUSTOMER"],
        "Add an API key and print it once; older keys stay valid",
        arguments::change_options,
        customer_arguments::rotate_key,
    ),
    spec(
        &["customer", "revoke-key"],
        &["CUSTOMER", "DIGEST"],
        "Revoke the API key whose SHA-256 digest starts with DIGEST",
        arguments::change_options,
        customer_arguments::revoke_key,
    ),
    spec(&["version", "list"], &[], "List versions with their states", no_options, |_, _| {
        Ok(Command::ListVersions)
    }),
    spec(
        &["version", "start"],
        &["MODEL", "VERSION"],
        "Declare a version and start its rollout as a canary",
        arguments::share_options,
        arguments::start_version,
    ),
    spec(
        &["version", "pause"],
        &["MODEL", "VERSION"],
        "Pause a rollout: the canary keeps its sessions and gets no new ones",
        arguments::change_options,
        arguments::pause_version,
    ),
    spec(
        &["version", "resume"],
        &["MODEL", "VERSION"],
        "Resume a paused or halted rollout",
        arguments::share_options,
        arguments::resume_version,
    ),
    spec(
        &["version", "promote"],
        &["MODEL", "VERSION"],
        "Make a canary the active version; older versions keep their sessions",
        arguments::change_options,
        arguments::promote_version,
    ),
    spec(
        &["version", "withdraw"],
        &["MODEL", "VERSION"],
        "Withdraw a version immediately",
        arguments::withdrawal_options,
        arguments::withdraw_version,
    ),
    spec(
        &["datacentre", "out"],
        &["DATA_CENTRE"],
        "Take a data centre out of service",
        arguments::withdrawal_options,
        arguments::data_centre_out,
    ),
    spec(
        &["datacentre", "in"],
        &["DATA_CENTRE"],
        "Take a data centre back into service",
        arguments::change_options,
        arguments::data_centre_in,
    ),
    spec(
        &["exception", "add"],
        &["EXCEPTION", "KIND"],
        "Add an exception; KIND is customer-limits, interactive-deadline, retry-budget, \
         ignores-fencing or upstream-out",
        exception_arguments::options,
        exception_arguments::add,
    ),
    spec(
        &["exception", "remove"],
        &["EXCEPTION"],
        "Remove an exception",
        arguments::change_options,
        exception_arguments::remove,
    ),
    spec(&["exception", "list"], &[], "List exceptions", no_options, |_, _| {
        Ok(Command::ListExceptions)
    }),
    spec(
        &["status"],
        &[],
        "Show the fleet and the revision in force at each host",
        no_options,
        |_, _| Ok(Command::Status),
    ),
    spec(&["bills"], &[], "Sum the stored bills", arguments::bill_options, arguments::bills),
    spec(
        &["wait"],
        &["REVISION"],
        "Wait until a revision is in force at every host",
        no_options,
        arguments::wait,
    ),
];

impl CommandSpec {
    /// Finds the command that the first words name; also returns the remaining words.
    pub fn find(words: &[String]) -> Option<(&'static Self, &[String])> {
        let named = |spec: &&Self| {
            words.len() >= spec.words.len() && spec.words.iter().zip(words).all(|(a, b)| a == b)
        };
        let spec = COMMANDS.iter().find(named)?;
        Some((spec, &words[spec.words.len()..]))
    }

    /// Usage line, such as `hickoryctl diff FILE [OPTIONS]`.
    pub fn usage(&self) -> String {
        let mut words = vec!["hickoryctl"];
        words.extend(self.words);
        words.extend(self.arguments);
        format!("{} [OPTIONS]", words.join(" "))
    }

    /// Options of the command, including the common ones.
    pub fn all_options(&self) -> Options {
        let mut options = Options::new();
        (self.options)(&mut options);
        arguments::common_options(&mut options);
        options
    }

    pub fn help(&self) -> String {
        let brief = format!("Usage: {}\n\n{}.", self.usage(), self.brief);
        self.all_options().usage(&brief)
    }
}

/// Help that lists all commands and exit codes.
pub fn help() -> String {
    let names: Vec<String> =
        COMMANDS.iter().map(|spec| [spec.words, spec.arguments].concat().join(" ")).collect();
    let width = names.iter().map(String::len).max().unwrap_or(0);
    let line =
        |(name, spec): (&String, &CommandSpec)| format!("    {name:width$}  {}\n", spec.brief);
    let commands: String = names.iter().zip(COMMANDS).map(line).collect();
    format!("{USAGE}{commands}{EXIT_CODES}")
}

const USAGE: &str = "Usage: hickoryctl COMMAND [ARGUMENTS] [OPTIONS]

Commands:
";

const EXIT_CODES: &str = "
Use COMMAND --help to list the options of a command.

Exit codes:
    0  success
    2  invalid command line
    3  invalid file, value or action
    4  conflict with another operator's change; nothing was changed
    5  a service is unreachable; nothing was changed
    6  it is unknown whether the change was accepted
    7  the revision was not in force at every host within the time limit
    8  the operators' key is missing or was rejected
";
