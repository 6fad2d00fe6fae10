//! Record of what was sent, answered and run, and the common clock of a case.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Shared handle of the record.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { started_at: Instant::now(), file })
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Writes a line with the current time.
    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes()).expect("the record can be written");
    }

    /// Writes a line that is also shown to the person who runs the case.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
        self.flush();
    }

    pub fn flush(&self) {
        self.file.lock().unwrap().flush().expect("the record can be written");
    }

    /// Sleeps until a time since the start of the case.
    pub fn sleep_until(&self, at_ms: u64) {
        let left = Duration::from_millis(at_ms).saturating_sub(self.started_at.elapsed());
        std::thread::sleep(left);
    }
}
