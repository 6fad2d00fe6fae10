//! Gateways that follow another one learn what it knows, and find another source when it fails.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickoryd::gateway::Core;
use hickoryd::gateway::GatewayOptions;
use hickoryd::gateway::GatewayProcess;
use hickoryd::gateway::HeaderNames;
use hickoryd::gateway::ViewOptions;
use hickoryd::gateway::maintain_view;
use hickorydoor::DurationMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::GatewaySettings;
use hickorydoor::gateway::catalog::CallerLimits;
use hickorydoor::gateway::catalog::Catalog;
use hickorydoor::gateway::member::GatewayMember;
use hickorydoor::gateway::placement::PlacementCosts;
use hickorydoor::gateway::retry_budget::RetryBound;
use hickorydoor::gateway::store_position::StoreEra;
use hickorydoor::gateway::store_position::StorePosition;
use hickorydoor::gateway::view_timing::ViewTiming;
use hickorydoor::id::HostId;
use hickorydoor::quantity::ByteCount;
use hickorydoor::quantity::KbitPerS;
use tokio::task::AbortHandle;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

const FEED_PORT: u16 = 7_341;
/// Time within which changes have to be known.
const BOUND_MS: DurationMs = DurationMs::new(2_000);

/// Returns a loopback address that is unique among the tests of this process.
fn next_ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let (high, low) = (100 + (process / 250 % 100) as u8, (process % 250) as u8);
    IpAddr::V4(Ipv4Addr::new(127, high, low, NEXT.fetch_add(1, Ordering::Relaxed)))
}

fn settings(host: &HostId, ip: IpAddr, link_rate: KbitPerS) -> GatewaySettings {
    GatewaySettings {
        host: host.clone(),
        incarnation: 1,
        data_centre: "dc-1".parse().unwrap(),
        address: ip,
        link_rate_kbit_per_s: link_rate,
        max_configuration_age_ms: DurationMs::new(4_400),
        retries: RetryBound { ratio: 0.9, extra: 58.0, window_ms: DurationMs::from_secs(10) },
        costs: PlacementCosts {
            cross_ms_per_kb: 10.0,
            cross_ms: 3.0,
            value_per_token: 1.8e-4,
            fetch_per_token: 2.3e-5,
            recompute_per_token: 0.9e-5,
        },
        session_ms: DurationMs::new(5_500),
        store_recovery_grace_ms: DurationMs::new(2_200),
        stop_notice_ms: DurationMs::new(2_600),
        stop_timeout_ms: DurationMs::new(1_000),
        cold_limit_factor: 1.2,
        load_control: hickorydoor::gateway::load_control::LoadControl::default(),
    }
}

/// A gateway whose store the test plays.
struct Host {
    member: GatewayMember,
    core: Rc<Core>,
    _process: GatewayProcess,
}

impl Host {
    async fn start(name: &str, link_rate_kbit_per_s: u64) -> Self {
        let ip = next_ip();
        let host: HostId = name.parse().unwrap();
        let link_rate_kbit_per_s = KbitPerS::new(link_rate_kbit_per_s);
        let settings = settings(&host, ip, link_rate_kbit_per_s);
        let member = settings.member();
        let options = GatewayOptions {
            settings,
            http_listen: SocketAddr::new(ip, 0),
            ready_listen: SocketAddr::new(ip, 0),
            ready_path: "/ready".to_owned(),
            metrics_listen: None,
            peer_ip: ip,
            peer_port: FEED_PORT - 1,
            feed_port: FEED_PORT,
            peer_interval: Duration::from_mins(1),
            held_bytes: ByteCount::new(64 << 20),
            max_connections: 1_000,
            header_names: HeaderNames::default(),
        };
        let (process, _effects) = GatewayProcess::start(options).await.unwrap();
        let core = process.core();
        Self { member, core, _process: process }
    }

    /// Plays a store that answers every 100 ms.
    fn sync(&self, revision: u64) -> AbortHandle {
        let core = Rc::clone(&self.core);
        let synced = async move {
            loop {
                sync_once(&core, revision);
                sleep(Duration::from_millis(100)).await;
            }
        };
        spawn_local(synced).abort_handle()
    }

    /// Follows other gateways. The store does not answer this host.
    fn follow(&self) {
        let options = ViewOptions {
            own_ip: self.member.address,
            feed_port: FEED_PORT,
            timing: ViewTiming { bound_ms: BOUND_MS },
        };
        let core = Rc::clone(&self.core);
        spawn_local(maintain_view(core, options, async |_wait_ms| {
            sleep(Duration::from_millis(20)).await;
            false
        }));
    }

    fn configuration_version(&self) -> u64 {
        self.core.configuration_version()
    }
}

fn sync_once(core: &Core, revision: u64) {
    let position = StorePosition::new(StoreEra::new(1), revision);
    core.apply(GatewayEvent::StoreAnswered);
    core.apply(GatewayEvent::StoreSynced { synced_at: core.now(), position });
}

fn introduce(hosts: &[&Host]) {
    for host in hosts {
        for other in hosts {
            host.core.apply(GatewayEvent::GatewayJoined(other.member.clone()));
        }
    }
}

fn configure(host: &Host, version: u64) {
    let catalog = Catalog::new(version, CallerLimits::default(), Vec::new(), Vec::new(), None);
    host.core.apply(GatewayEvent::Configured(Arc::new(catalog)));
}

async fn wait_for_version(host: &Host, version: u64) {
    for _ in 0..1_000 {
        if host.configuration_version() == version {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("{} has version {}", host.member.host, host.configuration_version());
}

#[tokio::test]
async fn follower_learns_what_the_watcher_knows_and_each_change() {
    let test = async {
        let watchers = [Host::start("gw-1", 9_000).await, Host::start("gw-2", 9_000).await];
        let follower = Host::start("gw-3", 10).await;
        introduce(&[&watchers[0], &watchers[1], &follower]);
        for watcher in &watchers {
            configure(watcher, 3);
            watcher.sync(17);
        }
        follower.follow();
        wait_for_version(&follower, 3).await;
        for watcher in &watchers {
            configure(watcher, 4);
        }
        wait_for_version(&follower, 4).await;
        assert_eq!(follower.core.store_position().map(|known| known.revision), Some(17));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a follower that stays with a watcher that no longer hears from the store.
#[tokio::test]
async fn follower_leaves_a_watcher_that_is_no_longer_in_sync() {
    let test = async {
        let watchers = [Host::start("gw-1", 9_000).await, Host::start("gw-2", 9_000).await];
        let follower = Host::start("gw-3", 10).await;
        introduce(&[&watchers[0], &watchers[1], &follower]);
        let mut syncs = Vec::new();
        for watcher in &watchers {
            configure(watcher, 3);
            syncs.push(watcher.sync(17));
        }
        follower.follow();
        wait_for_version(&follower, 3).await;
        // The connections stay open, so only the missing synchronizations show the failure.
        for (failed, other) in [(0, 1), (1, 0)] {
            syncs.drain(..).for_each(|sync| sync.abort());
            syncs.push(watchers[other].sync(18 + failed as u64));
            let version = 4 + failed as u64;
            configure(&watchers[other], version);
            wait_for_version(&follower, version).await;
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a follower whose view counts as older than it is by up to the interval between two
/// synchronizations, since no ping of its own was returned later.
#[tokio::test]
async fn follower_dates_its_view_as_the_watcher_does() {
    let test = async {
        let watcher = Host::start("gw-1", 9_000).await;
        let second = Host::start("gw-2", 9_000).await;
        let follower = Host::start("gw-3", 10).await;
        introduce(&[&watcher, &second, &follower]);
        for host in [&watcher, &second] {
            configure(host, 3);
            sync_once(&host.core, 17);
        }
        follower.follow();
        wait_for_version(&follower, 3).await;
        let age_ms = |host: &Host| host.core.view_age_ms().unwrap().get();
        for _ in 0..100 {
            sleep(Duration::from_millis(250)).await;
            for host in [&watcher, &second] {
                sync_once(&host.core, 17);
            }
            sleep(Duration::from_millis(50)).await;
            if age_ms(&follower) <= age_ms(&watcher) + 100 {
                return;
            }
        }
        panic!("the view is {} ms old at the follower", age_ms(&follower));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against API keys that are served to a host that is not a gateway.
#[tokio::test]
async fn unknown_host_is_not_served() {
    let test = async {
        let watcher = Host::start("gw-1", 9_000).await;
        let stranger = Host::start("gw-3", 10).await;
        configure(&watcher, 3);
        watcher.sync(17);
        stranger.core.apply(GatewayEvent::GatewayJoined(watcher.member.clone()));
        stranger.follow();
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(stranger.configuration_version(), 0);
        watcher.core.apply(GatewayEvent::GatewayJoined(stranger.member.clone()));
        wait_for_version(&stranger, 3).await;
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against gateways that prove to each other that they are current while the store answers
/// none of them.
#[tokio::test]
async fn gateways_that_follow_each_other_do_not_become_current() {
    let test = async {
        let hosts = [Host::start("gw-1", 9_000).await, Host::start("gw-2", 9_000).await];
        introduce(&[&hosts[0], &hosts[1]]);
        for host in &hosts {
            configure(host, 3);
            sync_once(&host.core, 17);
            host.follow();
        }
        let first_age = hosts[0].core.configuration_age_ms().unwrap();
        for _ in 0..20 {
            sleep(Duration::from_millis(100)).await;
        }
        for host in &hosts {
            let age_ms = host.core.configuration_age_ms().unwrap();
            assert!(age_ms.get() >= first_age.get() + 2_000, "{}: {age_ms}", host.member.host);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a follower that goes back to an older state of a watcher that lags behind.
#[tokio::test]
async fn watcher_that_knows_less_is_not_followed() {
    let test = async {
        let behind = Host::start("gw-1", 9_000).await;
        let follower = Host::start("gw-3", 10).await;
        introduce(&[&behind, &follower]);
        configure(&behind, 2);
        behind.sync(16);
        configure(&follower, 3);
        sync_once(&follower.core, 17);
        let out = "dc-9".parse().unwrap();
        follower.core.apply(GatewayEvent::DataCentreOut(out));
        follower.follow();
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(follower.core.store_position().map(|known| known.revision), Some(17));
        assert!(follower.core.is_out(&"dc-9".parse().unwrap()));
    };
    LocalSet::new().run_until(test).await;
}
