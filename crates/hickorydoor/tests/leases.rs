//! Presence leases and fencing numbers.
//!
//! Guards against a paused holder that resumes and sends orders after its successor has sent some,
//! and against a later holder with a lower fencing number.

mod support;

use std::collections::BTreeMap;

use hickorydoor::TimeMs;
use hickorydoor::agent::lease::LeaseHolder;
use hickorydoor::id::HostId;
use hickorydoor::id::Incarnation;
use hickorydoor::id::UpstreamId;
use hickorydoor::store::kv_call::KvCall;
use hickorydoor::store::kv_call::KvFault;
use hickorydoor::store::kv_call::KvOutcome;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::proptest;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::support::kv::FakeKv;
use crate::support::schedule;

const TICK_MS: u64 = 1_000;
const STEPS: u64 = 2_000;

/// Incarnations of the agents of one upstream, all of which may run at the same time.
struct Simulation {
    kv: FakeKv,
    holders: Vec<LeaseHolder>,
    paused_until_ms: Vec<u64>,
    /// Orders as time, index of the holder and fencing number.
    orders: Vec<(u64, usize, u64)>,
    rng: Pcg64Mcg,
}

impl Simulation {
    fn new(hosts: &[&str], seed: u64) -> Self {
        let upstream: UpstreamId = "engine-1".parse().expect("id");
        let holder = |(index, host): (usize, &&str)| {
            let host: HostId = host.parse().expect("id");
            let incarnation = Incarnation::new(index as u64);
            LeaseHolder::new(&upstream, host, incarnation, TimeMs::new(0))
        };
        Self {
            kv: FakeKv::default(),
            holders: hosts.iter().enumerate().map(holder).collect(),
            paused_until_ms: (0..hosts.len() as u64).map(|index| index * 450_000).collect(),
            orders: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn step(&mut self, now_ms: u64, checks_fencing: bool, is_down: bool) {
        let now = TimeMs::new(now_ms);
        for index in 0..self.holders.len() {
            if now_ms < self.paused_until_ms[index] {
                continue;
            }
            let holder = &mut self.holders[index];
            // A process that resumes sends its order before it handles any other event.
            if let Some(fencing) = holder.fencing(now) {
                self.orders.push((now_ms, index, fencing.get()));
            }
            if let Some(call) = holder.next_call(now) {
                let outcome = call_kv(&mut self.kv, &call, now, is_down, &mut self.rng);
                holder.on_outcome(outcome, checks_fencing, now, &mut self.rng);
            }
        }
    }
}

fn call_kv(
    kv: &mut FakeKv,
    call: &KvCall,
    now: TimeMs,
    is_down: bool,
    rng: &mut Pcg64Mcg,
) -> KvOutcome {
    if is_down {
        return KvOutcome::Fault(KvFault::NotSent);
    }
    let reply = kv.run(call, now).expect("a reply");
    if rng.random_bool(0.1) {
        KvOutcome::Fault(KvFault::OutcomeUnknown)
    } else {
        KvOutcome::Reply(reply)
    }
}

/// Pauses as index of the holder, first step and number of steps.
fn pauses(holder_count: usize) -> impl Strategy<Value = Vec<(usize, u64, u64)>> {
    proptest::collection::vec((0..holder_count, 0..STEPS, 1..500_u64), 0..8)
}

fn run(
    hosts: &[&str],
    seed: u64,
    pauses: &[(usize, u64, u64)],
    checks_fencing: bool,
) -> Simulation {
    let mut simulation = Simulation::new(hosts, seed);
    for step in 0..STEPS {
        let now_ms = step * TICK_MS;
        for (index, _, steps) in pauses.iter().filter(|(_, at, _)| *at == step) {
            let until = now_ms + steps * TICK_MS;
            simulation.paused_until_ms[*index] = simulation.paused_until_ms[*index].max(until);
        }
        // The key-value service is down in every seventh minute.
        simulation.step(now_ms, checks_fencing, step / 60 % 7 == 6);
    }
    simulation
}

/// Orders sent after another order with a higher fencing number.
fn stale_orders(simulation: &Simulation) -> Vec<(u64, usize, u64)> {
    let mut highest = 0;
    let mut stale = Vec::new();
    for order in &simulation.orders {
        if order.2 < highest {
            stale.push(*order);
        }
        highest = highest.max(order.2);
    }
    stale
}

#[test]
fn a_successor_takes_over_at_once_if_the_engine_checks_fencing() {
    let simulation = run(&["agent-1", "agent-1"], 1, &[], true);
    let second = simulation.orders.iter().find(|(_, index, _)| *index == 1).expect("an order");
    assert!(second.0 <= 450_000 + 10_000, "{second:?}");
    let before = simulation.orders.iter().filter(|order| order.1 == 0);
    assert!(before.into_iter().all(|order| order.2 < second.2));
}

#[test]
fn a_successor_waits_for_the_end_of_the_lease_if_the_engine_ignores_fencing() {
    // The first incarnation is paused for good shortly before the second one starts.
    let simulation = run(&["agent-1", "agent-1"], 1, &[(0, 440, STEPS)], false);
    let second = simulation.orders.iter().find(|(_, index, _)| *index == 1).expect("an order");
    let last = simulation.orders.iter().rfind(|(_, index, _)| *index == 0).expect("an order");
    assert!(second.0 >= last.0 + 120_000, "{last:?} {second:?}");
}

/// Guards against a holder whose orders the engine takes for those of a predecessor, because the
/// key-value service came back from a copy and assigned a lower revision.
#[test]
fn fencing_numbers_of_a_holder_grow_although_the_service_is_put_back() {
    let mut simulation = Simulation::new(&["agent-1"], 1);
    let mut copy = None;
    for step in 0..STEPS {
        let now_ms = step * TICK_MS;
        if step == 2 {
            copy = Some(simulation.kv.clone());
        }
        if step == 300 {
            // Other writes have raised the revision before the key is created anew.
            simulation.kv.revision += 40;
            simulation.kv.expire(TimeMs::new(now_ms + 3_600_000));
        }
        if step == 600 {
            simulation.kv = copy.take().expect("a copy");
            simulation.kv.expire(TimeMs::new(now_ms));
        }
        simulation.step(now_ms, true, false);
        // Writes of other agents.
        simulation.kv.revision += u64::from(step % 20 == 0);
    }
    assert_eq!(stale_orders(&simulation), Vec::new());
    let last = simulation.orders.last().expect("an order");
    assert!(last.0 >= (STEPS - 100) * TICK_MS, "the holder sends no more orders: {last:?}");
}

proptest! {
    #![proptest_config(schedule::config(24))]

    #[test]
    fn no_stale_order_reaches_an_engine_that_ignores_fencing(
        seed in any::<u64>(),
        pauses in pauses(3),
    ) {
        let simulation = run(&["agent-1", "agent-1", "agent-2"], seed, &pauses, false);
        assert_eq!(stale_orders(&simulation), Vec::new());
    }

    #[test]
    fn fencing_numbers_tell_holders_apart(seed in any::<u64>(), pauses in pauses(3)) {
        let simulation = run(&["agent-1", "agent-1", "agent-2"], seed, &pauses, true);
        let mut holders = BTreeMap::new();
        for (_, index, fencing) in &simulation.orders {
            assert_eq!(holders.entry(fencing).or_insert(index), &index, "number {fencing}");
        }
    }
}
