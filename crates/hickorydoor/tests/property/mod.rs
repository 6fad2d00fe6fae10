//! Configuration of property tests with a fixed seed and an adjustable number of cases.

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Returns a configuration that runs `cases` cases, or the number in the environment variable
/// `HICKORY_PROPTEST_CASES` if it is set.
pub fn config(seed: u64, cases: u32) -> Config {
    let override_cases =
        std::env::var("HICKORY_PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    Config {
        cases: override_cases.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
