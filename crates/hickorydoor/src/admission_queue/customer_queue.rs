//! Waiting requests of one customer within a rank.

use std::collections::BTreeMap;
use std::num::NonZeroU32;

use crate::admission_queue::queued_request::QueuedRequest;
use crate::time::TimeMs;

/// Tag units per ms of engine time at weight 1; keeps precision in the division by the weight.
const TAG_SCALE: u64 = 1_000;

/// Position among the requests of a customer: latest start, then order of arrival in the queue.
pub(super) type Position = (TimeMs, u64);

/// Waiting requests of one customer, and the start tag of the next one that is served.
#[derive(Clone, Debug)]
pub(super) struct CustomerQueue<K> {
    pub requests: BTreeMap<Position, QueuedRequest<K>>,
    /// Start tag of the next request of the customer.
    pub tag: u64,
    /// Total cost of the waiting requests.
    pub backlog_ms: u64,
    weight: NonZeroU32,
}

impl<K> CustomerQueue<K> {
    pub const fn new(tag: u64) -> Self {
        Self { requests: BTreeMap::new(), tag, backlog_ms: 0, weight: NonZeroU32::MIN }
    }

    pub fn insert(&mut self, position: Position, request: QueuedRequest<K>) {
        self.weight = request.weight;
        self.backlog_ms += request.cost();
        self.requests.insert(position, request);
    }

    pub fn remove(&mut self, position: &Position) -> Option<QueuedRequest<K>> {
        let request = self.requests.remove(position)?;
        self.backlog_ms -= request.cost();
        Some(request)
    }

    /// Returns the difference of the tags of two requests in a row of which the first has this cost.
    pub fn tag_length(&self, cost_ms: u64) -> u64 {
        cost_ms * TAG_SCALE / u64::from(self.weight.get())
    }

    /// Returns the cost whose tags have this length.
    pub fn cost_of_length(&self, length: u64) -> u64 {
        length.saturating_mul(u64::from(self.weight.get())) / TAG_SCALE
    }
}
