//! Measures how far the admitted rate deviates from a customer's limit, of which every entry enforces
//! an equal part.

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
const DURATION_S: u64 = 300;
/// The burst allowance is used up after this time; earlier requests are not counted.
const WARM_UP_S: u64 = 60;

/// Prints the admitted rate as a percentage of the limit or of the offered rate, whichever is lower,
/// for evenly and unevenly distributed requests.
pub fn print() {
    println!("entries limit_per_s offered_percent skewed admitted_percent_of_min(offered,limit)");
    for (entries, limit) in [(3, 10.0), (17, 50.0), (17, 500.0), (560, 50.0), (560, 5_000.0)] {
        for offered in [0.8, 1.0, 2.0] {
            for skewed in [false, true] {
                let admitted = admitted_per_s(entries, limit, offered, skewed);
                let expected = limit * offered.min(1.0);
                let percent = admitted * 100.0 / expected;
                println!("{entries} {limit} {:.0} {skewed} {percent:.1}", offered * 100.0);
            }
        }
    }
}

/// Returns the admitted requests per second. If `skewed`, half of the requests go to a third of the
/// entries.
fn admitted_per_s(entries: usize, limit: f64, offered: f64, skewed: bool) -> f64 {
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
    while now_us < DURATION_S * 1_000_000 {
        now_us += exponential(mean_us, mean_us * 20.0, &mut rng).max(1);
        let used_entries =
            if skewed && rng.random::<bool>() { entries.div_ceil(3) } else { entries };
        let table = &mut tables[rng.random_range(0..used_entries)];
        let now = TimeMs::new(1) + DurationMs::new(now_us / 1_000);
        if table.admit(&customer, &limits, 1, now).is_ok() {
            table.release(&customer, 1, 1);
            admitted += u64::from(now_us >= WARM_UP_S * 1_000_000);
        }
    }
    admitted as f64 / (DURATION_S - WARM_UP_S) as f64
}
