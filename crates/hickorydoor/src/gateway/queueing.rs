//! Queueing of requests until an upstream takes them, and the order in which they are tried.

use std::num::NonZeroU32;

use crate::admission_queue::QueuedRequest;
use crate::admission_queue::Rank;
use crate::admission_queue::Turn;
use crate::gateway::active_call::ActiveCall;
use crate::gateway::call::CallId;
use crate::gateway::effect::EarlyTurn;
use crate::gateway::effect::MIN_ATTEMPT_MS;
use crate::gateway::reducer::Gateway;
use crate::id::ServiceName;
use crate::time::DurationMs;
use crate::time::TimeMs;

impl Gateway {
    /// Queues a request that has arrived or is to be sent again.
    pub(super) fn enqueue(&mut self, id: CallId) {
        let Some(active) = self.calls.get(&id) else {
            return;
        };
        let account = active.account.as_ref();
        let request = QueuedRequest {
            key: id,
            rank: active.rank(),
            customer: account.map(|account| account.customer.clone()),
            weight: account.and_then(|account| account.weight).unwrap_or(NonZeroU32::MIN),
            cost_ms: self.engine_time(active),
            latest_start_at: latest_start(active),
            arrived_at: active.arrived_at,
        };
        self.waiting.push(&active.service, request);
    }

    /// Estimates the engine time of a request: the time in which the largest model that may answer
    /// it reads its prompt.
    fn engine_time(&self, active: &ActiveCall) -> DurationMs {
        let largest = active.route.models.last();
        let token_ms = largest.map_or(0.0, |model| self.model_table.token_ms(model));
        let prefill_ms = f64::from(active.call.prompt.tokens) * token_ms;
        DurationMs::new((prefill_ms as u64).max(1))
    }

    /// Returns the queued requests of a service in the order in which they are tried. Within a rank
    /// those with the fewest suspected prompt parts come first.
    pub(super) fn turns(&self, service: &ServiceName, now: TimeMs) -> Vec<Turn<CallId>> {
        let Some(queue) = self.waiting.queue(service) else {
            return Vec::new();
        };
        let mut turns: Vec<Turn<CallId>> = queue.order(now).collect();
        if !self.quarantine.is_clear() {
            turns.sort_by_cached_key(|turn| {
                let active = self.calls.get(&turn.key);
                let suspected = active.map_or(0, |active| self.suspected_parts(active).len());
                (!turn.is_early, turn.rank, suspected)
            });
        }
        turns
    }

    /// Returns whether a request still has its turn after those before it were tried.
    pub(super) fn has_turn(&self, service: &ServiceName, turn: &Turn<CallId>, now: TimeMs) -> bool {
        let queue = self.waiting.queue(service);
        queue.is_some_and(|queue| {
            queue.contains(turn.key) && (!turn.is_early || queue.is_owed(turn.rank, now))
        })
    }

    /// Returns whether any upstream of a service has a slot for one more request. Without one, no
    /// queued request of the service needs to be tried.
    pub(super) fn has_free_slot(&self, service: &ServiceName) -> bool {
        self.pool.iter().any(|upstream| {
            upstream.total_in_flight() < upstream.capacity()
                && upstream.registration.service == *service
        })
    }

    /// Describes a request that is sent before more urgent ones.
    pub(super) fn early_turn(
        &self,
        service: &ServiceName,
        turn: &Turn<CallId>,
        now: TimeMs,
    ) -> Option<EarlyTurn> {
        let active = self.calls.get(&turn.key)?;
        Some(EarlyTurn {
            service: service.clone(),
            customer: active.account.as_ref().map(|account| account.customer.clone()),
            rank: turn.rank,
            waited_ms: now.since(active.arrived_at),
            queued: self.waiting.queue(service)?.len(),
        })
    }
}

impl ActiveCall {
    /// Returns the rank: the priority, and among customers with the same priority that of the route.
    pub(super) fn rank(&self) -> Rank {
        Rank::new(self.priority(), self.route.priority)
    }
}

/// Returns when a request expires: at the end of its wait, or when too little time is left.
fn latest_start(active: &ActiveCall) -> TimeMs {
    let last_chance_at = active.deadline_at - MIN_ATTEMPT_MS;
    active.wait_until.min(last_chance_at + DurationMs::new(1))
}
