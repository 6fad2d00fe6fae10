//! Settings of an entry, derived by the daemon from its settings file.

use crate::entry::placement::rule::PlacementRule;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RegionId;
use crate::time::DurationMs;

/// Identity and limits of one entry; they do not change while it runs, except the incarnation.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Host that the entry runs on, which also names it to agents.
    pub host: HostId,
    /// Current incarnation of the entry; later ones have higher numbers. It is replaced when an
    /// agent has closed the entry's ledger.
    pub incarnation: Incarnation,
    /// Data centre of the host; upstreams there have the lowest expected latency.
    pub data_centre: DataCentreId,
    /// Region of the data centre.
    pub region: RegionId,
    /// Maximum number of links to agents.
    pub max_links: usize,
    /// Interval at which billing batches are sealed.
    pub billing_interval_ms: DurationMs,
    /// Minimum interval between heartbeats on a link; it is longer while the entry has many links.
    pub heartbeat_interval_ms: DurationMs,
    /// How long an attempt survives the loss of its link.
    pub resume_window_ms: DurationMs,
    /// Maximum number of upstreams that may refuse or fail a request before it is refused; refusals
    /// at the admission limit do not count.
    pub max_attempts: u32,
    /// Maximum number of attempts of one request or cascade step, including all refused ones.
    pub max_dispatches: u32,
    /// Rule by which upstreams are chosen.
    pub placement: PlacementRule,
    /// Maximum number of sampled responses a second that are rated after their delivery.
    pub ratings_per_s: f64,
}

impl EntrySettings {
    /// Creates settings with the default limits and the default placement rule.
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
