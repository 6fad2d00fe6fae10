//! Queue of requests that wait for an upstream, for the requests of one service or model version.
//!
//! It handles more load than the upstreams can take: urgent work first, each customer with its
//! share of the rest, and no rank without any.
//!
//! - More urgent ranks are served first. While a less urgent rank waits, it gets at least 5% of the
//!   served cost (`guaranteed_share`).
//! - Within a rank the queue follows start-time fair queueing by customer: a customer's tag grows
//!   with the cost of its served requests divided by its weight, and the customer with the smallest
//!   tag is served first. A customer that has not used its share leaves it to the others, and has
//!   it again with its next request.
//! - Within a customer the request with the earliest latest start is served first.
//!
//! [`AdmissionQueue::order`] lists all requests, so one that cannot be placed now does not keep
//! back those behind it.

mod customer_queue;
mod guaranteed_share;
mod place;
mod queued_request;
mod rank;
mod rank_queue;
mod service_rate;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hash;

use crate::admission_queue::guaranteed_share::GuaranteedShare;
use crate::admission_queue::place::Place;
use crate::admission_queue::rank_queue::RankQueue;
use crate::admission_queue::service_rate::ServiceRate;
use crate::id::CustomerId;
use crate::time::DurationMs;
use crate::time::TimeMs;

pub use crate::admission_queue::queued_request::QueuedRequest;
pub use crate::admission_queue::queued_request::Turn;
pub use crate::admission_queue::rank::Rank;

/// Minimum capacity for each rank, so that requests can wait before a service rate is known.
const MIN_CAPACITY: usize = 16;
/// Maximum capacity for each rank, which bounds memory use.
const MAX_CAPACITY: usize = 4_096;

/// Requests of one rank and what the rank is owed.
#[derive(Clone, Debug)]
struct RankState<K> {
    queue: RankQueue<K>,
    share: GuaranteedShare,
}

/// Queue for one model version or service.
#[derive(Clone, Debug)]
pub struct AdmissionQueue<K> {
    ranks: BTreeMap<Rank, RankState<K>>,
    places: HashMap<K, Place>,
    rate: ServiceRate,
    /// Number of requests that were pushed.
    pushed: u64,
    /// Latest time that the queue was told.
    now: TimeMs,
}

impl<K> Default for AdmissionQueue<K> {
    fn default() -> Self {
        Self {
            ranks: BTreeMap::new(),
            places: HashMap::new(),
            rate: ServiceRate::default(),
            pushed: 0,
            now: TimeMs::default(),
        }
    }
}

impl<K: Copy + Eq + Hash> AdmissionQueue<K> {
    /// Adds a request. One with the same key is replaced.
    pub fn push(&mut self, request: QueuedRequest<K>) {
        self.remove(request.key);
        self.now = self.now.max(request.arrived_at);
        let now = self.now;
        let position = (request.latest_start_at, self.pushed);
        self.pushed += 1;
        let (rank, customer) = (request.rank, request.customer.clone());
        self.places.insert(request.key, Place { rank, customer, position });
        let new = || RankState { queue: RankQueue::default(), share: GuaranteedShare::default() };
        let state = self.ranks.entry(rank).or_insert_with(new);
        if state.queue.is_empty() {
            state.share.start(now);
        }
        state.queue.push(position, request);
    }

    /// Adds a request and returns the requests that were shed to make room, possibly itself.
    ///
    /// A rank holds as many requests as are served within `max_wait_ms`. Above it, the newest
    /// request of the customer with the largest weighted backlog is shed.
    pub fn push_within(&mut self, request: QueuedRequest<K>, max_wait_ms: DurationMs) -> Vec<K> {
        let served_in_time = self.rate.per_s() * max_wait_ms.as_f64() / 1_000.0;
        let limit = (served_in_time as usize).clamp(MIN_CAPACITY, MAX_CAPACITY);
        let rank = request.rank;
        self.push(request);
        let mut shed = Vec::new();
        while let Some(candidate) = self.excess(rank, limit) {
            self.remove(candidate);
            shed.push(candidate);
        }
        shed
    }

    fn excess(&self, rank: Rank, limit: usize) -> Option<K> {
        let queue = &self.ranks.get(&rank)?.queue;
        if queue.len() <= limit {
            return None;
        }
        queue.shed_candidate()
    }

    /// Iterates over the requests in the order of service, without removing them.
    ///
    /// The requests of a rank that is owed a part of its share come first and once more in their
    /// usual place. Once one of them has been served, [`is_owed`](Self::is_owed) tells whether the
    /// next one may still be served early.
    pub fn order(&self, now: TimeMs) -> impl Iterator<Item = Turn<K>> {
        let owed = self.ranks.iter().filter(move |(rank, _)| self.is_owed(**rank, now));
        let early = owed.map(|(rank, state)| (rank, state, true));
        let regular = self.ranks.iter().map(|(rank, state)| (rank, state, false));
        early.chain(regular).flat_map(|(rank, state, is_early)| {
            let turn =
                move |request: &QueuedRequest<K>| Turn { key: request.key, rank: *rank, is_early };
            state.queue.iter().map(turn)
        })
    }

    /// Returns the request to serve next without removing it.
    pub fn peek(&self, now: TimeMs) -> Option<K> {
        self.order(now).next().map(|turn| turn.key)
    }

    /// Returns whether the next request of a rank is served before those of more urgent ranks.
    pub fn is_owed(&self, rank: Rank, now: TimeMs) -> bool {
        let mut more_urgent = self.ranks.range(..rank);
        if !more_urgent.any(|(_, state)| !state.queue.is_empty()) {
            return false;
        }
        let Some(state) = self.ranks.get(&rank) else {
            return false;
        };
        let next = state.queue.iter().next();
        next.is_some_and(|next| state.share.is_owed(next.cost(), now))
    }

    /// Returns whether queued requests take precedence over a new request of this rank.
    pub fn has_requests_ahead(&self, rank: Rank) -> bool {
        self.ranks.range(..=rank).any(|(_, state)| !state.queue.is_empty())
    }

    /// Returns the cost of what is served before a new request of this rank and customer, to within
    /// one request for each customer. A request that is served early, as its rank is owed a part of
    /// its share, waits for less.
    pub fn work_ahead_ms(&self, rank: Rank, customer: Option<&CustomerId>) -> DurationMs {
        let urgent = self.ranks.range(..rank).map(|(_, state)| state.queue.cost_ms());
        let same = self.ranks.get(&rank).map_or(0, |state| state.queue.cost_ahead_ms(customer));
        let ahead_ms = urgent.sum::<u64>() + same;
        let later = self.ranks.iter().filter(|(known, _)| **known > rank);
        let share_ms = later.map(|(_, state)| {
            state.queue.cost_ms().min(guaranteed_share::earned_beside_ms(ahead_ms))
        });
        DurationMs::new(ahead_ms + share_ms.sum::<u64>())
    }

    /// Removes a request that is served, and counts it for the shares and the service rate. Returns
    /// whether it was in the queue.
    pub fn serve(&mut self, key: K, now: TimeMs) -> bool {
        self.now = self.now.max(now);
        let Some(place) = self.places.remove(&key) else {
            return false;
        };
        self.rate.record(now);
        let Some(state) = self.ranks.get_mut(&place.rank) else {
            return false;
        };
        let Some(request) = state.queue.serve(&place) else {
            return false;
        };
        let cost_ms = request.cost();
        state.share.pay(cost_ms, now);
        if state.queue.is_empty() {
            state.share.stop(now);
        }
        for (_, other) in self.ranks.iter_mut().filter(|(rank, _)| **rank != place.rank) {
            let next_cost_ms = other.queue.iter().next().map(QueuedRequest::cost);
            if let Some(next_cost_ms) = next_cost_ms {
                other.share.earn(cost_ms, next_cost_ms, now);
            }
        }
        true
    }

    /// Removes a request without serving it. Returns whether it was in the queue.
    pub fn remove(&mut self, key: K) -> bool {
        let Some(place) = self.places.remove(&key) else {
            return false;
        };
        if let Some(state) = self.ranks.get_mut(&place.rank) {
            state.queue.remove(&place);
            if state.queue.is_empty() {
                state.share.stop(self.now);
            }
        }
        true
    }

    /// Removes and returns the requests whose latest start has passed, in the order of service.
    pub fn expire(&mut self, now: TimeMs) -> Vec<K> {
        self.now = self.now.max(now);
        self.rate.update(now);
        let queued = self.ranks.values().flat_map(|state| state.queue.iter());
        let expired = queued.filter(|request| now >= request.latest_start_at);
        let expired: Vec<K> = expired.map(|request| request.key).collect();
        for key in &expired {
            self.remove(*key);
        }
        self.ranks.retain(|_, state| !state.queue.is_empty() || !state.share.has_lapsed(now));
        expired
    }

    /// Returns the retry delay for requests that are shed now: the time in which the queue drains at
    /// the current rate, between 0.5 s and 30 s.
    pub fn retry_after(&self) -> DurationMs {
        let seconds = self.len() as f64 / self.rate.per_s().max(1.0);
        DurationMs::new((seconds * 1_000.0).clamp(500.0, 30_000.0) as u64)
    }

    /// Returns whether a request is queued.
    pub fn contains(&self, key: K) -> bool {
        self.places.contains_key(&key)
    }

    /// Iterates over the queued requests in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = K> {
        self.places.keys().copied()
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns whether the queue is empty and no rank is owed anything.
    pub fn is_idle(&self) -> bool {
        self.ranks.is_empty()
    }
}
