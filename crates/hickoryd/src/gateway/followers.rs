//! The gateways that follow this one, and what is sent to them.

use std::cell::Cell;
use std::rc::Rc;
use std::rc::Weak;

use hickorydoor::TimeMs;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::feed_wire::FeedHello;
use hickorydoor::gateway::feed_wire::FeedSynced;
use hickorydoor::gateway::feed_wire::WatcherMessage;
use hickorydoor::gateway::store_position::StorePosition;

use crate::link::LinkQueue;

/// Last ping of a follower, for which its connection keeps the strong reference.
#[derive(Debug, Default)]
pub struct FollowerState {
    ping: Cell<u64>,
    received_at: Cell<TimeMs>,
    /// Whether a ping was returned since the last synchronization.
    is_answered: Cell<bool>,
}

impl FollowerState {
    /// Records the number of a ping that was received at `now`.
    pub fn record_ping(&self, number: u64, now: TimeMs) {
        self.ping.set(number);
        self.received_at.set(now);
    }

    /// Returns the message for a synchronization at `synced_at`.
    fn synced(&self, synced_at: TimeMs, position: StorePosition) -> FeedSynced {
        let age_ms = self.received_at.get().since(synced_at);
        FeedSynced { ping: self.ping.get(), age_ms, position }
    }
}

#[derive(Debug)]
struct Follower {
    queue: LinkQueue<WatcherMessage>,
    state: Weak<FollowerState>,
}

/// All followers of this gateway.
#[derive(Debug, Default)]
pub struct Followers {
    followers: Vec<Follower>,
    /// Encoded event of the configuration with this version, which new followers need.
    configuration: Option<(u64, WatcherMessage)>,
}

impl Followers {
    /// Adds a follower and sends it the view. Dropping `state` removes it.
    pub fn add(
        &mut self,
        hello: &FeedHello,
        queue: LinkQueue<WatcherMessage>,
        state: &Rc<FollowerState>,
        view: &[GatewayEvent],
    ) {
        let follower = Follower { queue, state: Rc::downgrade(state) };
        for event in view {
            let is_known = matches!(event, GatewayEvent::Configured(catalog)
                if catalog.version() <= hello.configuration_version);
            if let Some(message) = self.encode(event).filter(|_| !is_known) {
                follower.send(message);
            }
        }
        self.followers.push(follower);
    }

    /// Forwards an event of the view, or a synchronization. If the store cannot be reached, the
    /// followers are disconnected, so that they choose another watcher.
    pub fn forward(&mut self, event: &GatewayEvent, now: TimeMs) {
        if self.followers.is_empty() {
            return;
        }
        match event {
            GatewayEvent::StoreUnreachable => self.followers.clear(),
            GatewayEvent::StoreSynced { synced_at, position } => {
                self.send_synced((*synced_at).min(now), *position);
            }
            _ => {
                if let Some(message) = self.encode(event) {
                    self.followers.retain(|follower| follower.send(message.clone()));
                }
            }
        }
    }

    /// Returns the first ping of a follower after a synchronization, the last one of which was at
    /// `synced_at`. Without that, the follower could date it no later than its ping before it.
    pub fn answer_ping(
        &mut self,
        state: &Rc<FollowerState>,
        synced_at: TimeMs,
        position: StorePosition,
    ) {
        if state.is_answered.replace(true) {
            return;
        }
        let is_its = |follower: &Follower| follower.state.as_ptr() == Rc::as_ptr(state);
        self.followers.retain(|follower| {
            let synced = || WatcherMessage::Synced(state.synced(synced_at, position));
            !is_its(follower) || follower.send(synced())
        });
    }

    /// Tells all followers of a synchronization.
    pub fn send_synced(&mut self, synced_at: TimeMs, position: StorePosition) {
        self.followers.retain(|follower| {
            follower.state.upgrade().is_some_and(|state| {
                state.is_answered.set(false);
                follower.send(WatcherMessage::Synced(state.synced(synced_at, position)))
            })
        });
    }

    fn encode(&mut self, event: &GatewayEvent) -> Option<WatcherMessage> {
        let GatewayEvent::Configured(catalog) = event else {
            return WatcherMessage::event(event);
        };
        if let Some((version, message)) = &self.configuration
            && *version == catalog.version()
        {
            return Some(message.clone());
        }
        let message = WatcherMessage::event(event)?;
        self.configuration = Some((catalog.version(), message.clone()));
        Some(message)
    }
}

impl Follower {
    /// Queues a message; returns whether the follower is still connected and reads fast enough.
    fn send(&self, message: WatcherMessage) -> bool {
        let size_bytes = message.size_bytes();
        self.queue.push(message, size_bytes).is_ok()
    }
}
