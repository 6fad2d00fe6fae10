//! Structured logs, rate-limited and non-blocking.
//!
//! A thread writes the lines that it receives through a bounded queue, so that a reader of the log
//! that is slow, blocked or gone delays and ends nothing else. When the queue is full or the rate
//! limit is reached, further lines are dropped. The next line that is written is preceded by their
//! count. At the end of the process, what is queued is written first.

use std::io;
use std::io::Write;
use std::sync::Mutex;
use std::sync::MutexGuard;
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

/// Maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 2_048;
/// Maximum number of lines written in a second.
const MAX_LINES_PER_S: u32 = 500;
/// Maximum time that the end of the process waits for queued lines to be written.
const MAX_SHUTDOWN_WAIT: Duration = Duration::from_millis(200);

/// Installs the logger of the process, which writes to `output`; it is shut down when the handle is
/// dropped.
///
/// # Errors
/// Fails if the process already has a logger.
pub fn start<W: Write + Send + 'static>(
    specification: LogSpecification,
    mut output: W,
) -> Result<LoggerHandle, FlexiLoggerError> {
    let (lines, queue) = sync_channel::<QueuedItem>(MAX_QUEUED_LINES);
    thread::spawn(move || {
        while let Ok(item) = queue.recv() {
            match item {
                // A failure to write the log cannot be logged.
                QueuedItem::Line(line) => {
                    drop(output.write_all(&line).and_then(|()| output.flush()));
                }
                // Dropping the sender tells that all lines before it are written.
                QueuedItem::Flush(written) => drop(written),
            }
        }
    });
    let writer = QueueWriter { lines, rate_limit: Mutex::new(LineRateLimit::default()) };
    Logger::with(specification).log_to_writer(Box::new(writer)).start()
}

/// What the writing thread receives.
#[derive(Debug)]
enum QueuedItem {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Rate limit on lines, counted in windows of one second.
#[derive(Debug, Default)]
struct LineRateLimit {
    window_start: Option<Instant>,
    written: u32,
    dropped: u64,
}

impl LineRateLimit {
    /// Counts a line. Returns the number of lines dropped since the previous one, or `None` if this
    /// line must be dropped too.
    fn try_acquire(&mut self) -> Option<u64> {
        let now = Instant::now();
        let is_elapsed = |start: Instant| now.duration_since(start) >= Duration::from_secs(1);
        if self.window_start.is_none_or(is_elapsed) {
            self.window_start = Some(now);
            self.written = 0;
        }
        if self.written >= MAX_LINES_PER_S {
            self.dropped += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}

struct QueueWriter {
    lines: SyncSender<QueuedItem>,
    rate_limit: Mutex<LineRateLimit>,
}

impl QueueWriter {
    fn rate_limit(&self) -> MutexGuard<'_, LineRateLimit> {
        self.rate_limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let Some(dropped) = self.rate_limit().try_acquire() else {
            return Ok(());
        };
        // Not under the lock: a panic while a value is formatted is logged, too.
        let mut line = Vec::with_capacity(256);
        if dropped > 0 {
            writeln!(
                line,
                "{{\"level\":\"warn\",\"message\":\"log lines dropped\",\"count\":{dropped}}}"
            )?;
        }
        json_line(&mut line, now, record)?;
        line.push(b'\n');
        if self.lines.try_send(QueuedItem::Line(line)).is_err() {
            self.rate_limit().dropped += dropped + 1;
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn shutdown(&self) {
        let (sender, written) = sync_channel(1);
        if self.lines.try_send(QueuedItem::Flush(sender)).is_ok() {
            // Either all lines are written, or the reader of the output is too slow.
            let _ = written.recv_timeout(MAX_SHUTDOWN_WAIT);
        }
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}
