//! Command lines of the daemons.

use std::env;
use std::fmt::Display;
use std::process::ExitCode;

use getopts::Matches;
use getopts::Options;

/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

/// A daemon that reads a settings file.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Its name.
    pub name: &'static str,
    /// How it is called.
    pub brief: &'static str,
}

impl Program {
    /// Reads the arguments `--settings`, `--check`, `--help` and those that `add` names.
    ///
    /// # Errors
    /// Fails with the exit code if the process has nothing more to do: after a wrong command
    /// line, and after the help.
    pub fn parse(&self, add: impl FnOnce(&mut Options)) -> Result<Matches, ExitCode> {
        let mut options = Options::new();
        options.optopt("s", "settings", "settings of this process (YAML)", "FILE");
        options.optflag("c", "check", "check the settings and exit");
        options.optflag("h", "help", "print this help");
        add(&mut options);
        let matches = options.parse(env::args().skip(1)).map_err(|fail| self.usage_error(&fail))?;
        if matches.opt_present("help") {
            println!("{}", options.usage(self.brief));
            return Err(ExitCode::SUCCESS);
        }
        Ok(matches)
    }

    /// Says why the daemon cannot start with this command line or these settings.
    pub fn usage_error(&self, reason: &dyn Display) -> ExitCode {
        eprintln!("{}: {reason}", self.name);
        ExitCode::from(EXIT_USAGE)
    }
}
