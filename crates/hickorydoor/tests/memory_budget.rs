//! No schedule exceeds the memory budget, and none leaves a request without an answer past its
//! deadline.

mod property;

use std::collections::BTreeMap;

use hickorydoor::TimeMs;
use hickorydoor::memory::HolderId;
use hickorydoor::memory::MemoryBudget;
use hickorydoor::memory::MemoryDecision;
use hickorydoor::memory::MemoryKind;
use hickorydoor::quantity::ByteCount;
use proptest::prelude::*;

const TOTAL_BYTES: u64 = 1 << 20;

#[derive(Clone, Debug)]
enum Step {
    Add { kind: usize },
    Ask { holder: usize, bytes: u64, wait_ms: u64 },
    Release { holder: usize, bytes: u64 },
    Progress { holder: usize },
    Rest { holder: usize },
    Remove { holder: usize },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let bytes = prop_oneof![1_u64..5_000, 1_u64..70_000, 1_u64..(TOTAL_BYTES * 5 / 4)];
    let holder = 0_usize..40;
    prop_oneof![
        3 => (0_usize..4).prop_map(|kind| Step::Add { kind }),
        8 => (holder.clone(), bytes.clone(), 0_u64..5_000)
            .prop_map(|(holder, bytes, wait_ms)| Step::Ask { holder, bytes, wait_ms }),
        2 => (holder.clone(), bytes).prop_map(|(holder, bytes)| Step::Release { holder, bytes }),
        2 => holder.clone().prop_map(|holder| Step::Progress { holder }),
        1 => holder.clone().prop_map(|holder| Step::Rest { holder }),
        2 => holder.prop_map(|holder| Step::Remove { holder }),
        3 => (0_u64..4_000).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// What the callers of a budget know.
struct Schedule {
    budget: MemoryBudget,
    now_ms: u64,
    holders: Vec<HolderId>,
    held: BTreeMap<HolderId, u64>,
    /// Bytes and deadline of the requests without an answer.
    waiting: BTreeMap<HolderId, (u64, u64)>,
}

impl Schedule {
    fn new() -> Self {
        let budget = MemoryBudget::new(ByteCount::new(TOTAL_BYTES));
        let (held, waiting) = (BTreeMap::new(), BTreeMap::new());
        Self { budget, now_ms: 1, holders: Vec::new(), held, waiting }
    }

    fn pick(&self, index: usize) -> Option<HolderId> {
        (!self.holders.is_empty()).then(|| self.holders[index % self.holders.len()])
    }

    fn run(&mut self, step: &Step) -> Option<()> {
        let now = TimeMs::new(self.now_ms);
        match *step {
            Step::Add { kind } => self.holders.push(self.budget.add(MemoryKind::ALL[kind])),
            Step::Ask { holder, bytes, wait_ms } => {
                let id = self.pick(holder)?;
                if self.waiting.contains_key(&id) {
                    return None;
                }
                let deadline_ms = self.now_ms + wait_ms;
                if self.budget.ask(id, ByteCount::new(bytes), TimeMs::new(deadline_ms)) {
                    *self.held.entry(id).or_default() += bytes;
                } else {
                    self.waiting.insert(id, (bytes, deadline_ms));
                }
            }
            Step::Release { holder, bytes } => {
                let id = self.pick(holder)?;
                self.budget.release(id, ByteCount::new(bytes));
                let held = self.held.entry(id).or_default();
                *held = held.saturating_sub(bytes);
            }
            Step::Progress { holder } => self.budget.progress(self.pick(holder)?, now),
            Step::Rest { holder } => self.budget.rest(self.pick(holder)?),
            Step::Remove { holder } => self.remove(self.pick(holder)?),
            Step::Wait { ms } => {
                self.now_ms += ms;
                self.budget.expire(TimeMs::new(self.now_ms));
            }
        }
        Some(())
    }

    fn remove(&mut self, id: HolderId) {
        self.budget.remove(id);
        self.holders.retain(|known| *known != id);
        self.held.remove(&id);
        self.waiting.remove(&id);
    }

    /// Follows the decisions; each answers a request that has none yet.
    fn follow_decisions(&mut self) {
        for decision in self.budget.take_decisions() {
            match decision {
                MemoryDecision::Granted(id) => {
                    let (bytes, _) = self.waiting.remove(&id).expect("granted without a request");
                    *self.held.entry(id).or_default() += bytes;
                }
                MemoryDecision::Refused(id) => {
                    self.waiting.remove(&id).expect("refused without a request");
                }
                MemoryDecision::Evicted(id) => {
                    assert!(self.held[&id] > 0, "evicted without memory");
                    self.remove(id);
                }
            }
        }
    }

    fn check(&self) {
        let held_bytes: u64 = self.held.values().sum();
        let used = MemoryKind::ALL.map(|kind| self.budget.used_bytes(kind).get());
        assert_eq!(held_bytes, used.iter().sum::<u64>());
        assert!(held_bytes <= TOTAL_BYTES, "{held_bytes} bytes");
        let large = self.held.values().filter(|bytes| **bytes > 64 << 10);
        assert!(large.sum::<u64>() <= TOTAL_BYTES * 3 / 4, "the share of small holders is taken");
        assert_eq!(self.budget.waiting(), self.waiting.len());
    }

    fn check_deadlines(&self) {
        for (id, (_, deadline_ms)) in &self.waiting {
            assert!(*deadline_ms > self.now_ms, "{id:?} waits past its deadline");
        }
    }
}

proptest! {
    #![proptest_config(property::config(45, 500))]

    #[test]
    fn no_schedule_exceeds_the_budget(steps in prop::collection::vec(step(), 1..120)) {
        let mut schedule = Schedule::new();
        for step in &steps {
            schedule.run(step);
            // Evictions free memory for others, whose grants are new decisions.
            for _ in 0..2 {
                schedule.follow_decisions();
            }
            schedule.follow_decisions();
            schedule.check();
            if matches!(step, Step::Wait { .. }) {
                schedule.check_deadlines();
            }
        }
        // All waiting requests are answered once the latest deadline has passed.
        schedule.run(&Step::Wait { ms: 5_000 });
        schedule.follow_decisions();
        prop_assert!(schedule.waiting.is_empty());
    }
}

#[test]
fn small_requests_pass_by_large_ones_that_wait() {
    let mut budget = MemoryBudget::new(ByteCount::new(TOTAL_BYTES));
    let late = TimeMs::new(10_000);
    let large: Vec<HolderId> = (0..2).map(|_| budget.add(MemoryKind::RequestBody)).collect();
    assert!(budget.ask(large[0], ByteCount::new(TOTAL_BYTES * 2 / 5), late));
    assert!(!budget.ask(large[1], ByteCount::new(TOTAL_BYTES * 2 / 5), late));
    let small = budget.add(MemoryKind::RequestBody);
    assert!(budget.ask(small, ByteCount::new(60 << 10), late));
    budget.progress(large[0], TimeMs::new(0));
    budget.expire(TimeMs::new(3_000));
    assert_eq!(budget.take_decisions(), [MemoryDecision::Evicted(large[0])]);
    budget.remove(large[0]);
    assert_eq!(budget.take_decisions(), [MemoryDecision::Granted(large[1])]);
}

/// Guards against idle connections that keep new ones from being accepted.
#[test]
fn idle_connection_that_had_a_request_gives_way_to_a_new_one() {
    let mut budget = MemoryBudget::new(ByteCount::new(TOTAL_BYTES));
    budget = budget.with_connection_limit(ByteCount::new(4 << 10));
    let late = TimeMs::new(10_000);
    let [open, active, new] =
        [MemoryKind::Connection, MemoryKind::ActiveConnection, MemoryKind::Connection]
            .map(|kind| budget.add(kind));
    assert!(budget.ask(open, ByteCount::new(4 << 10), late));
    assert!(budget.ask(active, ByteCount::new(28 << 10), late));
    budget.progress(active, TimeMs::new(0));
    assert!(!budget.ask(new, ByteCount::new(4 << 10), late));
    budget.expire(TimeMs::new(3_000));
    assert_eq!(budget.take_decisions(), [MemoryDecision::Evicted(active)]);
}

/// Guards against an evicted holder that goes on and keeps the others from being evicted.
#[test]
fn evicted_holder_that_goes_on_counts_for_nothing() {
    let mut budget = MemoryBudget::new(ByteCount::new(TOTAL_BYTES));
    let late = TimeMs::new(10_000);
    let [first, second] = [(); 2].map(|()| budget.add(MemoryKind::RequestBody));
    let waiting = budget.add(MemoryKind::RequestBody);
    for holder in [first, second] {
        assert!(budget.ask(holder, ByteCount::new(TOTAL_BYTES / 4), late));
        budget.progress(holder, TimeMs::new(0));
    }
    assert!(!budget.ask(waiting, ByteCount::new(TOTAL_BYTES / 4), late));
    budget.expire(TimeMs::new(3_000));
    assert_eq!(budget.take_decisions(), [MemoryDecision::Evicted(first)]);
    budget.rest(first);
    budget.expire(TimeMs::new(3_050));
    assert_eq!(budget.take_decisions(), [MemoryDecision::Evicted(second)]);
}

/// Guards against connections that keep each response from being read.
#[test]
fn large_response_uses_what_connections_leave() {
    let mut budget = MemoryBudget::new(ByteCount::new(TOTAL_BYTES));
    let late = TimeMs::new(10_000);
    while budget.used_bytes(MemoryKind::ActiveConnection).get() < TOTAL_BYTES / 2 - (28 << 10) {
        let connection = budget.add(MemoryKind::ActiveConnection);
        assert!(budget.ask(connection, ByteCount::new(28 << 10), late));
    }
    let small = budget.add(MemoryKind::RequestBody);
    assert!(budget.ask(small, ByteCount::new(60 << 10), late));
    let response = budget.add(MemoryKind::Response);
    assert!(budget.ask(response, ByteCount::new(TOTAL_BYTES / 3), late));
}
