//! Generated schedules of faults.

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Seed of all property tests.
const SEED: u64 = 0x000d_00c5;
/// Variable that raises the number of generated cases.
const CASES_VARIABLE: &str = "HICKORY_PROPTEST_CASES";

/// Longest pause of a process and longest outage of the key-value service.
pub const MAX_PAUSE_MS: u64 = 30_000 + u8::MAX as u64 * 1_000;

/// A fault of the fleet's surroundings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    CutLink { entry: usize, agent: usize, late: bool },
    CrashEntry { entry: usize, down_ms: u64 },
    CrashAgent { agent: usize, down_ms: u64 },
    PauseEntry { entry: usize, ms: u64 },
    PauseAgent { agent: usize, ms: u64 },
    KvOutage { ms: u64 },
    KvLosesReplies { ms: u64 },
    CutWatches,
    RestartEntry { entry: usize },
    RestartAgent { agent: usize },
}

/// A fault with its time since the start.
pub type Timed = (u64, Fault);

/// Faults of every kind within `span_ms`.
pub fn faults(span_ms: u64, most: usize) -> impl Strategy<Value = Vec<Timed>> {
    let one = (0..span_ms, 0..14_u8, any::<u8>(), any::<u8>(), any::<bool>());
    let fault = one.prop_map(|(at_ms, kind, first, second, flag)| {
        let entry = usize::from(first);
        let agent = usize::from(second);
        let short_ms = 500 + u64::from(second) * 40;
        let long_ms = 30_000 + u64::from(second) * 1_000;
        let fault = match kind {
            0..=3 => Fault::CutLink { entry, agent, late: flag },
            4 => Fault::CrashEntry { entry, down_ms: short_ms },
            5 => Fault::CrashAgent { agent, down_ms: short_ms },
            6 => Fault::PauseEntry { entry, ms: if flag { short_ms } else { long_ms } },
            7 => Fault::PauseAgent { agent, ms: if flag { short_ms } else { long_ms } },
            8 => Fault::KvOutage { ms: if flag { short_ms } else { long_ms } },
            9..=10 => Fault::KvLosesReplies { ms: long_ms },
            11 => Fault::CutWatches,
            12 => Fault::RestartEntry { entry },
            _ => Fault::RestartAgent { agent },
        };
        (at_ms, fault)
    });
    proptest::collection::vec(fault, 0..=most)
}

/// The fixed configuration of the property tests; the variable only raises the case count.
pub fn config(cases: u32) -> Config {
    let raised = std::env::var(CASES_VARIABLE).ok().and_then(|text| text.parse().ok());
    Config {
        cases: raised.unwrap_or(cases).max(cases),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    }
}
