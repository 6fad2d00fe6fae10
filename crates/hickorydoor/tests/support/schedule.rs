//! Generation of fault schedules for property tests, and the proptest configuration.

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Fixed seed of all property tests.
const SEED: u64 = 0x000d_00c5;
/// Environment variable that raises the number of generated cases.
const CASES_VARIABLE: &str = "HICKORY_PROPTEST_CASES";

/// Longest pause of a process and longest outage of the key-value service that `faults` generates.
pub const MAX_PAUSE_MS: u64 = 30_000 + u8::MAX as u64 * 1_000;

/// A fault that the fleet injects.
///
/// Indices are taken modulo the number of entries or agents. `CutLink` still delivers the frames sent
/// before the cut if `late` is set. `KvLosesReplies` executes calls to the key-value service, but loses
/// half of the replies. `RestartEntry` and `RestartAgent` request a shutdown, after which the process
/// is started again.
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

/// A fault with its time in milliseconds since the start.
pub type ScheduledFault = (u64, Fault);

/// Generates at most `max_faults` faults of all kinds within `span_ms`.
pub fn faults(span_ms: u64, max_faults: usize) -> impl Strategy<Value = Vec<ScheduledFault>> {
    let fields = (0..span_ms, 0..14_u8, any::<u8>(), any::<u8>(), any::<bool>());
    let fault = fields.prop_map(|(at_ms, kind, first, second, flag)| {
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
    proptest::collection::vec(fault, 0..=max_faults)
}

/// Returns the configuration of a property test. `HICKORY_PROPTEST_CASES` can raise `cases`, but not
/// lower it.
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
