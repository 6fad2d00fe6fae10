//! Settings of the entry reducer.

use crate::entry::placement::rule::PlacementRule;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RegionId;
use crate::time::DurationMs;

/// Settings of one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// The entry's host.
    pub host: HostId,
    /// This incarnation of the entry; later incarnations have higher numbers.
    pub incarnation: Incarnation,
    /// The entry's data centre.
    pub data_centre: DataCentreId,
    /// The region of that data centre.
    pub region: RegionId,
    /// Links to agents at most.
    pub max_links: usize,
    /// Time between two billing batches.
    pub billing_interval_ms: DurationMs,
    /// Time between two heartbeats on a link.
    pub heartbeat_interval_ms: DurationMs,
    /// How long an attempt survives the loss of its link.
    pub resume_window_ms: DurationMs,
    /// Upstreams that one request may be tried on before it fails, refusals at the admission limit
    /// not included.
    pub max_attempts: u32,
    /// Attempts of one request at most, all refusals included.
    pub max_dispatches: u32,
    /// How upstreams are chosen.
    pub placement: PlacementRule,
    /// Answers outside cascades that are rated, a second.
    pub ratings_per_s: f64,
}

impl EntrySettings {
    /// Settings with the default limits.
    pub fn new(
        host: HostId,
        incarnation: Incarnation,
        data_centre: DataCentreId,
        region: RegionId,
    ) -> Self {
        Self {
            host,
            incarnation,
            data_centre,
            region,
            max_links: 256,
            billing_interval_ms: DurationMs::from_secs(5),
            heartbeat_interval_ms: DurationMs::from_secs(1),
            resume_window_ms: DurationMs::from_secs(10),
            max_attempts: 4,
            max_dispatches: 16,
            placement: PlacementRule::default(),
            ratings_per_s: 5.0,
        }
    }
}
