//! Selection of the entries that watch the configuration, and scheduling of its reads.
//!
//! Two entries of each data centre, selected by rendezvous hashing over the live entries of the
//! host list, watch the change records in the key-value service. The others pull changes from
//! their peers. Every entry also reads the head about twice a minute, in case both watchers fail
//! before the host list shows it.

use rand::Rng;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::backoff::Backoff;
use crate::host_record::HostRecord;
use crate::host_record::HostRole;
use crate::host_record::HostState;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::time::DurationMs;
use crate::time::TimeMs;

/// Number of watching entries in each data centre. Two, so that the loss of one delays no change.
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Mean time between two reads of the head. 560 entries make 19 reads per second.
const POLL_INTERVAL_MS: u64 = 30_000;

/// Schedule by which one entry reads and watches the configuration in the key-value service.
#[derive(Clone, Debug)]
pub struct ConfigWatch {
    /// Whether this entry watches the change records for its data centre.
    pub is_watcher: bool,
    /// Whether the whole configuration must be read as soon as the back-off allows.
    pub load_pending: bool,
    next_load_at_ms: TimeMs,
    next_poll_at_ms: TimeMs,
    backoff: Backoff,
}

impl ConfigWatch {
    /// Schedules an immediate read. The entry counts as a watcher until a host list arrives.
    pub fn new(now: TimeMs) -> Self {
        Self {
            is_watcher: true,
            load_pending: true,
            next_load_at_ms: now,
            next_poll_at_ms: now + DurationMs::new(POLL_INTERVAL_MS),
            backoff: Backoff::default(),
        }
    }

    /// Applies a host list. An entry that becomes a watcher reads the configuration again and
    /// watches from the store revision of that read, so that it misses no change. A leaving entry
    /// never watches.
    pub fn apply_host_list(
        &mut self,
        own: &HostId,
        data_centre: &DataCentreId,
        records: &[HostRecord],
    ) {
        let was_watcher = self.is_watcher;
        let live = records.iter().filter(|record| {
            record.role == HostRole::Entry
                && record.state == HostState::Live
                && record.data_centre == *data_centre
                && record.host != *own
        });
        let own_rank = rank(own);
        let higher_ranked = live.filter(|record| rank(&record.host) > own_rank).count();
        let leaving =
            records.iter().any(|record| record.host == *own && record.state == HostState::Leaving);
        self.is_watcher = higher_ranked < WATCHERS_PER_DATA_CENTRE && !leaving;
        self.load_pending |= self.is_watcher && !was_watcher;
    }

    /// Whether a read of the whole configuration is pending and the back-off has elapsed.
    pub fn is_load_due(&self, now: TimeMs) -> bool {
        self.load_pending && now >= self.next_load_at_ms
    }

    /// Returns whether the head must be read now and, if so, schedules the next read.
    pub fn start_poll_if_due<R: Rng>(&mut self, now: TimeMs, rng: &mut R) -> bool {
        if now < self.next_poll_at_ms {
            return false;
        }
        let delay_ms = rng.random_range(POLL_INTERVAL_MS * 2 / 3..POLL_INTERVAL_MS * 4 / 3);
        self.next_poll_at_ms = now + DurationMs::new(delay_ms);
        true
    }

    /// Records a successful read and resets the back-off.
    pub const fn record_load(&mut self) {
        self.backoff.record_success();
        self.load_pending = false;
    }

    /// Records a failed read or an interrupted watch, which delays the next read.
    pub fn record_failure<R: Rng>(&mut self, now: TimeMs, rng: &mut R) {
        let backoff_ms = self.backoff.record_failure(rng);
        self.next_load_at_ms = now + backoff_ms;
    }
}

fn rank(host: &HostId) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}
