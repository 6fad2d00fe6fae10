//! Ends of engines under one part.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::gateway::quarantine::end_log::MergedEnd;
use crate::gateway::quarantine::part_key::PartKey;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Ends closer together than this count once: engines also end together, with their host.
const JOINT_END_MS: DurationMs = DurationMs::new(50);

/// Ends of engines under one part since it was last proven sound.
#[derive(Clone, Debug, Default)]
pub(super) struct PartEnds {
    /// Positions in the list of merged ends.
    pub(super) indices: BTreeSet<usize>,
    pub(super) times: Vec<TimeMs>,
}

impl PartEnds {
    pub(super) fn last_at(&self) -> TimeMs {
        self.times.iter().copied().max().unwrap_or_default()
    }
}

/// Returns the number of ends, where those of engines that ended together count once.
pub(super) fn joint_count(times: &[TimeMs]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let mut counted: Option<TimeMs> = None;
    let mut count = 0;
    for at in times {
        if counted.is_none_or(|last| at.since(last) > JOINT_END_MS) {
            counted = Some(at);
            count += 1;
        }
    }
    count
}

/// Returns whether another part was present at all ends of this one and at others too, so that it
/// is the better explanation.
pub(super) fn is_dominated(
    key: &PartKey,
    ends: &PartEnds,
    by_part: &BTreeMap<PartKey, PartEnds>,
) -> bool {
    by_part.iter().any(|(other, known)| {
        other.service == key.service
            && known.indices.len() > ends.indices.len()
            && known.indices.is_superset(&ends.indices)
    })
}

pub(super) fn engines_of(ends: &PartEnds, merged: &[MergedEnd]) -> Vec<UpstreamId> {
    ends.indices.iter().map(|index| merged[*index].upstream.clone()).collect()
}
