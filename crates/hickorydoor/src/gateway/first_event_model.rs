//! Expected time to the first event of a stream, as a linear function of the load of its engine.
//!
//! An engine reads several prompts at a time and generates tokens in between, so a queued prompt
//! delays the others by less than its own prefill time, and each running answer delays them a
//! little. How much is learned from the first events of streams by recursive least squares, with
//! weights that start from an engine that reads one prompt after the other. The load that this
//! answers is a fleet under pressure, where an expectation that is too long moves large prompts to
//! smaller models although there is time.

/// Number of weights.
const WEIGHTS: usize = 4;
/// Index of the weight of the backlog.
const BACKLOG: usize = 2;
/// Unit of times within the model, in ms. Keeps all inputs near 1.
const UNIT_MS: f64 = 1_000.0;
/// Unit of running requests within the model.
const UNIT_REQUESTS: f64 = 10.0;
/// Weights before any observation: fixed time, prefill time, backlog, and running requests.
const INITIAL_WEIGHTS: [f64; WEIGHTS] = [0.06, 1.0, 1.0, 0.02];
/// Standard deviations of the initial weights.
const INITIAL_DEVIATIONS: [f64; WEIGHTS] = [0.1, 0.3, 0.5, 0.05];
/// Bounds of the weights.
const WEIGHT_BOUNDS: [(f64, f64); WEIGHTS] = [(0.02, 0.5), (0.2, 4.0), (0.05, 1.5), (0.0, 0.3)];
/// Variance of an observation that the load does not explain.
const NOISE_VARIANCE: f64 = 0.1;
/// Share of the information that is kept with each observation, so that lasting changes are
/// followed within some hundred observations.
const MEMORY: f64 = 0.995;
/// Largest variance of a weight, as a multiple of the initial one. Without a bound, it would grow
/// while the load does not vary.
const MAX_VARIANCE_RATIO: f64 = 2.0;
/// Largest error of an observation that is taken at its value, relative to the expectation.
const MAX_RELATIVE_ERROR: f64 = 1.0;

/// Load of an engine that a new prompt meets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Prefill time of the prompt itself, in ms.
    pub prefill_ms: f64,
    /// Prefill time queued at the engine, in ms.
    pub backlog_ms: f64,
    /// Requests in flight at the engine.
    pub in_flight: u32,
}

impl EngineLoad {
    fn inputs(&self) -> [f64; WEIGHTS] {
        let in_flight = f64::from(self.in_flight) / UNIT_REQUESTS;
        [1.0, self.prefill_ms / UNIT_MS, self.backlog_ms / UNIT_MS, in_flight]
    }
}

/// Weights of the load in the time to the first event.
#[derive(Clone, Debug)]
pub struct FirstEventModel {
    weights: [f64; WEIGHTS],
    covariance: [[f64; WEIGHTS]; WEIGHTS],
}

impl Default for FirstEventModel {
    fn default() -> Self {
        let mut covariance = [[0.0; WEIGHTS]; WEIGHTS];
        for (index, deviation) in INITIAL_DEVIATIONS.iter().enumerate() {
            covariance[index][index] = deviation * deviation;
        }
        Self { weights: INITIAL_WEIGHTS, covariance }
    }
}

impl FirstEventModel {
    /// Returns the expected time to the first event, in ms.
    pub fn expected_ms(&self, load: &EngineLoad) -> f64 {
        dot(&self.weights, &load.inputs()) * UNIT_MS
    }

    /// Returns the time by which this backlog delays the first event, in ms.
    pub const fn delay_ms(&self, backlog_ms: f64) -> f64 {
        self.weights[BACKLOG] * backlog_ms
    }

    /// Records the time from the dispatch to the first event, in ms.
    pub fn observe(&mut self, load: &EngineLoad, took_ms: f64) {
        let inputs = load.inputs();
        let expected = dot(&self.weights, &inputs);
        let bound = expected * MAX_RELATIVE_ERROR;
        let error = (took_ms / UNIT_MS - expected).clamp(-bound, bound);
        let gains = self.covariance.map(|row| dot(&row, &inputs));
        let variance = MEMORY * NOISE_VARIANCE + dot(&gains, &inputs);
        for (index, gain) in gains.iter().enumerate() {
            let (min, max) = WEIGHT_BOUNDS[index];
            self.weights[index] = (self.weights[index] + gain * error / variance).clamp(min, max);
        }
        self.reduce_covariance(&gains, variance);
    }

    fn reduce_covariance(&mut self, gains: &[f64; WEIGHTS], variance: f64) {
        for (row, row_gain) in self.covariance.iter_mut().zip(gains) {
            for (entry, gain) in row.iter_mut().zip(gains) {
                *entry = (*entry - row_gain * gain / variance) / MEMORY;
            }
        }
        for (index, deviation) in INITIAL_DEVIATIONS.iter().enumerate() {
            let limit = MAX_VARIANCE_RATIO * deviation * deviation;
            if self.covariance[index][index] > limit {
                let scale = (limit / self.covariance[index][index]).sqrt();
                for other in 0..WEIGHTS {
                    self.covariance[index][other] *= scale;
                    self.covariance[other][index] *= scale;
                }
            }
        }
    }
}

fn dot(a: &[f64; WEIGHTS], b: &[f64; WEIGHTS]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
