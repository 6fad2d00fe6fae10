//! Admission of requests: checks the configuration, the key and the route, and sets the deadlines.

use std::sync::Arc;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::active_call::ActiveCall;
use crate::gateway::active_call::distinct_shared_parts;
use crate::gateway::call::Call;
use crate::gateway::call::CallId;
use crate::gateway::effect::GatewayEffect;
use crate::gateway::quarantine::Verdict;
use crate::gateway::reducer::Gateway;
use crate::gateway::refusal::CallRefusal;
use crate::gateway::refusal::RefusalReason;
use crate::gateway::route_claims::RouteClaims;
use crate::gateway::route_claims::RouteRank;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Maximum time until the deadline of a request on a route without a timeout.
const DEFAULT_DEADLINE_MS: DurationMs = DurationMs::from_secs(30);

impl Gateway {
    /// Derives the claims of the routes with models that get requests.
    pub(super) fn update_route_claims(&mut self) {
        let Some(catalog) = &self.catalog else {
            return;
        };
        let routes = catalog
            .routes()
            .filter(|route| !route.models.is_empty() && self.sizes.is_known(&route.name));
        let ranks = routes.filter_map(|route| {
            Some(RouteRank {
                route: route.name.clone(),
                service: route.backends.first()?.service.clone(),
                priority: route.priority,
                objective_ms: route.objective_ms,
            })
        });
        self.route_claims = RouteClaims::new(ranks.collect());
    }

    pub(super) fn on_arrived(
        &mut self,
        id: CallId,
        call: Call,
        now: TimeMs,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match self.admit(call, now) {
            Ok(active) => {
                self.retry_budgets
                    .entry(active.service.clone())
                    .or_default()
                    .record_first_attempt(&self.settings.retries, now);
                if self.sizes.observe(&active.route.name, &active.call.prompt) {
                    self.update_route_claims();
                }
                self.calls.insert(id, active);
                self.enqueue(id);
            }
            Err(refusal) => effects.push(GatewayEffect::Refuse { call: id, refusal }),
        }
    }

    fn admit(&self, call: Call, now: TimeMs) -> Result<ActiveCall, CallRefusal> {
        let catalog = self.catalog.as_ref().ok_or(RefusalReason::NoConfiguration)?;
        if !self.freshness.is_within(self.settings.max_configuration_age_ms, now) {
            return Err(RefusalReason::StaleConfiguration.into());
        }
        let route = catalog.route(&call.host, &call.path).ok_or(RefusalReason::NoRoute)?;
        let account = catalog.authorize(route, call.key.as_deref())?;
        let hash = xxh3_64(call.client_attempt.as_bytes());
        let service = route.backend(hash).ok_or(RefusalReason::NoRoute)?.clone();
        let limit_ms = match route.timeout_ms.get() {
            0 => DEFAULT_DEADLINE_MS,
            _ => route.timeout_ms,
        };
        let deadline_ms =
            call.deadline_ms.map_or(limit_ms, |requested_ms| requested_ms.min(limit_ms));
        let wait_ms = DurationMs::new(route.objective_ms.get() / 2).min(deadline_ms);
        let last_event = call.last_event;
        let active = ActiveCall {
            route: Arc::clone(route),
            account: account.cloned(),
            service,
            arrived_at: now,
            deadline_at: now + deadline_ms,
            wait_until: now + wait_ms,
            attempt: None,
            attempts: 0,
            executed_attempts: 0,
            unexplained_failure: None,
            attempted_upstreams: SmallVec::new(),
            last_event,
            late_start: None,
            delivered: false,
            shared_parts: distinct_shared_parts(&call.prompt),
            call,
        };
        if !self.can_finish(&active, now) {
            return Err(RefusalReason::Stopping.into());
        }
        match self.verdict(&active, now) {
            Verdict::Refused { retry_after_ms } => Err(CallRefusal::quarantined(retry_after_ms)),
            _ => Ok(active),
        }
    }
}
