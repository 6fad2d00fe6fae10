//! Command line of the hickorydoor daemon, which runs an entry or an agent.

use std::path::Path;
use std::process::ExitCode;

use getopts::Options;
use hickoryd::Settings;
use hickoryd::command_line::Program;
use hickoryd::log_panics;
use mimalloc::MiMalloc;
use tokio::runtime::Builder;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const PROGRAM: Program =
    Program { name: "hickoryd", brief: "Usage: hickoryd --settings FILE [--check]" };

fn main() -> ExitCode {
    let add_version = |options: &mut Options| {
        options.optflag("V", "version", "print the version");
    };
    let matches = match PROGRAM.parse(add_version) {
        Ok(matches) => matches,
        Err(code) => return code,
    };
    if matches.opt_present("version") {
        println!("hickoryd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = matches.opt_str("settings") else {
        return PROGRAM.usage_error(&"--settings is missing");
    };
    let settings = match Settings::read(Path::new(&file)) {
        Ok(settings) => settings,
        Err(error) => return PROGRAM.usage_error(&error),
    };
    if matches.opt_present("check") {
        println!("{file}: ok");
        return ExitCode::SUCCESS;
    }
    run(settings)
}

fn run(settings: Settings) -> ExitCode {
    let log = hickoryd::logging::start(settings.log_level);
    if let Err(error) = &log {
        eprintln!("hickoryd: cannot start the logger: {error}");
        return ExitCode::FAILURE;
    }
    log_panics();
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
