//! Counters and latency histograms in the usual text format.

use hickorydoor::DurationMs;
use log::error;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency histograms, in seconds.
const BUCKETS_S: [f64; 12] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 5.0, 8.0, 12.0, 20.0];

/// Metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    calls: IntCounterVec,
    attempts: IntCounterVec,
    first_event: HistogramVec,
    total: HistogramVec,
    open_calls: IntGauge,
    configuration_age: IntGauge,
}

impl GatewayMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// Fails if a name is used twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
            HistogramVec::new(options, &["customer", "route"])
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let metrics = Self {
            registry: Registry::new(),
            calls: counter("hickorydoor_calls_total", "ended requests", &["outcome"])?,
            attempts: counter("hickorydoor_attempts_total", "ended attempts", &["outcome"])?,
            first_event: histogram("hickorydoor_first_event_seconds", "time to the first event")?,
            total: histogram("hickorydoor_call_seconds", "time to the end of the request")?,
            open_calls: IntGauge::new("hickorydoor_open_calls", "requests that have not ended")?,
            configuration_age: IntGauge::new(
                "hickorydoor_configuration_age_ms",
                "age of the configuration",
            )?,
        };
        metrics.registry.register(Box::new(metrics.calls.clone()))?;
        metrics.registry.register(Box::new(metrics.attempts.clone()))?;
        metrics.registry.register(Box::new(metrics.first_event.clone()))?;
        metrics.registry.register(Box::new(metrics.total.clone()))?;
        metrics.registry.register(Box::new(metrics.open_calls.clone()))?;
        metrics.registry.register(Box::new(metrics.configuration_age.clone()))?;
        Ok(metrics)
    }

    /// Counts the end of a request.
    pub fn on_call(&self, outcome: &str) {
        self.calls.with_label_values(&[outcome]).inc();
    }

    /// Counts the end of an attempt.
    pub fn on_attempt(&self, outcome: &str) {
        self.attempts.with_label_values(&[outcome]).inc();
    }

    /// Takes in the time to the first event of a stream.
    pub fn on_first_event(&self, customer: &str, route: &str, took_ms: DurationMs) {
        let seconds = took_ms.as_f64() / 1_000.0;
        self.first_event.with_label_values(&[customer, route]).observe(seconds);
    }

    /// Takes in the time to the end of a request.
    pub fn on_end(&self, customer: &str, route: &str, took_ms: DurationMs) {
        let seconds = took_ms.as_f64() / 1_000.0;
        self.total.with_label_values(&[customer, route]).observe(seconds);
    }

    /// All metrics as text.
    pub fn text(&self, open_calls: usize, configuration_age_ms: Option<DurationMs>) -> String {
        self.open_calls.set(open_calls.cast_signed() as i64);
        let age_ms = configuration_age_ms.map_or(-1, |age_ms| age_ms.get().cast_signed());
        self.configuration_age.set(age_ms);
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => text,
            Err(reason) => {
                error!(reason:% = reason; "the metrics cannot be encoded");
                String::new()
            }
        }
    }
}
