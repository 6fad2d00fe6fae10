//! Which data centres can be reached from this gateway.
//!
//! The load that this answers is a link between data centres that carries packets in one direction
//! only, or none. Each upstream behind it would have to fail by itself, and each of these failures
//! costs a request the time of a connection attempt. So if several upstreams of a data centre accept
//! no connection shortly after one another, and none of it does, the others are avoided too.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::DataCentreId;
use crate::id::UpstreamId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Number of upstreams that must be unreachable before the others of a data centre are avoided.
const MIN_UNREACHABLE: usize = 2;
/// How long a data centre is avoided after the last failed connection. Afterwards, a request tries
/// it again.
const AVOIDANCE_MS: DurationMs = DurationMs::new(1_500);

#[derive(Clone, Debug)]
struct Outage {
    /// Upstreams that accepted no connection since any of the data centre last did, as many as are
    /// needed to avoid it.
    unreachable: BTreeSet<UpstreamId>,
    last_failure_at: TimeMs,
}

/// Failed connections by data centre.
#[derive(Clone, Debug, Default)]
pub struct DataCentreReach {
    outages: BTreeMap<DataCentreId, Outage>,
}

impl DataCentreReach {
    /// Records that an upstream accepted no connection.
    pub fn record_unreachable(
        &mut self,
        data_centre: &DataCentreId,
        upstream: &UpstreamId,
        now: TimeMs,
    ) {
        let outage = self
            .outages
            .entry(data_centre.clone())
            .or_insert_with(|| Outage { unreachable: BTreeSet::new(), last_failure_at: now });
        if outage.unreachable.len() < MIN_UNREACHABLE {
            outage.unreachable.insert(upstream.clone());
        }
        outage.last_failure_at = now;
    }

    /// Returns the number of upstreams that are remembered.
    pub fn len(&self) -> usize {
        self.outages.values().map(|outage| outage.unreachable.len()).sum()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that an upstream of the data centre answered.
    pub fn record_reached(&mut self, data_centre: &DataCentreId) {
        self.outages.remove(data_centre);
    }

    /// Returns whether the upstreams of a data centre are to be avoided where there are others.
    pub fn is_avoided(&self, data_centre: &DataCentreId, now: TimeMs) -> bool {
        self.outages.get(data_centre).is_some_and(|outage| {
            outage.unreachable.len() >= MIN_UNREACHABLE
                && now.since(outage.last_failure_at) < AVOIDANCE_MS
        })
    }
}
