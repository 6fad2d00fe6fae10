//! Keeps the gateway's view of the store current, from the store itself or from another gateway.
//!
//! A watcher polls the store. A follower receives the changes from a watcher, and if none can be
//! followed, it polls the store itself until one can. A watcher that the store does not answer
//! follows another one in the meantime. The reducer chooses the role; see
//! [`view_role`](hickorydoor::gateway::view_role).

use std::cell::Cell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hickorydoor::DurationMs;
use hickorydoor::gateway::view_role::ViewRole;
use hickorydoor::id::HostId;
use log::info;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::gateway::core::Core;
use crate::gateway::feed_client::FeedEnd;
use crate::gateway::feed_client::follow;

/// Delay before the next poll after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Number of gateways that are tried before the store is polled. Changes are delayed meanwhile.
const MAX_SOURCES_TRIED: usize = 2;
/// How long a gateway polls the store if it could not follow another one.
const POLLING_TIME: Duration = Duration::from_secs(3);
/// How long a gateway that cannot be followed is not tried again. A host that accepts a connection
/// and sends nothing delays changes at each try.
const SOURCE_RETRY_DELAY: Duration = Duration::from_secs(10);
/// How long a gateway that accepts no connection, such as one that starts, is not tried again.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum time that a starting gateway spends on taking over the view of another one.
const LEARNING_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which it checks whether it has done so.
const LEARNING_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a follower checks whether it should learn the changes in another way.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a follower keeps its source before the first of these checks.
const MIN_FOLLOW_TIME: Duration = Duration::from_secs(2);

/// How the view of the store is kept current.
#[derive(Clone, Copy, Debug)]
pub struct ViewOptions {
    /// Own address, by which the other gateways recognise this one.
    pub own_ip: IpAddr,
    /// TCP port on which gateways can be followed, the same on all hosts.
    pub feed_port: u16,
    /// Minimum time between the starts of two polls of the store.
    pub poll_interval_ms: DurationMs,
    /// Maximum time between two synchronizations of a gateway that is followed.
    pub sync_timeout_ms: DurationMs,
}

/// Keeps the view current until the task is aborted. `poll` asks the store for changes and applies
/// them; it returns whether the store answered.
pub async fn maintain_view(
    core: Rc<Core>,
    options: ViewOptions,
    mut poll: impl AsyncFnMut() -> bool,
) {
    let mut view = ViewSource::new(core, options);
    let mut follow_from = Instant::now();
    loop {
        let role = view.core.view_role();
        let is_due = !role.is_watcher() && Instant::now() >= follow_from;
        if is_due && view.follow_any(&role).await {
            continue;
        }
        let next_poll = Instant::now() + Duration::from(options.poll_interval_ms);
        if poll().await {
            if is_due {
                follow_from = Instant::now() + POLLING_TIME;
            }
            sleep_until(next_poll).await;
        } else if !view.follow_any(&role).await {
            // With no other way left, gateways that failed before are tried again.
            view.failed_sources.clear();
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Takes over what another gateway knows, before a starting gateway reads the store itself.
///
/// The store may have come back from a copy that lacks a revocation, and only a gateway that was
/// running before knows of it. `discover` asks the store which gateways are present; those that are
/// running register again soon after a restore.
pub async fn learn_view(core: Rc<Core>, options: ViewOptions, discover: impl AsyncFn()) {
    let mut view = ViewSource::new(Rc::clone(&core), options);
    let follow_others = async {
        loop {
            let role = core.view_role();
            view.follow_any(&role).await;
            view.failed_sources.clear();
            sleep(ROLE_CHECK_INTERVAL).await;
            discover().await;
        }
    };
    let has_learned = async {
        while core.store_position().is_none() {
            sleep(LEARNING_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        () = follow_others => {}
        () = has_learned => info!("view taken over from another gateway"),
        () = sleep(LEARNING_TIMEOUT) => info!("no other gateway has a view; reading the store"),
    }
}

struct ViewSource {
    core: Rc<Core>,
    options: ViewOptions,
    /// When each gateway that could not be followed may be tried again.
    failed_sources: HashMap<HostId, Instant>,
}

impl ViewSource {
    fn new(core: Rc<Core>, options: ViewOptions) -> Self {
        Self { core, options, failed_sources: HashMap::new() }
    }

    /// Follows the first gateway that can be followed, until the connection ends. Returns whether
    /// there was one.
    async fn follow_any(&mut self, role: &ViewRole) -> bool {
        let now = Instant::now();
        self.failed_sources.retain(|_, retry_at| now < *retry_at);
        let failed = &self.failed_sources;
        let usable = role.sources().iter().filter(|host| !failed.contains_key(*host));
        let chosen: Vec<HostId> = usable.take(MAX_SOURCES_TRIED).cloned().collect();
        for host in &chosen {
            let Some(address) = self.core.peer_address(host) else {
                continue;
            };
            if self.follow(role, host, address).await {
                return true;
            }
        }
        false
    }

    /// Follows one gateway. Returns whether any synchronization arrived.
    async fn follow(&mut self, role: &ViewRole, host: &HostId, ip: IpAddr) -> bool {
        let source = SocketAddr::new(ip, self.options.feed_port);
        let limit = Duration::from(self.options.sync_timeout_ms);
        let has_synced = Cell::new(false);
        let on_synced = || {
            info!(gateway:% = host; "following another gateway");
            has_synced.set(true);
        };
        let end = tokio::select! {
            end = follow(&self.core, source, self.options.own_ip, limit, on_synced) => end,
            () = self.should_change(role, host) => return true,
        };
        info!(gateway:% = host, reason:% = end; "cannot follow the gateway any longer");
        let delay = match end {
            FeedEnd::Connect(_) => UNREACHABLE_RETRY_DELAY,
            _ => SOURCE_RETRY_DELAY,
        };
        self.failed_sources.insert(host.clone(), Instant::now() + delay);
        has_synced.get()
    }

    /// Waits until this gateway should learn the changes in another way: it is to be a watcher, it
    /// is one that the store answers again, or another gateway is to be followed rather than
    /// `followed`.
    async fn should_change(&self, role: &ViewRole, followed: &HostId) {
        let started_at = self.core.now();
        let was_watcher = role.is_watcher();
        sleep(MIN_FOLLOW_TIME).await;
        loop {
            let role = self.core.view_role();
            let is_answered = self.core.store_answered_at() > Some(started_at);
            let preferred =
                role.sources().iter().find(|host| !self.failed_sources.contains_key(*host));
            let is_settled = if role.is_watcher() {
                was_watcher && !is_answered
            } else {
                !was_watcher && preferred == Some(followed)
            };
            if !is_settled {
                return info!(gateway:% = followed; "no longer following the gateway");
            }
            sleep(ROLE_CHECK_INTERVAL).await;
        }
    }
}
