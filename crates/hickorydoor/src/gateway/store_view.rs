//! What the gateway knows from the store, and how it changes.
//!
//! Items of one key arrive in the order of their changes, but the store may come back from an older
//! copy. The copy lacks acknowledged changes: it may still hold what was withdrawn and lack what was
//! ordered. The operator and the upstreams write again what they had written, and the gateways what
//! they own. Until then, for [`RESTORE_WINDOW_MS`], the gateway keeps to what restricts it more: a
//! configuration is replaced only by one with a higher version, a data centre stays out, an upstream
//! that has left or is draining stays so, and an order that replaced another one stays in force.
//!
//! A gateway that starts knows nothing to keep to. So the era is noted in the store once that time is
//! over. Whoever reads an era that is not noted yet, and has no view of another gateway, takes what it
//! reads for a copy, and rejects requests for the same time or until the operator has written a newer
//! configuration.

use std::collections::HashSet;
use std::sync::Arc;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::catalog::Catalog;
use crate::gateway::digest_pace::regular_interval_ms;
use crate::gateway::digest_pace::urgent_interval_ms;
use crate::gateway::effect::GatewayEffect;
use crate::gateway::event::GatewayEvent;
use crate::gateway::freshness::RESTORE_WINDOW_MS;
use crate::gateway::member::GatewayMember;
use crate::gateway::quarantine::PartItemKey;
use crate::gateway::reducer::Gateway;
use crate::gateway::rollout::Rollout;
use crate::gateway::rollout::RolloutOrder;
use crate::gateway::rollout::RolloutPhase;
use crate::gateway::rollout::RolloutRecord;
use crate::gateway::store_listing::StoreListing;
use crate::gateway::store_position::StoreEra;
use crate::gateway::store_position::StorePosition;
use crate::gateway::upstreams::Registration;
use crate::gateway::view_role::ViewRole;
use crate::gateway::view_role::view_role;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::ModelId;
use crate::id::ServiceName;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long upstreams are treated as cold after their data centre was taken back.
const REOPENED_COLD_MS: DurationMs = DurationMs::new(1_500);
/// Time for which a gateway leaves a write to each of those whose turn comes before.
const TURN_MS: u64 = 400;
/// Time after which the note is written again if the store still lacks it.
const ERA_RETRY_MS: DurationMs = DurationMs::from_secs(2);

impl Gateway {
    /// Returns the position in the store up to which changes have been applied; `None` before the
    /// first synchronization.
    pub const fn store_position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Returns the current era of the store; `None` before the first synchronization.
    pub const fn store_era(&self) -> Option<StoreEra> {
        self.era
    }

    /// Returns the other live gateways, in the order of their hosts.
    pub fn peers(&self) -> impl Iterator<Item = &GatewayMember> {
        self.members.values().filter(|member| member.host != self.settings.host)
    }

    /// Returns whether the store holds the presence of this gateway, as far as is known.
    pub fn is_listed(&self) -> bool {
        self.members.is_present(&self.settings.host)
    }

    /// Returns whether a data centre is out, so that its upstreams get no requests.
    pub fn is_out(&self, data_centre: &DataCentreId) -> bool {
        self.closed_data_centres.contains_key(data_centre)
    }

    /// Returns whether an upstream is known and not leaving.
    pub fn is_in_use(&self, upstream: &UpstreamId) -> bool {
        self.pool.get(upstream).is_some_and(|known| !known.registration.draining)
    }

    /// Returns the phase of the rollout of a service; `None` without one, or before its start.
    pub fn rollout_phase(&self, service: &ServiceName) -> Option<RolloutPhase> {
        self.rollouts.get(service)?.phase()
    }

    /// Returns how this gateway learns the changes in the store.
    pub fn view_role(&self) -> ViewRole {
        let members: Vec<&GatewayMember> = self.members.values().collect();
        view_role(&self.settings.member(), &members)
    }

    /// Returns what this gateway knows from the store, as the events that another gateway applies
    /// to know the same. `known` is the position up to which the other one knows the changes. The
    /// view ends with the complete list.
    pub fn view(&self, known: Option<StorePosition>, now: TimeMs) -> Vec<GatewayEvent> {
        let mut events = Vec::new();
        let is_restored = |era: StoreEra| {
            self.freshness.is_restoring(now) || known.is_some_and(|known| known.era < era)
        };
        let restored = self.era.filter(|era| is_restored(*era));
        events.extend(restored.map(|era| {
            if self.freshness.is_unproven() {
                GatewayEvent::StoreUnproven { era }
            } else {
                GatewayEvent::StoreRestored { era }
            }
        }));
        events.extend(self.noted_era.map(GatewayEvent::StoreEraNoted));
        events.extend(self.members.values().cloned().map(GatewayEvent::GatewayJoined));
        for (upstream, departure) in self.pool.departures() {
            let (upstream, departure) = (upstream.clone(), *departure);
            events.push(GatewayEvent::UpstreamDeparted { upstream, departure });
        }
        for upstream in self.pool.iter().filter(|upstream| upstream.missing_since.is_none()) {
            let mut registration = upstream.registration.clone();
            let cold_ms = upstream.cold_until.map(|until| until.since(now));
            registration.cold_ms = cold_ms.unwrap_or_default();
            events.push(GatewayEvent::Registered(Box::new(registration)));
        }
        let closed = self.closed_data_centres.keys();
        events.extend(closed.cloned().map(GatewayEvent::DataCentreOut));
        let allowed = self.quarantine.allowed_parts();
        events.extend(allowed.cloned().map(GatewayEvent::PartAllowed));
        let items = self.quarantine.stored_items(now).into_iter();
        events.extend(items.map(|item| GatewayEvent::PartItemStored(Box::new(item))));
        for rollout in self.rollouts.values() {
            let (order, age_ms) = (rollout.order().clone(), rollout.age_ms(now));
            events.push(GatewayEvent::RolloutOrdered { order, age_ms });
            let record = rollout.record().cloned();
            let record = record.map(|record| RolloutRecord { order_age_ms: None, ..record });
            events.extend(record.map(GatewayEvent::RolloutRecorded));
        }
        events.extend(self.catalog.clone().map(GatewayEvent::Configured));
        events.push(GatewayEvent::StoreListed(Box::new(self.listing())));
        events
    }

    /// Returns whether an event of the view says nothing new, since this gateway knows the same or
    /// something later.
    pub fn is_known(&self, event: &GatewayEvent) -> bool {
        match event {
            GatewayEvent::Configured(catalog) => {
                self.catalog.as_ref().is_some_and(|known| known.version() >= catalog.version())
            }
            GatewayEvent::Registered(registration) => {
                let known = self.pool.get(&registration.upstream);
                known.is_some_and(|known| {
                    known.missing_since.is_none() && known.registration == **registration
                })
            }
            GatewayEvent::Deregistered(upstream)
            | GatewayEvent::UpstreamDeparted { upstream, .. } => self.pool.get(upstream).is_none(),
            GatewayEvent::RolloutOrdered { order, .. } => {
                let known = self.rollouts.get(&order.service);
                known.is_some_and(|known| known.order().position >= order.position)
            }
            GatewayEvent::RolloutRecorded(record) => {
                let known = self.records.get(&record.service);
                known.is_some_and(|known| known.position >= record.position)
            }
            GatewayEvent::DataCentreOut(id) => self.closed_data_centres.is_present(id),
            GatewayEvent::DataCentreIn(id) => !self.closed_data_centres.contains_key(id),
            GatewayEvent::PartAllowed(part) => self.quarantine.is_allowed(part),
            GatewayEvent::PartNotAllowed(part) => !self.quarantine.is_allowed(part),
            GatewayEvent::StoreEraNoted(era) => self.noted_era == Some(*era),
            GatewayEvent::PartItemStored(stored) => self.quarantine.is_stored(stored),
            GatewayEvent::PartItemRemoved(key) => {
                !self.quarantine.stored_keys().any(|known| known == key)
            }
            GatewayEvent::GatewayJoined(member) => {
                self.members.is_present(&member.host)
                    && self.members.get(&member.host) == Some(member)
            }
            GatewayEvent::GatewayLeft(host) => !self.members.contains_key(host),
            _ => false,
        }
    }

    fn listing(&self) -> StoreListing {
        let registered = self.pool.iter().filter(|upstream| upstream.missing_since.is_none());
        StoreListing {
            upstreams: registered.map(|known| known.registration.upstream.clone()).collect(),
            gateways: self.members.present_keys().cloned().collect(),
            closed_data_centres: self.closed_data_centres.present_keys().cloned().collect(),
            allowed_parts: self.quarantine.allowed_parts().cloned().collect(),
            recorded_rollouts: self.records.keys().cloned().collect(),
            part_items: self.quarantine.stored_keys().cloned().collect(),
        }
    }

    pub(super) fn on_store_restored(&mut self, era: StoreEra, now: TimeMs) {
        self.era = Some(era);
        self.is_reading_copy = true;
        self.freshness.record_restore(now);
    }

    pub(super) fn on_store_unproven(&mut self, era: StoreEra, now: TimeMs) {
        let is_known = self.freshness.age_ms(now).is_some();
        if is_known && self.era >= Some(era) {
            return;
        }
        self.on_store_restored(era, now);
        if !is_known {
            self.freshness.record_unproven(now);
        }
    }

    /// Has the era of the store noted in it once what a copy lacked has been written again. Gateways
    /// take turns.
    pub(super) fn note_store_era(&mut self, now: TimeMs, effects: &mut Vec<GatewayEffect>) {
        let Some(era) = self.era.filter(|era| *era > StoreEra::default()) else {
            return;
        };
        let is_settled = !self.freshness.is_restoring(now) && !self.freshness.is_unproven();
        if self.noted_era >= Some(era) || !is_settled || !self.is_store_answering(now) {
            self.era_due_since = None;
            return;
        }
        let since = *self.era_due_since.get_or_insert(now);
        if now >= since + self.turn_wait_ms() {
            self.era_due_since = Some(now + ERA_RETRY_MS);
            effects.push(GatewayEffect::NoteStoreEra(era));
        }
    }

    /// Returns how long this gateway leaves it to others to write what all know. All gateways know the
    /// order of their turns without messages.
    pub(super) fn turn_wait_ms(&self) -> DurationMs {
        let hash = |host: &HostId| xxh3_64(host.as_str().as_bytes());
        let own = hash(&self.settings.host);
        let before = self.gateways.iter().filter(|host| hash(host) < own).count();
        DurationMs::new(TURN_MS * before as u64)
    }

    pub(super) fn on_store_synced(
        &mut self,
        synced_at: TimeMs,
        position: StorePosition,
        now: TimeMs,
    ) {
        self.era.get_or_insert(position.era);
        self.position = Some(position);
        self.freshness.record_sync(synced_at, now);
    }

    pub(super) fn on_configured(&mut self, catalog: Arc<Catalog>) {
        let known = self.catalog.as_ref().map(|known| known.version());
        if known.is_some_and(|known| known >= catalog.version()) {
            return;
        }
        for spec in catalog.services() {
            self.model_table.set_prices(&spec.models);
        }
        if known.is_some() {
            self.freshness.record_new_configuration();
        }
        self.forget_unconfigured(&catalog);
        self.catalog = Some(catalog);
        self.update_route_claims();
    }

    /// Drops what was learned of routes, services and models that are not configured any more.
    fn forget_unconfigured(&mut self, catalog: &Catalog) {
        let routes: HashSet<&CompactString> = catalog.routes().map(|route| &route.name).collect();
        let is_route = |route: &CompactString| routes.contains(route);
        self.sizes.retain(is_route);
        self.typical_times.retain(is_route);
        self.route_durations.retain(is_route);
        self.retry_budgets.retain(|service, _| catalog.service(service).is_some());
        self.starts.retain(|service, _| catalog.service(service).is_some());
        let models = catalog.services().flat_map(|spec| &spec.models);
        let models: HashSet<&ModelId> = models.map(|offered| &offered.model).collect();
        self.model_table.retain(|model| models.contains(model));
    }

    pub(super) fn on_registered(&mut self, registration: Registration, now: TimeMs) {
        if self.is_reading_copy {
            self.pool.register_from_copy(registration, now);
        } else {
            self.pool.register(registration, now);
        }
    }

    /// Removes what a complete read did not find, or keeps it for a while if the store is unstable.
    pub(super) fn on_store_listed(&mut self, listing: &StoreListing, now: TimeMs) {
        let store_unstable = self.is_store_unstable(now);
        self.pool.retain(&|id| listing.upstreams.contains(id), store_unstable, now);
        let absent: Vec<HostId> =
            self.members.keys().filter(|host| !listing.gateways.contains(host)).cloned().collect();
        for host in absent {
            self.on_gateway_left(&host, now);
        }
        let is_open = |id: &&DataCentreId| !listing.closed_data_centres.contains(id);
        let reopened: Vec<DataCentreId> =
            self.closed_data_centres.keys().filter(is_open).cloned().collect();
        for data_centre in reopened {
            if self.freshness.is_restoring(now) {
                self.closed_data_centres.mark_missing(&data_centre, now);
            } else {
                self.on_data_centre_in(&data_centre, now);
            }
        }
        self.quarantine.retain_allowed(&listing.allowed_parts);
        let is_over = !store_unstable && !self.freshness.is_restoring(now);
        let stored = self.quarantine.stored_keys();
        let absent: Vec<PartItemKey> =
            stored.filter(|key| !listing.part_items.contains(key)).cloned().collect();
        for key in absent {
            self.quarantine.apply_stored_removal(&key, is_over, now);
        }
        if let Some(era) = self.era {
            for (service, rollout) in &mut self.rollouts {
                if !listing.recorded_rollouts.contains(service) {
                    rollout.set_unrecorded(era);
                }
            }
        }
        self.is_reading_copy = false;
    }

    /// Removes what the store has lacked for too long, and applies deferred orders.
    pub(super) fn expire_retained(&mut self, now: TimeMs) {
        for data_centre in self.closed_data_centres.remove_expired(RESTORE_WINDOW_MS, now) {
            self.pool.mark_data_centre_cold(&data_centre, REOPENED_COLD_MS, now);
        }
        let grace_ms = self.settings.store_recovery_grace_ms;
        if !self.freshness.is_unreachable()
            && !self.members.remove_expired(grace_ms, now).is_empty()
        {
            self.update_gateways();
        }
        if !self.deferred_orders.is_empty() && !self.freshness.is_restoring(now) {
            for (_, order) in std::mem::take(&mut self.deferred_orders) {
                self.start_rollout(order, None, now);
            }
        }
    }

    pub(super) fn on_data_centre_in(&mut self, id: &DataCentreId, now: TimeMs) {
        if self.closed_data_centres.remove(id) {
            self.pool.mark_data_centre_cold(id, REOPENED_COLD_MS, now);
        }
    }

    pub(super) fn on_gateway_left(&mut self, host: &HostId, now: TimeMs) {
        if self.is_store_unstable(now) {
            self.members.mark_missing(host, now);
        } else if self.members.remove(host) {
            self.peer_demand.remove(host);
            self.update_gateways();
        }
    }

    pub(super) fn update_gateways(&mut self) {
        let mut gateways: Vec<HostId> = self.members.keys().cloned().collect();
        if !gateways.contains(&self.settings.host) {
            gateways.push(self.settings.host.clone());
        }
        gateways.sort();
        self.contact.retain(&gateways);
        self.silent_issuers.retain(&gateways);
        self.peers.retain(|host, _| gateways.binary_search(host).is_ok());
        self.gateways = gateways;
        let peers = self.gateways.len().saturating_sub(1);
        self.trial_slots.clear();
        let regular_ms = regular_interval_ms(DurationMs::default(), peers);
        self.quarantine.set_report_delay(urgent_interval_ms(peers), regular_ms);
    }

    pub(super) fn on_rollout_ordered(
        &mut self,
        order: RolloutOrder,
        age_ms: Option<DurationMs>,
        now: TimeMs,
    ) {
        let is_from_copy = self.is_reading_copy;
        let is_restoring = self.freshness.is_restoring(now);
        self.deferred_orders.remove(&order.service);
        let Some(known) = self.rollouts.get_mut(&order.service) else {
            return self.start_rollout(order, age_ms, now);
        };
        let known_position = known.order().position;
        if order.position <= known_position {
            return;
        }
        let is_in_new_era = order.position.era > known_position.era;
        let is_unchanged = order.position.revision == known_position.revision || is_restoring;
        if is_in_new_era && is_unchanged && known.order().is_same_rollout(&order) {
            known.move_order(order.position, now);
        } else if is_from_copy {
            self.deferred_orders.insert(order.service.clone(), order);
        } else {
            self.start_rollout(order, age_ms, now);
        }
    }

    fn start_rollout(&mut self, order: RolloutOrder, age_ms: Option<DurationMs>, now: TimeMs) {
        let record = self.records.get(&order.service).cloned();
        self.rollouts.insert(order.service.clone(), Rollout::new(order, age_ms, record, now));
    }

    pub(super) fn on_rollout_recorded(&mut self, record: RolloutRecord, now: TimeMs) {
        if let Some(rollout) = self.rollouts.get_mut(&record.service) {
            rollout.set_record(record.clone(), now);
        }
        let known = self.records.get(&record.service);
        if known.is_none_or(|known| known.position <= record.position) {
            self.records.insert(record.service.clone(), record);
        }
    }
}
