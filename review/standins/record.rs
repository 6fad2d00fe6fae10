//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("record cannot be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }

    /// A line that is printed too.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.now().as_secs_f64());
        self.line(text);
    }
}
