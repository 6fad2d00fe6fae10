//! Flow control for the response of an upstream.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

use hickorydoor::quantity::ByteCount;
use tokio::sync::Notify;

/// Response bytes that may still be read from the upstream. Server-sent events are not split, so one
/// event may exceed the window.
#[derive(Debug)]
pub struct FlowControlWindow {
    available_bytes: AtomicI64,
    extended: Notify,
}

impl FlowControlWindow {
    pub fn new(bytes: ByteCount) -> Self {
        Self { available_bytes: AtomicI64::new(to_signed(bytes.get())), extended: Notify::new() }
    }

    /// Allows `bytes` more to be read.
    pub fn extend(&self, bytes: ByteCount) {
        self.available_bytes.fetch_add(to_signed(bytes.get()), Ordering::AcqRel);
        self.extended.notify_one();
    }

    /// Deducts bytes that were read.
    pub fn consume(&self, bytes: usize) {
        self.available_bytes.fetch_sub(to_signed(bytes as u64), Ordering::AcqRel);
    }

    /// Returns the bytes that may be read, zero if the window is used up or exceeded.
    pub fn available_bytes(&self) -> usize {
        usize::try_from(self.available_bytes.load(Ordering::Acquire)).unwrap_or(0)
    }

    /// Waits until at least one byte may be read.
    pub async fn wait_available(&self) {
        while self.available_bytes() == 0 {
            self.extended.notified().await;
        }
    }
}

/// Converts a size, capped at one that no response reaches, so that sums cannot overflow.
fn to_signed(bytes: u64) -> i64 {
    bytes.min(1 << 40).cast_signed()
}
