//! Pace of a stream from its upstream.

use tokio::time::Instant;

/// Number of times between events from which the pace is taken.
const MEASURED_GAPS: usize = 11;
/// Number of times between events that a shorter stream needs for its pace.
const MIN_GAPS: usize = 3;

/// Measures the median time between the first events of a stream.
#[derive(Debug, Default)]
pub struct StreamPace {
    last_event_at: Option<Instant>,
    gaps_us: Vec<u64>,
    is_reported: bool,
}

impl StreamPace {
    /// Notes an event; returns the median once enough events have arrived, in microseconds.
    pub fn add_event(&mut self, now: Instant) -> Option<u64> {
        let previous = self.last_event_at.replace(now);
        if self.is_reported {
            return None;
        }
        let gap = now.duration_since(previous?);
        self.gaps_us.push(gap.as_micros() as u64);
        if self.gaps_us.len() < MEASURED_GAPS { None } else { self.report() }
    }

    /// Returns the median of a stream that has ended, unless it was returned before or there are
    /// too few events.
    pub fn end(&mut self) -> Option<u64> {
        if self.is_reported || self.gaps_us.len() < MIN_GAPS { None } else { self.report() }
    }

    fn report(&mut self) -> Option<u64> {
        self.is_reported = true;
        self.gaps_us.sort_unstable();
        self.gaps_us.get(self.gaps_us.len() / 2).copied()
    }
}
