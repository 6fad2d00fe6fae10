//! The hickorydoor daemon.

use std::env;
use std::path::Path;
use std::process::ExitCode;

use getopts::Options;
use hickoryd::Settings;
use mimalloc::MiMalloc;
use tokio::runtime::Builder;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const BRIEF: &str = "Usage: hickoryd --settings FILE [--check]";
/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let mut options = Options::new();
    options.optopt("s", "settings", "settings of this process (YAML)", "FILE");
    options.optflag("c", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(fail) => return usage(&fail.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(BRIEF));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("hickoryd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = matches.opt_str("settings") else {
        return usage("--settings is missing");
    };
    let settings = match Settings::read(Path::new(&file)) {
        Ok(settings) => settings,
        Err(error) => return usage(&error.to_string()),
    };
    if matches.opt_present("check") {
        println!("{file}: ok");
        return ExitCode::SUCCESS;
    }
    run(settings)
}

fn usage(reason: &str) -> ExitCode {
    eprintln!("hickoryd: {reason}");
    ExitCode::from(EXIT_USAGE)
}

fn run(settings: Settings) -> ExitCode {
    let log = hickoryd::logging::start(settings.log_level);
    if let Err(error) = &log {
        eprintln!("hickoryd: cannot start the log: {error}");
        return ExitCode::FAILURE;
    }
    let runtime =
        Builder::new_multi_thread().worker_threads(settings.worker_threads).enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("hickoryd: cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(hickoryd::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hickoryd: {error}");
            ExitCode::FAILURE
        }
    }
}
