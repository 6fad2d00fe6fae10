//! Measurements of one run.

use hdrhistogram::Histogram;

use crate::fault::FAULT_START_S;

const SIGNIFICANT_DIGITS: u8 = 3;
/// The p95 of the time to the first token has recovered once it stays at or below this multiple of
/// its value before the fault, or at or below `TARGET_FIRST_TOKEN_US` if that is higher.
const RECOVERY_FACTOR: f64 = 1.5;
/// Target for the p95 of the time to the first token.
const TARGET_FIRST_TOKEN_US: f64 = 730_000.0;

#[derive(Debug)]
pub struct Report {
    /// Time to the first token of interactive requests to a model.
    pub first_token_us: Histogram<u64>,
    /// Time between two tokens of an answer.
    pub token_interval_us: Histogram<u64>,
    /// Time to the first token by the second in which the request arrived.
    pub first_token_us_by_second: Vec<Histogram<u64>>,
    /// Requests after the warm-up.
    pub arrived: u64,
    /// Requests after the warm-up that also have time to end within the run. Only these are counted in
    /// `served`, `in_time`, `refused`, `lost` and `refused_by_customer`.
    pub measured: u64,
    pub served: u64,
    /// Served requests that met their deadline.
    pub in_time: u64,
    pub refused: u64,
    /// Requests whose answer was aborted.
    pub lost: u64,
    /// Attempts dispatched after the warm-up.
    pub attempts: u64,
    /// Cost billed after the warm-up.
    pub cost_micros: u64,
    /// Requests that an engine accepted above its batch capacity while it was not fully warm.
    pub above_capacity: u64,
    /// Measured and refused requests of each customer.
    pub refused_by_customer: Vec<(u64, u64)>,
}

pub const HEADER: &str = "deployment,fault,policy,asked,served,first_token_p50_ms,first_token_p95_ms,first_token_p99_ms,first_token_max_ms,token_interval_p95_ms,deadlines_met_percent,refused,lost,cost_per_1k_requests,attempts_per_request,above_cold_bound,recovery_s";

impl Report {
    pub fn new(seconds: u64, customers: usize) -> Self {
        let histogram = || Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are supported");
        Self {
            first_token_us: histogram(),
            token_interval_us: histogram(),
            first_token_us_by_second: (0..=seconds).map(|_| histogram()).collect(),
            arrived: 0,
            measured: 0,
            served: 0,
            in_time: 0,
            refused: 0,
            lost: 0,
            attempts: 0,
            cost_micros: 0,
            above_capacity: 0,
            refused_by_customer: vec![(0, 0); customers],
        }
    }

    /// Returns the seconds from `from_s` until the p95 of the time to the first token has recovered.
    fn recovery_s(&self, from_s: u64) -> u64 {
        let mut before: Histogram<u64> =
            Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are supported");
        for second in &self.first_token_us_by_second[10..FAULT_START_S as usize] {
            before.add(second).expect("the histograms resize themselves");
        }
        let threshold_us = before.value_at_quantile(0.95) as f64 * RECOVERY_FACTOR;
        let threshold_us = threshold_us.max(TARGET_FIRST_TOKEN_US);
        // A window of 5 s contains enough requests for a p95 in the small deployments.
        let windows = self.first_token_us_by_second.windows(5).enumerate().skip(from_s as usize);
        let degraded = windows.filter(|(_, window)| {
            let mut sum = window[0].clone();
            window[1..].iter().for_each(|second| sum += second);
            !sum.is_empty() && sum.value_at_quantile(0.95) as f64 > threshold_us
        });
        degraded.map(|(second, _)| second as u64 + 1 - from_s).max().unwrap_or(0)
    }

    /// Formats the measurements in the order of `HEADER`.
    pub fn csv_line(
        &self,
        deployment: &str,
        fault: &str,
        policy: &str,
        recovery_start_s: u64,
    ) -> String {
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        let measured = self.measured.max(1) as f64;
        let arrived = self.arrived.max(1) as f64;
        format!(
            "{deployment},{fault},{policy},{},{},{:.0},{:.0},{:.0},{:.0},{:.1},{:.2},{},{},{:.2},{:.3},{},{}",
            self.measured,
            self.served,
            ms(&self.first_token_us, 0.5),
            ms(&self.first_token_us, 0.95),
            ms(&self.first_token_us, 0.99),
            ms(&self.first_token_us, 1.0),
            ms(&self.token_interval_us, 0.95),
            self.in_time as f64 * 100.0 / measured,
            self.refused,
            self.lost,
            self.cost_micros as f64 / 1e3 / arrived,
            self.attempts as f64 / arrived,
            self.above_capacity,
            self.recovery_s(recovery_start_s),
        )
    }
}

/// Prints comma-separated lines as an aligned table.
pub fn print_table(lines: &[String]) {
    let rows: Vec<Vec<&str>> = lines.iter().map(|line| line.split(',').collect()).collect();
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..rows[0].len()).map(width).collect();
    for row in &rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:>width$}"));
        println!("{}", cells.collect::<Vec<_>>().join(" "));
    }
}
