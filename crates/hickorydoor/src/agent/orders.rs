//! Orders that load and unload versions on the engine.
//!
//! Operators assign versions to an engine in the agent's settings. The agent orders the engine to
//! load assigned versions whose state in the configuration allows them to serve, and to unload
//! withdrawn versions that have no attempts in progress.

use crate::agent::Agent;
use crate::agent::AgentKvPurpose;
use crate::agent::effect::AgentEffect;
use crate::agent::effect::EngineOrder;
use crate::configuration::exception::Override;
use crate::configuration::model::VersionState;
use crate::id::VersionId;
use crate::message::Offer;
use crate::store::kv_call::KvOutcome;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Delay before an order without visible effect is sent again. Loading weights takes minutes when
/// the weight store is busy, and a repeated order must not restart it.
const ORDER_RETRY_MS: DurationMs = DurationMs::from_secs(300);

impl Agent {
    /// Acquires or renews the presence lease and sends due orders.
    pub(crate) fn tick_orders(&mut self, now: TimeMs) {
        if !self.draining
            && let Some(operation) = self.lease.next_call(now)
        {
            self.call_kv(AgentKvPurpose::Lease, operation);
        }
        if !self.engine_reported || self.draining {
            return;
        }
        for order in self.due_orders(now) {
            self.send_order(order, now);
        }
    }

    pub(crate) fn on_lease_outcome(&mut self, outcome: KvOutcome, now: TimeMs) {
        let checks_fencing = !self.ignores_fencing(now);
        self.lease.on_outcome(outcome, checks_fencing, now, &mut self.rng);
    }

    fn ignores_fencing(&self, now: TimeMs) -> bool {
        self.config.current().overrides(now).any(|change| match change {
            Override::IgnoresFencing { upstream } => *upstream == self.settings.upstream,
            _ => false,
        })
    }

    fn due_orders(&self, now: TimeMs) -> Vec<EngineOrder> {
        let Offer::Engine { versions: assigned } = &self.settings.offer else {
            return Vec::new();
        };
        let loaded = &self.report.versions;
        let serves = |state: VersionState| state.serves_sessions();
        let load = assigned
            .iter()
            .filter(|version| !loaded.contains(version))
            .filter(|version| self.version_state(version).is_some_and(serves))
            .map(|version| EngineOrder::Load { version: version.clone() });
        let unload = loaded
            .iter()
            .filter(|version| self.version_state(version) == Some(VersionState::Withdrawn))
            .filter(|version| !self.is_running_version(version))
            .map(|version| EngineOrder::Unload { version: version.clone() });
        let due = |order: &EngineOrder| {
            let latest = self.orders.get(order.version());
            latest.is_none_or(|(sent, at)| sent != order || now >= *at + ORDER_RETRY_MS)
        };
        load.chain(unload).filter(due).collect()
    }

    fn version_state(&self, version: &VersionId) -> Option<VersionState> {
        self.config.current().version(version).map(|(_, version)| version.state)
    }

    /// Sends an order with the fencing number. The lease is checked before each order, because the
    /// process may have been paused since the last check.
    fn send_order(&mut self, order: EngineOrder, now: TimeMs) {
        let Some(fencing) = self.lease.fencing(now) else {
            return;
        };
        self.orders.insert(order.version().clone(), (order.clone(), now));
        self.push(AgentEffect::Order { fencing, order });
    }

    pub(crate) fn revoke_lease(&mut self) {
        if let Some(operation) = self.lease.revoke() {
            self.call_kv(AgentKvPurpose::Lease, operation);
        }
    }
}
