//! Runs a case of the review: `case NUMBER FOLDER`, from the root of the repository. `TROUBLE=0`
//! leaves the disruption out, `SEED` sets the random numbers.

mod case_11;
mod case_12;
mod case_13;
mod case_14;
mod case_15;
mod common;
mod engine;
mod gateway;
mod http;
mod json;
mod store;

use std::env;
use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use common::Random;
use common::Record;
use common::Run;
use common::Verdict;
use gateway::Net;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, number, folder] = arguments.as_slice() else {
        eprintln!("usage: case NUMBER FOLDER");
        return ExitCode::from(2);
    };
    let verdict = run(number, Path::new(folder));
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun(why) => {
            eprintln!("not run: {why}");
            ExitCode::from(2)
        }
    }
}

fn run(number: &str, folder: &Path) -> Verdict {
    let Some(net) = Net::find() else {
        return Verdict::NotRun("no free loopback addresses".to_owned());
    };
    let record = match Record::new(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(error) => return Verdict::NotRun(format!("no record: {error}")),
    };
    let seed = env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or_else(|| {
        SystemTime::UNIX_EPOCH.elapsed().map_or(1, |since| since.as_millis() as u64 % 100_000)
    });
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    record.line(&format!("case {number}, seed {seed}, trouble {trouble}"));
    let settings = env::temp_dir().join(format!("review-3-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&settings) {
        return Verdict::NotRun(format!("no temporary folder: {error}"));
    }
    let run = Run {
        net,
        record: record.clone(),
        trouble,
        folder: settings.clone(),
        random: Random::new(seed),
    };
    // A panic unwinds, which ends the gateways.
    let verdict = thread::spawn({
        let number = number.to_owned();
        move || match number.as_str() {
            "11" => case_11::run(run),
            "12" => case_12::run(run),
            "13" => case_13::run(run),
            "14" => case_14::run(run),
            "15" => case_15::run(run),
            _ => Verdict::NotRun(format!("no case {number}")),
        }
    })
    .join()
    .unwrap_or_else(|_panic| Verdict::NotRun("the case panicked".to_owned()));
    if env::var("KEEP").is_err() {
        // What stays in the temporary folder does not change the result.
        let _removed = fs::remove_dir_all(&settings);
    }
    record.line(match &verdict {
        Verdict::Held => "the rule held",
        Verdict::Broken => "the rule was broken",
        Verdict::NotRun(_) => "the case could not run",
    });
    thread::sleep(Duration::from_millis(50));
    verdict
}
