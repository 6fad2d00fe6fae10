//! Structured logs on standard output, bounded in volume and without blocking.
//!
//! Lines go to a thread through a bounded queue. When the queue is full, or more lines come in a
//! second than the bound, the rest is counted, and the count is logged once there is room.

use std::io;
use std::io::Write;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::writers::LogWriter;
use log::LevelFilter;
use log::Record;

use crate::logging::json_line;

/// Lines that wait to be written.
const MAX_WAITING: usize = 2_048;
/// Lines that are written in a second at most.
const MAX_LINES_PER_S: u32 = 500;

/// Starts the log of a gateway; it ends when the handle is dropped.
///
/// # Errors
/// Fails if the process has a logger already.
pub fn start_log(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    let specification = LogSpecification::builder()
        .module("hickoryd", level)
        .module("hickory_platform", level)
        .build();
    let (lines, queue) = sync_channel::<Vec<u8>>(MAX_WAITING);
    thread::spawn(move || {
        let mut output = io::stdout();
        while let Ok(line) = queue.recv() {
            // Without a reader of the log there is nowhere to report the failure.
            drop(output.write_all(&line).and_then(|()| output.flush()));
        }
    });
    let writer = QueueWriter { lines, budget: Mutex::new(LineBudget::default()) };
    Logger::with(specification).log_to_writer(Box::new(writer)).start()
}

/// How many lines may still be written in this second.
#[derive(Debug, Default)]
struct LineBudget {
    second: Option<Instant>,
    used: u32,
    dropped: u64,
}

impl LineBudget {
    /// Takes a line from the budget; returns the lines dropped before, or `None` if it is used up.
    fn take(&mut self) -> Option<u64> {
        let now = Instant::now();
        let over = |start: Instant| now.duration_since(start) >= Duration::from_secs(1);
        if self.second.is_none_or(over) {
            self.second = Some(now);
            self.used = 0;
        }
        if self.used >= MAX_LINES_PER_S {
            self.dropped += 1;
            return None;
        }
        self.used += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}

struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    budget: Mutex<LineBudget>,
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(dropped) = budget.take() else {
            return Ok(());
        };
        let mut line = Vec::with_capacity(256);
        if dropped > 0 {
            writeln!(
                line,
                "{{\"level\":\"warn\",\"message\":\"log lines dropped\",\"count\":{dropped}}}"
            )?;
        }
        json_line(&mut line, now, record)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            budget.dropped += dropped + 1;
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}
