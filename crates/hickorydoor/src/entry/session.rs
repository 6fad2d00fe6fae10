//! Pinning of sessions to model versions.
//!
//! The pin of a session is stored at its owner agents, which every entry derives from the same
//! hash. An entry serves a session from its cache of pins; if the pin is missing, or the models
//! have changed since it was confirmed, the entry first queries the owner agents and requests of
//! the session wait for the result.

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

/// Retry delay sent to clients when no version accepts their new session.
const RETRY_AFTER_MS: DurationMs = DurationMs::from_secs(1);

type Owners = SmallVec<[(HostId, Incarnation); MAX_OWNERS]>;

/// Whether the version of a pin may still serve its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PinValidity {
    /// The configuration allows it and this entry has not stopped the version.
    Valid,
    /// The version is withdrawn, halted, deleted, no longer allowed for the customer, or stopped by
    /// this entry.
    Invalid,
    /// The pin was made under a newer configuration than the one in force at this entry.
    Undetermined,
}

impl Entry {
    /// Determines the version of the request's session, and moves the session if its version may no
    /// longer serve it. Returns whether the request must wait for the session's owner agents.
    pub(crate) fn await_pin(&mut self, serial: Serial, now: TimeMs) -> bool {
        let Some((key, customer, model)) = self.pin_target(serial) else {
            return false;
        };
        if let Some(lookup) = self.pins.lookups.get_mut(&key) {
            if !lookup.waiting.contains(&serial) {
                lookup.waiting.push(serial);
            }
            return true;
        }
        let owners = self.pin_owners(key, &model);
        let cached = self.pins.cache.get(key).cloned();
        let Some(cached) = cached else {
            let pin = self.new_pin(key, &customer, &model, 0, now);
            return self.query_owners(serial, key, pin, false, owners, now);
        };
        match self.pin_validity(&customer, &cached.pin) {
            PinValidity::Invalid => {
                let generation = cached.pin.generation + 1;
                let pin = self.new_pin(key, &customer, &model, generation, now);
                if pin.is_none() {
                    // No version can accept the session, so it keeps its pin for now.
                    self.refresh_owners(key, cached, &owners);
                    return false;
                }
                self.query_owners(serial, key, pin, true, owners, now)
            }
            PinValidity::Valid | PinValidity::Undetermined if cached.epoch != self.pins.epoch => {
                self.query_owners(serial, key, Some(cached.pin), false, owners, now)
            }
            PinValidity::Valid | PinValidity::Undetermined => {
                self.refresh_owners(key, cached, &owners);
                false
            }
        }
    }

    /// Returns the cached version of a session on this model; `None` if no pin is cached.
    pub(crate) fn pinned_version(
        &self,
        state: &RequestState,
        session: &SessionId,
        model: &ModelId,
    ) -> Option<VersionId> {
        let key = PinKey::new(&state.customer, session, model);
        self.pins.cache.peek(key).map(|cached| cached.pin.version.clone())
    }

    fn pin_target(&self, serial: Serial) -> Option<(PinKey, CustomerId, ModelId)> {
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

    /// Returns the owner agents of a session: two of the model's agents while this entry is
    /// connected to all listed agents, more otherwise. Agents of every version are candidates, so
    /// that the owner agents stay the same while a rollout replaces versions.
    fn pin_owners(&self, key: PinKey, model: &ModelId) -> Owners {
        let Some(model) = self.config.current().models.get(model) else {
            return Owners::new();
        };
        let agents = self.members.iter().filter_map(|(agent, member)| {
            let hello = member.hello.as_ref().filter(|_| member.connected)?;
            let serves = model.versions.iter().any(|version| member.serves_version(&version.id));
            (serves && !member.draining).then_some((agent, hello.incarnation))
        });
        let all_connected = self.members.iter().all(|(_, member)| member.connected);
        rank_owners(key, agents, if all_connected { LINKED_OWNERS } else { MAX_OWNERS })
    }

    fn pin_validity(&self, customer: &CustomerId, pin: &Pin) -> PinValidity {
        if self.may_run(customer, &pin.version) {
            let stopped = self.is_stopped(&pin.version);
            if stopped { PinValidity::Invalid } else { PinValidity::Valid }
        } else if self.revision() < pin.revision {
            PinValidity::Undetermined
        } else {
            PinValidity::Invalid
        }
    }

    /// Whether the configuration allows sessions of this customer on the version.
    pub(crate) fn may_run(&self, customer: &CustomerId, version: &VersionId) -> bool {
        let configuration = self.config.current();
        let Some((model, known)) = configuration.version(version) else {
            return false;
        };
        let customer = configuration.customers.get(customer);
        let allowed = customer.is_some_and(|customer| customer.allows_version(model, known));
        allowed && known.state.serves_sessions()
    }

    /// Queries the owner agents and returns `true`. Without owner agents the proposal is cached as
    /// the pin at this entry alone and the request need not wait.
    fn query_owners(
        &mut self,
        serial: Serial,
        key: PinKey,
        proposal: Option<Pin>,
        is_move: bool,
        owners: Owners,
        now: TimeMs,
    ) -> bool {
        if owners.is_empty() {
            if let Some(pin) = proposal {
                self.cache_pin(key, pin, &owners);
                self.record_moves(&[serial], is_move);
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

    /// Sends a cached pin to owner agents that do not store it yet, for example after a restart.
    fn refresh_owners(&mut self, key: PinKey, cached: CachedPin, owners: &Owners) {
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
        self.cache_pin(key, cached.pin, owners);
    }

    fn cache_pin(&mut self, key: PinKey, pin: Pin, owners: &Owners) {
        let epoch = self.pins.epoch;
        let owners = fingerprints(owners);
        self.pins.cache.insert(key, CachedPin { pin, owners, epoch });
    }

    fn record_moves(&mut self, serials: &[Serial], moved: bool) {
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
        let is_owner = lookup.owners.iter().any(|(owner, _)| owner == agent);
        let replied = lookup.replies.iter().any(|reply| reply.owner == *agent);
        if !is_owner || replied {
            return;
        }
        lookup.replies.push(OwnerReply { owner: agent.clone(), pin, known });
        if lookup.replies.len() == lookup.owners.len() {
            self.finish_lookup(key, now);
        }
    }

    /// Completes lookups whose owner agents did not all reply before the timeout.
    pub(crate) fn tick_pins(&mut self, now: TimeMs) {
        let overdue = self.pins.lookups.iter().filter(|(_, lookup)| now >= lookup.deadline_ms);
        let overdue: Vec<PinKey> = overdue.map(|(key, _)| *key).collect();
        for key in overdue {
            self.finish_lookup(key, now);
        }
    }

    fn finish_lookup(&mut self, key: PinKey, now: TimeMs) {
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
        // Owner agents that did not reply are left out here, so they are sent the pin once they are
        // connected again.
        let replied = |owner: &HostId| lookup.replies.iter().any(|reply| reply.owner == *owner);
        let owners = lookup.owners.iter().filter(|(owner, _)| replied(owner)).cloned().collect();
        match pin {
            Some(pin) => self.cache_pin(key, pin, &owners),
            None => return self.refuse_unpinned(lookup.waiting, now),
        }
        self.record_moves(&lookup.waiting, moved);
        for serial in lookup.waiting {
            self.dispatch(serial, now);
        }
    }

    /// Refuses requests whose session has no pin and for which no version accepts new sessions.
    fn refuse_unpinned(&mut self, waiting: Vec<Serial>, now: TimeMs) {
        for serial in waiting {
            self.refuse(serial, RefusalReason::NoUpstream, Some(RETRY_AFTER_MS), now);
        }
    }

    /// Handles a change of the configured models or of the stopped versions. Cached pins must then
    /// be confirmed again, since other entries may have moved the session while a version was
    /// halted.
    pub(crate) fn on_models_changed(&mut self) {
        self.pins.epoch += 1;
        self.cascades.reset_reference_ratings();
        self.guard.on_configuration(self.config.current());
    }
}

fn fingerprints(owners: &Owners) -> SmallVec<[u64; MAX_OWNERS]> {
    owners.iter().map(|(owner, incarnation)| owner_fingerprint(owner, *incarnation)).collect()
}

/// Returns the model of the request's current step; `None` for plain services.
pub(crate) fn current_model(state: &RequestState) -> Option<&ModelId> {
    match &state.plan {
        Plan::Models { steps, step, .. } => steps.get(*step),
        Plan::Service { .. } => None,
    }
}
