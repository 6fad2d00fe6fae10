//! Error of the limits when every entry enforces an equal part.

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::configuration::customer::CustomerLimits;
use hickorydoor::entry::customer_limits::LimitTable;
use hickorydoor::id::CustomerId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::deployment::exponential;

const SEED: u64 = 31;
const SECONDS: u64 = 300;
/// Time after which the bursts are used up.
const SETTLED_S: u64 = 60;

/// Prints the admitted rate relative to the limit, for even and uneven spreading of the callers.
pub fn print() {
    println!("entries limit_per_s offered_percent skewed admitted_percent_of_min(offered,limit)");
    for (entries, limit) in [(3, 10.0), (17, 50.0), (17, 500.0), (560, 50.0), (560, 5_000.0)] {
        for offered in [0.8, 1.0, 2.0] {
            for skewed in [false, true] {
                let admitted = run(entries, limit, offered, skewed);
                let fair = limit * offered.min(1.0);
                let percent = admitted * 100.0 / fair;
                println!("{entries} {limit} {:.0} {skewed} {percent:.1}", offered * 100.0);
            }
        }
    }
}

/// Requests a second that are admitted. With `skewed`, half of the callers use a third of the
/// entries.
fn run(entries: usize, limit: f64, offered: f64, skewed: bool) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut tables = vec![LimitTable::default(); entries];
    for table in &mut tables {
        table.set_entries(entries);
    }
    let customer = CustomerId::try_from("customer").expect("a valid id");
    let limits = CustomerLimits { requests_per_s: Some(limit), ..CustomerLimits::default() };
    let mean_us = 1e6 / (limit * offered);
    let mut now_us = 0;
    let mut admitted = 0;
    while now_us < SECONDS * 1_000_000 {
        now_us += exponential(mean_us, mean_us * 20.0, &mut rng).max(1);
        let part = if skewed && rng.random::<bool>() { entries.div_ceil(3) } else { entries };
        let table = &mut tables[rng.random_range(0..part)];
        let now = TimeMs::new(1) + DurationMs::new(now_us / 1_000);
        if table.admit(&customer, &limits, 1, now).is_ok() {
            table.release(&customer, 1, 1);
            admitted += u64::from(now_us >= SETTLED_S * 1_000_000);
        }
    }
    admitted as f64 / (SECONDS - SETTLED_S) as f64
}
