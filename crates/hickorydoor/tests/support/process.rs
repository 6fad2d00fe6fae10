//! Processes of the simulated fleet.

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

/// An entry or an agent.
#[derive(Debug)]
pub struct Process<T> {
    pub host: HostId,
    /// Start time in virtual time, or 0 while the process is down.
    pub incarnation: u64,
    pub paused_until_ms: u64,
    /// The host list reports the process as leaving.
    pub leaving: bool,
    /// The process has completed its shutdown.
    pub stopped: bool,
    pub state: T,
}

pub fn data_centre(index: usize) -> &'static str {
    if index.is_multiple_of(2) { "arauco" } else { "baigorri" }
}

pub fn new_entry(index: usize, incarnation: u64) -> Process<Entry> {
    let host: HostId = format!("entry-{index}").parse().expect("the id is valid");
    let data_centre = data_centre(index).parse().expect("the id is valid");
    let region = "norte".parse().expect("the id is valid");
    let settings =
        EntrySettings::new(host.clone(), Incarnation::new(incarnation), data_centre, region);
    let state = Entry::new(settings, incarnation + index as u64, TimeMs::new(incarnation));
    Process { host, incarnation, paused_until_ms: 0, leaving: false, stopped: false, state }
}

pub fn new_agent(index: usize, incarnation: u64, setup: Setup) -> Process<Agent> {
    let host: HostId = format!("agent-{index}").parse().expect("the id is valid");
    let offer = if index < setup.engines {
        let versions = vec![
            "small-1".parse().expect("the id is valid"),
            "large-1".parse().expect("the id is valid"),
        ];
        Offer::Engine { versions }
    } else {
        Offer::Service { service: "registry".parse().expect("the id is valid") }
    };
    let mut settings = AgentSettings::new(
        host.clone(),
        format!("upstream-{index}").parse().expect("the id is valid"),
        Incarnation::new(incarnation),
        data_centre(index).parse().expect("the id is valid"),
        "norte".parse().expect("the id is valid"),
        offer,
    );
    settings.warm_token_interval_ms = upstreams::MEAN_TOKEN_INTERVAL;
    let state = Agent::new(settings, TimeMs::new(incarnation));
    Process { host, incarnation, paused_until_ms: 0, leaving: false, stopped: false, state }
}
