//! How requests wait at an entry while no upstream can take them.

use compact_str::CompactString;
use compact_str::format_compact;

use crate::class::Class;
use crate::entry::Entry;
use crate::entry::caller_request::RequestPayload;
use crate::entry::fair_queue::FairQueue;
use crate::entry::fair_queue::Waiting;
use crate::entry::request_state::RequestState;
use crate::id::Serial;
use crate::refusal::RefusalReason;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Longest wait of interactive work: later, the first token would miss its target several times.
const INTERACTIVE_WAIT_MS: DurationMs = DurationMs::from_secs(2);
/// Longest wait of batch work.
const BATCH_WAIT_MS: DurationMs = DurationMs::from_secs(60);
/// Part of the time left until the deadline that may be spent waiting.
const WAIT_PART: u64 = 4;

impl Entry {
    /// Whether requests of the same kind wait before this one.
    pub(crate) fn must_wait(&self, serial: Serial) -> bool {
        let Some(state) = self.requests.get(&serial) else {
            return false;
        };
        let queue = self.queue_name(state).and_then(|name| self.queues.get(&name));
        queue.is_some_and(|queue| queue.has_work_before(state.class))
    }

    /// An agent refused the request at its limit: it waits for room at another one. The queues are
    /// drained after each event, so it does not wait while there is room.
    pub(crate) fn enqueue_again(&mut self, serial: Serial, now: TimeMs) {
        let Some(state) = self.requests.get(&serial) else {
            return;
        };
        if self.is_exhausted(state) || !self.has_upstream(serial) {
            self.dispatch(serial, now);
        } else {
            self.enqueue(serial, now);
        }
    }

    /// Lets a request wait, or sheds the least important ones.
    pub(crate) fn enqueue(&mut self, serial: Serial, now: TimeMs) {
        let Some(state) = self.requests.get(&serial) else {
            return;
        };
        let Some(name) = self.queue_name(state) else {
            return;
        };
        let work = self.work(state);
        let customer = self.config.current().customers.get(&state.customer);
        let longest_ms = match state.class {
            Class::Interactive => INTERACTIVE_WAIT_MS,
            Class::Batch => BATCH_WAIT_MS,
        };
        let left_ms = DurationMs::new(state.deadline_at_ms.since(now).get() / WAIT_PART);
        // The wait counts from the arrival, so that several attempts do not add up.
        let wait_ms = longest_ms.min(left_ms);
        let waiting = Waiting {
            serial,
            customer: state.customer.clone(),
            weight: customer.map_or(1, |customer| customer.weight),
            class: state.class,
            cost: work.prompt_tokens.get() + work.answer_tokens.get(),
            expires_at_ms: state.accepted_at_ms + wait_ms,
        };
        if let Some(state) = self.requests.get_mut(&serial) {
            state.queue = Some(name.clone());
        }
        let queue = self.queues.entry(name).or_default();
        let shed = queue.push(waiting, wait_ms);
        let retry_after_ms = queue.retry_after();
        for victim in shed {
            self.refuse(victim, RefusalReason::Shed, Some(retry_after_ms), now);
        }
    }

    /// Removes a request that ends from its queue.
    pub(crate) fn leave_queue(&mut self, state: &RequestState) {
        if let Some(queue) = state.queue.as_ref().and_then(|name| self.queues.get_mut(name)) {
            queue.remove(state.id.serial);
        }
    }

    /// Sends waiting requests to upstreams that have room.
    pub(crate) fn drain_queues(&mut self, now: TimeMs) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let mut names: Vec<CompactString> = waiting.map(|(name, _)| name.clone()).collect();
        names.sort_unstable();
        for name in names {
            self.drain_queue(&name, now);
        }
    }

    fn drain_queue(&mut self, name: &CompactString, now: TimeMs) {
        while let Some(serial) = self.queues.get(name).and_then(FairQueue::first) {
            let placed = self.place(serial, now);
            if placed.is_none() && self.has_upstream(serial) {
                return;
            }
            if let Some(queue) = self.queues.get_mut(name) {
                queue.serve(serial, now);
            }
            if let Some(state) = self.requests.get_mut(&serial) {
                state.queue = None;
            }
            let Some((placed, version)) = placed else {
                // Its version or its upstreams are gone.
                self.dispatch(serial, now);
                continue;
            };
            self.send_attempt(serial, &placed, version, now);
        }
    }

    /// Gives up requests that have waited too long.
    pub(crate) fn expire_queues(&mut self, now: TimeMs) {
        let mut late = Vec::new();
        for queue in self.queues.values_mut() {
            let retry_after_ms = queue.retry_after();
            late.extend(queue.expire(now).into_iter().map(|serial| (serial, retry_after_ms)));
        }
        late.sort_unstable();
        for (serial, retry_after_ms) in late {
            self.refuse(serial, RefusalReason::Shed, Some(retry_after_ms), now);
        }
    }

    /// Requests for the same version or service share a queue.
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
