//! When the room of an upstream is scarce.

use std::collections::HashMap;
use std::sync::Arc;

use crate::gateway::catalog::Catalog;
use crate::gateway::upstreams::Upstream;
use crate::id::ServiceName;
use crate::time::DurationMs;

/// Share of the slots in use from which on room is scarce: the last quarter is used up by a few
/// gateways that do not yet know of each other's requests.
const SCARCE_SLOT_SHARE: f64 = 0.75;
/// Share of the shortest objective from which on the backlog makes room scarce: beyond it, two
/// gateways that send at the same time make both answers late.
const SCARCE_BACKLOG_SHARE: f64 = 0.5;

/// Returns whether the room of an upstream is scarce. `objective_ms` is the shortest objective of the
/// routes of its service, and `awaited_slots` the number of its slots that requests at other gateways
/// wait for, which are as good as in use.
pub fn is_scarce(
    upstream: &Upstream,
    objective_ms: Option<DurationMs>,
    awaited_slots: f64,
) -> bool {
    let slots = f64::from(upstream.registration.slots.max(1));
    let used_slots = f64::from(upstream.total_in_flight()) + awaited_slots;
    let has_few_slots = used_slots >= slots * SCARCE_SLOT_SHARE;
    has_few_slots
        || objective_ms.is_some_and(|objective_ms| {
            upstream.backlog_ms() > objective_ms.as_f64() * SCARCE_BACKLOG_SHARE
        })
}

/// Shortest objective of the routes of each service in the configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Objectives {
    catalog: Option<Arc<Catalog>>,
    by_service: HashMap<ServiceName, DurationMs>,
}

impl Objectives {
    /// Follows the configuration.
    pub fn update(&mut self, catalog: Option<&Arc<Catalog>>) {
        let is_known = match (catalog, &self.catalog) {
            (Some(catalog), Some(known)) => Arc::ptr_eq(catalog, known),
            (None, None) => true,
            _ => false,
        };
        if is_known {
            return;
        }
        self.catalog = catalog.cloned();
        self.by_service.clear();
        for route in catalog.iter().flat_map(|catalog| catalog.routes()) {
            for backend in &route.backends {
                let entry = self.by_service.entry(backend.service.clone());
                let shortest = entry.or_insert(route.objective_ms);
                *shortest = (*shortest).min(route.objective_ms);
            }
        }
    }

    /// Returns the shortest objective of the routes of a service; `None` if it has no route.
    pub fn shortest(&self, service: &ServiceName) -> Option<DurationMs> {
        self.by_service.get(service).copied()
    }
}
