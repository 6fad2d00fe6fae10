//! How an entry keeps sessions on their versions.

use smallvec::SmallVec;

use crate::entry::Entry;
use crate::entry::request_state::Plan;
use crate::entry::request_state::RequestState;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::ModelId;
use crate::id::Serial;
use crate::id::SessionId;
use crate::id::VersionId;
use crate::message::EntryMessage;
use crate::observation::Observation;
use crate::refusal::RefusalReason;
use crate::rollouts::session_pin::CachedPin;
use crate::rollouts::session_pin::LINKED_OWNERS;
use crate::rollouts::session_pin::MAX_OWNERS;
use crate::rollouts::session_pin::OwnerReply;
use crate::rollouts::session_pin::PIN_TIMEOUT_MS;
use crate::rollouts::session_pin::Pin;
use crate::rollouts::session_pin::PinKey;
use crate::rollouts::session_pin::PinLookup;
use crate::rollouts::session_pin::owner_fingerprint;
use crate::rollouts::session_pin::rank_owners;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// When callers may retry after no version could be found for their session.
const RETRY_AFTER_MS: DurationMs = DurationMs::from_secs(1);

type Homes = SmallVec<[(HostId, Incarnation); MAX_OWNERS]>;

/// What an entry may do with the version of a pin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// The version serves the session.
    Serves,
    /// The version is withdrawn, halted, deleted or no longer allowed.
    Gone,
    /// This entry's configuration is older than the pin and cannot tell.
    NotKnown,
}

impl Entry {
    /// Settles the version of the request's session; returns whether the request has to wait for
    /// the session's home agents.
    pub(crate) fn await_pin(&mut self, serial: Serial, now: TimeMs) -> bool {
        let Some((key, customer, model)) = self.pin_subject(serial) else {
            return false;
        };
        if let Some(lookup) = self.pins.lookups.get_mut(&key) {
            if !lookup.waiting.contains(&serial) {
                lookup.waiting.push(serial);
            }
            return true;
        }
        let owners = self.pin_homes(key, &model);
        let cached = self.pins.cache.get(key).cloned();
        let Some(cached) = cached else {
            let pin = self.new_pin(key, &customer, &model, 0, now);
            return self.look_up(serial, key, pin, false, owners, now);
        };
        match self.standing(&customer, &cached.pin) {
            Standing::Gone => {
                let generation = cached.pin.generation + 1;
                let pin = self.new_pin(key, &customer, &model, generation, now);
                if pin.is_none() {
                    // The session stays where it is until a version can take it.
                    self.refresh_homes(key, cached, &owners);
                    return false;
                }
                self.look_up(serial, key, pin, true, owners, now)
            }
            Standing::Serves | Standing::NotKnown if cached.epoch != self.pins.epoch => {
                self.look_up(serial, key, Some(cached.pin), false, owners, now)
            }
            Standing::Serves | Standing::NotKnown => {
                self.refresh_homes(key, cached, &owners);
                false
            }
        }
    }

    /// The version of the request's session on this model.
    pub(crate) fn pinned_version(
        &self,
        state: &RequestState,
        session: &SessionId,
        model: &ModelId,
    ) -> Option<VersionId> {
        let key = PinKey::new(&state.customer, session, model);
        self.pins.cache.peek(key).map(|cached| cached.pin.version.clone())
    }

    fn pin_subject(&self, serial: Serial) -> Option<(PinKey, CustomerId, ModelId)> {
        let state = self.requests.get(&serial)?;
        let session = state.request.session.as_ref()?;
        let model = current_model(state)?;
        let key = PinKey::new(&state.customer, session, model);
        Some((key, state.customer.clone(), model.clone()))
    }

    fn new_pin(
        &mut self,
        key: PinKey,
        customer: &CustomerId,
        model: &ModelId,
        generation: u32,
        now: TimeMs,
    ) -> Option<Pin> {
        let version = self.derive_version(Some(key.get()), customer, model)?;
        Some(Pin { generation, since_ms: now, revision: self.revision(), version })
    }

    /// Agents of the model, of which a session has two homes. Any version counts, so the homes
    /// stay the same while a rollout replaces versions.
    fn pin_homes(&self, key: PinKey, model: &ModelId) -> Homes {
        let Some(model) = self.config.current().models.get(model) else {
            return Homes::new();
        };
        let agents = self.members.iter().filter_map(|(agent, member)| {
            let hello = member.hello.as_ref().filter(|_| member.connected)?;
            let serves = model.versions.iter().any(|version| member.serves_version(&version.id));
            (serves && !member.draining).then_some((agent, hello.incarnation))
        });
        let linked = self.members.iter().all(|(_, member)| member.connected);
        rank_owners(key, agents, if linked { LINKED_OWNERS } else { MAX_OWNERS })
    }

    fn standing(&self, customer: &CustomerId, pin: &Pin) -> Standing {
        if self.may_run(customer, &pin.version) {
            let stopped = self.is_stopped(&pin.version);
            if stopped { Standing::Gone } else { Standing::Serves }
        } else if self.revision() < pin.revision {
            Standing::NotKnown
        } else {
            Standing::Gone
        }
    }

    /// Whether the configuration lets sessions of this customer run on the version.
    pub(crate) fn may_run(&self, customer: &CustomerId, version: &VersionId) -> bool {
        let configuration = self.config.current();
        let Some((model, known)) = configuration.version(version) else {
            return false;
        };
        let customer = configuration.customers.get(customer);
        let allowed = customer.is_some_and(|customer| customer.allows_version(model, known));
        allowed && known.state.serves_sessions()
    }

    /// Asks the homes; without homes the proposal holds at this entry.
    fn look_up(
        &mut self,
        serial: Serial,
        key: PinKey,
        proposal: Option<Pin>,
        is_move: bool,
        owners: Homes,
        now: TimeMs,
    ) -> bool {
        if owners.is_empty() {
            if let Some(pin) = proposal {
                self.remember_pin(key, pin, &owners);
                self.note_moved(&[serial], is_move);
            }
            return false;
        }
        for (owner, _) in &owners {
            let pin = proposal.clone();
            let confirmed = false;
            self.send(&owner.clone(), EntryMessage::Pin { key, pin, confirmed });
        }
        let lookup = PinLookup {
            proposal,
            is_move,
            owners,
            replies: SmallVec::new(),
            waiting: vec![serial],
            deadline_ms: now + PIN_TIMEOUT_MS,
        };
        self.pins.lookups.insert(key, lookup);
        true
    }

    /// Sends a cached pin to homes that do not hold it yet, for example after a restart.
    fn refresh_homes(&mut self, key: PinKey, cached: CachedPin, owners: &Homes) {
        let fingerprints = fingerprints(owners);
        if cached.owners == fingerprints {
            return;
        }
        for ((owner, _), fingerprint) in owners.iter().zip(&fingerprints) {
            if !cached.owners.contains(fingerprint) {
                let pin = Some(cached.pin.clone());
                self.send(owner, EntryMessage::Pin { key, pin, confirmed: true });
            }
        }
        self.remember_pin(key, cached.pin, owners);
    }

    fn remember_pin(&mut self, key: PinKey, pin: Pin, owners: &Homes) {
        let epoch = self.pins.epoch;
        let owners = fingerprints(owners);
        self.pins.cache.insert(key, CachedPin { pin, owners, epoch });
    }

    fn note_moved(&mut self, serials: &[Serial], moved: bool) {
        if !moved {
            return;
        }
        for serial in serials {
            if let Some(state) = self.requests.get_mut(serial) {
                state.session_moved = true;
                let request = state.id.clone();
                self.record(Observation::SessionMoved { request });
            }
        }
    }

    pub(crate) fn on_pin_reply(
        &mut self,
        agent: &HostId,
        key: PinKey,
        pin: Option<Pin>,
        known: bool,
        now: TimeMs,
    ) {
        let Some(lookup) = self.pins.lookups.get_mut(&key) else {
            return;
        };
        let asked = lookup.owners.iter().any(|(owner, _)| owner == agent);
        let replied = lookup.replies.iter().any(|reply| reply.owner == *agent);
        if !asked || replied {
            return;
        }
        lookup.replies.push(OwnerReply { owner: agent.clone(), pin, known });
        if lookup.replies.len() == lookup.owners.len() {
            self.settle_pin(key, now);
        }
    }

    /// Ends questions to homes that did not answer in time.
    pub(crate) fn tick_pins(&mut self, now: TimeMs) {
        let late = self.pins.lookups.iter().filter(|(_, lookup)| now >= lookup.deadline_ms);
        let late: Vec<PinKey> = late.map(|(key, _)| *key).collect();
        for key in late {
            self.settle_pin(key, now);
        }
    }

    fn settle_pin(&mut self, key: PinKey, now: TimeMs) {
        let Some(lookup) = self.pins.lookups.remove(&key) else {
            return;
        };
        let (pin, moved) = lookup.result();
        for reply in &lookup.replies {
            if pin.is_some() && reply.pin != pin {
                let pin = pin.clone();
                self.send(&reply.owner, EntryMessage::Pin { key, pin, confirmed: true });
            }
        }
        // Homes that did not reply are sent the pin when they are back.
        let replied = |owner: &HostId| lookup.replies.iter().any(|reply| reply.owner == *owner);
        let owners = lookup.owners.iter().filter(|(owner, _)| replied(owner)).cloned().collect();
        match pin {
            Some(pin) => self.remember_pin(key, pin, &owners),
            None => return self.refuse_unpinned(lookup.waiting, now),
        }
        self.note_moved(&lookup.waiting, moved);
        for serial in lookup.waiting {
            self.dispatch(serial, now);
        }
    }

    /// Refuses new sessions of a model that takes none.
    fn refuse_unpinned(&mut self, waiting: Vec<Serial>, now: TimeMs) {
        for serial in waiting {
            self.refuse(serial, RefusalReason::NoUpstream, Some(RETRY_AFTER_MS), now);
        }
    }

    /// Cached pins are confirmed again after a change of models: other entries may have moved the
    /// session while a version was halted.
    pub(crate) fn on_models_changed(&mut self) {
        self.pins.epoch += 1;
        self.cascades.reset_reference_ratings();
        self.guard.on_configuration(self.config.current());
    }
}

fn fingerprints(owners: &Homes) -> SmallVec<[u64; MAX_OWNERS]> {
    owners.iter().map(|(owner, incarnation)| owner_fingerprint(owner, *incarnation)).collect()
}

/// The model that the request wants to run now.
pub(crate) fn current_model(state: &RequestState) -> Option<&ModelId> {
    match &state.plan {
        Plan::Models { steps, step, .. } => steps.get(*step),
        Plan::Service { .. } => None,
    }
}
