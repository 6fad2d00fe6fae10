//! Command line options that all daemons share.

use std::env;
use std::fmt::Display;
use std::process::ExitCode;

use getopts::Matches;
use getopts::Options;

/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

/// A daemon that is configured by a settings file.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary, which starts each of its error messages.
    pub name: &'static str,
    /// First line of the help, which shows the usage.
    pub brief: &'static str,
}

impl Program {
    /// Parses the options `--settings`, `--check`, `--help` and those that `add_options` adds.
    ///
    /// # Errors
    /// Fails with the exit code of the process if it should exit: with a failure after an invalid
    /// command line, and with success after `--help`.
    pub fn parse(&self, add_options: impl FnOnce(&mut Options)) -> Result<Matches, ExitCode> {
        let mut options = Options::new();
        options.optopt("s", "settings", "settings of this process (YAML)", "FILE");
        options.optflag("c", "check", "check the settings and exit");
        options.optflag("h", "help", "print this help");
        add_options(&mut options);
        let matches =
            options.parse(env::args().skip(1)).map_err(|error| self.usage_error(&error))?;
        if matches.opt_present("help") {
            println!("{}", options.usage(self.brief));
            return Err(ExitCode::SUCCESS);
        }
        Ok(matches)
    }

    /// Prints why the command line or the settings are invalid, and returns the exit code for that.
    pub fn usage_error(&self, reason: &dyn Display) -> ExitCode {
        eprintln!("{}: {reason}", self.name);
        ExitCode::from(EXIT_USAGE)
    }
}
