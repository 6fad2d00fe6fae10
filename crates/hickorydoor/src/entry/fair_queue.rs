//! Weighted fair queue of requests that wait for an upstream.
//!
//! Interactive requests take precedence over batch requests. Within a class the queue follows
//! start-time fair queueing: the start tags of a customer's requests grow with their cost divided by
//! the customer's weight, and the request with the smallest tag is served first. When a class holds
//! more requests than it can serve within their maximum wait, the newest request of the customer
//! with the largest weighted backlog is shed.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::class::Class;
use crate::id::CustomerId;
use crate::id::Serial;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Tag units per token at weight 1; keeps precision in the integer division by the weight.
const TAG_SCALE: u64 = 1_000;
/// Minimum capacity for each class, so that requests can wait before a service rate is known.
const MIN_CAPACITY: usize = 16;
/// Maximum capacity for each class, which bounds memory use.
const MAX_CAPACITY: usize = 4_096;
/// Weight of the newest interval in the moving average of the service rate.
const NEWEST_RATE_WEIGHT: f64 = 0.3;
/// Minimum interval over which served requests are counted for the service rate.
const RATE_INTERVAL_MS: DurationMs = DurationMs::new(500);

/// A request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Serial number, unique in the queue.
    pub serial: Serial,
    /// Customer whose share the request uses.
    pub customer: CustomerId,
    /// Relative share of the customer; 0 counts as 1.
    pub weight: u32,
    /// Class in whose queue the request waits.
    pub class: Class,
    /// Expected prompt and answer tokens; 0 counts as 1.
    pub cost: u64,
    /// When the request is shed if it still waits.
    pub expires_at_ms: TimeMs,
}

/// Requests of one class.
#[derive(Clone, Debug, Default)]
struct ClassQueue {
    by_tag: BTreeMap<(u64, Serial), QueuedRequest>,
    start_tags: HashMap<Serial, u64>,
    finish_tags: HashMap<CustomerId, u64>,
    backlog: HashMap<CustomerId, u64>,
    virtual_time: u64,
}

/// Queue for one model version or service.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    interactive: ClassQueue,
    batch: ClassQueue,
    served_count: u32,
    rate_per_s: f64,
    interval_start_ms: TimeMs,
}

impl QueuedRequest {
    fn weighted_cost(&self) -> u64 {
        self.cost.max(1) * TAG_SCALE / u64::from(self.weight.max(1))
    }
}

impl ClassQueue {
    fn push(&mut self, request: QueuedRequest) {
        let finished = self.finish_tags.get(&request.customer).copied().unwrap_or_default();
        let start = finished.max(self.virtual_time);
        let cost = request.weighted_cost();
        self.finish_tags.insert(request.customer.clone(), start + cost);
        *self.backlog.entry(request.customer.clone()).or_default() += cost;
        self.start_tags.insert(request.serial, start);
        self.by_tag.insert((start, request.serial), request);
    }

    fn remove(&mut self, serial: Serial) -> Option<QueuedRequest> {
        let tag = self.start_tags.remove(&serial)?;
        let request = self.by_tag.remove(&(tag, serial))?;
        let backlog = self.backlog.entry(request.customer.clone()).or_default();
        *backlog = backlog.saturating_sub(request.weighted_cost());
        if *backlog == 0 {
            self.backlog.remove(&request.customer);
        }
        if self.by_tag.is_empty() {
            self.finish_tags.clear();
            self.backlog.clear();
            self.virtual_time = 0;
        }
        Some(request)
    }

    fn peek(&self) -> Option<Serial> {
        self.by_tag.first_key_value().map(|((_, serial), _)| *serial)
    }

    fn serve(&mut self, serial: Serial) {
        if let Some(tag) = self.start_tags.get(&serial) {
            self.virtual_time = self.virtual_time.max(*tag);
        }
        self.remove(serial);
    }

    /// Returns the newest request of the customer with the largest weighted backlog.
    fn shed_candidate(&self) -> Option<Serial> {
        let largest = self.backlog.iter().max_by_key(|(customer, cost)| (**cost, *customer))?.0;
        let newest = self.by_tag.values().rev().find(|request| request.customer == *largest)?;
        Some(newest.serial)
    }
}

impl FairQueue {
    /// Adds a request and returns the requests that were shed to make room, possibly itself.
    pub fn push(&mut self, request: QueuedRequest, max_wait_ms: DurationMs) -> Vec<Serial> {
        let served_in_time = self.rate_per_s * max_wait_ms.as_f64() / 1_000.0;
        let limit = (served_in_time as usize).clamp(MIN_CAPACITY, MAX_CAPACITY);
        let class_queue = self.class_queue_mut(request.class);
        class_queue.push(request);
        let mut shed = Vec::new();
        while class_queue.by_tag.len() > limit
            && let Some(candidate) = class_queue.shed_candidate()
        {
            class_queue.remove(candidate);
            shed.push(candidate);
        }
        shed
    }

    /// Returns the request to serve next without removing it.
    pub fn peek(&self) -> Option<Serial> {
        self.interactive.peek().or_else(|| self.batch.peek())
    }

    /// Returns whether queued requests take precedence over a new request of this class.
    pub fn has_requests_ahead(&self, class: Class) -> bool {
        let batch_waits = class == Class::Batch && !self.batch.by_tag.is_empty();
        batch_waits || !self.interactive.by_tag.is_empty()
    }

    /// Removes a request that is being served and counts it for the service rate.
    pub fn serve(&mut self, serial: Serial, now: TimeMs) {
        self.interactive.serve(serial);
        self.batch.serve(serial);
        self.served_count += 1;
        self.update_rate(now);
    }

    /// Removes a request without serving it.
    pub fn remove(&mut self, serial: Serial) {
        self.interactive.remove(serial);
        self.batch.remove(serial);
    }

    /// Removes and returns the requests whose wait has expired, in the order of service.
    pub fn expire(&mut self, now: TimeMs) -> Vec<Serial> {
        self.update_rate(now);
        let class_queues = [&self.interactive, &self.batch];
        let queued = class_queues.into_iter().flat_map(|class_queue| class_queue.by_tag.values());
        let expired = queued.filter(|request| now >= request.expires_at_ms);
        let expired: Vec<Serial> = expired.map(|request| request.serial).collect();
        for serial in &expired {
            self.remove(*serial);
        }
        expired
    }

    /// Returns the retry delay for requests that are shed now: the time in which the queue drains at
    /// the current rate, between 0.5 s and 30 s.
    pub fn retry_after(&self) -> DurationMs {
        let seconds = self.len() as f64 / self.rate_per_s.max(1.0);
        DurationMs::new((seconds * 1_000.0).clamp(500.0, 30_000.0) as u64)
    }

    /// Returns the number of queued requests of both classes.
    pub fn len(&self) -> usize {
        self.interactive.by_tag.len() + self.batch.by_tag.len()
    }

    /// Returns whether no request of either class is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    const fn class_queue_mut(&mut self, class: Class) -> &mut ClassQueue {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }

    fn update_rate(&mut self, now: TimeMs) {
        let elapsed_ms = now.since(self.interval_start_ms);
        if elapsed_ms < RATE_INTERVAL_MS {
            return;
        }
        let rate_per_s = f64::from(self.served_count) * 1_000.0 / elapsed_ms.as_f64();
        self.rate_per_s += NEWEST_RATE_WEIGHT * (rate_per_s - self.rate_per_s);
        self.served_count = 0;
        self.interval_start_ms = now;
    }
}
