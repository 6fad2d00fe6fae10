//! Rate and concurrency limits of customers.
//!
//! The platform spreads callers evenly over the live entries, so each entry enforces an equal share
//! of each limit. `docs/limits.md` states the resulting error.

use std::collections::HashMap;

use crate::configuration::customer::CustomerLimits;
use crate::id::CustomerId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Capacity of a token bucket, as the time in which it refills at its rate.
const BURST_WINDOW_S: f64 = 2.0;
/// Minimum capacity of a request bucket. Requests are admitted whole, so a bucket with a capacity
/// below one would never admit any.
const MIN_BURST_REQUESTS: f64 = 2.0;
/// Retry delay that is sent when a customer has too many concurrent requests.
const CONCURRENCY_RETRY_AFTER_MS: DurationMs = DurationMs::from_secs(1);
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;

/// A token bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct TokenBucket {
    level: f64,
    refilled_at_ms: TimeMs,
}

/// What one customer has used of its limits at this entry.
#[derive(Clone, Copy, Debug, PartialEq)]
struct CustomerUsage {
    requests: TokenBucket,
    tokens: TokenBucket,
    running: u32,
}

/// What all customers have used of their limits at this entry.
#[derive(Clone, Debug)]
pub struct LimitTable {
    entries: usize,
    customers: HashMap<CustomerId, CustomerUsage>,
}

impl Default for LimitTable {
    fn default() -> Self {
        Self { entries: 1, customers: HashMap::new() }
    }
}

impl TokenBucket {
    const fn full(burst: f64, now: TimeMs) -> Self {
        Self { level: burst, refilled_at_ms: now }
    }

    fn refill(&mut self, rate_per_s: f64, burst: f64, now: TimeMs) {
        let elapsed_ms = now.since(self.refilled_at_ms).as_f64();
        self.level = (self.level + elapsed_ms * rate_per_s / 1_000.0).min(burst);
        self.refilled_at_ms = now;
    }

    /// Returns the time until the level reaches `needed`, between 1 ms and the maximum retry delay.
    fn wait_ms(&self, needed: f64, rate_per_s: f64) -> DurationMs {
        let wait_ms = (needed - self.level) / rate_per_s * 1_000.0;
        DurationMs::new(wait_ms.clamp(1.0, MAX_RETRY_AFTER_MS).ceil() as u64)
    }
}

impl LimitTable {
    /// Sets the number of live entries that share the limits; 0 counts as 1.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Admits a request and charges it to the customer's limits.
    ///
    /// # Errors
    /// If the request exceeds a limit, returns the time after which the caller may retry. A refused
    /// request is not charged.
    pub fn admit(
        &mut self,
        customer: &CustomerId,
        limits: &CustomerLimits,
        expected_tokens: u64,
        now: TimeMs,
    ) -> Result<(), DurationMs> {
        let entries = self.entries as f64;
        let requests_per_s = limits.requests_per_s.map(|limit| limit / entries);
        let tokens_per_s = limits.tokens_per_s.map(|limit| limit / entries);
        let request_burst = requests_per_s.unwrap_or_default() * BURST_WINDOW_S;
        let request_burst = request_burst.max(MIN_BURST_REQUESTS);
        let token_burst = tokens_per_s.unwrap_or_default() * BURST_WINDOW_S;
        let used = self.customers.entry(customer.clone()).or_insert_with(|| CustomerUsage {
            requests: TokenBucket::full(request_burst, now),
            tokens: TokenBucket::full(token_burst, now),
            running: 0,
        });
        if let Some(limit) = limits.concurrent_requests {
            let entry_limit = (f64::from(limit) / entries).ceil() as u32;
            if used.running >= entry_limit {
                return Err(CONCURRENCY_RETRY_AFTER_MS);
            }
        }
        if let Some(rate_per_s) = requests_per_s {
            used.requests.refill(rate_per_s, request_burst, now);
            if used.requests.level < 1.0 {
                return Err(used.requests.wait_ms(1.0, rate_per_s));
            }
        }
        if let Some(rate_per_s) = tokens_per_s {
            used.tokens.refill(rate_per_s, token_burst, now);
            // A request larger than the burst is admitted and leaves the level negative, so that
            // later requests wait until the excess is refilled.
            if used.tokens.level <= 0.0 {
                return Err(used.tokens.wait_ms(1.0, rate_per_s));
            }
        }
        used.requests.level -= 1.0;
        used.tokens.level -= expected_tokens as f64;
        used.running += 1;
        Ok(())
    }

    /// Ends an admitted request and replaces its expected tokens by those that it used.
    pub fn release(&mut self, customer: &CustomerId, expected_tokens: u64, used_tokens: u64) {
        if let Some(used) = self.customers.get_mut(customer) {
            used.running = used.running.saturating_sub(1);
            used.tokens.level += expected_tokens as f64 - used_tokens as f64;
        }
    }
}
