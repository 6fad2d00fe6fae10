//! Waiting requests of one rank, in the order of start-time fair queueing.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::btree_map::Iter;
use std::iter::Peekable;

use crate::admission_queue::customer_queue::CustomerQueue;
use crate::admission_queue::customer_queue::Position;
use crate::admission_queue::place::Place;
use crate::admission_queue::queued_request::QueuedRequest;
use crate::id::CustomerId;

/// Tag units by which a customer may be behind the others: 1 s of engine time at weight 1. It
/// bounds how long a customer whose requests could not be placed is preferred afterwards.
const MAX_LAG: u64 = 1_000_000;

/// Waiting requests of one rank.
#[derive(Clone, Debug)]
pub(super) struct RankQueue<K> {
    customers: BTreeMap<Option<CustomerId>, CustomerQueue<K>>,
    virtual_time: u64,
    len: usize,
    cost_ms: u64,
}

impl<K> Default for RankQueue<K> {
    fn default() -> Self {
        Self { customers: BTreeMap::new(), virtual_time: 0, len: 0, cost_ms: 0 }
    }
}

impl<K: Copy> RankQueue<K> {
    pub const fn len(&self) -> usize {
        self.len
    }

    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the total cost of the waiting requests.
    pub const fn cost_ms(&self) -> u64 {
        self.cost_ms
    }

    pub fn push(&mut self, position: Position, request: QueuedRequest<K>) {
        let virtual_time = self.virtual_time;
        let new = || CustomerQueue::new(virtual_time);
        let queue = self.customers.entry(request.customer.clone()).or_insert_with(new);
        if queue.requests.is_empty() {
            queue.tag = queue.tag.max(virtual_time);
        }
        self.len += 1;
        self.cost_ms += request.cost();
        queue.insert(position, request);
    }

    /// Removes a request without serving it.
    pub fn remove(&mut self, place: &Place) -> Option<QueuedRequest<K>> {
        let request = self.customers.get_mut(&place.customer)?.remove(&place.position)?;
        self.len -= 1;
        self.cost_ms -= request.cost();
        if self.len == 0 {
            self.customers.clear();
            self.virtual_time = 0;
        }
        Some(request)
    }

    /// Removes a request that is served and charges its customer for it.
    pub fn serve(&mut self, place: &Place) -> Option<QueuedRequest<K>> {
        let earliest = self.virtual_time.saturating_sub(MAX_LAG);
        let queue = self.customers.get_mut(&place.customer)?;
        let cost_ms = queue.requests.get(&place.position)?.cost();
        let start = queue.tag.max(earliest);
        queue.tag = start + queue.tag_length(cost_ms);
        let virtual_time = self.virtual_time.max(start);
        self.virtual_time = virtual_time;
        let request = self.remove(place);
        // The tags of customers that are not ahead of the others say nothing.
        self.customers.retain(|_, queue| !queue.requests.is_empty() || queue.tag > virtual_time);
        request
    }

    /// Iterates over the requests in the order of service.
    pub fn iter(&self) -> RankOrder<'_, K> {
        let earliest = self.virtual_time.saturating_sub(MAX_LAG);
        let mut order = RankOrder { cursors: Vec::new(), next: BinaryHeap::new() };
        for queue in self.customers.values() {
            let Some((position, _)) = queue.requests.first_key_value() else {
                continue;
            };
            order.next.push(Reverse((queue.tag.max(earliest), position.1, order.cursors.len())));
            order.cursors.push(Cursor { queue, requests: queue.requests.iter().peekable() });
        }
        order
    }

    /// Returns the cost of the requests that precede a new request of a customer, to within one
    /// request for each customer.
    pub fn cost_ahead_ms(&self, customer: Option<&CustomerId>) -> u64 {
        let own = self.customers.get(&customer.cloned());
        let own_backlog_ms = own.map_or(0, |queue| queue.backlog_ms);
        let own_tag = own.map_or(self.virtual_time, |queue| queue.tag.max(self.virtual_time));
        let start = own_tag + own.map_or(0, |queue| queue.tag_length(own_backlog_ms));
        let mut ahead_ms = own_backlog_ms;
        let others = self.customers.iter().filter(|(known, _)| known.as_ref() != customer);
        for (_, queue) in others {
            let Some(first) = queue.requests.values().next().filter(|_| queue.tag <= start) else {
                continue;
            };
            let until_start_ms = queue.cost_of_length(start - queue.tag);
            ahead_ms += queue.backlog_ms.min(until_start_ms + first.cost());
        }
        ahead_ms
    }

    /// Returns the newest request of the customer with the largest weighted backlog.
    pub fn shed_candidate(&self) -> Option<K> {
        let waiting = self.customers.iter().filter(|(_, queue)| !queue.requests.is_empty());
        let weighted = |queue: &CustomerQueue<K>| queue.tag_length(queue.backlog_ms);
        let largest = waiting.max_by_key(|(customer, queue)| (weighted(queue), *customer))?.1;
        let newest = largest.requests.iter().max_by_key(|((_, number), _)| *number)?;
        Some(newest.1.key)
    }
}

/// Remaining requests of one customer.
#[derive(Debug)]
struct Cursor<'a, K> {
    queue: &'a CustomerQueue<K>,
    requests: Peekable<Iter<'a, Position, QueuedRequest<K>>>,
}

/// Iterator over the requests of a rank in the order of service.
#[derive(Debug)]
pub(super) struct RankOrder<'a, K> {
    cursors: Vec<Cursor<'a, K>>,
    /// Start tag, arrival number of the first request and index of each customer.
    next: BinaryHeap<Reverse<(u64, u64, usize)>>,
}

impl<'a, K> Iterator for RankOrder<'a, K> {
    type Item = &'a QueuedRequest<K>;

    fn next(&mut self) -> Option<Self::Item> {
        let Reverse((tag, _, index)) = self.next.pop()?;
        let cursor = self.cursors.get_mut(index)?;
        let (_, request) = cursor.requests.next()?;
        if let Some(((_, number), _)) = cursor.requests.peek() {
            let next_tag = tag + cursor.queue.tag_length(request.cost());
            self.next.push(Reverse((next_tag, *number, index)));
        }
        Some(request)
    }
}
