//! Selection of the agents that an entry connects to.
//!
//! An entry keeps links to a bounded subset of the agents: those of its data centre first, then
//! those of its region, then all others. Within each group, agents are ranked by rendezvous hashing
//! of the names of entry and agent. Each entry therefore has its own ranking, which spreads the
//! links evenly over the agents, and a changed host list moves few links.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::entry::settings::EntrySettings;
use crate::host_record::HostRecord;
use crate::host_record::HostRole;
use crate::host_record::HostState;
use crate::id::HostId;
use crate::time::DurationMs;

/// One link in this many is reserved for agents that serve a version or service that no other
/// connected agent serves.
const LINKS_PER_SPARE_LINK: usize = 16;
/// Size of a heartbeat or load report, including its share of the packet headers.
const HEARTBEAT_BYTES: u64 = 56;
/// Bandwidth limit for the heartbeats of all links together, in each direction.
const HEARTBEAT_LIMIT_BYTES_PER_S: u64 = 3_600;

/// The set of agents that an entry keeps links to.
#[derive(Clone, Debug, Default)]
pub struct LinkPlan {
    selected: BTreeSet<HostId>,
    rotation_offset: usize,
}

impl LinkPlan {
    /// Selects agents from the platform's host list. The spare links go to `sole_servers` first,
    /// the connected agents that alone serve a version or service. While `has_unserved` is set, a
    /// version or service has no connected agent, and the other spare links move on to further
    /// agents with each list.
    pub fn choose(
        &mut self,
        settings: &EntrySettings,
        records: &[HostRecord],
        sole_servers: &BTreeSet<HostId>,
        has_unserved: bool,
    ) {
        let live = records
            .iter()
            .filter(|record| record.role == HostRole::Agent && record.state == HostState::Live);
        let mut ranked: Vec<((u8, u64), &HostId)> =
            live.map(|record| (rank(settings, record), &record.host)).collect();
        ranked.sort_unstable();
        let max_links = settings.max_links;
        if ranked.len() <= max_links {
            self.selected = ranked.into_iter().map(|(_, host)| host.clone()).collect();
            return;
        }
        let spare = max_links / LINKS_PER_SPARE_LINK;
        let remaining = ranked.split_off(max_links - spare);
        self.selected = ranked.into_iter().map(|(_, host)| host.clone()).collect();
        if has_unserved {
            self.rotation_offset += spare;
        }
        let kept = remaining.iter().filter(|(_, host)| sole_servers.contains(*host));
        let rotated = remaining
            .iter()
            .cycle()
            .skip(self.rotation_offset % remaining.len())
            .take(remaining.len());
        for (_, host) in kept.chain(rotated) {
            if self.selected.len() >= max_links {
                break;
            }
            self.selected.insert((*host).clone());
        }
    }

    /// Whether this agent is part of the plan.
    pub fn contains(&self, agent: &HostId) -> bool {
        self.selected.contains(agent)
    }

    /// Number of agents in the plan; at most the configured maximum of links.
    pub fn len(&self) -> usize {
        self.selected.len()
    }

    /// Whether the plan holds no agents, as before the first host list.
    pub fn is_empty(&self) -> bool {
        self.selected.is_empty()
    }

    /// Time between two heartbeats on each link: `min_interval_ms`, or longer if the heartbeats of
    /// all links would otherwise exceed their bandwidth limit.
    pub fn heartbeat_interval_ms(&self, min_interval_ms: DurationMs) -> DurationMs {
        let bytes = self.selected.len() as u64 * HEARTBEAT_BYTES;
        DurationMs::new(bytes * 1000 / HEARTBEAT_LIMIT_BYTES_PER_S).max(min_interval_ms)
    }
}

/// Sort key of an agent: distance tier, then hash. Agents with lower keys are selected first.
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
