//! Serves one stand-in until it is interrupted.

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

const BRIEF: &str = "Usage: hickory-standins KIND [OPTIONS]

KIND is kv, engine, service, rating, host-list or weight-store.";

/// Why the stand-in does not start.
#[derive(Debug)]
enum StartError {
    Usage(getopts::Fail),
    Value { option: &'static str, allowed: &'static str },
    Kind,
    Io(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(error) => error.fmt(f),
            Self::Value { option, allowed } => write!(f, "--{option} must be {allowed}"),
            Self::Kind => f.write_str("the kind is missing or not known"),
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
    options.optopt("l", "listen", "address to serve on (default 127.0.0.1:0)", "ADDRESS");
    options.optmulti("", "version", "engine, weight-store: a version; may be repeated", "ID");
    options.optopt("", "slots", "engine: requests that run at once", "COUNT");
    options.optopt("", "first-token-ms", "engine: time to the first token", "MS");
    options.optopt("", "token-interval-ms", "engine: time between tokens", "MS");
    options.optopt("", "answer-tokens", "engine: tokens of an answer", "COUNT");
    options.optopt("", "score", "rating: score of every answer", "0..1");
    options.optopt("", "hosts", "host-list: JSON file with an array of hosts", "FILE");
    options.optopt("", "bytes-per-s", "weight-store: rate over all downloads", "COUNT");
    options.optopt("", "size-bytes", "weight-store: size of each version", "COUNT");
    options
}

fn number<T: std::str::FromStr>(
    matches: &Matches,
    option: &'static str,
    default: T,
) -> Result<T, StartError> {
    let bad = |_error| StartError::Value { option, allowed: "a number" };
    matches.opt_str(option).map_or(Ok(default), |text| text.parse().map_err(bad))
}

fn engine_settings(matches: &Matches) -> Result<EngineSettings, StartError> {
    let mut settings = EngineSettings::new(matches.opt_strs("version"));
    settings.slots = number(matches, "slots", settings.slots)?;
    settings.answer_tokens = number(matches, "answer-tokens", settings.answer_tokens)?;
    settings.first_token_delay = Duration::from_millis(number(matches, "first-token-ms", 1)?);
    settings.token_interval = Duration::from_millis(number(matches, "token-interval-ms", 0)?);
    Ok(settings)
}

fn hosts(matches: &Matches) -> Result<Vec<Host>, StartError> {
    let Some(path) = matches.opt_str("hosts") else {
        return Ok(Vec::new());
    };
    let text = std::fs::read(path)?;
    let bad = |_error| StartError::Value { option: "hosts", allowed: "a JSON array of hosts" };
    serde_json::from_slice(&text).map_err(bad)
}

async fn serve(matches: &Matches) -> Result<(), StartError> {
    let listen = matches.opt_str("listen").unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let bad = |_error| StartError::Value { option: "listen", allowed: "of the form IP:PORT" };
    let address: SocketAddr = listen.parse().map_err(bad)?;
    match matches.free.first().map(String::as_str) {
        Some("kv") => {
            let kv = Kv::start_at(address).await?;
            wait(kv.server().address()).await
        }
        Some("engine") => {
            let engine = Engine::start_at(engine_settings(matches)?, address).await?;
            wait(engine.server().address()).await
        }
        Some("service") => {
            let service = Service::start_at(address).await?;
            wait(service.server().address()).await
        }
        Some("rating") => {
            let rating = RatingService::start_at(number(matches, "score", 1.0)?, address).await?;
            wait(rating.server().address()).await
        }
        Some("host-list") => {
            let list = HostList::start_at(address).await?;
            list.set_hosts(hosts(matches)?);
            wait(list.server().address()).await
        }
        Some("weight-store") => {
            let rate = number(matches, "bytes-per-s", 100_000_000)?;
            let store = WeightStore::start_at(rate, address).await?;
            let size_bytes = number(matches, "size-bytes", 1_000_000)?;
            matches
                .opt_strs("version")
                .iter()
                .for_each(|version| store.add_version(version, size_bytes));
            wait(store.server().address()).await
        }
        _ => Err(StartError::Kind),
    }
}

/// Prints the address and returns at the first interrupt.
async fn wait(address: SocketAddr) -> Result<(), StartError> {
    println!("{address}");
    tokio::signal::ctrl_c().await?;
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options();
    let result = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.opt_present("help") => {
            println!("{}", options.usage(BRIEF));
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
