//! Samples that wait for a rating, and verdicts that wait for their report.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::cascades::rating_sampler::RatingSampler;
use crate::id::CascadeId;
use crate::id::HostId;
use crate::id::Serial;
use crate::id::VersionId;
use crate::message::VersionRating;
use crate::time::TimeMs;

/// A sampled answer that waits for its rating.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) agent: HostId,
    pub(super) version: VersionId,
    /// The cascade whose dearest step answered.
    pub(super) reference: Option<CascadeId>,
    pub(super) until_ms: TimeMs,
}

/// Samples and verdicts of an entry.
#[derive(Clone, Debug)]
pub(crate) struct RatingState {
    pub(super) sampler: RatingSampler,
    pub(super) samples: HashMap<(Serial, u32), Sample>,
    pub(super) verdicts: BTreeMap<HostId, Vec<VersionRating>>,
    pub(super) next_report_at_ms: TimeMs,
}

impl RatingState {
    pub(crate) fn new(rate_per_s: f64, now: TimeMs) -> Self {
        Self {
            sampler: RatingSampler::new(rate_per_s, now),
            samples: HashMap::new(),
            verdicts: BTreeMap::new(),
            next_report_at_ms: now,
        }
    }
}
