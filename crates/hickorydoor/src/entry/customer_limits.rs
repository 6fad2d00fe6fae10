//! Limits of customers, enforced by each entry for its share of the fleet.
//!
//! The platform spreads callers evenly over the live entries, so each entry enforces an equal part
//! of a limit. `docs/limits.md` states the error of this.

use std::collections::HashMap;

use crate::configuration::customer::CustomerLimits;
use crate::id::CustomerId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time whose allowance may be used at once.
const BURST_S: f64 = 2.0;
/// Smallest burst of requests: callers come in whole numbers.
const MIN_BURST_REQUESTS: f64 = 2.0;
/// When a caller may retry after a refusal for its concurrency.
const CONCURRENCY_RETRY_MS: DurationMs = DurationMs::from_secs(1);
const MAX_RETRY_MS: f64 = 60_000.0;

/// A token bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Bucket {
    level: f64,
    filled_at_ms: TimeMs,
}

/// Use of the limits by one customer at this entry.
#[derive(Clone, Copy, Debug, PartialEq)]
struct CustomerUse {
    requests: Bucket,
    tokens: Bucket,
    running: u32,
}

/// Use of the limits by all customers at this entry.
#[derive(Clone, Debug)]
pub struct LimitTable {
    entries: usize,
    customers: HashMap<CustomerId, CustomerUse>,
}

impl Default for LimitTable {
    fn default() -> Self {
        Self { entries: 1, customers: HashMap::new() }
    }
}

impl Bucket {
    const fn full(burst: f64, now: TimeMs) -> Self {
        Self { level: burst, filled_at_ms: now }
    }

    fn fill(&mut self, rate_per_s: f64, burst: f64, now: TimeMs) {
        let elapsed_ms = now.since(self.filled_at_ms).as_f64();
        self.level = (self.level + elapsed_ms * rate_per_s / 1_000.0).min(burst);
        self.filled_at_ms = now;
    }

    /// Time until the level reaches `needed`.
    fn wait_ms(&self, needed: f64, rate_per_s: f64) -> DurationMs {
        let wait_ms = (needed - self.level) / rate_per_s * 1_000.0;
        DurationMs::new(wait_ms.clamp(1.0, MAX_RETRY_MS).ceil() as u64)
    }
}

impl LimitTable {
    /// Takes over the number of live entries that share the limits.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Counts a request that begins.
    ///
    /// # Errors
    /// If the request is above a limit, returns the time after which the caller may retry; the
    /// request then does not count.
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
        let request_burst = requests_per_s.unwrap_or_default() * BURST_S;
        let request_burst = request_burst.max(MIN_BURST_REQUESTS);
        let token_burst = tokens_per_s.unwrap_or_default() * BURST_S;
        let used = self.customers.entry(customer.clone()).or_insert_with(|| CustomerUse {
            requests: Bucket::full(request_burst, now),
            tokens: Bucket::full(token_burst, now),
            running: 0,
        });
        if let Some(limit) = limits.concurrent_requests {
            let part = (f64::from(limit) / entries).ceil() as u32;
            if used.running >= part {
                return Err(CONCURRENCY_RETRY_MS);
            }
        }
        if let Some(rate_per_s) = requests_per_s {
            used.requests.fill(rate_per_s, request_burst, now);
            if used.requests.level < 1.0 {
                return Err(used.requests.wait_ms(1.0, rate_per_s));
            }
        }
        if let Some(rate_per_s) = tokens_per_s {
            used.tokens.fill(rate_per_s, token_burst, now);
            // A request larger than the burst is let through on credit, and paid off afterwards.
            if used.tokens.level <= 0.0 {
                return Err(used.tokens.wait_ms(1.0, rate_per_s));
            }
        }
        used.requests.level -= 1.0;
        used.tokens.level -= expected_tokens as f64;
        used.running += 1;
        Ok(())
    }

    /// Counts the end of a request and corrects its tokens.
    pub fn release(&mut self, customer: &CustomerId, expected_tokens: u64, used_tokens: u64) {
        if let Some(used) = self.customers.get_mut(customer) {
            used.running = used.running.saturating_sub(1);
            used.tokens.level += expected_tokens as f64 - used_tokens as f64;
        }
    }
}
