//! Choice of the agents that an entry links to.
//!
//! An entry links to a bounded subset: agents of its data centre first, then of its region, then
//! others, each ranked by rendezvous hashing of both names. Every entry ranks for itself, so the
//! agents are covered evenly, and a changed list moves few links.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::entry::settings::EntrySettings;
use crate::host_record::HostRecord;
use crate::host_record::HostRole;
use crate::host_record::HostState;
use crate::id::HostId;
use crate::time::DurationMs;

/// One link in this many is kept for agents that serve what no other linked agent serves.
const SPARE_SHARE: usize = 16;
/// Bytes of a heartbeat or load report with its share of packet headers.
const BEAT_BYTES: u64 = 56;
/// Bytes a second in each direction that heartbeats of all links may take.
const BEAT_BYTES_PER_S: u64 = 3_600;

/// The agents that an entry links to.
#[derive(Clone, Debug, Default)]
pub struct LinkPlan {
    chosen: BTreeSet<HostId>,
    explored: usize,
}

impl LinkPlan {
    /// Chooses from the platform's list. `useful` are linked agents that serve what no other does;
    /// while `is_lacking`, the spare links go to other agents with each list.
    pub fn choose(
        &mut self,
        settings: &EntrySettings,
        records: &[HostRecord],
        useful: &BTreeSet<HostId>,
        is_lacking: bool,
    ) {
        let live = records
            .iter()
            .filter(|record| record.role == HostRole::Agent && record.state == HostState::Live);
        let mut ranked: Vec<((u8, u64), &HostId)> =
            live.map(|record| (rank(settings, record), &record.host)).collect();
        ranked.sort_unstable();
        let max_links = settings.max_links;
        if ranked.len() <= max_links {
            self.chosen = ranked.into_iter().map(|(_, host)| host.clone()).collect();
            return;
        }
        let spare = max_links / SPARE_SHARE;
        let rest = ranked.split_off(max_links - spare);
        self.chosen = ranked.into_iter().map(|(_, host)| host.clone()).collect();
        if is_lacking {
            self.explored += spare;
        }
        let kept = rest.iter().filter(|(_, host)| useful.contains(*host));
        let window = rest.iter().cycle().skip(self.explored % rest.len()).take(rest.len());
        for (_, host) in kept.chain(window) {
            if self.chosen.len() >= max_links {
                break;
            }
            self.chosen.insert((*host).clone());
        }
    }

    /// Whether the entry links to this agent.
    pub fn contains(&self, agent: &HostId) -> bool {
        self.chosen.contains(agent)
    }

    /// Number of chosen agents.
    pub fn len(&self) -> usize {
        self.chosen.len()
    }

    /// Whether no agent is chosen.
    pub fn is_empty(&self) -> bool {
        self.chosen.is_empty()
    }

    /// Time between two heartbeats on each link, stretched so that all links together stay within
    /// their bytes a second.
    pub fn heartbeat_interval_ms(&self, shortest_ms: DurationMs) -> DurationMs {
        let bytes = self.chosen.len() as u64 * BEAT_BYTES;
        DurationMs::new(bytes * 1000 / BEAT_BYTES_PER_S).max(shortest_ms)
    }
}

/// Lower ranks are linked first.
fn rank(settings: &EntrySettings, record: &HostRecord) -> (u8, u64) {
    let tier = if record.data_centre == settings.data_centre {
        0
    } else if record.region == settings.region {
        1
    } else {
        2
    };
    let seed = xxh3_64_with_seed(settings.host.as_str().as_bytes(), 0);
    (tier, xxh3_64_with_seed(record.host.as_str().as_bytes(), seed))
}
