//! Which gateways watch the store, and from whom the others learn its changes.
//!
//! Each call to the store is priced, and a changed configuration is large. So only a few gateways
//! of each data centre watch the store; the others follow one of these over a connection within the
//! data centre. The calls then grow with the data centres and not with the gateways, and a host
//! with a slow link never loads the same changes several times.
//!
//! Hosts with faster links are preferred as watchers, since a watcher forwards what it reads.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::member::GatewayMember;
use crate::id::DataCentreId;
use crate::id::HostId;

/// Number of watchers of each data centre. With a second one, the loss of the first delays changes
/// only until its followers have noticed it.
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Number of followers of each data centre that ask the store first if the watchers fail. The others
/// can then follow these, so that a failure of both watchers does not make all of them ask the store.
const RESERVES_PER_DATA_CENTRE: usize = 2;

/// Place of a gateway among the followers of its data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerPlace {
    /// Number of followers before this one.
    pub position: usize,
    /// Number of followers of the data centre.
    pub followers: usize,
}

impl FollowerPlace {
    /// Returns whether the gateway is the first to ask the store if the watchers fail.
    pub const fn is_reserve(self) -> bool {
        self.position < RESERVES_PER_DATA_CENTRE
    }

    /// Returns the share of the followers that come before this one.
    pub fn share(self) -> f64 {
        self.position as f64 / self.followers.max(1) as f64
    }
}

/// How a gateway learns the changes in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewRole {
    /// It watches the store itself.
    Watcher {
        /// Gateways to follow while the store does not answer this host, in order of preference.
        fallbacks: Vec<HostId>,
    },
    /// It follows one of these gateways, in order of preference.
    Follower {
        /// Watchers and reserves of the own data centre, then the watchers of the others, then all
        /// other gateways.
        sources: Vec<HostId>,
        /// Place among the followers of the data centre.
        place: FollowerPlace,
    },
}

impl ViewRole {
    /// Returns whether the gateway watches the store itself.
    pub const fn is_watcher(&self) -> bool {
        matches!(self, Self::Watcher { .. })
    }

    /// Returns the gateways that this one may follow, in order of preference.
    pub fn sources(&self) -> &[HostId] {
        match self {
            Self::Watcher { fallbacks } => fallbacks,
            Self::Follower { sources, .. } => sources,
        }
    }

    /// Returns the place among the followers of the data centre. A watcher is before all of them.
    pub fn place(&self) -> FollowerPlace {
        match self {
            Self::Watcher { .. } => FollowerPlace::default(),
            Self::Follower { place, .. } => *place,
        }
    }
}

/// Returns the role of the gateway `own`, which need not be among `members`, the live gateways.
pub fn view_role(own: &GatewayMember, members: &[&GatewayMember]) -> ViewRole {
    let mut all: Vec<&GatewayMember> = members.to_vec();
    if !all.iter().any(|member| member.host == own.host) {
        all.push(own);
    }
    all.sort_by_cached_key(|member| {
        (Reverse(member.link_rate_kbit_per_s), xxh3_64(member.host.as_str().as_bytes()))
    });
    let hosts = |data_centre: &Option<DataCentreId>| {
        let local = all.iter().filter(|member| member.data_centre == *data_centre);
        local.map(|member| member.host.clone()).collect::<Vec<HostId>>()
    };
    let watchers = |data_centre: &Option<DataCentreId>| {
        let mut hosts = hosts(data_centre);
        hosts.truncate(WATCHERS_PER_DATA_CENTRE);
        hosts
    };
    let mut local = hosts(&own.data_centre);
    let followers = local.split_off(local.len().min(WATCHERS_PER_DATA_CENTRE));
    let mut reserves = followers.clone();
    reserves.truncate(RESERVES_PER_DATA_CENTRE);
    let mut remote_data_centres: Vec<&Option<DataCentreId>> = Vec::new();
    for member in &all {
        let known = &member.data_centre;
        if *known != own.data_centre && !remote_data_centres.contains(&known) {
            remote_data_centres.push(known);
        }
    }
    let remote: Vec<HostId> = remote_data_centres.into_iter().flat_map(watchers).collect();
    let rest = all.iter().map(|member| member.host.clone());
    let is_listed =
        |host: &HostId| local.contains(host) || reserves.contains(host) || remote.contains(host);
    let rest = rest.filter(|host| !is_listed(host)).collect();
    let place = followers.iter().position(|host| *host == own.host);
    let mut sources = preferred(local, &own.host);
    sources.extend(preferred(reserves, &own.host));
    sources.extend(preferred(remote, &own.host));
    sources.extend(preferred(rest, &own.host));
    match place {
        None => ViewRole::Watcher { fallbacks: sources },
        Some(position) => {
            let place = FollowerPlace { position, followers: followers.len() };
            ViewRole::Follower { sources, place }
        }
    }
}

/// Orders the other hosts by rendezvous hashing, which spreads followers evenly.
fn preferred(mut hosts: Vec<HostId>, own: &HostId) -> Vec<HostId> {
    hosts.retain(|host| host != own);
    hosts.sort_by_cached_key(|host| xxh3_64(format!("{own}/{host}").as_bytes()));
    hosts
}
