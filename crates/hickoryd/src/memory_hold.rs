//! What one holder has of a memory pool.

use std::time::Duration;

use bytes::Bytes;
use hickorydoor::memory::HolderId;
use hickorydoor::quantity::ByteCount;

use crate::memory_pool::MemoryPool;

/// Memory of a pool; it is given back when this is dropped.
#[derive(Debug)]
pub struct MemoryHold {
    pool: MemoryPool,
    id: HolderId,
    /// Whether the holder has to give way if it makes no progress.
    is_paced: bool,
}

impl MemoryHold {
    pub(crate) const fn new(pool: MemoryPool, id: HolderId) -> Self {
        Self { pool, id, is_paced: false }
    }

    /// Has the holder give way if it makes no progress while others wait.
    #[must_use]
    pub const fn paced(mut self) -> Self {
        self.is_paced = true;
        self
    }

    /// Takes more bytes, waiting for them at most for `within`. Returns whether they were granted.
    /// If the future is dropped while it waits, the hold must be dropped, too.
    pub async fn take(&mut self, bytes: usize, within: Duration) -> bool {
        match self.pool.ask(self.id, ByteCount::new(bytes as u64), within) {
            None => true,
            Some(answer) => answer.await.unwrap_or(false),
        }
    }

    /// Gives a part of the bytes back.
    pub fn give_back(&mut self, bytes: usize) {
        self.pool.change(|budget, _now| budget.release(self.id, ByteCount::new(bytes as u64)));
    }

    /// Records that bytes were moved, and that more are to follow.
    pub fn progress(&self) {
        if !self.is_paced {
            return;
        }
        self.pool.change(|budget, now| budget.progress(self.id, now));
    }

    /// Records that the next progress is not up to the holder.
    pub fn rest(&self) {
        if !self.is_paced {
            return;
        }
        self.pool.change(|budget, _now| budget.rest(self.id));
    }

    /// Waits until the memory is to be given up.
    pub async fn evicted(&self) {
        if !self.is_paced {
            return std::future::pending().await;
        }
        self.pool.evicted(self.id).await;
    }

    /// Returns the bytes with this hold, which ends with the last of their clones.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes, _hold: self })
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.pool.remove(self.id);
    }
}

/// Bytes with the memory that they take.
#[derive(Debug)]
struct HeldBytes {
    bytes: Bytes,
    _hold: MemoryHold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
