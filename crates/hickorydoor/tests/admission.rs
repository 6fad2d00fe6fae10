//! Admission limit: bounds, growth on a warm engine, and the drop to the cold limit.

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::agent::admission_limit::AdmissionLimit;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;

mod property;

const COLD_LIMIT: u32 = 4;
const WARM_LIMIT: u32 = 32;
const WARM_INTERVAL_MS: f64 = 20.0;
const SEED: u64 = 7;
const CASES: u32 = 64;

#[derive(Clone, Debug)]
enum Step {
    Admit,
    End,
    FirstToken { on_time: bool },
    Output { gap_ms: u64 },
    Tick { pause_ms: u64 },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => proptest::strategy::Just(Step::Admit),
        2 => proptest::strategy::Just(Step::End),
        4 => proptest::bool::ANY.prop_map(|on_time| Step::FirstToken { on_time }),
        8 => (5_u64..400).prop_map(|gap_ms| Step::Output { gap_ms }),
        2 => (0_u64..2_000).prop_map(|pause_ms| Step::Tick { pause_ms }),
        1 => proptest::strategy::Just(Step::Restart),
    ]
}

fn admission() -> AdmissionLimit {
    AdmissionLimit::new(COLD_LIMIT, WARM_LIMIT, true, WARM_INTERVAL_MS, TimeMs::new(0))
}

proptest! {
    #![proptest_config(property::config(SEED, CASES))]

    // Guards against an attempt admitted above the limit, and a limit above the warm limit.
    #[test]
    fn admits_only_below_the_limit(steps in proptest::collection::vec(step(), 1..400)) {
        let mut admission = admission();
        let mut running = 0_usize;
        let mut now = TimeMs::new(0);
        for step in steps {
            let before = admission.limit();
            match step {
                Step::Admit => {
                    if admission.admits(running) {
                        running += 1;
                        prop_assert!(running <= admission.limit() as usize);
                    }
                }
                Step::End => running = running.saturating_sub(1),
                Step::FirstToken { on_time } => {
                    admission.on_first_token(on_time, running, now);
                    prop_assert!(on_time || admission.limit() <= before.max(COLD_LIMIT));
                }
                Step::Output { gap_ms } => {
                    now = now + DurationMs::new(gap_ms);
                    admission.on_output(1, DurationMs::new(gap_ms), running, now);
                    prop_assert!(admission.limit() <= before.max(COLD_LIMIT));
                }
                Step::Tick { pause_ms } => {
                    now = now + DurationMs::new(pause_ms);
                    admission.on_tick(running, false, now);
                    prop_assert!(admission.limit() <= before);
                }
                Step::Restart => {
                    admission.restart(now);
                    prop_assert_eq!(admission.limit(), COLD_LIMIT);
                }
            }
            prop_assert!((1..=WARM_LIMIT).contains(&admission.limit()));
        }
    }
}

/// Raises the limit to its maximum with the token intervals of a warm engine.
fn warmed_up() -> (AdmissionLimit, TimeMs) {
    let mut admission = admission();
    let mut now = TimeMs::new(0);
    for _ in 0..100 {
        now = now + DurationMs::new(20);
        admission.on_output(1, DurationMs::new(20), 0, now);
        admission.on_first_token(true, WARM_LIMIT as usize, now);
    }
    (admission, now)
}

// Guards against a limit that grows although the engine's output is as slow as that of a cold one.
#[test]
fn stays_cold_without_evidence() {
    let mut admission = admission();
    let mut now = TimeMs::new(0);
    for _ in 0..100 {
        now = now + DurationMs::new(80);
        admission.on_output(1, DurationMs::new(80), 0, now);
        admission.on_first_token(true, 4, now);
    }
    assert_eq!(admission.limit(), COLD_LIMIT);
}

// Guards against an engine that keeps its warm limit although its output has slowed down or
// stalled.
#[test]
fn drops_to_the_cold_limit_when_output_slows_down_or_stalls() {
    let (mut slow, mut now) = warmed_up();
    assert_eq!(slow.limit(), WARM_LIMIT);
    for _ in 0..10 {
        now = now + DurationMs::new(200);
        slow.on_output(1, DurationMs::new(200), 8, now);
    }
    assert_eq!(slow.limit(), COLD_LIMIT);

    let (mut stalled, now) = warmed_up();
    let now = now + DurationMs::new(500);
    assert!(stalled.on_tick(8, false, now));
    assert_eq!(stalled.limit(), COLD_LIMIT);
    // A hung engine gets one attempt at a time as a probe.
    stalled.on_tick(8, false, now + DurationMs::new(1_000));
    assert_eq!(stalled.limit(), 1);
}
