//! Configuration of property tests: fixed seeds, and a case count that can be raised.

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Runs `cases` cases, or as many as `HICKORY_PROPTEST_CASES` says.
pub fn config(seed: u64, cases: u32) -> Config {
    let raised = std::env::var("HICKORY_PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    Config {
        cases: raised.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
