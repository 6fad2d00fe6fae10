//! Measures the placement, cold-start, queueing and retry policies against simple baselines.
//!
//! The real reducers run in virtual time against a short model of an engine, with fixed seeds.
//! `policy [DEPLOYMENT] [FAULT] [POLICY]` limits the runs to names that contain the given texts; `policy
//! limits` prints the error of the customers' limits instead. The table
//! is also written to `target/policy.csv`.

mod deployment;
mod engine;
mod fault;
mod fleet;
mod limit_error;
mod report;
mod world;

use std::thread;

use crate::deployment::Deployment;
use crate::fault::Fault;
use crate::fleet::POLICIES;
use crate::fleet::Policy;
use crate::world::World;

const SEED: u64 = 20_260_401;
const CSV_PATH: &str = "target/policy.csv";
/// Runs at the same time.
const THREADS: usize = 3;

fn main() -> std::io::Result<()> {
    let mut wanted = std::env::args().skip(1);
    let deployment = wanted.next().unwrap_or_default();
    if deployment == "limits" {
        limit_error::print();
        return Ok(());
    }
    let fault = wanted.next().unwrap_or_default();
    let policy = wanted.next().unwrap_or_default();
    let policies = POLICIES.iter().filter(|known| known.name.contains(&policy));
    let mut runs = Vec::new();
    for chosen in [deployment::COOPERATIVES, deployment::SEATING, deployment::LARGE] {
        for kind in Fault::ALL {
            let fits = kind != Fault::DataCentreOut || chosen.data_centres > 1;
            if fits && chosen.name.contains(&deployment) && kind.name().contains(&fault) {
                runs.extend(policies.clone().map(|policy| (chosen, kind, *policy)));
            }
        }
    }
    let mut lines = vec![report::HEADER.to_owned()];
    for group in runs.chunks(THREADS) {
        let threads: Vec<_> = group
            .iter()
            .map(|(deployment, fault, policy)| {
                let (deployment, fault, policy) = (*deployment, *fault, *policy);
                thread::spawn(move || run(deployment, fault, policy))
            })
            .collect();
        for thread in threads {
            lines.push(thread.join().expect("a run does not panic"));
        }
    }
    report::print_table(&lines);
    std::fs::write(CSV_PATH, lines.join("\n") + "\n")
}

fn run(deployment: Deployment, fault: Fault, policy: Policy) -> String {
    let world = World::new(deployment, fault, policy, fault.load(), SEED);
    let report = world.run();
    report.line(deployment.name, fault.name(), policy.name, fault.recovery_from_s())
}
