//! Watches over a caller from its request to the end of its answer.

use hickorydoor::id::CallerId;
use hickorydoor::quantity::ByteCount;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc;

use crate::entry_input::CallerUpdate;

/// Reports that a caller hung up if it is dropped before the answer has ended.
#[derive(Debug)]
pub struct CallerGuard {
    caller: CallerId,
    notes: mpsc::UnboundedSender<CallerUpdate>,
    ended: bool,
    _permit: OwnedSemaphorePermit,
}

impl CallerGuard {
    /// A guard that holds one of the entry's places for open requests.
    pub const fn new(
        caller: CallerId,
        notes: mpsc::UnboundedSender<CallerUpdate>,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        Self { caller, notes, ended: false, _permit: permit }
    }

    /// Reports bytes that the server has taken.
    pub fn read(&self, bytes: usize) {
        let bytes = ByteCount::new(bytes as u64);
        // The channel only closes when the process ends.
        let _ = self.notes.send(CallerUpdate::Read { caller: self.caller, bytes });
    }

    /// The answer has ended.
    pub const fn end(&mut self) {
        self.ended = true;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.notes.send(CallerUpdate::Gone { caller: self.caller });
        }
    }
}
