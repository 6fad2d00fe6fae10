//! Guards against an order of service that starves a rank or a customer, or that gives one more than
//! its share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::num::NonZeroU32;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::admission_queue::AdmissionQueue;
use hickorydoor::admission_queue::QueuedRequest;
use hickorydoor::admission_queue::Rank;
use hickorydoor::id::CustomerId;
use proptest::collection::vec;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

mod property;

const SEED: u64 = 23;
const CASES: u32 = 64;
const MAX_COST_MS: u64 = 200;
/// Later than any time in these tests.
const FAR_MS: u64 = 1_000_000_000;

fn rank(number: u8) -> Rank {
    Rank::new(number, 0)
}

fn customer(number: u8) -> CustomerId {
    format!("c{number}").parse().expect("a valid id")
}

fn request(key: u64, rank_number: u8, customer_number: u8, cost_ms: u64) -> QueuedRequest<u64> {
    QueuedRequest {
        key,
        rank: rank(rank_number),
        customer: Some(customer(customer_number)),
        weight: NonZeroU32::MIN,
        cost_ms: DurationMs::new(cost_ms),
        latest_start_at: TimeMs::new(FAR_MS + key),
        arrived_at: TimeMs::new(0),
    }
}

/// A queue that serves one request after the other, and what it has served.
#[derive(Debug, Default)]
struct Server {
    queue: AdmissionQueue<u64>,
    waiting: BTreeMap<u64, QueuedRequest<u64>>,
    now_ms: u64,
    next_key: u64,
}

impl Server {
    fn push(&mut self, rank_number: u8, customer_number: u8, weight: u32, cost_ms: u64) {
        let mut request = request(self.next_key, rank_number, customer_number, cost_ms);
        request.weight = NonZeroU32::new(weight).expect("a positive weight");
        request.arrived_at = TimeMs::new(self.now_ms);
        self.next_key += 1;
        self.waiting.insert(request.key, request.clone());
        self.queue.push(request);
    }

    /// Serves the first request that can be placed; returns it and whether it was early.
    fn serve(
        &mut self,
        can_place: impl Fn(&QueuedRequest<u64>) -> bool,
    ) -> Option<(QueuedRequest<u64>, bool)> {
        let now = TimeMs::new(self.now_ms);
        let waiting = &self.waiting;
        let turn = self.queue.order(now).find(|turn| can_place(&waiting[&turn.key]))?;
        assert!(self.queue.serve(turn.key, now));
        let request = self.waiting.remove(&turn.key).expect("served twice");
        self.now_ms += request.cost_ms.get();
        Some((request, turn.is_early))
    }
}

proptest! {
    #![proptest_config(property::config(SEED, CASES))]

    // Guards against requests that are lost, or listed or served twice, and against an order that
    // does not follow the ranks and the latest starts.
    #[test]
    fn every_request_is_listed_until_it_leaves_once(
        steps in vec((0_u8..4, 0_u8..3, 0_u8..4, 1..MAX_COST_MS, 0..5_000_u64), 1..200),
    ) {
        let mut queue = AdmissionQueue::default();
        let mut waiting: BTreeMap<u64, QueuedRequest<u64>> = BTreeMap::new();
        for (index, (step, rank_number, customer_number, cost_ms, latest_ms)) in
            steps.into_iter().enumerate()
        {
            let now = TimeMs::new(index as u64 * 20);
            let turns: Vec<_> = queue.order(now).collect();
            let nth = turns.get(latest_ms as usize % turns.len().max(1));
            match (step, nth) {
                (0, Some(turn)) => {
                    prop_assert!(queue.serve(turn.key, now));
                    prop_assert!(waiting.remove(&turn.key).is_some());
                }
                (1, Some(turn)) => {
                    prop_assert!(queue.remove(turn.key));
                    prop_assert!(!queue.serve(turn.key, now));
                    prop_assert!(waiting.remove(&turn.key).is_some());
                }
                (2, _) => {
                    for key in queue.expire(now) {
                        let expired = waiting.remove(&key).expect("expired twice");
                        prop_assert!(expired.latest_start_at <= now);
                    }
                    prop_assert!(waiting.values().all(|left| left.latest_start_at > now));
                }
                _ => {
                    let key = index as u64;
                    let mut request = request(key, rank_number, customer_number, cost_ms);
                    request.latest_start_at = TimeMs::new(latest_ms);
                    waiting.insert(key, request.clone());
                    queue.push(request);
                }
            }
            let regular: Vec<u64> =
                queue.order(now).filter(|turn| !turn.is_early).map(|turn| turn.key).collect();
            let listed: BTreeSet<u64> = regular.iter().copied().collect();
            prop_assert_eq!(listed.len(), regular.len());
            prop_assert!(listed.iter().eq(waiting.keys()));
            prop_assert_eq!(queue.len(), waiting.len());
            for pair in regular.windows(2) {
                prop_assert!(waiting[&pair[0]].rank <= waiting[&pair[1]].rank);
            }
            for (position, key) in regular.iter().enumerate() {
                let own = &waiting[key];
                let mut later = regular[position..].iter().map(|key| &waiting[key]);
                let is_in_order = later.all(|other| {
                    (other.rank, &other.customer) != (own.rank, &own.customer)
                        || other.latest_start_at >= own.latest_start_at
                });
                prop_assert!(is_in_order);
            }
        }
    }

    // Guards against a rank that gets nothing while more urgent ones wait, and against one that
    // takes more than its guaranteed share from them.
    #[test]
    fn each_waiting_rank_gets_its_share_and_no_more(
        ranks in 2_u8..5,
        costs in vec(1..MAX_COST_MS, 50..400),
    ) {
        let mut server = Server::default();
        let total_cost_ms: u64 = costs.iter().sum();
        // All ranks have requests until the end.
        for cost_ms in &costs {
            for rank_number in 0..ranks {
                server.push(rank_number, 0, 1, *cost_ms);
            }
        }
        let mut served_ms = vec![0; usize::from(ranks)];
        let mut all_ms = 0;
        while all_ms < total_cost_ms / 2 {
            let (request, is_early) = server.serve(|_| true).expect("requests wait");
            all_ms += request.cost_ms.get();
            let number = (0..ranks).find(|number| rank(*number) == request.rank);
            let number = usize::from(number.expect("a known rank"));
            served_ms[number] += request.cost_ms.get();
            prop_assert_eq!(is_early, number > 0);
            for served_ms in &served_ms[1..] {
                prop_assert!(served_ms * 20 <= all_ms + MAX_COST_MS * 20);
                prop_assert!((served_ms + MAX_COST_MS) * 20 >= all_ms);
            }
        }
    }

    // Guards against a customer that does not get its share back after others have used it, or that
    // is preferred for what it did not use before.
    #[test]
    fn a_customer_that_returns_has_its_share_and_no_more(
        weights in vec(1_u32..4, 2..6),
        costs in vec(1..MAX_COST_MS, 200..400),
        lent in 0_usize..200,
        is_unplaceable in proptest::bool::ANY,
    ) {
        let mut server = Server::default();
        let first_customer = usize::from(!is_unplaceable);
        let push_all = |server: &mut Server, numbers: std::ops::Range<usize>| {
            for cost_ms in &costs {
                for number in numbers.clone() {
                    server.push(0, number as u8, weights[number], *cost_ms);
                }
            }
        };
        // Customer 0 sends nothing, or nothing that can be placed, while the others are served.
        push_all(&mut server, first_customer..weights.len());
        for _ in 0..lent {
            let others = |request: &QueuedRequest<u64>| request.customer != Some(customer(0));
            prop_assert!(server.serve(others).is_some());
        }
        push_all(&mut server, 0..weights.len());
        let mut served_ms = vec![0_u64; weights.len()];
        // What it may catch up with: 1 s for each unit of weight.
        let lag_ms = if is_unplaceable { 1_000 * u64::from(weights[0]) } else { 0 };
        for _ in 0..costs.len() / 2 {
            let (request, _) = server.serve(|_| true).expect("requests wait");
            let number = (0..weights.len()).find(|number| Some(customer(*number as u8)) == request.customer);
            served_ms[number.expect("a known customer")] += request.cost_ms.get();
            let own = (served_ms[0] as f64) / f64::from(weights[0]);
            for (other_ms, weight) in served_ms.iter().zip(&weights).skip(1) {
                let other = (*other_ms as f64) / f64::from(*weight);
                let bound = 2.0 * MAX_COST_MS as f64;
                prop_assert!(own + bound >= other, "{own} behind {other}");
                prop_assert!(own <= other + bound + lag_ms as f64, "{own} ahead of {other}");
            }
        }
    }

    // Guards against a request that waits for longer than the flood of another customer allows.
    #[test]
    fn a_flood_delays_no_request_for_long(
        flood in vec(1..MAX_COST_MS, 20..300),
        others in 1_u8..6,
        rank_number in 0_u8..3,
    ) {
        let mut server = Server::default();
        for cost_ms in &flood {
            server.push(0, 0, 1, *cost_ms);
        }
        for number in 1..=others {
            server.push(rank_number, number, 1, MAX_COST_MS);
        }
        let mut waited_ms = 0;
        while server.waiting.values().any(|request| request.customer != Some(customer(0))) {
            let (request, _) = server.serve(|_| true).expect("requests wait");
            waited_ms += request.cost_ms.get();
            server.push(0, 0, 1, MAX_COST_MS);
        }
        // In the rank of the flood one round, else 20 times their own cost and the first 2 s.
        let own_ms = u64::from(others) * MAX_COST_MS;
        let bound_ms = if rank_number == 0 { 2 * own_ms } else { 2_000 + 20 * own_ms };
        prop_assert!(waited_ms <= bound_ms + 2 * MAX_COST_MS, "{waited_ms}");
    }

    // Guards against an estimate of the wait from which requests would be refused in error.
    #[test]
    fn work_ahead_is_the_cost_that_is_served_before(
        queued in vec((0_u8..3, 0_u8..4, 1..MAX_COST_MS), 1..150),
        served in 0_usize..50,
        rank_number in 0_u8..3,
        customer_number in 0_u8..5,
    ) {
        let mut server = Server::default();
        for (rank_number, customer_number, cost_ms) in queued {
            server.push(rank_number, customer_number, 1, cost_ms);
        }
        for _ in 0..served {
            server.serve(|_| true);
        }
        let work_ahead_ms =
            server.queue.work_ahead_ms(rank(rank_number), Some(&customer(customer_number))).get();
        let key = server.next_key;
        server.push(rank_number, customer_number, 1, MAX_COST_MS);
        let mut ahead_ms = 0;
        let is_early = loop {
            let (request, is_early) = server.serve(|_| true).expect("it waits");
            if request.key == key {
                break is_early;
            }
            ahead_ms += request.cost_ms.get();
        };
        // One request for each other customer, and one for each less urgent rank.
        let bound_ms = 6 * MAX_COST_MS;
        prop_assert!(ahead_ms <= work_ahead_ms + bound_ms, "{work_ahead_ms} for {ahead_ms}");
        prop_assert!(
            is_early || rank_number > 0 || work_ahead_ms <= ahead_ms + bound_ms,
            "{work_ahead_ms} for {ahead_ms}"
        );
    }
}

// Guards against requests that cannot be placed and keep back those behind them.
#[test]
fn a_request_that_cannot_be_placed_blocks_nobody() {
    let mut server = Server::default();
    for key in 0..10 {
        server.push(0, key % 2, 1, 50);
    }
    server.push(1, 2, 1, 50);
    let (request, is_early) =
        server.serve(|request| request.rank != rank(0)).expect("a request can be placed");
    assert_eq!(request.customer, Some(customer(2)));
    assert!(!is_early);
    let odd = |request: &QueuedRequest<u64>| request.customer == Some(customer(1));
    for _ in 0..5 {
        assert!(server.serve(odd).is_some());
    }
    assert_eq!(server.queue.len(), 5);
}
