//! Queues requests at an entry while no upstream has capacity for them.

use std::collections::HashSet;
use std::num::NonZeroU32;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::admission_queue::QueuedRequest;
use crate::admission_queue::Rank;
use crate::class::Class;
use crate::entry::Entry;
use crate::entry::caller_request::RequestPayload;
use crate::entry::request_state::RequestState;
use crate::id::Serial;
use crate::quantity::Tokens;
use crate::refusal::RefusalReason;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Maximum wait of interactive requests. After a longer wait, the time to the first token would be
/// several times its target.
const MAX_INTERACTIVE_WAIT_MS: DurationMs = DurationMs::from_secs(2);
/// Maximum wait of batch requests.
const MAX_BATCH_WAIT_MS: DurationMs = DurationMs::from_secs(60);
/// A request may wait for the time left until its deadline divided by this.
const DEADLINE_WAIT_DIVISOR: u64 = 4;

impl Entry {
    /// Returns whether queued requests for the same version or service take precedence over this
    /// one.
    pub(crate) fn must_wait(&self, serial: Serial) -> bool {
        let Some(state) = self.requests.get(&serial) else {
            return false;
        };
        let queue = self.queue_name(state).and_then(|name| self.queues.get(&name));
        queue.is_some_and(|queue| queue.has_requests_ahead(Rank::from(state.class)))
    }

    /// Queues a request that an agent refused at its admission limit until another upstream has
    /// capacity. Queues are drained after each event, so the request is dispatched at once if there
    /// is capacity.
    pub(crate) fn requeue(&mut self, serial: Serial, now: TimeMs) {
        let Some(state) = self.requests.get(&serial) else {
            return;
        };
        if self.is_exhausted(state) || !self.has_upstream(serial) {
            self.dispatch(serial, now);
        } else {
            self.enqueue(serial, now);
        }
    }

    /// Queues a request, and refuses the requests that the queue sheds for it.
    pub(crate) fn enqueue(&mut self, serial: Serial, now: TimeMs) {
        let Some(state) = self.requests.get(&serial) else {
            return;
        };
        let Some(name) = self.queue_name(state) else {
            return;
        };
        let work = self.expected_work(state);
        let customer = self.config.current().customers.get(&state.customer);
        let max_wait_ms = match state.class {
            Class::Interactive => MAX_INTERACTIVE_WAIT_MS,
            Class::Batch => MAX_BATCH_WAIT_MS,
        };
        let left_ms =
            DurationMs::new(state.deadline_at_ms.since(now).get() / DEADLINE_WAIT_DIVISOR);
        // The wait is counted from the arrival, so that the waits of several attempts do not add up.
        let wait_ms = max_wait_ms.min(left_ms);
        let weight = customer.and_then(|customer| NonZeroU32::new(customer.weight));
        let queued = QueuedRequest {
            key: serial,
            rank: Rank::from(state.class),
            customer: Some(state.customer.clone()),
            weight: weight.unwrap_or(NonZeroU32::MIN),
            cost_ms: engine_time(work.prompt_tokens + work.answer_tokens),
            latest_start_at: state.accepted_at_ms + wait_ms,
            arrived_at: state.accepted_at_ms,
        };
        if let Some(state) = self.requests.get_mut(&serial) {
            state.queue = Some(name.clone());
        }
        let queue = self.queues.entry(name).or_default();
        let shed = queue.push_within(queued, wait_ms);
        let retry_after_ms = queue.retry_after();
        for shed_serial in shed {
            self.refuse(shed_serial, RefusalReason::Shed, Some(retry_after_ms), now);
        }
    }

    /// Removes a request that has ended from its queue, if it is in one.
    pub(crate) fn remove_from_queue(&mut self, state: &RequestState) {
        if let Some(queue) = state.queue.as_ref().and_then(|name| self.queues.get_mut(name)) {
            queue.remove(state.id.serial);
        }
    }

    /// Dispatches queued requests to upstreams that have capacity.
    pub(crate) fn drain_queues(&mut self, now: TimeMs) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let mut names: Vec<CompactString> = waiting.map(|(name, _)| name.clone()).collect();
        names.sort_unstable();
        for name in names {
            self.drain_queue(&name, now);
        }
    }

    fn drain_queue(&mut self, name: &CompactString, now: TimeMs) {
        let mut passed_over = HashSet::new();
        let mut serves_early = true;
        while let Some(turn) = self.queues.get(name).and_then(|queue| {
            let mut order = queue.order(now).filter(|turn| serves_early || !turn.is_early);
            order.find(|turn| !passed_over.contains(&turn.key))
        }) {
            let serial = turn.key;
            let chosen = self.place(serial, now);
            if chosen.is_none() && self.has_upstream(serial) {
                // Without exclusions, those behind it in its rank find no upstream either.
                if self.has_exclusions(serial) {
                    passed_over.insert(serial);
                } else if turn.is_early {
                    serves_early = false;
                } else {
                    return;
                }
                continue;
            }
            if let Some(queue) = self.queues.get_mut(name) {
                queue.serve(serial, now);
            }
            if let Some(state) = self.requests.get_mut(&serial) {
                state.queue = None;
            }
            let Some((chosen, version)) = chosen else {
                // No version or no upstream is left for it. `dispatch` refuses the request or
                // continues its cascade.
                self.dispatch(serial, now);
                continue;
            };
            self.send_attempt(serial, &chosen, version, now);
        }
    }

    /// Returns whether a request may not be sent to an upstream that others of its queue may be sent
    /// to.
    fn has_exclusions(&self, serial: Serial) -> bool {
        self.requests.get(&serial).is_some_and(|state| !state.excluded.is_empty())
    }

    /// Refuses requests whose maximum wait has passed.
    pub(crate) fn expire_queues(&mut self, now: TimeMs) {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            let retry_after_ms = queue.retry_after();
            expired.extend(queue.expire(now).into_iter().map(|serial| (serial, retry_after_ms)));
        }
        expired.sort_unstable();
        for (serial, retry_after_ms) in expired {
            self.refuse(serial, RefusalReason::Shed, Some(retry_after_ms), now);
        }
    }

    /// Returns the name of the queue, which requests for the same version or service share.
    fn queue_name(&self, state: &RequestState) -> Option<CompactString> {
        let version = self.version_for(state).ok()?;
        match (version, &state.request.payload) {
            (Some(version), _) => Some(version.as_str().into()),
            (None, RequestPayload::Service(call)) => {
                Some(format_compact!("/services/{}", call.service))
            }
            (None, RequestPayload::Chat(_)) => None,
        }
    }
}

/// Returns the engine time by which requests share the capacity. Only the proportions matter, so a
/// token counts as one ms.
const fn engine_time(tokens: Tokens) -> DurationMs {
    DurationMs::new(tokens.get())
}
