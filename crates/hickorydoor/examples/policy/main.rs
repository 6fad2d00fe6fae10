//! Compares the placement, cold-start, queueing and retry policies with simple baselines.
//!
//! The production reducers run in virtual time against a simple model of an engine, with fixed seeds.
//! `policy [DEPLOYMENT] [FAULT] [POLICY]` restricts the runs to names that contain the given texts.
//! `policy limits` measures the deviation from customers' limits instead. The table of results is
//! also written to `target/policy.csv`.

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
/// Number of concurrent runs.
const THREADS: usize = 3;

fn main() -> std::io::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let deployment_filter = arguments.next().unwrap_or_default();
    if deployment_filter == "limits" {
        limit_error::print();
        return Ok(());
    }
    let fault_filter = arguments.next().unwrap_or_default();
    let policy_filter = arguments.next().unwrap_or_default();
    let policies = POLICIES.iter().filter(|policy| policy.name.contains(&policy_filter));
    let mut runs = Vec::new();
    for deployment in [deployment::COOPERATIVES, deployment::SEATING, deployment::LARGE] {
        for fault in Fault::ALL {
            let applicable = fault != Fault::DataCentreOut || deployment.data_centres > 1;
            if applicable
                && deployment.name.contains(&deployment_filter)
                && fault.name().contains(&fault_filter)
            {
                runs.extend(policies.clone().map(|policy| (deployment, fault, *policy)));
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
    report.csv_line(deployment.name, fault.name(), policy.name, fault.recovery_start_s())
}
