//! Sampled answers that await their rating, and ratings that await their report to the agents.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::cascades::rating_sampler::RatingSampler;
use crate::id::CascadeId;
use crate::id::HostId;
use crate::id::Serial;
use crate::id::VersionId;
use crate::message::VersionRating;
use crate::time::TimeMs;

/// A sampled answer that awaits its rating.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) agent: HostId,
    pub(super) version: VersionId,
    /// The cascade whose most expensive step served the answer; its rating is the reference for the
    /// cheaper steps. `None` outside of cascades.
    pub(super) reference: Option<CascadeId>,
    pub(super) expires_at_ms: TimeMs,
}

/// Sampler, pending samples and unreported ratings of an entry.
#[derive(Clone, Debug)]
pub(crate) struct RatingState {
    pub(super) sampler: RatingSampler,
    /// Pending samples by request serial and attempt ordinal.
    pub(super) pending_samples: HashMap<(Serial, u32), Sample>,
    pub(super) pending_ratings: BTreeMap<HostId, Vec<VersionRating>>,
    pub(super) next_report_at_ms: TimeMs,
}

impl RatingState {
    pub(crate) fn new(rate_per_s: f64, now: TimeMs) -> Self {
        Self {
            sampler: RatingSampler::new(rate_per_s, now),
            pending_samples: HashMap::new(),
            pending_ratings: BTreeMap::new(),
            next_report_at_ms: now,
        }
    }
}
