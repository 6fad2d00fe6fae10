//! How many bytes of an answer may be read from the upstream.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

use hickorydoor::quantity::ByteCount;
use tokio::sync::Notify;

/// Bytes that may still be read. One event may overdraw it, since events are not split.
#[derive(Debug)]
pub struct FlowControlWindow {
    left_bytes: AtomicI64,
    raised: Notify,
}

impl FlowControlWindow {
    /// An allowance of `bytes`.
    pub fn new(bytes: ByteCount) -> Self {
        Self { left_bytes: AtomicI64::new(signed(bytes.get())), raised: Notify::new() }
    }

    /// Allows more bytes.
    pub fn raise(&self, bytes: ByteCount) {
        self.left_bytes.fetch_add(signed(bytes.get()), Ordering::AcqRel);
        self.raised.notify_one();
    }

    /// Takes `bytes` off.
    pub fn spend(&self, bytes: usize) {
        self.left_bytes.fetch_sub(signed(bytes as u64), Ordering::AcqRel);
    }

    /// Bytes left; zero if overdrawn.
    pub fn left_bytes(&self) -> usize {
        usize::try_from(self.left_bytes.load(Ordering::Acquire)).unwrap_or(0)
    }

    /// Waits until at least one byte is allowed.
    pub async fn wait(&self) {
        while self.left_bytes() == 0 {
            self.raised.notified().await;
        }
    }
}

/// Caps at a size that no answer reaches, so that sums cannot overflow.
fn signed(bytes: u64) -> i64 {
    bytes.min(1 << 40).cast_signed()
}
