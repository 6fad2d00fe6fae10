//! Orders of an agent to its engine.
//!
//! Guards against orders without a lease, orders that are repeated while the engine loads, and
//! unloading a version with attempts in progress.

mod support;

use hickorydoor::AgentEvent;
use hickorydoor::agent::event::UpstreamReport;
use hickorydoor::configuration::item::Item;
use hickorydoor::configuration::model::VersionState;
use hickorydoor::store::keys;

use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule::Fault;

fn report(fleet: &mut Fleet, versions: &[&str]) {
    let versions = versions.iter().map(|version| version.parse().expect("id")).collect();
    let report = UpstreamReport { versions, ..UpstreamReport::default() };
    fleet.apply_to_agent(0, AgentEvent::UpstreamReport(Ok(report)));
}

#[test]
fn assigned_versions_are_loaded_once_under_the_fencing_number() {
    let mut fleet = Fleet::new(Setup::default(), 1);
    fleet.run_for(3_000);
    report(&mut fleet, &["small-1"]);
    fleet.run_for(60_000);
    let key = keys::presence(&"upstream-0".parse().expect("id"));
    let fencing = fleet.kv.pairs[&key].create_revision;
    let orders: Vec<u64> = fleet.orders.iter().map(|(_, _, fencing)| *fencing).collect();
    assert_eq!(orders, [fencing]);
}

#[test]
fn no_order_is_sent_without_the_lease() {
    let mut fleet = Fleet::new(Setup::default(), 1);
    fleet.run_for(3_000);
    fleet.inject(Fault::KvOutage { ms: 400_000 });
    fleet.run_for(300_000);
    report(&mut fleet, &["small-1"]);
    fleet.run_for(10_000);
    assert_eq!(fleet.orders, Vec::new());
    fleet.run_for(200_000);
    assert_eq!(fleet.orders.len(), 1);
}

#[test]
fn a_withdrawn_version_is_unloaded() {
    let mut fleet = Fleet::new(Setup::default(), 1);
    fleet.run_for(3_000);
    report(&mut fleet, &["small-1", "large-1"]);
    fleet.run_for(1_000);
    assert_eq!(fleet.orders, Vec::new());
    let mut model = fleet.model("small");
    model.versions[0].state = VersionState::Withdrawn;
    fleet.put_item(Item::Model(model));
    fleet.run_for(5_000);
    assert_eq!(fleet.orders.len(), 1);
}
