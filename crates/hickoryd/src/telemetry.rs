//! Logs, metrics, histograms and the request log, all fed by the observations of a reducer.
//!
//! Observations hold ids and measurements only, so that no prompt, response or key can reach a log.

use std::fmt::Debug;

use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use hickorydoor::TimeMs;
use hickorydoor::gateway::rate_limits::RequestRate;
use hickorydoor::id::AttemptId;
use hickorydoor::id::HostId;
use hickorydoor::id::RequestId;
use hickorydoor::id::VersionId;
use hickorydoor::observation::Observation;
use hickorydoor::observation::RequestOutcome;
use hickorydoor::observation::RequestRecord;
use log::debug;
use log::info;
use log::warn;

use crate::metrics::Metrics;
use crate::request_log::RequestLog;
use crate::request_log::RequestStep;
use crate::timings::TimingSummary;
use crate::timings::TimingTable;

/// Records the observations of one process.
#[derive(Debug, Default)]
pub struct Telemetry {
    metrics: Metrics,
    timings: TimingTable,
    requests: RequestLog,
}

impl Telemetry {
    /// Creates telemetry that also sends metrics.
    pub fn new(metrics: Metrics) -> Self {
        Self { metrics, ..Self::default() }
    }

    pub fn record(&mut self, observation: &Observation, now: TimeMs) {
        match observation {
            Observation::Request(record) => self.record_request(record, now),
            Observation::Dispatched { attempt, agent, version, expected_first_token_ms } => {
                self.metrics.count("attempts.dispatched");
                let reason = format_compact!("first token expected in {expected_first_token_ms}");
                self.record_step(attempt, "dispatched", agent, version.as_ref(), reason, now);
            }
            Observation::AttemptRefused { attempt, agent, reason } => {
                self.metrics.count("attempts.refused");
                self.record_attempt(attempt, "refused", agent, reason, now);
            }
            Observation::AttemptFailed { attempt, agent, fault } => {
                self.metrics.count("attempts.failed");
                self.record_attempt(attempt, "failed", agent, fault, now);
            }
            other => self.log_observation(other),
        }
    }

    /// Returns percentiles for each customer and class.
    pub fn timings(&self) -> Vec<TimingSummary> {
        self.timings.summaries()
    }

    /// Returns the steps of a request, oldest first. Empty if the request is not in the log.
    pub fn request(&self, request: &RequestId) -> Vec<RequestStep> {
        self.requests.get(request)
    }

    fn record_attempt(
        &mut self,
        attempt: &AttemptId,
        step: &'static str,
        agent: &HostId,
        reason: &dyn Debug,
        now: TimeMs,
    ) {
        info!(
            request:% = attempt.request, attempt = attempt.ordinal, upstream:% = agent,
            reason:? = reason;
            "attempt {step}"
        );
        self.record_step(attempt, step, agent, None, format_compact!("{reason:?}"), now);
    }

    fn record_step(
        &mut self,
        attempt: &AttemptId,
        step: &'static str,
        agent: &HostId,
        version: Option<&VersionId>,
        reason: CompactString,
        now: TimeMs,
    ) {
        let request_step = RequestStep {
            at_ms: now,
            step,
            attempt: Some(attempt.ordinal),
            agent: Some(agent.to_compact_string()),
            version: version.map(ToCompactString::to_compact_string),
            reason,
        };
        self.requests.add(&attempt.request, request_step);
    }

    fn record_request(&mut self, record: &RequestRecord, now: TimeMs) {
        let (outcome, reason) = outcome_labels(record.outcome);
        info!(
            request:% = record.request,
            customer:% = record.customer,
            class:% = record.class,
            version = record.version.as_ref().map(VersionId::as_str),
            upstream = record.agent.as_ref().map(HostId::as_str),
            attempt = record.attempts,
            outcome = outcome,
            reason = reason,
            queue_ms = record.queue_ms.get(),
            first_token_ms = record.first_token_ms.map(hickorydoor::DurationMs::get),
            total_ms = record.total_ms.get(),
            prompt_tokens = record.usage.prompt_tokens.get(),
            answer_tokens = record.usage.answer_tokens.get(),
            cost_micros = record.cost_micros.get();
            "request ended"
        );
        self.metrics.count(&format_compact!("requests.{outcome}"));
        self.metrics.time("requests.total", record.total_ms);
        if let Some(first_token_ms) = record.first_token_ms {
            self.metrics.time("requests.first_token", first_token_ms);
        }
        self.timings.record(record);
        let request_step = RequestStep {
            at_ms: now,
            step: "ended",
            attempt: None,
            agent: record.agent.as_ref().map(ToCompactString::to_compact_string),
            version: record.version.as_ref().map(ToCompactString::to_compact_string),
            reason: format_compact!("{outcome} {reason}").trim_end().into(),
        };
        self.requests.add(&record.request, request_step);
    }

    fn log_observation(&self, observation: &Observation) {
        match observation {
            Observation::KvUnavailable => {
                self.metrics.count("kv.unavailable");
                warn!("the key-value service did not answer; retrying after a delay");
            }
            Observation::ConfigurationRefused { revision } => {
                warn!(revision = revision.get(); "rejected a configuration update; this revision stays in force");
            }
            Observation::LedgerClosed => warn!(
                "an agent closed the ledger of this incarnation; continuing with a new incarnation"
            ),
            Observation::RevisionInForce { revision } => {
                info!(revision = revision.get(); "configuration in force");
            }
            Observation::AgentUsable { agent, usable } => {
                info!(upstream:% = agent, usable = usable; "usability of an agent changed");
            }
            Observation::UpstreamLeaves => info!("upstream says that it leaves"),
            Observation::UpstreamLimitChanged { limit, previous } => info!(
                limit_per_s = limit.map(RequestRate::per_s),
                previous_per_s = previous.map(RequestRate::per_s);
                "upstream names, changes or drops a limit"
            ),
            other => debug!(observation:? = other; "observed"),
        }
    }
}

/// Returns the outcome and the refusal code, which is empty for an outcome without one.
const fn outcome_labels(outcome: RequestOutcome) -> (&'static str, &'static str) {
    match outcome {
        RequestOutcome::Served => ("served", ""),
        RequestOutcome::Refused(code) => ("refused", code),
        RequestOutcome::Aborted(code) => ("aborted", code),
        RequestOutcome::CallerGone => ("caller_gone", ""),
    }
}
