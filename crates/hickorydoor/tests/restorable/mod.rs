//! A store that can be restored from a copy, the operator and upstreams that write to it, and
//! gateways that read it, in virtual time.
//!
//! After a restore, the operator and the upstreams write again what they had written since the
//! copy, as soon as they notice. Gateways poll the store as the platform adapter does.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use hickorydoor::DurationMs;
use hickorydoor::TimeMs;
use hickorydoor::gateway::GatewayEffect;
use hickorydoor::gateway::GatewayEvent;
use hickorydoor::gateway::event::AttemptOutcome;
use hickorydoor::gateway::rollout::RolloutOrder;
use hickorydoor::gateway::rollout::RolloutRecord;
use hickorydoor::gateway::rollout::RolloutStep;
use hickorydoor::gateway::store_listing::StoreListing;
use hickorydoor::gateway::store_position::StoreEra;
use hickorydoor::gateway::store_position::StorePosition;
use hickorydoor::gateway::upstreams::Registration;

use crate::gateway::ENGINES;
use crate::gateway::KEY;
use crate::gateway::PLAIN;
use crate::gateway::Rig;
use crate::gateway::call;
use crate::gateway::catalog;
use crate::gateway::dispatch;
use crate::gateway::order;
use crate::gateway::refusal;
use crate::gateway::registration;

/// Key that the operator grants and revokes.
pub const GRANTED_KEY: &str = "key-granted";
/// Data centre of the gateways, which the operator takes out and back. One plain upstream is in it,
/// which is preferred unless it is out.
pub const CLOSED: &str = "dc-1";
/// Data centre of the other upstreams.
const OTHER: &str = "dc-2";
/// Plain upstream that leaves and returns.
pub const LEAVING: &str = "p-0";
/// Time between two polls of a gateway.
const POLL_INTERVAL_MS: u64 = 800;
/// Time step of the simulation.
pub const STEP_MS: u64 = 50;

/// A value in the store; `None` in an event means that the key was deleted.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Configuration { version: u64, is_granted: bool },
    Registration(Box<Registration>),
    Closed,
    Order(RolloutOrder),
    Record(RolloutRecord),
}

#[derive(Clone, Debug, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, (u64, Value)>,
    history: Vec<(u64, String, Option<Value>)>,
}

/// The store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    era: u64,
    contents: Contents,
    copy: Option<Contents>,
    /// Last value of each key that the operator or an upstream has written.
    wanted: BTreeMap<String, Option<Value>>,
    /// Keys that they have written since the copy, to be written again after a restore.
    since_copy: BTreeSet<String>,
}

impl Store {
    fn write(&mut self, key: &str, value: Option<Value>) -> u64 {
        let contents = &mut self.contents;
        contents.revision += 1;
        match value.clone() {
            Some(value) => {
                contents.items.insert(key.to_owned(), (contents.revision, value));
            }
            None => {
                contents.items.remove(key);
            }
        }
        contents.history.push((contents.revision, key.to_owned(), value));
        contents.revision
    }

    /// Writes an item as the operator or an upstream does.
    pub fn write_outside(&mut self, key: &str, value: Option<Value>) {
        self.write(key, value.clone());
        self.wanted.insert(key.to_owned(), value);
        self.since_copy.insert(key.to_owned());
    }

    /// Writes the last value of a key again.
    fn write_again(&mut self, key: &str) {
        let value = self.wanted.get(key).cloned().flatten();
        self.write(key, value);
        self.since_copy.insert(key.to_owned());
    }

    pub fn take_copy(&mut self) {
        self.copy = Some(self.contents.clone());
        self.since_copy.clear();
    }

    /// Restores the copy. Returns the keys to be written again.
    fn put_back(&mut self) -> BTreeSet<String> {
        let Some(copy) = self.copy.clone() else {
            return BTreeSet::new();
        };
        self.era += 1;
        self.contents = copy;
        self.since_copy.clone()
    }

    fn position(&self, revision: u64) -> StorePosition {
        StorePosition::new(StoreEra::new(self.era), revision)
    }

    /// Writes a rollout step if its condition holds.
    fn compare_and_swap(&mut self, step: &RolloutStep) {
        let key = format!("record/{}", step.record.service);
        let known = self.contents.items.get(&key).map_or(0, |(revision, _)| *revision);
        if known == step.replaces.revision {
            self.write(&key, Some(Value::Record(step.record.clone())));
        }
    }

    pub fn record(&self) -> Option<&RolloutRecord> {
        match self.contents.items.get(&format!("record/{ENGINES}")) {
            Some((_, Value::Record(record))) => Some(record),
            _ => None,
        }
    }
}

/// A gateway, which polls the store.
#[derive(Debug)]
pub struct Poller {
    pub rig: Rig,
    next_poll_at: TimeMs,
}

impl Poller {
    /// Creates a gateway that knows nothing.
    pub fn new(host: &str, now: TimeMs, offset_ms: u64) -> Self {
        let mut rig = Rig::empty(host);
        rig.now = now;
        Self { rig, next_poll_at: now + DurationMs::new(offset_ms) }
    }

    fn poll(&mut self, store: &Store) {
        let known = self.rig.gateway.store_position();
        let is_continued = known.is_some_and(|known| {
            known.era.get() == store.era && known.revision <= store.contents.revision
        });
        if let (true, Some(known)) = (is_continued, known) {
            let new = store.contents.history.iter().filter(|(at, _, _)| *at > known.revision);
            for (revision, key, value) in new.cloned().collect::<Vec<_>>() {
                self.apply(&key, value, store.position(revision));
            }
        } else {
            self.read_all(store);
        }
        self.sync(store);
    }

    fn read_all(&mut self, store: &Store) {
        let era = StoreEra::new(store.era);
        if self.rig.gateway.store_era().is_some_and(|known| known < era) {
            self.rig.apply(GatewayEvent::StoreRestored { era });
        }
        let mut listing = StoreListing::default();
        for (key, (revision, value)) in &store.contents.items {
            match value {
                Value::Registration(known) => {
                    listing.upstreams.insert(known.upstream.clone());
                }
                Value::Closed => {
                    listing.closed_data_centres.insert(CLOSED.parse().unwrap());
                }
                Value::Record(record) => {
                    listing.recorded_rollouts.insert(record.service.clone());
                }
                Value::Configuration { .. } | Value::Order(_) => {}
            }
            self.apply(key, Some(value.clone()), store.position(*revision));
        }
        self.rig.apply(GatewayEvent::StoreListed(Box::new(listing)));
    }

    fn sync(&mut self, store: &Store) {
        let position = store.position(store.contents.revision);
        self.rig.apply(GatewayEvent::StoreAnswered);
        self.rig.apply(GatewayEvent::StoreSynced { synced_at: self.rig.now, position });
    }

    fn apply(&mut self, key: &str, value: Option<Value>, position: StorePosition) {
        let event = match value {
            Some(Value::Configuration { version, is_granted }) => {
                let keys: &[&str] = if is_granted { &[KEY, GRANTED_KEY] } else { &[KEY] };
                GatewayEvent::Configured(Arc::new(catalog(version, keys)))
            }
            Some(Value::Registration(known)) => GatewayEvent::Registered(known),
            Some(Value::Closed) => GatewayEvent::DataCentreOut(CLOSED.parse().unwrap()),
            Some(Value::Order(order)) => GatewayEvent::RolloutOrdered {
                order: RolloutOrder { position, ..order },
                age_ms: None,
            },
            Some(Value::Record(record)) => {
                GatewayEvent::RolloutRecorded(RolloutRecord { position, ..record })
            }
            None => match key.split_once('/') {
                Some(("server", id)) => GatewayEvent::Deregistered(id.parse().unwrap()),
                Some(("closed", id)) => GatewayEvent::DataCentreIn(id.parse().unwrap()),
                Some(("order", id)) => GatewayEvent::RolloutWithdrawn(id.parse().unwrap()),
                _ => return,
            },
        };
        self.rig.apply(event);
    }

    /// Sends a request that ends at once, with a failure on the faulty version. Returns the chosen
    /// upstream and version, or `None` if the request was not sent.
    pub fn probe(&mut self, path: &str, key: &str, attempt: &str) -> Option<(String, String)> {
        let mut request = call(path, attempt);
        request.key = Some(key.into());
        let (id, effects) = self.rig.send(request);
        if refusal(&effects).is_some() {
            return None;
        }
        let chosen = dispatch(&effects)
            .map(|dispatch| (dispatch.upstream.to_string(), dispatch.version.to_string()));
        if let Some((_, version)) = &chosen {
            let is_faulty = version == "v2";
            let outcome = if is_faulty {
                AttemptOutcome::Failed { status: 500 }
            } else {
                AttemptOutcome::Served
            };
            self.rig.end_attempt(id, outcome);
        }
        self.rig.apply(GatewayEvent::CallerGone { call: id });
        chosen
    }
}

/// Everything together.
#[derive(Debug)]
pub struct World {
    pub store: Store,
    pub gateways: Vec<Poller>,
    pub now: TimeMs,
    /// Keys to be written again, with the time at which that happens.
    pending: Vec<(TimeMs, BTreeSet<String>)>,
    pub version: u64,
    pub is_granted: bool,
    pub is_closed: bool,
    pub is_leaving: bool,
    sequence: u64,
}

impl World {
    pub fn new(gateways: u64) -> Self {
        let now = TimeMs::new(100_000);
        let mut world = Self {
            store: Store { era: 1, ..Store::default() },
            gateways: Vec::new(),
            now,
            pending: Vec::new(),
            version: 0,
            is_granted: false,
            is_closed: false,
            is_leaving: false,
            sequence: 1,
        };
        world.configure(true);
        for index in 0..3 {
            world.register(&format!("p-{index}"), PLAIN, if index == 2 { CLOSED } else { OTHER });
            world.register(&format!("e-{index}"), ENGINES, OTHER);
        }
        world.store.take_copy();
        for index in 0..gateways {
            let offset_ms = index * 130 % POLL_INTERVAL_MS;
            world.gateways.push(Poller::new(&format!("gw-{index}"), now, offset_ms));
        }
        world
    }

    /// Writes a configuration that grants or revokes the key.
    pub fn configure(&mut self, is_granted: bool) {
        self.version += 1;
        self.is_granted = is_granted;
        let value = Value::Configuration { version: self.version, is_granted };
        self.store.write_outside("config", Some(value));
    }

    fn register(&mut self, id: &str, service: &str, data_centre: &str) {
        let mut known = registration(id, service);
        known.data_centre = data_centre.parse().unwrap();
        known.sequence = self.sequence;
        self.store
            .write_outside(&format!("server/{id}"), Some(Value::Registration(Box::new(known))));
    }

    /// Takes the data centre out or back.
    pub fn close(&mut self, is_closed: bool) {
        self.is_closed = is_closed;
        let value = is_closed.then_some(Value::Closed);
        self.store.write_outside(&format!("closed/{CLOSED}"), value);
    }

    /// Lets the upstream drain, then deregister, or return.
    pub fn leave(&mut self, is_leaving: bool) {
        self.sequence += 1;
        self.is_leaving = is_leaving;
        let mut known = registration(LEAVING, PLAIN);
        known.data_centre = OTHER.parse().unwrap();
        known.sequence = self.sequence;
        known.draining = is_leaving;
        let value = Value::Registration(Box::new(known));
        self.store.write_outside(&format!("server/{LEAVING}"), Some(value));
    }

    /// Deregisters the upstream if it is leaving.
    pub fn deregister(&mut self) {
        if self.is_leaving {
            self.store.write_outside(&format!("server/{LEAVING}"), None);
        }
    }

    /// Orders a rollout of the faulty version, whose engines are started.
    pub fn order_rollout(&mut self, seconds: u64) {
        for index in 0..3 {
            let mut known = registration(&format!("n-{index}"), ENGINES);
            known.data_centre = OTHER.parse().unwrap();
            known.version = "v2".into();
            let key = format!("server/{}", known.upstream);
            self.store.write_outside(&key, Some(Value::Registration(Box::new(known))));
        }
        let duration_ms = DurationMs::from_secs(seconds);
        let order = RolloutOrder { duration_ms, ..order(0) };
        self.store.write_outside(&format!("order/{ENGINES}"), Some(Value::Order(order)));
    }

    /// Restores the store. What it lacks is written again after `delay_ms`.
    pub fn put_back(&mut self, delay_ms: u64) {
        let mut missing = self.store.put_back();
        missing.extend(self.pending.drain(..).flat_map(|(_, keys)| keys));
        self.pending.push((self.now + DurationMs::new(delay_ms), missing));
    }

    /// Advances the time by one step.
    pub fn step(&mut self) {
        self.now = self.now + DurationMs::new(STEP_MS);
        let (due, later) = self.pending.drain(..).partition(|(at, _)| *at <= self.now);
        self.pending = later;
        for key in due.into_iter().flat_map(|(_, keys): (_, BTreeSet<_>)| keys) {
            self.store.write_again(&key);
        }
        for gateway in &mut self.gateways {
            gateway.rig.now = self.now;
            if self.now >= gateway.next_poll_at {
                gateway.next_poll_at = self.now + DurationMs::new(POLL_INTERVAL_MS);
                gateway.poll(&self.store);
            }
            for effect in gateway.rig.apply(GatewayEvent::Tick) {
                if let GatewayEffect::WriteRollout(step) = effect {
                    self.store.compare_and_swap(&step);
                }
            }
        }
    }
}
