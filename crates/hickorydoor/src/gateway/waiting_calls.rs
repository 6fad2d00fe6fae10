//! Queued requests of a gateway, by service.

use std::collections::BTreeMap;

use crate::admission_queue::AdmissionQueue;
use crate::admission_queue::QueuedRequest;
use crate::gateway::call::CallId;
use crate::id::ServiceName;
use crate::time::TimeMs;

/// One queue for each service with queued requests. Requests for different services do not compete,
/// as an upstream belongs to one service.
#[derive(Debug, Default)]
pub(super) struct WaitingCalls {
    queues: BTreeMap<ServiceName, AdmissionQueue<CallId>>,
}

impl WaitingCalls {
    /// Queues a request.
    pub fn push(&mut self, service: &ServiceName, request: QueuedRequest<CallId>) {
        if let Some(queue) = self.queues.get_mut(service) {
            return queue.push(request);
        }
        self.queues.entry(service.clone()).or_default().push(request);
    }

    /// Removes a request without serving it.
    pub fn remove(&mut self, id: CallId) {
        for queue in self.queues.values_mut() {
            if queue.remove(id) {
                return;
            }
        }
    }

    /// Removes a request that is sent.
    pub fn serve(&mut self, service: &ServiceName, id: CallId, now: TimeMs) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.serve(id, now);
        }
    }

    /// Removes and returns the requests whose wait time has passed, in order of arrival.
    pub fn expire(&mut self, now: TimeMs) -> Vec<CallId> {
        let expired = self.queues.values_mut().flat_map(|queue| queue.expire(now));
        let mut expired: Vec<CallId> = expired.collect();
        expired.sort_unstable();
        self.queues.retain(|_, queue| !queue.is_idle());
        expired
    }

    /// Returns whether a request is queued.
    pub fn contains(&self, id: CallId) -> bool {
        self.queues.values().any(|queue| queue.contains(id))
    }

    /// Returns the services with queued requests.
    pub fn services(&self) -> Vec<ServiceName> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the queue of a service.
    pub fn queue(&self, service: &ServiceName) -> Option<&AdmissionQueue<CallId>> {
        self.queues.get(service)
    }

    /// Iterates over the queued requests in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = CallId> {
        self.queues.values().flat_map(AdmissionQueue::keys)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queues.values().map(AdmissionQueue::len).sum()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.queues.values().all(AdmissionQueue::is_empty)
    }
}
