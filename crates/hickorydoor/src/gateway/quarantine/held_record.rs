//! A record in force at this gateway.

use crate::gateway::quarantine::quarantine_record::QuarantineRecord;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time of the first quarantine, doubled with each further one.
const FIRST_QUARANTINE_MS: u64 = 300_000;
/// Maximum time of a quarantine.
const MAX_QUARANTINE_MS: u64 = 3_600_000;

/// A record in force.
#[derive(Clone, Debug)]
pub(super) struct HeldRecord {
    pub(super) record: QuarantineRecord,
    pub(super) changed_at: TimeMs,
    pub(super) until: TimeMs,
    /// Number of ends on which this gateway decided; `None` if another one did.
    pub(super) decided_on: Option<usize>,
    /// Whether it was read from the store, so that `until` may be too late.
    pub(super) is_from_store: bool,
}

pub(super) fn quarantine_ms(quarantines: u32) -> DurationMs {
    let doubled = FIRST_QUARANTINE_MS << quarantines.saturating_sub(1).min(8);
    DurationMs::new(doubled.min(MAX_QUARANTINE_MS))
}
