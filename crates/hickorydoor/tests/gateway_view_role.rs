//! A few gateways of each data centre watch the store, and every other one finds one to follow.

mod gateway;
mod property;

use hickorydoor::gateway::member::GatewayMember;
use hickorydoor::gateway::view_role::ViewRole;
use hickorydoor::gateway::view_role::view_role;
use hickorydoor::id::HostId;
use proptest::prelude::*;

use crate::gateway::member;

fn role_of(own: &GatewayMember, members: &[GatewayMember]) -> ViewRole {
    view_role(own, &members.iter().collect::<Vec<_>>())
}

fn watchers(members: &[GatewayMember]) -> Vec<&GatewayMember> {
    members.iter().filter(|own| role_of(own, members).is_watcher()).collect()
}

fn fleet() -> impl Strategy<Value = Vec<GatewayMember>> {
    let host = (0_u8..6, 0_usize..4);
    proptest::collection::vec(host, 1..30).prop_map(|hosts| {
        let rates = [10, 20, 100, 200];
        let build = |(index, (data_centre, rate)): (usize, (u8, usize))| {
            member(&format!("gw-{index}"), &format!("dc-{data_centre}"), rates[rate])
        };
        hosts.into_iter().enumerate().map(build).collect()
    })
}

proptest! {
    #![proptest_config(property::config(21, 40))]

    /// The number of watchers depends on the data centres, not on the gateways.
    #[test]
    fn each_data_centre_has_at_most_two_watchers(members in fleet()) {
        for data_centre in members.iter().map(|member| &member.data_centre) {
            let local = members.iter().filter(|member| member.data_centre == *data_centre).count();
            let chosen = watchers(&members);
            let chosen = chosen.iter().filter(|member| member.data_centre == *data_centre).count();
            prop_assert_eq!(chosen, local.min(2));
        }
    }

    /// Guards against a host with a slow link that loads every change for others.
    #[test]
    fn no_host_that_is_not_a_watcher_has_a_faster_link_than_a_local_watcher(members in fleet()) {
        let chosen = watchers(&members);
        for watcher in &chosen {
            for other in &members {
                let is_local = other.data_centre == watcher.data_centre;
                if is_local && !chosen.iter().any(|known| known.host == other.host) {
                    prop_assert!(other.link_rate_kbit_per_s <= watcher.link_rate_kbit_per_s);
                }
            }
        }
    }

    /// A follower prefers the watchers of its data centre, and can try every other gateway.
    #[test]
    fn sources_start_with_local_watchers_and_include_all_others(members in fleet()) {
        let chosen: Vec<HostId> = watchers(&members).iter().map(|known| known.host.clone()).collect();
        for own in &members {
            let role = role_of(own, &members);
            let mut sources = role.sources().to_vec();
            if let (false, Some(first)) = (role.is_watcher(), sources.first()) {
                let first = members.iter().find(|known| known.host == *first).unwrap();
                prop_assert_eq!(&first.data_centre, &own.data_centre);
                prop_assert!(chosen.contains(&first.host));
            }
            sources.sort();
            let mut others: Vec<HostId> = members.iter().map(|known| known.host.clone()).collect();
            others.retain(|host| *host != own.host);
            others.sort();
            prop_assert_eq!(sources, others);
        }
    }
}

/// Guards against two gateways that each expect the other one to watch the store.
#[test]
fn gateway_that_does_not_see_itself_in_the_store_chooses_as_the_others_do() {
    let members = [member("gw-1", "dc-1", 10), member("gw-2", "dc-1", 10)];
    let own = member("gw-3", "dc-1", 200);
    assert!(role_of(&own, &members).is_watcher());
    let alone = member("gw-4", "dc-2", 10);
    assert!(role_of(&alone, &members).is_watcher());
}

/// The followers of a data centre are divided between its watchers.
#[test]
fn followers_are_spread_over_the_watchers() {
    let members: Vec<GatewayMember> =
        (0..40).map(|index| member(&format!("gw-{index}"), "dc-1", 100)).collect();
    let first_source = |own| role_of(own, &members).sources().first().cloned();
    let chosen = watchers(&members);
    for watcher in &chosen {
        let followers =
            members.iter().filter(|own| first_source(own).as_ref() == Some(&watcher.host));
        let count = followers.count();
        assert!((8..=32).contains(&count), "{count} of 38 follow {}", watcher.host);
    }
}
