//! Requests that wait for an upstream, weighted fair among customers.
//!
//! Interactive work goes before batch work. Within a class the queue follows start-time fair
//! queueing: each customer's requests get tags that grow with their cost divided by the
//! customer's weight, and the smallest tag goes first. When a class holds more than it can serve
//! within its waiting time, the newest request of the customer with the largest weighted backlog
//! is shed.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::class::Class;
use crate::id::CustomerId;
use crate::id::Serial;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Resolution of the tags.
const TAG_SCALE: u64 = 1_000;
/// Requests of one class that may always wait, even when nothing has been served yet.
const MIN_LENGTH: usize = 16;
/// Requests of one class that may wait at most, which bounds the memory.
const MAX_LENGTH: usize = 4_096;
/// Weight of the newest interval in the estimate of the service rate.
const RATE_WEIGHT: f64 = 0.3;
/// Time over which served requests are counted.
const RATE_INTERVAL_MS: DurationMs = DurationMs::new(500);

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// The request.
    pub serial: Serial,
    /// Its customer.
    pub customer: CustomerId,
    /// The customer's weight; higher weights get more.
    pub weight: u32,
    /// Its class.
    pub class: Class,
    /// Expected tokens.
    pub cost: u64,
    /// When it is given up.
    pub expires_at_ms: TimeMs,
}

/// Requests of one class.
#[derive(Clone, Debug, Default)]
struct Lane {
    order: BTreeMap<(u64, Serial), Waiting>,
    tags: HashMap<Serial, u64>,
    finish: HashMap<CustomerId, u64>,
    backlog: HashMap<CustomerId, u64>,
    virtual_time: u64,
}

/// A queue for one model or service.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    interactive: Lane,
    batch: Lane,
    served: u32,
    rate_per_s: f64,
    counted_from_ms: TimeMs,
}

impl Waiting {
    fn tag_cost(&self) -> u64 {
        self.cost.max(1) * TAG_SCALE / u64::from(self.weight.max(1))
    }
}

impl Lane {
    fn push(&mut self, waiting: Waiting) {
        let finished = self.finish.get(&waiting.customer).copied().unwrap_or_default();
        let start = finished.max(self.virtual_time);
        let cost = waiting.tag_cost();
        self.finish.insert(waiting.customer.clone(), start + cost);
        *self.backlog.entry(waiting.customer.clone()).or_default() += cost;
        self.tags.insert(waiting.serial, start);
        self.order.insert((start, waiting.serial), waiting);
    }

    fn take(&mut self, serial: Serial) -> Option<Waiting> {
        let tag = self.tags.remove(&serial)?;
        let waiting = self.order.remove(&(tag, serial))?;
        let backlog = self.backlog.entry(waiting.customer.clone()).or_default();
        *backlog = backlog.saturating_sub(waiting.tag_cost());
        if *backlog == 0 {
            self.backlog.remove(&waiting.customer);
        }
        if self.order.is_empty() {
            self.finish.clear();
            self.backlog.clear();
            self.virtual_time = 0;
        }
        Some(waiting)
    }

    fn first(&self) -> Option<Serial> {
        self.order.first_key_value().map(|((_, serial), _)| *serial)
    }

    fn serve(&mut self, serial: Serial) {
        if let Some(tag) = self.tags.get(&serial) {
            self.virtual_time = self.virtual_time.max(*tag);
        }
        self.take(serial);
    }

    /// The newest request of the customer with the largest weighted backlog.
    fn least_important(&self) -> Option<Serial> {
        let largest = self.backlog.iter().max_by_key(|(customer, cost)| (**cost, *customer))?.0;
        let newest = self.order.values().rev().find(|waiting| waiting.customer == *largest)?;
        Some(newest.serial)
    }
}

impl FairQueue {
    /// Adds a request and returns the requests that must be shed for it, possibly itself.
    pub fn push(&mut self, waiting: Waiting, max_wait_ms: DurationMs) -> Vec<Serial> {
        let served_in_time = self.rate_per_s * max_wait_ms.as_f64() / 1_000.0;
        let limit = (served_in_time as usize).clamp(MIN_LENGTH, MAX_LENGTH);
        let lane = self.lane_mut(waiting.class);
        lane.push(waiting);
        let mut shed = Vec::new();
        while lane.order.len() > limit
            && let Some(victim) = lane.least_important()
        {
            lane.take(victim);
            shed.push(victim);
        }
        shed
    }

    /// The request that goes next.
    pub fn first(&self) -> Option<Serial> {
        self.interactive.first().or_else(|| self.batch.first())
    }

    /// Whether a new request of this class has to wait behind others.
    pub fn has_work_before(&self, class: Class) -> bool {
        let batch_waits = class == Class::Batch && !self.batch.order.is_empty();
        batch_waits || !self.interactive.order.is_empty()
    }

    /// Removes a request that is served now.
    pub fn serve(&mut self, serial: Serial, now: TimeMs) {
        self.interactive.serve(serial);
        self.batch.serve(serial);
        self.served += 1;
        self.update_rate(now);
    }

    /// Removes a request that is no longer wanted.
    pub fn remove(&mut self, serial: Serial) {
        self.interactive.take(serial);
        self.batch.take(serial);
    }

    /// Removes and returns the requests that have waited too long, in order.
    pub fn expire(&mut self, now: TimeMs) -> Vec<Serial> {
        self.update_rate(now);
        let lanes = [&self.interactive, &self.batch];
        let waiting = lanes.into_iter().flat_map(|lane| lane.order.values());
        let late = waiting.filter(|waiting| now >= waiting.expires_at_ms);
        let late: Vec<Serial> = late.map(|waiting| waiting.serial).collect();
        for serial in &late {
            self.remove(*serial);
        }
        late
    }

    /// Time after which a request that is shed now has a good chance.
    pub fn retry_after(&self) -> DurationMs {
        let seconds = self.len() as f64 / self.rate_per_s.max(1.0);
        DurationMs::new((seconds * 1_000.0).clamp(500.0, 30_000.0) as u64)
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.interactive.order.len() + self.batch.order.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    const fn lane_mut(&mut self, class: Class) -> &mut Lane {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }

    fn update_rate(&mut self, now: TimeMs) {
        let elapsed_ms = now.since(self.counted_from_ms);
        if elapsed_ms < RATE_INTERVAL_MS {
            return;
        }
        let rate_per_s = f64::from(self.served) * 1_000.0 / elapsed_ms.as_f64();
        self.rate_per_s += RATE_WEIGHT * (rate_per_s - self.rate_per_s);
        self.served = 0;
        self.counted_from_ms = now;
    }
}
