//! Runs one case of the review: starts gateways, engines and callers on loopback addresses, causes
//! the disruption, and checks the rule.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod cases;
mod client;
mod engine;
mod gateway;
mod http;
mod json;
mod record;
mod store;

use std::env;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// What a check of the rule has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// What a case needs.
pub struct Setting {
    pub record: Record,
    /// Temporary folder for settings and logs.
    pub directory: PathBuf,
    /// Whether the disruption is caused.
    pub has_trouble: bool,
}

impl Setting {
    /// Returns a loopback address; `number` tells the hosts of a case apart.
    pub fn ip(&self, number: u8) -> IpAddr {
        let process = std::process::id();
        let octets = [64 + (process % 150) as u8, (process / 150 % 250) as u8];
        IpAddr::V4(Ipv4Addr::new(127, octets[0], octets[1], number))
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_program, case, record, directory] = &arguments[..] else {
        eprintln!("usage: review-standins CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    let setting = Setting { record: record.clone(), directory: directory.into(), has_trouble };
    let verdict = match cases::run(case, &setting) {
        Ok(verdict) => verdict,
        Err(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            return ExitCode::from(2);
        }
    };
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
    }
}
