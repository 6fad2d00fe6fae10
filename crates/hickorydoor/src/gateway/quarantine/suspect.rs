//! A suspected part, and when requests with it are tried.

use crate::time::DurationMs;
use crate::time::TimeMs;

/// Time from an end to the first trial, and length of the slots in which gateways may begin one by
/// turns.
pub(super) const TRIAL_SLOT_MS: u64 = 200;
/// Ends under a part after which its trials are spaced out, until there is enough evidence.
pub(super) const SPACED_AFTER_ENDS: usize = 3;
/// Additional time before the next trial then, doubled with each further end.
const FIRST_SPACING_MS: u64 = 1_000;
/// Maximum additional time.
const MAX_SPACING_MS: u64 = 8_000;

/// A suspected part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Suspect {
    pub(super) last_end_at: TimeMs,
    pub(super) ends: usize,
    /// Since when this number of ends is known.
    pub(super) known_since: TimeMs,
}

impl Suspect {
    /// Returns when trials may begin.
    pub(super) fn trials_from(&self) -> TimeMs {
        let further = self.ends.checked_sub(SPACED_AFTER_ENDS);
        let spacing_ms =
            further.map_or(0, |further| (FIRST_SPACING_MS << further.min(8)).min(MAX_SPACING_MS));
        self.last_end_at + DurationMs::new(TRIAL_SLOT_MS + spacing_ms)
    }
}
