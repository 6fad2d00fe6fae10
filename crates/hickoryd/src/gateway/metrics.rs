//! Counters, gauges and latency histograms of a gateway in the Prometheus text format.

use std::time::Duration;

use hickorydoor::DurationMs;
use hickorydoor::gateway::EventKind;
use hickorydoor::gateway::effect::EarlyTurn;
use hickorydoor::gateway::rate_limits::LimitChange;
use hickorydoor::gateway::rollout::RolloutProgress;
use hickorydoor::gateway::upstreams::RoomState;
use hickorydoor::id::ServiceName;
use hickorydoor::id::UpstreamId;
use hickorydoor::memory::MemoryCounts;
use hickorydoor::memory::MemoryKind;
use hickorydoor::quantity::ByteCount;
use log::debug;
use log::error;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the buckets of the latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 5.0, 8.0, 12.0, 20.0];
/// Upper bounds of the buckets of the time that an event takes, in seconds.
const EVENT_BUCKETS_S: [f64; 10] = [1e-5, 3e-5, 1e-4, 3e-4, 1e-3, 3e-3, 1e-2, 3e-2, 0.1, 0.3];
/// Upper bounds of the buckets of the delay of events that were due, in seconds.
const DELAY_BUCKETS_S: [f64; 9] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 3.0];

#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    calls: IntCounterVec,
    attempts: IntCounterVec,
    first_event: HistogramVec,
    duration: HistogramVec,
    open_calls: IntGauge,
    open_connections: IntGauge,
    connection_ends: IntCounterVec,
    held_bytes: IntGaugeVec,
    memory_events: IntCounterVec,
    configuration_age: IntGauge,
    rollout_attempts: IntGaugeVec,
    quarantine_changes: IntCounterVec,
    limits: GaugeVec,
    limited_requests: IntCounterVec,
    room_changes: IntCounterVec,
    early_requests: IntCounterVec,
    no_room: IntCounterVec,
    wrong_estimates: IntCounterVec,
    share_waits: IntCounterVec,
    scarce_services: IntGaugeVec,
    event_times: HistogramVec,
    tick_delay: Histogram,
    deadline_delay: Histogram,
    datagrams: IntCounterVec,
}

impl GatewayMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// Fails if a name is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            HistogramVec::new(options, &["customer", "route"])
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let delay = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(DELAY_BUCKETS_S.to_vec());
            Histogram::with_opts(options)
        };
        let event_times = HistogramOpts::new(
            "hickorydoor_event_seconds",
            "time that the process takes to handle an event",
        );
        let event_times = event_times.buckets(EVENT_BUCKETS_S.to_vec());
        let metrics = Self {
            registry: Registry::new(),
            calls: counter("hickorydoor_calls_total", "ended requests", &["outcome"])?,
            attempts: counter("hickorydoor_attempts_total", "ended attempts", &["outcome"])?,
            first_event: histogram("hickorydoor_first_event_seconds", "time to the first event")?,
            duration: histogram("hickorydoor_call_seconds", "time to the end of the request")?,
            open_calls: IntGauge::new("hickorydoor_open_calls", "requests that have not ended")?,
            open_connections: IntGauge::new(
                "hickorydoor_caller_connections",
                "open connections of callers",
            )?,
            connection_ends: counter(
                "hickorydoor_caller_connection_ends_total",
                "connections of callers that have ended",
                &["end"],
            )?,
            memory_events: counter(
                "hickorydoor_memory_events_total",
                "requests for memory that waited or were refused, and holders that gave way",
                &["kind", "event"],
            )?,
            held_bytes: IntGaugeVec::new(
                Opts::new("hickorydoor_held_bytes", "memory that is held for callers"),
                &["kind"],
            )?,
            configuration_age: IntGauge::new(
                "hickorydoor_configuration_age_ms",
                "age of the configuration",
            )?,
            rollout_attempts: IntGaugeVec::new(
                Opts::new(
                    "hickorydoor_rollout_attempts",
                    "ended attempts during the latest rollout, counted by all gateways",
                ),
                &["service", "version", "outcome"],
            )?,
            quarantine_changes: counter(
                "hickorydoor_quarantine_changes_total",
                "changes of what is believed about prompt parts under which engines end",
                &["step"],
            )?,
            limits: GaugeVec::new(
                Opts::new(
                    "hickorydoor_upstream_limit_per_s",
                    "requests per second that an upstream takes from all gateways together",
                ),
                &["upstream"],
            )?,
            limited_requests: counter(
                "hickorydoor_limited_requests_total",
                "requests that this gateway sent to upstreams with a limit",
                &["upstream"],
            )?,
            room_changes: counter(
                "hickorydoor_upstream_room_changes_total",
                "times that an upstream left, wanted a pause or was open again, as its answers say",
                &["service", "state"],
            )?,
            early_requests: counter(
                "hickorydoor_early_requests_total",
                "requests sent before more urgent ones, because their rank had less than its share",
                &["service", "rank"],
            )?,
            no_room: counter(
                "hickorydoor_no_room_refusals_total",
                "requests refused since they could not start in time",
                &["moment"],
            )?,
            wrong_estimates: counter(
                "hickorydoor_wrong_start_estimates_total",
                "first events whose expected time was wrong by more than a factor of 2",
                &["route"],
            )?,
            share_waits: counter(
                "hickorydoor_share_waits_total",
                "requests that waited because another gateway may use the free slots",
                &["service", "rank"],
            )?,
            scarce_services: IntGaugeVec::new(
                Opts::new(
                    "hickorydoor_service_scarce",
                    "whether all upstreams of a service are scarce, as this gateway sees it",
                ),
                &["service"],
            )?,
            event_times: HistogramVec::new(event_times, &["kind"])?,
            tick_delay: delay(
                "hickorydoor_tick_delay_seconds",
                "time from when a tick was due until it was handled",
            )?,
            deadline_delay: delay(
                "hickorydoor_deadline_delay_seconds",
                "time from the deadline of an attempt until it was ended for it",
            )?,
            datagrams: counter(
                "hickorydoor_peer_datagrams_total",
                "datagrams of other gateways",
                &["outcome"],
            )?,
        };
        metrics.registry.register(Box::new(metrics.calls.clone()))?;
        metrics.registry.register(Box::new(metrics.attempts.clone()))?;
        metrics.registry.register(Box::new(metrics.first_event.clone()))?;
        metrics.registry.register(Box::new(metrics.duration.clone()))?;
        metrics.registry.register(Box::new(metrics.open_calls.clone()))?;
        metrics.registry.register(Box::new(metrics.open_connections.clone()))?;
        metrics.registry.register(Box::new(metrics.connection_ends.clone()))?;
        metrics.registry.register(Box::new(metrics.held_bytes.clone()))?;
        metrics.registry.register(Box::new(metrics.memory_events.clone()))?;
        metrics.registry.register(Box::new(metrics.configuration_age.clone()))?;
        metrics.registry.register(Box::new(metrics.rollout_attempts.clone()))?;
        metrics.registry.register(Box::new(metrics.quarantine_changes.clone()))?;
        metrics.registry.register(Box::new(metrics.limits.clone()))?;
        metrics.registry.register(Box::new(metrics.limited_requests.clone()))?;
        metrics.registry.register(Box::new(metrics.room_changes.clone()))?;
        metrics.registry.register(Box::new(metrics.early_requests.clone()))?;
        metrics.registry.register(Box::new(metrics.no_room.clone()))?;
        metrics.registry.register(Box::new(metrics.wrong_estimates.clone()))?;
        metrics.registry.register(Box::new(metrics.share_waits.clone()))?;
        metrics.registry.register(Box::new(metrics.scarce_services.clone()))?;
        metrics.registry.register(Box::new(metrics.event_times.clone()))?;
        metrics.registry.register(Box::new(metrics.tick_delay.clone()))?;
        metrics.registry.register(Box::new(metrics.deadline_delay.clone()))?;
        metrics.registry.register(Box::new(metrics.datagrams.clone()))?;
        Ok(metrics)
    }

    /// Records how long the process took to handle an event.
    pub fn record_event(&self, kind: EventKind, took: Duration) {
        self.event_times.with_label_values(&[kind.as_str()]).observe(took.as_secs_f64());
    }

    /// Records how long after its time a tick was handled.
    pub fn record_tick_delay(&self, delay: Duration) {
        self.tick_delay.observe(delay.as_secs_f64());
    }

    /// Records how long after its deadline an attempt was ended for it.
    pub fn record_deadline_delay(&self, delay: Duration) {
        self.deadline_delay.observe(delay.as_secs_f64());
    }

    /// Counts a datagram of another gateway.
    pub fn record_datagram(&self, outcome: &str) {
        self.datagrams.with_label_values(&[outcome]).inc();
    }

    /// Records that an upstream has named, changed or dropped a limit.
    pub fn record_limit(&self, change: &LimitChange) {
        let upstream = change.upstream.as_str();
        let Some(rate) = change.rate else {
            for removed in [
                self.limits.remove_label_values(&[upstream]),
                self.limited_requests.remove_label_values(&[upstream]),
            ] {
                if let Err(error) = removed {
                    debug!(upstream = upstream, reason:% = error; "no metric of the limit to remove");
                }
            }
            return;
        };
        self.limits.with_label_values(&[upstream]).set(rate.per_s());
    }

    /// Counts a change of whether an upstream gets new requests.
    pub fn record_room(&self, service: &ServiceName, state: RoomState) {
        self.room_changes.with_label_values(&[service.as_str(), state.as_str()]).inc();
    }

    /// Counts a request that is sent before more urgent ones.
    pub fn record_early_request(&self, turn: &EarlyTurn) {
        let rank = turn.rank.to_string();
        self.early_requests.with_label_values(&[turn.service.as_str(), &rank]).inc();
    }

    /// Counts a request that waits because another gateway may use the free slots.
    pub fn record_share_wait(&self, service: &ServiceName, rank: u8) {
        let rank = rank.to_string();
        self.share_waits.with_label_values(&[service.as_str(), rank.as_str()]).inc();
    }

    /// Records whether all upstreams of a service are scarce.
    pub fn record_scarcity(&self, service: &ServiceName, is_scarce: bool) {
        self.scarce_services.with_label_values(&[service.as_str()]).set(i64::from(is_scarce));
    }

    /// Counts a request that is sent to an upstream with a limit.
    pub fn record_limited_request(&self, upstream: &UpstreamId) {
        self.limited_requests.with_label_values(&[upstream.as_str()]).inc();
    }

    /// Counts a request that is refused since it cannot start in time.
    pub fn record_no_room(&self, on_arrival: bool) {
        let moment = if on_arrival { "arrival" } else { "later" };
        self.no_room.with_label_values(&[moment]).inc();
    }

    /// Counts a first event whose expected time was wrong by more than a factor of 2.
    pub fn record_wrong_estimate(&self, route: &str) {
        self.wrong_estimates.with_label_values(&[route]).inc();
    }

    /// Counts a request that has ended.
    pub fn record_call(&self, outcome: &str) {
        self.calls.with_label_values(&[outcome]).inc();
    }

    /// Counts the end of a caller's connection.
    pub fn record_connection_end(&self, end: &str) {
        self.connection_ends.with_label_values(&[end]).inc();
    }

    /// Brings the counters of one kind of memory up to date.
    pub fn record_memory(&self, kind: MemoryKind, counts: MemoryCounts) {
        let MemoryCounts { waited, refused, evicted } = counts;
        for (event, count) in [("waited", waited), ("refused", refused), ("evicted", evicted)] {
            let counter = self.memory_events.with_label_values(&[kind.as_str(), event]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    /// Sets the gauge of the memory that is held for one kind.
    pub fn record_held(&self, kind: MemoryKind, bytes: ByteCount) {
        self.held_bytes.with_label_values(&[kind.as_str()]).set(bytes.get().cast_signed());
    }

    /// Counts an attempt that has ended.
    pub fn record_attempt(&self, outcome: &str) {
        self.attempts.with_label_values(&[outcome]).inc();
    }

    /// Records the time from the arrival of a request to the first event of its stream.
    pub fn record_first_event(&self, customer: &str, route: &str, took_ms: DurationMs) {
        let seconds = took_ms.as_f64() / 1_000.0;
        self.first_event.with_label_values(&[customer, route]).observe(seconds);
    }

    /// Records the time from the arrival of a request to its end.
    pub fn record_duration(&self, customer: &str, route: &str, took_ms: DurationMs) {
        let seconds = took_ms.as_f64() / 1_000.0;
        self.duration.with_label_values(&[customer, route]).observe(seconds);
    }

    /// Counts a change of what is believed about a prompt part.
    pub fn record_quarantine(&self, step: &str) {
        self.quarantine_changes.with_label_values(&[step]).inc();
    }

    /// Sets the gauges of a rollout. The versions are labelled as the target and the baseline, so
    /// that their number stays bounded.
    pub fn record_rollout(&self, progress: &RolloutProgress) {
        let service = progress.service.as_str();
        let sides = [("target", &progress.target_counts), ("baseline", &progress.baseline_counts)];
        for (version, counts) in sides {
            for (outcome, count) in [("all", counts.answers), ("error", counts.errors)] {
                let gauge = self.rollout_attempts.with_label_values(&[service, version, outcome]);
                gauge.set(i64::from(count));
            }
        }
    }

    /// Sets the gauges and encodes all metrics; a missing configuration has the age -1.
    pub fn encode(
        &self,
        open_calls: usize,
        open_connections: usize,
        configuration_age_ms: Option<DurationMs>,
    ) -> String {
        self.open_calls.set(open_calls.cast_signed() as i64);
        self.open_connections.set(open_connections.cast_signed() as i64);
        let age_ms = configuration_age_ms.map_or(-1, |age_ms| age_ms.get().cast_signed());
        self.configuration_age.set(age_ms);
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => text,
            Err(reason) => {
                error!(reason:% = reason; "cannot encode the metrics; serving an empty page");
                String::new()
            }
        }
    }
}
