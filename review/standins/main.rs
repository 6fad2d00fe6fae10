//! Stand-ins of the review, and its cases: `standins CASE FOLDER`. Ends with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod crashing;
mod engine;
mod gateway;
mod http;
mod json;
mod record;
mod store;

use std::fs;
use std::process::ExitCode;
use std::time::Duration;

use crate::record::Record;

/// What a case needs to run.
pub struct Bed {
    pub record: Record,
    /// Folder for settings and logs.
    pub folder: String,
    /// First three bytes of the loopback addresses of this run.
    pub net: String,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CannotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    gateway::limit_time(Duration::from_secs(110));
    let id = std::process::id();
    let scratch = std::env::temp_dir().join(format!("hickorydoor-review-{id}"));
    fs::create_dir_all(&scratch).expect("no temporary folder");
    let bed = Bed {
        record: Record::new(&format!("{folder}/record.txt")),
        folder: scratch.display().to_string(),
        net: format!("127.{}.{}", 64 + id / 250 % 128, 1 + id % 250),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    bed.record.say(&format!("case {case}, disruption: {}", bed.trouble));
    let verdict = cases::run(case, &bed);
    bed.record.say(&format!("{verdict:?}"));
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&scratch);
    } else {
        println!("{}", bed.folder);
    }
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CannotRun => 2,
    })
}
