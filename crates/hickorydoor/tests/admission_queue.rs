//! Guards against queues that lose requests, starve customers or grow without bound.

use std::collections::HashSet;
use std::num::NonZeroU32;

use hickorydoor::Class;
use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::admission_queue::AdmissionQueue;
use hickorydoor::admission_queue::QueuedRequest;
use hickorydoor::admission_queue::Rank;
use hickorydoor::id::CustomerId;
use hickorydoor::id::Serial;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

mod property;

const SEED: u64 = 11;
const CASES: u32 = 64;
const MAX_WAIT_MS: DurationMs = DurationMs::from_secs(2);

fn queued(serial: u64, customer: u8, weight: u32, class: Class) -> QueuedRequest<Serial> {
    QueuedRequest {
        key: Serial::new(serial),
        rank: Rank::from(class),
        customer: Some(customer_id(customer)),
        weight: NonZeroU32::new(weight).expect("a positive weight"),
        cost_ms: DurationMs::new(100),
        latest_start_at: TimeMs::new(2_000),
        arrived_at: TimeMs::new(0),
    }
}

fn customer_id(customer: u8) -> CustomerId {
    CustomerId::try_from(format!("c{customer}").as_str()).expect("a valid id")
}

proptest! {
    #![proptest_config(property::config(SEED, CASES))]

    // Guards against requests that are served twice, or that are neither served, shed nor expired.
    #[test]
    fn every_request_leaves_once(arrivals in proptest::collection::vec((0_u8..5, 1_u32..4, proptest::bool::ANY, 0_u64..3), 1..200)) {
        let mut queue = AdmissionQueue::default();
        let mut left = HashSet::new();
        let mut now = TimeMs::new(0);
        let count = arrivals.len();
        for (serial, (customer, weight, batch, serves)) in arrivals.into_iter().enumerate() {
            now = now + DurationMs::new(10);
            let class = if batch { Class::Batch } else { Class::Interactive };
            for shed in queue.push_within(queued(serial as u64, customer, weight, class), MAX_WAIT_MS) {
                prop_assert!(left.insert(shed));
            }
            for _ in 0..serves {
                if let Some(first) = queue.peek(now) {
                    queue.serve(first, now);
                    prop_assert!(left.insert(first));
                }
            }
        }
        for expired in queue.expire(TimeMs::new(2_000)) {
            prop_assert!(left.insert(expired));
        }
        prop_assert!(queue.is_empty());
        prop_assert_eq!(left.len(), count);
    }

    // Guards against a customer that floods the queue and thereby delays or displaces the requests
    // of others.
    #[test]
    fn a_flood_starves_nobody(flood in 20_u64..500, others in 1_u8..4) {
        let mut queue = AdmissionQueue::default();
        let mut shed = Vec::new();
        for serial in 0..flood {
            shed.extend(queue.push_within(queued(serial, 0, 1, Class::Interactive), MAX_WAIT_MS));
        }
        for other in 1..=others {
            let serial = flood + u64::from(other);
            shed.extend(queue.push_within(queued(serial, other, 1, Class::Interactive), MAX_WAIT_MS));
        }
        prop_assert!(shed.iter().all(|serial| serial.get() < flood));
        let now = TimeMs::new(1);
        // The first round serves one request of each customer.
        let mut first_round = 0;
        for _ in 0..=others {
            let first = queue.peek(now).expect("requests wait");
            first_round += usize::from(first.get() >= flood);
            queue.serve(first, now);
        }
        prop_assert_eq!(first_round, usize::from(others));
    }
}

// Guards against batch requests that delay interactive ones, or that are never served.
#[test]
fn interactive_work_goes_first() {
    let mut queue = AdmissionQueue::default();
    let now = TimeMs::new(1);
    queue.push_within(queued(1, 0, 1, Class::Batch), MAX_WAIT_MS);
    queue.push_within(queued(2, 0, 1, Class::Interactive), MAX_WAIT_MS);
    assert_eq!(queue.peek(now), Some(Serial::new(2)));
    queue.serve(Serial::new(2), now);
    assert_eq!(queue.peek(now), Some(Serial::new(1)));
}

// Guards against an order that ignores the weights of customers.
#[test]
fn weights_share_the_capacity() {
    let mut queue = AdmissionQueue::default();
    for serial in 0..8 {
        queue.push_within(queued(serial, 0, 3, Class::Interactive), MAX_WAIT_MS);
        queue.push_within(queued(100 + serial, 1, 1, Class::Interactive), MAX_WAIT_MS);
    }
    let now = TimeMs::new(1);
    let mut heavy = 0;
    for _ in 0..8 {
        let first = queue.peek(now).expect("requests wait");
        heavy += u32::from(first.get() < 100);
        queue.serve(first, now);
    }
    assert_eq!(heavy, 6);
}
