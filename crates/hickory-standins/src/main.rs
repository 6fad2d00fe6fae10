//! Runs a stand-in as a process until it is interrupted.
//!
//! The first line on standard output is the address on which the stand-in serves.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;
use hickory_standins::Engine;
use hickory_standins::EngineSettings;
use hickory_standins::Host;
use hickory_standins::HostList;
use hickory_standins::Kv;
use hickory_standins::RatingService;
use hickory_standins::Service;
use hickory_standins::WeightStore;

const USAGE_BRIEF: &str = "Usage: hickory-standins KIND [OPTIONS]

KIND is one of kv, engine, service, rating, host-list and weight-store.";

/// Error that prevents the stand-in from starting.
#[derive(Debug)]
enum StartError {
    Usage(getopts::Fail),
    InvalidValue { option: &'static str, allowed: &'static str },
    UnknownKind,
    Io(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(error) => error.fmt(f),
            Self::InvalidValue { option, allowed } => write!(f, "--{option} must be {allowed}"),
            Self::UnknownKind => f.write_str("KIND is missing or unknown; see --help"),
            Self::Io(error) => error.fmt(f),
        }
    }
}

impl From<io::Error> for StartError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "show this help");
    options.optopt(
        "l",
        "listen",
        "address to serve on; port 0 chooses a free one (default 127.0.0.1:0)",
        "ADDRESS",
    );
    options.optmulti(
        "",
        "version",
        "engine, weight-store: a version to serve; may be repeated",
        "ID",
    );
    options.optopt("", "slots", "engine: maximum number of concurrent requests", "COUNT");
    options.optopt("", "first-token-ms", "engine: time to the first token in milliseconds", "MS");
    options.optopt("", "token-interval-ms", "engine: time between tokens in milliseconds", "MS");
    options.optopt("", "answer-tokens", "engine: number of tokens in an answer", "COUNT");
    options.optopt("", "score", "rating: score of every answer (default 1)", "0..1");
    options.optopt(
        "",
        "hosts",
        "host-list: JSON file with an array of hosts (default: no hosts)",
        "FILE",
    );
    options.optopt("", "bytes-per-s", "weight-store: total rate of all downloads", "COUNT");
    options.optopt("", "size-bytes", "weight-store: size of the weights of each version", "COUNT");
    options
}

fn parse_number<T: std::str::FromStr>(
    matches: &Matches,
    option: &'static str,
    default: T,
) -> Result<T, StartError> {
    let invalid = |_error| StartError::InvalidValue { option, allowed: "a number" };
    matches.opt_str(option).map_or(Ok(default), |text| text.parse().map_err(invalid))
}

fn engine_settings(matches: &Matches) -> Result<EngineSettings, StartError> {
    let mut settings = EngineSettings::new(matches.opt_strs("version"));
    settings.slots = parse_number(matches, "slots", settings.slots)?;
    settings.answer_tokens = parse_number(matches, "answer-tokens", settings.answer_tokens)?;
    settings.first_token_delay = Duration::from_millis(parse_number(matches, "first-token-ms", 1)?);
    settings.token_interval = Duration::from_millis(parse_number(matches, "token-interval-ms", 0)?);
    Ok(settings)
}

fn read_hosts(matches: &Matches) -> Result<Vec<Host>, StartError> {
    let Some(path) = matches.opt_str("hosts") else {
        return Ok(Vec::new());
    };
    let text = std::fs::read(path)?;
    let invalid =
        |_error| StartError::InvalidValue { option: "hosts", allowed: "a JSON array of hosts" };
    serde_json::from_slice(&text).map_err(invalid)
}

async fn serve(matches: &Matches) -> Result<(), StartError> {
    let listen = matches.opt_str("listen").unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let invalid =
        |_error| StartError::InvalidValue { option: "listen", allowed: "of the form IP:PORT" };
    let address: SocketAddr = listen.parse().map_err(invalid)?;
    match matches.free.first().map(String::as_str) {
        Some("kv") => {
            let kv = Kv::start_at(address).await?;
            serve_until_interrupted(kv.server().address()).await
        }
        Some("engine") => {
            let engine = Engine::start_at(engine_settings(matches)?, address).await?;
            serve_until_interrupted(engine.server().address()).await
        }
        Some("service") => {
            let service = Service::start_at(address).await?;
            serve_until_interrupted(service.server().address()).await
        }
        Some("rating") => {
            let rating =
                RatingService::start_at(parse_number(matches, "score", 1.0)?, address).await?;
            serve_until_interrupted(rating.server().address()).await
        }
        Some("host-list") => {
            let list = HostList::start_at(address).await?;
            list.set_hosts(read_hosts(matches)?);
            serve_until_interrupted(list.server().address()).await
        }
        Some("weight-store") => {
            let rate = parse_number(matches, "bytes-per-s", 100_000_000)?;
            let store = WeightStore::start_at(rate, address).await?;
            let size_bytes = parse_number(matches, "size-bytes", 1_000_000)?;
            matches
                .opt_strs("version")
                .iter()
                .for_each(|version| store.add_version(version, size_bytes));
            serve_until_interrupted(store.server().address()).await
        }
        _ => Err(StartError::UnknownKind),
    }
}

/// Prints the address and returns on the first interrupt signal.
async fn serve_until_interrupted(address: SocketAddr) -> Result<(), StartError> {
    println!("{address}");
    tokio::signal::ctrl_c().await?;
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options();
    let result = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.opt_present("help") => {
            println!("{}", options.usage(USAGE_BRIEF));
            return ExitCode::SUCCESS;
        }
        Ok(matches) => serve(&matches).await,
        Err(error) => Err(StartError::Usage(error)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
