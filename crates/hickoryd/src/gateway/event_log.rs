//! Log lines and metric labels for what the reducer of a gateway is told and decides.

use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::call::CallId;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::headroom::ScarcityChange;
use hickorydoor::gateway::quarantine::PartId;
use hickorydoor::gateway::quarantine::QuarantineChange;
use hickorydoor::gateway::quarantine::QuarantineStep;
use hickorydoor::gateway::rate_limits::LimitChange;
use hickorydoor::gateway::rate_limits::RequestRate;
use hickorydoor::gateway::rollout::RolloutProgress;
use hickorydoor::gateway::upstreams::RoomChange;
use hickorydoor::gateway::upstreams::RoomState;
use hickorydoor::id::ServiceName;
use hickorydoor::id::UpstreamId;
use log::debug;
use log::info;
use log::warn;

pub(super) const fn attempt_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Served => "served",
        AttemptOutcome::Weak => "weak",
        AttemptOutcome::Failed { .. } => "failed",
        AttemptOutcome::NotRun(_) => "not_run",
        AttemptOutcome::Unknown(_) => "unknown",
    }
}

pub(super) const fn step_label(step: QuarantineStep) -> &'static str {
    match step {
        QuarantineStep::Suspected => "suspected",
        QuarantineStep::Quarantined => "quarantined",
        QuarantineStep::Probation => "probation",
        QuarantineStep::Released => "released",
    }
}

pub(super) fn log_quarantine(change: &QuarantineChange) {
    let parts: Vec<String> = change.parts.iter().map(PartId::to_string).collect();
    let engines: Vec<&str> = change.engines.iter().map(UpstreamId::as_str).collect();
    let message = match change.step {
        QuarantineStep::Suspected => "prompt part suspected: engines ended under it",
        QuarantineStep::Quarantined => "prompt part quarantined: requests with it are refused",
        QuarantineStep::Probation => "prompt part on probation: one request with it is tried",
        QuarantineStep::Released => "prompt part released: requests with it are sent",
    };
    warn!(
        service:% = change.service, prompt_parts = parts.join(",").as_str(),
        ended = engines.join(",").as_str(), quarantine_ends = change.quarantine_ends;
        "{message}"
    );
}

pub(super) fn log_limit(change: &LimitChange) {
    let message = match (change.previous, change.rate) {
        (None, Some(_)) => "upstream names a limit",
        (Some(_), Some(_)) => "upstream changes its limit",
        (_, None) => "upstream names no limit any more",
    };
    info!(
        upstream:% = change.upstream, limit_per_s = change.rate.map(RequestRate::per_s),
        previous_per_s = change.previous.map(RequestRate::per_s), source:% = change.source,
        age_ms = change.age_ms.get();
        "{message}"
    );
}

pub(super) fn log_room(change: &RoomChange) {
    let message = match change.state {
        RoomState::Open => "upstream gets requests again",
        RoomState::Paused => "upstream wants a pause",
        RoomState::Leaving => "upstream says that it leaves",
    };
    info!(
        upstream:% = change.upstream, service:% = change.service, source:% = change.source,
        age_ms = change.age_ms.get();
        "{message}"
    );
}

pub(super) fn log_scarcity(change: &ScarcityChange) {
    let message = if change.is_scarce {
        "room of a service is scarce and is divided among the gateways"
    } else {
        "room of a service is no longer scarce"
    };
    info!(
        service:% = change.service, in_flight = change.in_flight, slots = change.slots,
        backlog_ms = change.backlog_ms as u64, waiting_gateways = change.waiting_gateways;
        "{message}"
    );
}

pub(super) fn log_share_wait(call: CallId, service: &ServiceName, rank: u8) {
    debug!(call = call.0, service:% = service, rank; "request waits for a share of scarce room");
}

pub(super) fn log_progress(progress: &RolloutProgress) {
    let (target, baseline) = (&progress.target_counts, &progress.baseline_counts);
    let comparison = &progress.comparison;
    info!(
        service:% = progress.service, version = progress.target.as_str(),
        phase:? = progress.phase, since_order_ms = progress.since_order_ms.get(),
        gateways = progress.gateways, sent_to_target = progress.sent_to_target,
        sent = progress.sent, answers = target.answers, errors = target.errors,
        unanswered = target.unanswered, paced = target.paced, at_full_pace = target.at_full_pace,
        timed = target.timed, late = target.late,
        slowdown_octaves = target.mean_slowdown_octaves(),
        old_answers = baseline.answers, old_errors = baseline.errors,
        old_unanswered = baseline.unanswered, old_paced = baseline.paced,
        old_at_full_pace = baseline.at_full_pace, old_timed = baseline.timed,
        old_late = baseline.late, old_slowdown_octaves = baseline.mean_slowdown_octaves(),
        log_factor = comparison.log_factor(), log_errors = comparison.log_errors,
        log_silence = comparison.log_silence, log_pace = comparison.log_pace,
        log_lateness = comparison.log_lateness, log_slowness = comparison.log_slowness;
        "rollout evidence"
    );
}

pub(super) fn log_event(event: &GatewayEvent) {
    match event {
        GatewayEvent::Configured(catalog) => {
            info!(version = catalog.version(); "configuration read");
        }
        GatewayEvent::Deregistered(upstream) => {
            info!(upstream:% = upstream; "upstream deregistered");
        }
        GatewayEvent::RolloutOrdered { order, age_ms } => info!(
            service:% = order.service, version = order.target.as_str(), order:% = order.position,
            age_ms = age_ms.map(DurationMs::get);
            "rollout ordered"
        ),
        GatewayEvent::RolloutRecorded(record) => info!(
            service:% = record.service, version = record.target.as_str(),
            phase:? = record.phase, share = record.share.as_f64(), order:% = record.order;
            "rollout recorded"
        ),
        GatewayEvent::DataCentreOut(id) => info!(data_centre:% = id; "data centre taken out"),
        GatewayEvent::DataCentreIn(id) => info!(data_centre:% = id; "data centre taken back"),
        GatewayEvent::Registered(known) if known.draining => {
            info!(upstream:% = known.upstream, sequence = known.sequence; "upstream is leaving");
        }
        GatewayEvent::StoreRestored { era } => {
            warn!(era:% = era; "store was restored from a copy; keeping what it may lack");
        }
        GatewayEvent::StoreUnproven { era } => {
            warn!(
                era:% = era;
                "store may have been restored from a copy; waiting for what it may lack"
            );
        }
        GatewayEvent::GatewayJoined(member) => {
            info!(gateway:% = member.host, address:% = member.address; "gateway joined");
        }
        GatewayEvent::GatewayLeft(host) => info!(gateway:% = host; "gateway left"),
        GatewayEvent::Stop => info!("stop requested"),
        _ => {}
    }
}
