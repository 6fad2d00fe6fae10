//! Size of the billing ledger during a long outage of the key-value service, and sets of request
//! numbers.

use hickorydoor::Class;
use hickorydoor::TimeMs;
use hickorydoor::billing::bill::Bill;
use hickorydoor::billing::bill::BillLine;
use hickorydoor::billing::ledger::Ledger;
use hickorydoor::billing::serial_set::SerialSet;
use hickorydoor::billing::usage::Usage;
use hickorydoor::id::Incarnation;
use hickorydoor::id::Serial;
use hickorydoor::quantity::CostMicros;
use hickorydoor::quantity::Tokens;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvOperation;
use proptest::prelude::proptest;

mod property;

/// Requests of one entry in an hour at full scale (41 per second).
const REQUESTS_PER_HOUR: u64 = 147_600;
const VALUE_LIMIT_BYTES: usize = 1_000_000;

fn bill(serial: u64, customers: u64, versions: u64) -> Bill {
    let tokens = Tokens::new(100);
    Bill {
        serial: Serial::new(serial),
        customer: format!("customer-{}", serial % customers).parse().expect("id"),
        class: Class::Interactive,
        lines: vec![BillLine {
            version: Some(format!("version-{}", serial % versions).parse().expect("id")),
            usage: Usage { prompt_tokens: tokens, answer_tokens: tokens },
            cost_micros: CostMicros::new(3),
        }],
    }
}

fn stored_sizes(ledger: &mut Ledger, now: TimeMs) -> Vec<usize> {
    let mut stored_sizes = Vec::new();
    ledger.seal(now);
    while let Some(KvCall::Transaction { then, .. }) = ledger.next_write() {
        for operation in &then {
            if let KvOperation::Put { value, .. } = operation {
                stored_sizes.push(value.len());
            }
        }
        ledger.confirm_stored();
        ledger.seal(now);
    }
    stored_sizes
}

/// Guards against a separate batch for every 5 s of an outage, the interval at which the open batch
/// is sealed.
#[test]
fn an_hour_of_outage_produces_few_small_batches() {
    let entry = "entry-1".parse().expect("id");
    let mut ledger = Ledger::new(entry, Incarnation::new(1), Serial::default());
    for serial in 0..REQUESTS_PER_HOUR {
        // Every tenth request is missing, as if it was still in flight or rejected.
        if serial % 10 != 0 {
            ledger.add(&bill(serial, 10, 20), &[], TimeMs::new(serial * 24));
        }
        if serial % 205 == 0 {
            ledger.seal(TimeMs::new(serial * 24));
        }
    }
    let stored_sizes = stored_sizes(&mut ledger, TimeMs::new(3_600_000));
    let batches: Vec<usize> = stored_sizes.iter().copied().step_by(2).collect();
    println!("batch sizes in bytes after an hour: {batches:?}");
    assert!(batches.len() <= 4, "{batches:?}");
    assert!(batches.iter().sum::<usize>() < VALUE_LIMIT_BYTES);
}

/// Guards against batches above the size limit for values of the key-value service.
#[test]
fn batches_of_many_customers_stay_under_the_value_limit() {
    let entry = "entry-1".parse().expect("id");
    let mut ledger = Ledger::new(entry, Incarnation::new(1), Serial::default());
    for serial in 0..20_000 {
        ledger.add(&bill(serial * 2, 5_000, 5_000), &[], TimeMs::new(0));
    }
    let largest = stored_sizes(&mut ledger, TimeMs::new(0)).into_iter().max();
    assert!(largest.is_some_and(|bytes| bytes < VALUE_LIMIT_BYTES), "{largest:?}");
}

proptest! {
    #![proptest_config(property::config(7, 256))]

    /// Guards against numbers that are lost or added by mistake when ranges are merged.
    #[test]
    fn serial_sets_contain_what_was_inserted(serials in proptest::collection::vec(0..60_u64, 0..80)) {
        let mut set = SerialSet::default();
        for serial in &serials {
            set.insert(Serial::new(*serial));
        }
        let text = set.to_string();
        let set: SerialSet = text.parse().expect("a displayed set parses");
        for serial in 0..60 {
            assert_eq!(set.contains(Serial::new(serial)), serials.contains(&serial), "{text}");
        }
        let missing = (0..=60).find(|serial| !serials.contains(serial)).map(Serial::new);
        assert_eq!(Some(set.first_missing(Serial::new(0))), missing);
    }
}
