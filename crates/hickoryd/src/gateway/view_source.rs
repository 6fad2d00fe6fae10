//! Keeps the gateway's view of the store current, from the store itself or from another gateway.
//!
//! The reducer chooses the role ([`view_role`](hickorydoor::gateway::view_role)), and
//! [`SourceChoice`] each step; here the steps are carried out.

use std::cell::Cell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hickorydoor::DurationMs;
use hickorydoor::gateway::source_choice::FollowOutcome;
use hickorydoor::gateway::source_choice::SourceChoice;
use hickorydoor::gateway::source_choice::ViewStep;
use hickorydoor::gateway::view_role::ViewRole;
use hickorydoor::gateway::view_timing::ViewTiming;
use hickorydoor::id::HostId;
use log::info;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::gateway::core::Core;
use crate::gateway::feed_client::FeedEnd;
use crate::gateway::feed_client::FollowLimits;
use crate::gateway::feed_client::follow;

/// Delay before the next poll after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(150);
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
    /// When the gateway learns the changes in another way.
    pub timing: ViewTiming,
}

/// Keeps the view current until the task is aborted. `poll` asks the store for changes, which it may
/// hold back for the given time if there are none, and applies them; it returns whether the store
/// answered.
pub async fn maintain_view(
    core: Rc<Core>,
    options: ViewOptions,
    mut poll: impl AsyncFnMut(DurationMs) -> bool,
) {
    let mut view = ViewSource::new(core, options);
    let mut has_failed = false;
    loop {
        let role = view.core.view_role();
        let now = view.core.now();
        match view.choice.next(&role, view.core.view_age_ms(), now) {
            ViewStep::Follow { host, first_sync_ms } => {
                has_failed &= !view.follow(&role, &host, first_sync_ms).await;
            }
            ViewStep::Poll { wait_ms } => {
                if has_failed {
                    sleep(RETRY_DELAY).await;
                }
                let next_poll = Instant::now() + Duration::from(options.timing.poll_interval_ms());
                let is_answered = poll(wait_ms).await;
                view.choice.record_polled(is_answered, view.core.now());
                has_failed = !is_answered;
                if is_answered && !view.choice.may_follow(&role, view.core.now()) {
                    sleep_until(next_poll).await;
                }
            }
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
            if let Some(ViewStep::Follow { host, first_sync_ms }) =
                view.choice.next_source(&role, core.now())
            {
                view.follow(&role, &host, first_sync_ms).await;
                continue;
            }
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
    choice: SourceChoice,
}

impl ViewSource {
    const fn new(core: Rc<Core>, options: ViewOptions) -> Self {
        Self { core, options, choice: SourceChoice::new(options.timing) }
    }

    /// Follows another gateway until it fails, the view becomes too old, or the changes are to be
    /// learned in another way. Returns whether its view arrived.
    async fn follow(&mut self, role: &ViewRole, host: &HostId, first_sync_ms: DurationMs) -> bool {
        let has_synced = Cell::new(false);
        let outcome = match self.core.peer_address(host) {
            Some(ip) => self.follow_at(role, host, ip, first_sync_ms, &has_synced).await,
            None => FollowOutcome::Unreachable,
        };
        self.choice.record_followed(host, outcome, has_synced.get(), self.core.now());
        has_synced.get()
    }

    async fn follow_at(
        &self,
        role: &ViewRole,
        host: &HostId,
        ip: IpAddr,
        first_sync_ms: DurationMs,
        has_synced: &Cell<bool>,
    ) -> FollowOutcome {
        let source = SocketAddr::new(ip, self.options.feed_port);
        let limits = FollowLimits {
            first_sync: first_sync_ms.into(),
            max_age_ms: self.options.timing.leave_after_ms(role.place()),
        };
        let on_synced = || {
            info!(gateway:% = host; "following another gateway");
            has_synced.set(true);
        };
        let end = tokio::select! {
            end = follow(&self.core, source, self.options.own_ip, limits, on_synced) => end,
            () = self.should_change(role, host) => return FollowOutcome::Left,
        };
        info!(gateway:% = host, reason:% = end; "cannot follow the gateway any longer");
        match end {
            FeedEnd::Connect(_) => FollowOutcome::Unreachable,
            _ => FollowOutcome::Failed,
        }
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
            let is_settled = self.choice.is_settled(&role, was_watcher, is_answered, followed);
            if !is_settled {
                return info!(gateway:% = followed; "no longer following the gateway");
            }
            sleep(ROLE_CHECK_INTERVAL).await;
        }
    }
}
