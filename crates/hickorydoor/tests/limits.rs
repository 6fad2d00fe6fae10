//! Customer limits and retry budgets admit no more than they state.

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::configuration::customer::CustomerLimits;
use hickorydoor::entry::customer_limits::LimitTable;
use hickorydoor::entry::retry_budget::RetryBudget;
use hickorydoor::id::CustomerId;
use hickorydoor::quantity::Share;
use proptest::prop_assert;
use proptest::proptest;

mod property;

const SEED: u64 = 13;
const CASES: u32 = 64;
/// Burst that each entry may admit above its rate, as the time in which its share of the limit
/// refills; the burst is at least 2 requests.
const BURST_WINDOW_S: f64 = 2.0;

fn customer() -> CustomerId {
    CustomerId::try_from("customer").expect("a valid id")
}

proptest! {
    #![proptest_config(property::config(SEED, CASES))]

    // Guards against entries that together admit more than the rate and the stated burst.
    #[test]
    fn the_rate_holds_across_entries(
        arrivals in proptest::collection::vec((0_usize..8, 0_u64..200), 1..600),
        entries in 1_usize..8,
        limit in 1_u32..50,
    ) {
        let limit = f64::from(limit);
        let limits = CustomerLimits { requests_per_s: Some(limit), ..CustomerLimits::default() };
        let mut tables = vec![LimitTable::default(); entries];
        for table in &mut tables {
            table.set_entries(entries);
        }
        let mut now = TimeMs::new(0);
        let mut admitted = 0.0;
        for (entry, pause_ms) in arrivals {
            now = now + DurationMs::new(pause_ms);
            let table = &mut tables[entry % entries];
            if table.admit(&customer(), &limits, 1, now).is_ok() {
                table.release(&customer(), 1, 1);
                admitted += 1.0;
            }
        }
        let burst = entries as f64 * (limit / entries as f64 * BURST_WINDOW_S).max(2.0);
        let seconds = now.since(TimeMs::new(0)).as_f64() / 1_000.0;
        prop_assert!(admitted <= limit * seconds + burst + 1e-6);
    }

    // Guards against more concurrent requests than the limit, and against refused requests that
    // are charged to it.
    #[test]
    fn concurrency_holds(steps in proptest::collection::vec(proptest::bool::ANY, 1..300), limit in 1_u32..20) {
        let limits = CustomerLimits { concurrent_requests: Some(limit), ..CustomerLimits::default() };
        let mut table = LimitTable::default();
        let mut running = 0;
        for starts in steps {
            if starts {
                let admitted = table.admit(&customer(), &limits, 1, TimeMs::new(0)).is_ok();
                prop_assert!(admitted == (running < limit));
                running += u32::from(admitted);
            } else if running > 0 {
                table.release(&customer(), 1, 1);
                running -= 1;
            }
        }
    }

    // Guards against retries that exceed the stated share of the requests.
    #[test]
    fn retries_stay_within_their_share(steps in proptest::collection::vec(0_u8..4, 1..800), percent in 0_u32..50) {
        let share = Share::from_percent(percent);
        let mut budget = RetryBudget::default();
        let mut requests = 0;
        let mut retries = 0.0;
        for step in steps {
            if step == 0 {
                budget.deposit(&customer(), share);
                requests += 1;
            } else if requests > 0 && budget.try_withdraw(&customer()) {
                retries += 1.0;
            }
            prop_assert!(retries <= RetryBudget::max_retries(requests, share) + 1e-6);
        }
    }
}

// Guards against a request above the burst that blocks its customer for ever, or that is never
// charged.
#[test]
fn tokens_are_paid_off_at_the_rate() {
    let limits = CustomerLimits { tokens_per_s: Some(100.0), ..CustomerLimits::default() };
    let mut table = LimitTable::default();
    assert!(table.admit(&customer(), &limits, 1_000, TimeMs::new(0)).is_ok());
    table.release(&customer(), 1_000, 1_200);
    let refused = table.admit(&customer(), &limits, 1, TimeMs::new(1_000));
    assert_eq!(refused, Err(DurationMs::new(9_010)));
    assert!(table.admit(&customer(), &limits, 1, TimeMs::new(10_020)).is_ok());
}
