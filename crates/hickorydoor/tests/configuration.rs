//! Propagation of the configuration through the fleet.
//!
//! Guards against a revision that decreases, a change that does not reach a live process, and work
//! for withdrawn versions or data centres that are taken out.

mod support;

use hickorydoor::configuration::data_centre::DataCentre;
use hickorydoor::configuration::item::Item;
use hickorydoor::configuration::model::VersionState;
use proptest::prelude::any;
use proptest::prelude::proptest;

use crate::support::fleet::Fleet;
use crate::support::fleet::Setup;
use crate::support::schedule;
use crate::support::schedule::Fault;

fn steady_fleet() -> Fleet {
    let setup = Setup {
        entries: 6,
        upstream_fault_probability: 0.0,
        duplicate_probability: 0.0,
        ..Setup::default()
    };
    let mut fleet = Fleet::new(setup, 1);
    fleet.run_for(10_000);
    fleet
}

fn set_data_centre_out(fleet: &mut Fleet, out: bool) {
    fleet.put_item(Item::DataCentre(DataCentre {
        id: "arauco".parse().expect("id"),
        region: "norte".parse().expect("id"),
        out,
    }));
}

/// Hosts of the running processes whose configuration is older than the newest revision.
fn lagging(fleet: &Fleet) -> Vec<String> {
    let entries = fleet.entries.iter().filter(|entry| entry.incarnation != 0 && !entry.stopped);
    let entries = entries.map(|entry| (entry.host.to_string(), entry.state.revision()));
    let agents = fleet.agents.iter().filter(|agent| agent.incarnation != 0 && !agent.stopped);
    let agents = agents.map(|agent| (agent.host.to_string(), agent.state.revision()));
    let behind = entries.chain(agents).filter(|(_, revision)| revision.get() < fleet.revision);
    behind.map(|(host, _)| host).collect()
}

#[test]
fn two_entries_of_each_data_centre_watch_the_configuration() {
    let mut fleet = steady_fleet();
    assert_eq!(fleet.watch_count(), 4);
    // Another entry replaces a watcher that is listed as leaving.
    let watchers = fleet.watchers();
    fleet.entries[watchers[0]].leaving = true;
    fleet.run_for(5_000);
    assert_eq!(fleet.watch_count(), 4);
    assert_ne!(fleet.watchers(), watchers);
}

#[test]
fn a_change_reaches_every_process_within_three_seconds() {
    let mut fleet = steady_fleet();
    for round in 0..10 {
        set_data_centre_out(&mut fleet, round % 2 == 0);
        fleet.run_for(3_000);
        assert_eq!(lagging(&fleet), Vec::<String>::new());
    }
}

#[test]
fn a_change_arrives_while_both_watchers_of_a_data_centre_are_paused() {
    let mut fleet = steady_fleet();
    for entry in fleet.watchers() {
        fleet.inject(Fault::PauseEntry { entry, ms: 120_000 });
    }
    set_data_centre_out(&mut fleet, true);
    fleet.run_for(60_000);
    let paused = 4;
    assert!(lagging(&fleet).len() <= paused, "{:?}", lagging(&fleet));
}

#[test]
fn a_process_that_starts_without_the_store_pulls_from_peers() {
    let mut fleet = steady_fleet();
    fleet.inject(Fault::KvOutage { ms: 60_000 });
    fleet.inject(Fault::CrashEntry { entry: 0, down_ms: 500 });
    fleet.inject(Fault::CrashAgent { agent: 0, down_ms: 500 });
    fleet.run_for(8_000);
    assert_eq!(lagging(&fleet), Vec::<String>::new());
}

#[test]
fn a_peer_that_lags_far_behind_gets_a_snapshot() {
    let mut fleet = steady_fleet();
    for agent in 0..fleet.agents.len() {
        fleet.inject(Fault::PauseAgent { agent, ms: 20_000 });
    }
    for round in 0..400 {
        set_data_centre_out(&mut fleet, round % 2 == 0);
        fleet.run_for(20);
    }
    fleet.run_for(20_000);
    assert_eq!(lagging(&fleet), Vec::<String>::new());
}

proptest! {
    #![proptest_config(schedule::config(8))]

    #[test]
    fn withdrawn_versions_and_data_centres_get_no_work(
        seed in any::<u64>(),
        faults in schedule::faults(20_000, 10),
    ) {
        // Store faults are left out: changes do not spread while the store does not answer.
        let is_allowed = |fault: &Fault| {
            !matches!(fault, Fault::KvOutage { .. } | Fault::KvLosesReplies { .. })
        };
        let faults: Vec<_> = faults.into_iter().filter(|(_, fault)| is_allowed(fault)).collect();
        let setup = Setup { duplicate_probability: 0.0, ..Setup::default() };
        let mut fleet = Fleet::new(setup, seed);
        fleet.run_for(5_000);
        fleet.load(20_000, 60, &faults);
        fleet.run_for(5_000);
        set_data_centre_out(&mut fleet, true);
        let mut withdrawn = fleet.model("small");
        withdrawn.versions[0].state = VersionState::Withdrawn;
        let version = withdrawn.versions[0].id.clone();
        fleet.put_item(Item::Model(withdrawn));
        let changed_at_ms = fleet.now_ms;
        fleet.load(10_000, 30, &[]);
        fleet.run_for(330_000);
        assert_eq!(lagging(&fleet), Vec::<String>::new());
        for (at_ms, agent, used) in &fleet.upstream_calls {
            let is_late = *at_ms > changed_at_ms + 3_000;
            assert!(!is_late || used.as_ref() != Some(&version), "withdrawn version at {at_ms}");
            assert!(!is_late || agent % 2 == 1, "agent {agent} is in a data centre that is out");
        }
        fleet.callers.check();
    }

    #[test]
    fn every_live_process_reaches_the_newest_revision(
        seed in any::<u64>(),
        faults in schedule::faults(40_000, 14),
    ) {
        let mut fleet = Fleet::new(Setup::default(), seed);
        fleet.run_for(3_000);
        let mut faults = faults;
        faults.sort_by_key(|(at_ms, _)| *at_ms);
        let mut faults = faults.into_iter().peekable();
        for round in 0..80 {
            while let Some((_, fault)) = faults.next_if(|(at_ms, _)| *at_ms <= round * 500) {
                fleet.inject(fault);
            }
            fleet.restart_stopped();
            set_data_centre_out(&mut fleet, round % 2 == 0);
            fleet.run_for(500);
        }
        // Longer than the longest pause or outage, 285 s, and the longest back-off, 30 s.
        fleet.run_for(330_000);
        fleet.restart_stopped();
        fleet.run_for(10_000);
        assert_eq!(lagging(&fleet), Vec::<String>::new());
    }
}
