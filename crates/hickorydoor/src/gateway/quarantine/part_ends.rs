//! Ends of engines under one part.

use std::collections::HashSet;

use crate::gateway::quarantine::merged_end::MergedEnd;
use crate::gateway::quarantine::part_id::PartId;
use crate::gateway::quarantine::part_key::PartKey;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Ends closer together than this count once: engines also end together, with their host.
const JOINT_END_MS: DurationMs = DurationMs::new(50);

/// Ends of engines under one part since it was last proven sound.
#[derive(Clone, Debug, Default)]
pub(super) struct PartEnds {
    /// Positions in the list of merged ends, in order.
    pub(super) indices: Vec<usize>,
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

/// Returns the lists of ends that parts have, each once with its service. Parts of a long prompt often
/// have the same.
pub(super) fn distinct_ends(by_part: &[(PartKey, PartEnds)]) -> Vec<(&ServiceName, &[usize])> {
    let lists = by_part.iter().map(|(key, ends)| (&key.service, &*ends.indices));
    let distinct: HashSet<(&ServiceName, &[usize])> = lists.collect();
    distinct.into_iter().collect()
}

/// Returns whether another part was present at all ends of this one and at others too, so that it
/// is the better explanation.
pub(super) fn is_dominated(
    key: &PartKey,
    ends: &PartEnds,
    distinct: &[(&ServiceName, &[usize])],
) -> bool {
    distinct.iter().any(|(service, known)| {
        known.len() > ends.indices.len()
            && **service == key.service
            && ends.indices.iter().all(|index| known.binary_search(index).is_ok())
    })
}

/// Groups positions of ends by the parts that may have caused them, in the order of the parts.
/// `blamed` lists them as the service, the part, and the position with the time of the end.
pub(super) fn group_by_part(
    mut blamed: Vec<(&ServiceName, PartId, usize, TimeMs)>,
) -> Vec<(PartKey, PartEnds)> {
    let mut services: Vec<&ServiceName> = blamed.iter().map(|(service, ..)| *service).collect();
    services.dedup();
    services.sort_unstable();
    services.dedup();
    // Names are compared once, and not for each pair of entries.
    let rank = |service: &ServiceName| services.partition_point(|known| *known < service);
    let mut entries: Vec<(usize, PartId, usize, TimeMs)> = Vec::with_capacity(blamed.len());
    let mut last: Option<(&ServiceName, usize)> = None;
    for (service, part, index, at) in blamed.drain(..) {
        let rank = match last {
            Some((known, rank)) if std::ptr::eq(known, service) => rank,
            _ => rank(service),
        };
        last = Some((service, rank));
        entries.push((rank, part, index, at));
    }
    entries.sort_unstable();
    let mut groups: Vec<(PartKey, PartEnds)> = Vec::new();
    for group in entries.chunk_by(|one, next| (one.0, one.1) == (next.0, next.1)) {
        let (rank, part, ..) = group[0];
        let ends = PartEnds {
            indices: group.iter().map(|(_, _, index, _)| *index).collect(),
            times: group.iter().map(|(.., at)| *at).collect(),
        };
        groups.push((PartKey { service: services[rank].clone(), part }, ends));
    }
    groups
}

pub(super) fn engines_of(ends: &PartEnds, merged: &[MergedEnd]) -> Vec<UpstreamId> {
    ends.indices.iter().map(|index| merged[*index].upstream.clone()).collect()
}
