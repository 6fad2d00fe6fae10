//! How many engines may end in a row under a sound part.

/// Share of attempts cut off by the end of an engine that is assumed at least, and before there are
/// observations.
const MIN_CUT_SHARE: f64 = 0.02;
/// Number of attempts that the assumption before any observation counts as.
const PRIOR_ATTEMPTS: f64 = 50.0;
/// Share that is assumed at most; with more, an end says hardly anything about a part.
const MAX_CUT_SHARE: f64 = 0.5;
/// Probability at which a sound part may be quarantined.
const QUARANTINE_CHANCE: f64 = 3e-5;
/// Probability at which a sound part may be suspected.
const SUSPICION_CHANCE: f64 = 1e-3;
/// Minimum number of ends for a quarantine.
const MIN_QUARANTINE_ENDS: usize = 3;
/// Minimum number of ends for a suspicion.
pub(super) const MIN_SUSPICION_ENDS: usize = 2;

/// What attempts without a part, and the earlier ones with it, say about ends by chance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChanceModel {
    /// Recent attempts without the part that the end of an engine cut off.
    pub cut_off: f64,
    /// Recent attempts without the part that survived.
    pub survived: f64,
    /// Recent attempts with the part that survived.
    pub proven: f64,
}

impl ChanceModel {
    /// Returns the number of ends in a row at which a part is quarantined.
    pub fn quarantine_ends(&self) -> usize {
        self.ends_for(QUARANTINE_CHANCE).max(MIN_QUARANTINE_ENDS)
    }

    /// Returns the number of ends in a row at which a part is suspected.
    pub fn suspicion_ends(&self) -> usize {
        self.ends_for(SUSPICION_CHANCE).max(MIN_SUSPICION_ENDS)
    }

    /// Returns the length of a row of ends that a sound part has with this probability. The more
    /// attempts there were with the part, the longer the rows that chance brings.
    fn ends_for(&self, chance: f64) -> usize {
        let cut_off = self.cut_off + MIN_CUT_SHARE * PRIOR_ATTEMPTS;
        let cut_share = cut_off / (self.cut_off + self.survived + PRIOR_ATTEMPTS);
        let cut_share = cut_share.clamp(MIN_CUT_SHARE, MAX_CUT_SHARE);
        let ends = (chance / (1.0 + self.proven)).ln() / cut_share.ln();
        ends.ceil() as usize
    }
}
