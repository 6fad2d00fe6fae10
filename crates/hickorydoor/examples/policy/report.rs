//! Figures of one run.

use hdrhistogram::Histogram;

use crate::fault::FAULT_AT_S;

const DIGITS: u8 = 3;
/// The p95 has recovered once it stays below the goal, or below this multiple of its value before
/// the fault if that is higher.
const RECOVERED: f64 = 1.5;
const GOAL_US: f64 = 730_000.0;

#[derive(Debug)]
pub struct Report {
    pub first_token_us: Histogram<u64>,
    pub interval_us: Histogram<u64>,
    pub by_second: Vec<Histogram<u64>>,
    /// Requests after the warm-up.
    pub arrived: u64,
    /// Requests that also have time to end before the run does; the others are not counted below.
    pub asked: u64,
    pub served: u64,
    pub in_time: u64,
    pub refused: u64,
    pub lost: u64,
    pub attempts: u64,
    pub cost_micros: u64,
    pub bad_version: u64,
    pub above_bound: u64,
    pub refused_by_customer: Vec<(u64, u64)>,
}

pub const HEADER: &str = "deployment,fault,policy,asked,served,first_token_p50_ms,first_token_p95_ms,first_token_p99_ms,first_token_max_ms,token_interval_p95_ms,deadlines_met_percent,refused,lost,cost_per_1k_requests,attempts_per_request,bad_version,above_cold_bound,recovery_s";

impl Report {
    pub fn new(seconds: u64, customers: usize) -> Self {
        let histogram = || Histogram::new(DIGITS).expect("three digits are supported");
        Self {
            first_token_us: histogram(),
            interval_us: histogram(),
            by_second: (0..=seconds).map(|_| histogram()).collect(),
            arrived: 0,
            asked: 0,
            served: 0,
            in_time: 0,
            refused: 0,
            lost: 0,
            attempts: 0,
            cost_micros: 0,
            bad_version: 0,
            above_bound: 0,
            refused_by_customer: vec![(0, 0); customers],
        }
    }

    /// Seconds after `from_s` until the p95 of the first-token time of each second is normal again.
    fn recovery_s(&self, from_s: u64) -> u64 {
        let mut before: Histogram<u64> =
            Histogram::new(DIGITS).expect("three digits are supported");
        for second in &self.by_second[10..FAULT_AT_S as usize] {
            before.add(second).expect("the histograms resize themselves");
        }
        let normal = before.value_at_quantile(0.95) as f64 * RECOVERED;
        let normal = normal.max(GOAL_US);
        // Windows of 5 s hold enough requests for a p95 in the small deployments.
        let windows = self.by_second.windows(5).enumerate().skip(from_s as usize);
        let bad = windows.filter(|(_, window)| {
            let mut sum = window[0].clone();
            window[1..].iter().for_each(|second| sum += second);
            !sum.is_empty() && sum.value_at_quantile(0.95) as f64 > normal
        });
        bad.map(|(second, _)| second as u64 + 1 - from_s).max().unwrap_or(0)
    }

    pub fn line(
        &self,
        deployment: &str,
        fault: &str,
        policy: &str,
        recovery_from_s: u64,
    ) -> String {
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        let asked = self.asked.max(1) as f64;
        let arrived = self.arrived.max(1) as f64;
        format!(
            "{deployment},{fault},{policy},{},{},{:.0},{:.0},{:.0},{:.0},{:.1},{:.2},{},{},{:.2},{:.3},{},{},{}",
            self.asked,
            self.served,
            ms(&self.first_token_us, 0.5),
            ms(&self.first_token_us, 0.95),
            ms(&self.first_token_us, 0.99),
            ms(&self.first_token_us, 1.0),
            ms(&self.interval_us, 0.95),
            self.in_time as f64 * 100.0 / asked,
            self.refused,
            self.lost,
            self.cost_micros as f64 / 1e3 / arrived,
            self.attempts as f64 / arrived,
            self.bad_version,
            self.above_bound,
            self.recovery_s(recovery_from_s),
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
