//! Processes of the fleet.

use hickorydoor::Agent;
use hickorydoor::AgentSettings;
use hickorydoor::Entry;
use hickorydoor::EntrySettings;
use hickorydoor::TimeMs;
use hickorydoor::id::HostId;
use hickorydoor::id::Incarnation;
use hickorydoor::message::Offer;

use super::fleet::Setup;
use super::upstreams;

/// A process with its incarnation; a incarnation of 0 means that it is down.
#[derive(Debug)]
pub struct Process<T> {
    pub host: HostId,
    pub incarnation: u64,
    pub paused_until: u64,
    pub leaving: bool,
    pub stopped: bool,
    pub state: T,
}

pub fn data_centre(index: usize) -> &'static str {
    if index.is_multiple_of(2) { "arauco" } else { "baigorri" }
}

pub fn new_entry(index: usize, incarnation: u64) -> Process<Entry> {
    let host: HostId = format!("entry-{index}").parse().expect("id");
    let data_centre = data_centre(index).parse().expect("id");
    let region = "norte".parse().expect("id");
    let settings =
        EntrySettings::new(host.clone(), Incarnation::new(incarnation), data_centre, region);
    let state = Entry::new(settings, incarnation + index as u64, TimeMs::new(incarnation));
    Process { host, incarnation, paused_until: 0, leaving: false, stopped: false, state }
}

pub fn new_agent(index: usize, incarnation: u64, setup: Setup) -> Process<Agent> {
    let host: HostId = format!("agent-{index}").parse().expect("id");
    let offer = if index < setup.engines {
        let versions = vec!["small-1".parse().expect("id"), "large-1".parse().expect("id")];
        Offer::Engine { versions }
    } else {
        Offer::Service { service: "registry".parse().expect("id") }
    };
    let mut settings = AgentSettings::new(
        host.clone(),
        format!("upstream-{index}").parse().expect("id"),
        Incarnation::new(incarnation),
        data_centre(index).parse().expect("id"),
        "norte".parse().expect("id"),
        offer,
    );
    settings.warm_token_interval_ms = upstreams::TOKEN_INTERVAL;
    let state = Agent::new(settings, TimeMs::new(incarnation));
    Process { host, incarnation, paused_until: 0, leaving: false, stopped: false, state }
}
