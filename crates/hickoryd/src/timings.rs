//! Histograms of request times for each customer and class.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use hickorydoor::Class;
use hickorydoor::DurationMs;
use hickorydoor::id::CustomerId;
use hickorydoor::observation::RequestRecord;
use serde::Serialize;

/// Upper bound of the histograms. Longer times are recorded as this one.
const MAX_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 2;
/// Maximum number of pairs of customer and class that have histograms. This bounds their memory to
/// about 20 MB. Requests of further pairs are not recorded.
const MAX_SERIES: usize = 256;

/// Percentiles of a histogram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Percentiles {
    /// Number of recorded values.
    pub count: u64,
    pub p50_ms: u64,
    pub p95_ms: u64,
    pub p99_ms: u64,
    pub max_ms: u64,
}

/// Percentiles of the request times of one customer and class.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct TimingSummary {
    pub customer: CustomerId,
    pub class: Class,
    /// Time from arrival until the first attempt was sent.
    pub queue: Percentiles,
    /// Time from arrival until the first token.
    pub first_token: Percentiles,
    /// Mean interval between the tokens of a request.
    pub between_tokens: Percentiles,
    /// Time from arrival until the request ended.
    pub total: Percentiles,
}

#[derive(Debug, Default)]
struct Timings {
    queue: Option<Histogram<u32>>,
    first_token: Option<Histogram<u32>>,
    between_tokens: Option<Histogram<u32>>,
    total: Option<Histogram<u32>>,
}

/// Histograms of request times.
#[derive(Debug, Default)]
pub struct TimingTable {
    timings: BTreeMap<(CustomerId, Class), Timings>,
}

impl TimingTable {
    /// Records the times of a request that ended.
    pub fn record(&mut self, record: &RequestRecord) {
        let key = (record.customer.clone(), record.class);
        if self.timings.len() >= MAX_SERIES && !self.timings.contains_key(&key) {
            return;
        }
        let timings = self.timings.entry(key).or_default();
        add(&mut timings.queue, record.queue_ms);
        add(&mut timings.total, record.total_ms);
        let Some(first_token_ms) = record.first_token_ms else {
            return;
        };
        add(&mut timings.first_token, first_token_ms);
        let gaps = record.usage.answer_tokens.get().saturating_sub(1);
        let streamed_ms = record.total_ms.get().saturating_sub(first_token_ms.get());
        if let Some(gap_ms) = streamed_ms.checked_div(gaps) {
            add(&mut timings.between_tokens, DurationMs::new(gap_ms));
        }
    }

    /// Returns percentiles for each customer and class.
    pub fn summaries(&self) -> Vec<TimingSummary> {
        let summary =
            |((customer, class), timings): (&(CustomerId, Class), &Timings)| TimingSummary {
                customer: customer.clone(),
                class: *class,
                queue: percentiles(timings.queue.as_ref()),
                first_token: percentiles(timings.first_token.as_ref()),
                between_tokens: percentiles(timings.between_tokens.as_ref()),
                total: percentiles(timings.total.as_ref()),
            };
        self.timings.iter().map(summary).collect()
    }
}

fn add(histogram: &mut Option<Histogram<u32>>, value_ms: DurationMs) {
    if histogram.is_none() {
        *histogram = Histogram::new_with_bounds(1, MAX_MS, SIGNIFICANT_DIGITS).ok();
    }
    if let Some(histogram) = histogram {
        histogram.saturating_record(value_ms.get());
    }
}

fn percentiles(histogram: Option<&Histogram<u32>>) -> Percentiles {
    let Some(histogram) = histogram else {
        return Percentiles::default();
    };
    Percentiles {
        count: histogram.len(),
        p50_ms: histogram.value_at_quantile(0.50),
        p95_ms: histogram.value_at_quantile(0.95),
        p99_ms: histogram.value_at_quantile(0.99),
        max_ms: histogram.max(),
    }
}
