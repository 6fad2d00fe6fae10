//! Keys in the key-value service.
//!
//! All keys start with `/hickorydoor/` and a segment for the type of data. They are part of the
//! stored format.

use compact_str::CompactString;
use compact_str::format_compact;

use crate::configuration::item::ItemKey;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::ModelId;
use crate::id::Revision;
use crate::id::Sequence;
use crate::id::ServiceName;
use crate::id::UpstreamId;

/// Prefix of the keys of configuration items; see [`item`].
pub const CONFIG_PREFIX: &str = "/hickorydoor/config/";
/// Key of the newest configuration revision and the id of its change.
pub const HEAD: &str = "/hickorydoor/head";
/// Prefix of the keys of change records; see [`change`].
pub const CHANGES_PREFIX: &str = "/hickorydoor/changes/";
/// Prefix of the keys of all billing ledgers; see [`ledger`].
pub const BILLS_PREFIX: &str = "/hickorydoor/bills/";
/// Prefix of the keys that reserve rollouts; see [`rollout_lease`].
pub const ROLLOUTS_PREFIX: &str = "/hickorydoor/rollouts/";

/// Prefix of the presence keys of agents; see [`presence`].
pub const PRESENCE_PREFIX: &str = "/hickorydoor/presence/";
/// Prefix of the keys that claim idempotency keys; see [`claim`].
pub const CLAIMS_PREFIX: &str = "/hickorydoor/claims/";

/// Decimal digits of numbers in keys. 20 digits hold every `u64`, so keys sort in numeric order.
const NUMBER_WIDTH: usize = 20;

/// Returns the key of a configuration item, `{kind}/{id}` after [`CONFIG_PREFIX`].
pub fn item(key: &ItemKey) -> CompactString {
    format_compact!("{CONFIG_PREFIX}{key}")
}

/// Returns the key of the change record of a revision.
pub fn change(revision: Revision) -> CompactString {
    format_compact!("{CHANGES_PREFIX}{:0width$}", revision.get(), width = NUMBER_WIDTH)
}

/// Returns the prefix of all keys in the billing ledger of one incarnation of an entry.
pub fn ledger(entry: &HostId, incarnation: Incarnation) -> CompactString {
    format_compact!("{BILLS_PREFIX}{entry}/{incarnation}/")
}

/// Returns the key of a billing batch that the entry itself has written.
pub fn batch(entry: &HostId, incarnation: Incarnation, sequence: Sequence) -> CompactString {
    let ledger = ledger(entry, incarnation);
    format_compact!("{ledger}batch/{:0width$}", sequence.get(), width = NUMBER_WIDTH)
}

/// Returns the key that is attached to the lease on a model's rollout.
pub fn rollout_lease(model: &ModelId) -> CompactString {
    format_compact!("{ROLLOUTS_PREFIX}{model}")
}

/// Returns the key whose presence closes a ledger: its entry cannot store further batches, and
/// agents store recovered batches instead.
pub fn ledger_closed(entry: &HostId, incarnation: Incarnation) -> CompactString {
    let ledger = ledger(entry, incarnation);
    format_compact!("{ledger}closed")
}

/// Returns the key of the serial numbers of all settled requests of a ledger: those contained in
/// its batches and those that are not billed.
pub fn ledger_settled(entry: &HostId, incarnation: Incarnation) -> CompactString {
    let ledger = ledger(entry, incarnation);
    format_compact!("{ledger}settled")
}

/// Returns the key of a batch that an agent has written in place of a failed entry.
///
/// The agent's incarnation is part of the key because a restarted agent numbers its batches from 0
/// again.
pub fn recovered_batch(
    ledger_of: (&HostId, Incarnation),
    agent: (&HostId, Incarnation),
    sequence: Sequence,
) -> CompactString {
    let ledger = ledger(ledger_of.0, ledger_of.1);
    let (host, incarnation) = agent;
    let number = sequence.get();
    format_compact!("{ledger}recovered/{host}/{incarnation}/{number:0width$}", width = NUMBER_WIDTH)
}

/// Returns the key of the claim on a caller's idempotency key for a plain service.
pub fn claim(service: &ServiceName, key_digest: &str) -> CompactString {
    format_compact!("{CLAIMS_PREFIX}{service}/{key_digest}")
}

/// Returns the presence key of the agent of an upstream.
///
/// The create revision of this key is the agent's fencing number.
pub fn presence(upstream: &UpstreamId) -> CompactString {
    format_compact!("{PRESENCE_PREFIX}{upstream}")
}
