//! Hosts, settings and configuration of a simulated deployment.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use hickorydoor::AgentSettings;
use hickorydoor::Configuration;
use hickorydoor::DurationMs;
use hickorydoor::EntrySettings;
use hickorydoor::KeyDigest;
use hickorydoor::configuration::cascade::Cascade;
use hickorydoor::configuration::change::Operation;
use hickorydoor::configuration::customer::Customer;
use hickorydoor::configuration::customer::CustomerLimits;
use hickorydoor::configuration::data_centre::DataCentre;
use hickorydoor::configuration::item::Item;
use hickorydoor::configuration::model::Model;
use hickorydoor::configuration::model::Version;
use hickorydoor::configuration::model::VersionState;
use hickorydoor::entry::placement::rule::PlacementRule;
use hickorydoor::host_record::HostRecord;
use hickorydoor::host_record::HostRole;
use hickorydoor::host_record::HostState;
use hickorydoor::id::DataCentreId;
use hickorydoor::id::HostId;
use hickorydoor::id::Incarnation;
use hickorydoor::id::RegionId;
use hickorydoor::id::Revision;
use hickorydoor::id::SessionId;
use hickorydoor::id::VersionId;
use hickorydoor::message::Offer;
use hickorydoor::quantity::CostMicros;
use hickorydoor::quantity::Share;

use crate::deployment::Deployment;
use crate::engine;

/// A combination of placement and admission that is compared with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    pub name: &'static str,
    pub placement: PlacementRule,
    /// Agents start at the cold limit and raise it as their engine warms up. Otherwise they admit up
    /// to the warm limit from the start.
    pub ramp: bool,
}

/// The default policy and its alternatives. Those without a ramp have fixed admission limits, like a
/// load balancer without agents.
pub const POLICIES: [Policy; 5] = [
    Policy { name: "expected-time", placement: PlacementRule::ExpectedTime, ramp: true },
    Policy { name: "two-choices", placement: PlacementRule::TwoChoices, ramp: true },
    Policy { name: "random", placement: PlacementRule::Random, ramp: false },
    Policy { name: "round-robin", placement: PlacementRule::RoundRobin, ramp: false },
    Policy { name: "least-requests", placement: PlacementRule::LeastRequests, ramp: false },
];

const REGION: &str = "region";

pub fn entry_host(index: usize) -> HostId {
    id(&format!("entry-{index}"))
}

pub fn agent_host(index: usize) -> HostId {
    id(&format!("agent-{index}"))
}

pub fn session_id(index: usize) -> SessionId {
    id(&format!("session-{index}"))
}

pub fn customer_key(index: usize) -> KeyDigest {
    KeyDigest::of_key(&format!("key-{index}"))
}

/// Returns the version that an engine serves. Half of the engines of each data centre serve the large
/// model.
pub fn version_of(deployment: &Deployment, index: usize) -> VersionId {
    let large = index / deployment.data_centres % 2 == 1;
    id(if large { "large-1" } else { "small-1" })
}

fn data_centre(index: usize) -> DataCentreId {
    id(&format!("dc-{index}"))
}

fn id<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    let Ok(id) = T::try_from(text) else {
        panic!("{text:?} is not a valid id");
    };
    id
}

pub fn entry_settings(deployment: &Deployment, index: usize, policy: Policy) -> EntrySettings {
    let local = data_centre(index % deployment.data_centres);
    let mut settings =
        EntrySettings::new(entry_host(index), Incarnation::new(1), local, id(REGION));
    settings.placement = policy.placement;
    settings
}

pub fn agent_settings(deployment: &Deployment, index: usize, policy: Policy) -> AgentSettings {
    let mut settings = AgentSettings::new(
        agent_host(index),
        id(&format!("engine-{index}")),
        Incarnation::new(1),
        data_centre(index % deployment.data_centres),
        id::<RegionId>(REGION),
        Offer::Engine { versions: vec![version_of(deployment, index)] },
    );
    settings.report_interval_ms = DurationMs::new(deployment.report_interval_ms);
    settings.warm_limit = engine::MAX_BATCH as u32;
    settings.warm_token_interval_ms = DurationMs::new(20);
    settings.cold_limit = if policy.ramp { engine::COLD_BATCH as u32 } else { settings.warm_limit };
    settings
}

pub fn host_records(deployment: &Deployment) -> Vec<HostRecord> {
    (0..deployment.engines)
        .map(|index| HostRecord {
            host: agent_host(index),
            role: HostRole::Agent,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            data_centre: data_centre(index % deployment.data_centres),
            region: id(REGION),
            state: HostState::Live,
        })
        .collect()
}

pub fn configuration(deployment: &Deployment) -> Configuration {
    let mut items = vec![model("small", 100, 400), model("large", 500, 2_000)];
    items.push(Item::Cascade(Cascade {
        id: id("auto"),
        steps: vec![id("small"), id("large")],
        release_score: 0.7,
    }));
    for index in 0..deployment.data_centres {
        items.push(Item::DataCentre(DataCentre {
            id: data_centre(index),
            region: id(REGION),
            out: false,
        }));
    }
    items.extend((0..deployment.customers).map(customer));
    Configuration::from_items(Revision::new(1), items).expect("the configuration is consistent")
}

fn model(name: &str, prompt_cost: u64, answer_cost: u64) -> Item {
    Item::Model(Model {
        id: id(name),
        prompt_cost_micros_per_1k_tokens: CostMicros::new(prompt_cost),
        answer_cost_micros_per_1k_tokens: CostMicros::new(answer_cost),
        versions: vec![Version {
            id: id(&format!("{name}-1")),
            state: VersionState::Active,
            canary_share: Share::ZERO,
        }],
    })
}

fn customer(index: usize) -> Item {
    Item::Customer(Customer {
        id: id(&format!("customer-{index}")),
        key_digests: vec![customer_key(index)],
        models: vec![id("small"), id("large")],
        versions: Vec::new(),
        cascades: vec![id("auto")],
        services: Vec::new(),
        limits: CustomerLimits::default(),
        weight: 1,
    })
}

/// Takes a data centre out of service or back in, and increments the revision.
pub fn set_data_centre_out(configuration: &mut Configuration, index: usize, out: bool) {
    let item = Item::DataCentre(DataCentre { id: data_centre(index), region: id(REGION), out });
    configuration.apply_operations(&[Operation::Put(item)]).expect("the data centre is known");
    configuration.revision = configuration.revision.next();
}
