//! Which entries watch the configuration, and when it is read again.
//!
//! Two entries of each data centre, chosen by rendezvous hashing over the live entries of the
//! host list, watch the change records. The others pull from their peers. Every entry also reads
//! the head about twice a minute, in case both watchers are lost before the list says so.

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

/// Watching entries of a data centre. Two, so that the loss of one delays nothing.
const WATCHERS: usize = 2;
/// Mean time between two reads of the head: 560 entries make 19 reads a second.
const POLL_MS: u64 = 30_000;

/// State of an entry's connection to the configuration in the key-value service.
#[derive(Clone, Debug)]
pub struct ConfigWatch {
    /// Whether this entry is one of the watchers.
    pub chosen: bool,
    /// Whether the whole configuration is to be read.
    pub wants_load: bool,
    next_load_at_ms: TimeMs,
    next_poll_at_ms: TimeMs,
    backoff: Backoff,
}

impl ConfigWatch {
    /// Reads the configuration at once. Until a host list arrives, the entry counts as chosen.
    pub fn new(now: TimeMs) -> Self {
        Self {
            chosen: true,
            wants_load: true,
            next_load_at_ms: now,
            next_poll_at_ms: now + DurationMs::new(POLL_MS),
            backoff: Backoff::default(),
        }
    }

    /// Takes over a host list. An entry that becomes a watcher reads the configuration again, so
    /// that its watch starts without a gap.
    pub fn elect(&mut self, own: &HostId, data_centre: &DataCentreId, records: &[HostRecord]) {
        let was_chosen = self.chosen;
        let live = records.iter().filter(|record| {
            record.role == HostRole::Entry
                && record.state == HostState::Live
                && record.data_centre == *data_centre
                && record.host != *own
        });
        let own_rank = rank(own);
        let before = live.filter(|record| rank(&record.host) > own_rank).count();
        let leaving =
            records.iter().any(|record| record.host == *own && record.state == HostState::Leaving);
        self.chosen = before < WATCHERS && !leaving;
        self.wants_load |= self.chosen && !was_chosen;
    }

    /// Whether the configuration is to be read now.
    pub fn is_load_due(&self, now: TimeMs) -> bool {
        self.wants_load && now >= self.next_load_at_ms
    }

    /// Whether the head is to be read now; plans the next time.
    pub fn take_poll<R: Rng>(&mut self, now: TimeMs, rng: &mut R) -> bool {
        if now < self.next_poll_at_ms {
            return false;
        }
        let wait_ms = rng.random_range(POLL_MS * 2 / 3..POLL_MS * 4 / 3);
        self.next_poll_at_ms = now + DurationMs::new(wait_ms);
        true
    }

    /// Notes that the configuration was read.
    pub const fn loaded(&mut self) {
        self.backoff.record_success();
        self.wants_load = false;
    }

    /// Notes that a read failed or a watch was cut.
    pub fn failed<R: Rng>(&mut self, now: TimeMs, rng: &mut R) {
        let pause_ms = self.backoff.record_failure(rng);
        self.next_load_at_ms = now + pause_ms;
    }
}

fn rank(host: &HostId) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}
