//! The expected time to the first event of a stream, as learned from the load of engines.

use hickorydoor::gateway::first_event_model::EngineLoad;
use hickorydoor::gateway::first_event_model::FirstEventModel;

/// Linear congruential generator, for the same loads in each run.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.0 >> 33) as f64 / f64::from(1_u32 << 31)
    }

    fn load(&mut self) -> EngineLoad {
        EngineLoad {
            prefill_ms: 20.0 + 1_200.0 * self.next() * self.next(),
            backlog_ms: 1_000.0 * self.next() * self.next(),
            in_flight: (30.0 * self.next()) as u32,
        }
    }
}

/// Time of an engine that reads several prompts at a time.
fn shared_ms(load: &EngineLoad) -> f64 {
    110.0 + 0.9 * load.prefill_ms + 0.2 * load.backlog_ms + 6.0 * f64::from(load.in_flight)
}

fn mean_error(model: &FirstEventModel, took_ms: impl Fn(&EngineLoad) -> f64) -> f64 {
    let mut random = Random(99);
    let loads: Vec<EngineLoad> = (0..200).map(|_| random.load()).collect();
    let error = |load| (model.expected_ms(load) / took_ms(load) - 1.0).abs();
    loads.iter().map(error).sum::<f64>() / loads.len() as f64
}

#[test]
fn engine_that_reads_prompts_one_by_one_is_expected_before_any_observation() {
    let load = EngineLoad { prefill_ms: 500.0, backlog_ms: 300.0, in_flight: 10 };
    assert!((FirstEventModel::default().expected_ms(&load) - 880.0).abs() < 1e-6);
}

/// Guards against large prompts that go to smaller models because their expected time is too long.
#[test]
fn load_of_an_engine_that_reads_several_prompts_is_learned() {
    let mut model = FirstEventModel::default();
    let mut random = Random(7);
    for _ in 0..100 {
        let load = random.load();
        let noise = 0.7 + 0.6 * random.next();
        model.observe(&load, shared_ms(&load) * noise);
    }
    let error = mean_error(&model, shared_ms);
    assert!(error < 0.1, "{error}");
}

/// Guards against engines that stand still for seconds, whose few first events say nothing of the
/// others.
#[test]
fn outliers_move_the_expectation_little() {
    let mut model = FirstEventModel::default();
    let mut random = Random(7);
    for index in 0..300 {
        let load = random.load();
        let factor = if index % 20 == 0 { 15.0 } else { 1.0 };
        model.observe(&load, shared_ms(&load) * factor);
    }
    let error = mean_error(&model, shared_ms);
    assert!(error < 0.2, "{error}");
}

#[test]
fn lasting_slowdown_is_followed() {
    let mut model = FirstEventModel::default();
    let mut random = Random(7);
    for _ in 0..300 {
        let load = random.load();
        model.observe(&load, shared_ms(&load));
    }
    let slow_ms = |load: &EngineLoad| 2.0 * shared_ms(load);
    for _ in 0..300 {
        let load = random.load();
        model.observe(&load, slow_ms(&load));
    }
    let error = mean_error(&model, slow_ms);
    assert!(error < 0.25, "{error}");
}

/// Guards against weights that run away while all requests meet the same load.
#[test]
fn load_that_does_not_vary_keeps_the_expectation_bounded() {
    let mut model = FirstEventModel::default();
    let idle = EngineLoad { prefill_ms: 50.0, backlog_ms: 0.0, in_flight: 0 };
    for _ in 0..20_000 {
        model.observe(&idle, 120.0);
    }
    assert!((model.expected_ms(&idle) - 120.0).abs() < 12.0);
    let busy = EngineLoad { prefill_ms: 800.0, backlog_ms: 500.0, in_flight: 20 };
    let expected_ms = model.expected_ms(&busy);
    assert!((200.0..6_000.0).contains(&expected_ms), "{expected_ms}");
}
