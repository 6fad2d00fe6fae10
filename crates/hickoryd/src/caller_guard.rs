//! Detection of callers that disconnect before their response is complete.

use hickorydoor::id::CallerId;
use hickorydoor::quantity::ByteCount;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc;

use crate::entry_input::CallerUpdate;

/// Reports the caller as disconnected if dropped before [`Self::disarm`] is called.
#[derive(Debug)]
pub struct CallerGuard {
    caller: CallerId,
    updates: mpsc::UnboundedSender<CallerUpdate>,
    disarmed: bool,
    _permit: OwnedSemaphorePermit,
}

impl CallerGuard {
    /// Creates a guard that holds one of the permits for open requests of the entry.
    pub const fn new(
        caller: CallerId,
        updates: mpsc::UnboundedSender<CallerUpdate>,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        Self { caller, updates, disarmed: false, _permit: permit }
    }

    /// Reports response bytes that the server has read.
    pub fn report_read(&self, bytes: usize) {
        let bytes = ByteCount::new(bytes as u64);
        // The channel only closes when the process ends.
        let _ = self.updates.send(CallerUpdate::Read { caller: self.caller, bytes });
    }

    /// Marks the response as ended, so that dropping the guard reports nothing.
    pub const fn disarm(&mut self) {
        self.disarmed = true;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.disarmed {
            let _ = self.updates.send(CallerUpdate::Disconnected { caller: self.caller });
        }
    }
}
