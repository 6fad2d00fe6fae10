//! Guards against admission limits that leave their bounds or survive a collapse.

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::agent::admission_limit::Admission;
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
    FirstToken { in_time: bool },
    Output { gap_ms: u64 },
    Tick { pause_ms: u64 },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => proptest::strategy::Just(Step::Admit),
        2 => proptest::strategy::Just(Step::End),
        4 => proptest::bool::ANY.prop_map(|in_time| Step::FirstToken { in_time }),
        8 => (5_u64..400).prop_map(|gap_ms| Step::Output { gap_ms }),
        2 => (0_u64..2_000).prop_map(|pause_ms| Step::Tick { pause_ms }),
        1 => proptest::strategy::Just(Step::Restart),
    ]
}

fn admission() -> Admission {
    Admission::new(COLD_LIMIT, WARM_LIMIT, true, WARM_INTERVAL_MS, TimeMs::new(0))
}

proptest! {
    #![proptest_config(property::config(SEED, CASES))]

    // Failure: an attempt is admitted above the limit, or the limit grows beyond the warm limit.
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
                Step::FirstToken { in_time } => {
                    admission.on_first_token(in_time, running, now);
                    prop_assert!(in_time || admission.limit() <= before.max(COLD_LIMIT));
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

/// Raises the limit to its maximum with evidence of a warm engine.
fn warmed() -> (Admission, TimeMs) {
    let mut admission = admission();
    let mut now = TimeMs::new(0);
    for _ in 0..100 {
        now = now + DurationMs::new(20);
        admission.on_output(1, DurationMs::new(20), 0, now);
        admission.on_first_token(true, WARM_LIMIT as usize, now);
    }
    (admission, now)
}

// Failure: a slow engine with late first tokens or slow output is loaded as if it were warm.
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

// Failure: an engine that silently lost its speed keeps its warm limit.
#[test]
fn collapses_when_output_slows_down_or_stops() {
    let (mut slow, mut now) = warmed();
    assert_eq!(slow.limit(), WARM_LIMIT);
    for _ in 0..10 {
        now = now + DurationMs::new(200);
        slow.on_output(1, DurationMs::new(200), 8, now);
    }
    assert_eq!(slow.limit(), COLD_LIMIT);

    let (mut silent, now) = warmed();
    let now = now + DurationMs::new(500);
    assert!(silent.on_tick(8, false, now));
    assert_eq!(silent.limit(), COLD_LIMIT);
    // A hung engine gets a single probe.
    silent.on_tick(8, false, now + DurationMs::new(1_000));
    assert_eq!(silent.limit(), 1);
}
