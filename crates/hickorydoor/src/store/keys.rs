//! Key paths in the key-value service.

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

/// Prefix of all configuration items.
pub const CONFIG_PREFIX: &str = "/hickorydoor/config/";
/// Key of the head: the newest revision and its change id.
pub const HEAD: &str = "/hickorydoor/head";
/// Prefix of all change records.
pub const CHANGES_PREFIX: &str = "/hickorydoor/changes/";
/// Prefix of all billing ledgers.
pub const BILLS_PREFIX: &str = "/hickorydoor/bills/";
/// Prefix of all rollout leases.
pub const ROLLOUTS_PREFIX: &str = "/hickorydoor/rollouts/";

/// Prefix of the presence keys of all agents.
pub const PRESENCE_PREFIX: &str = "/hickorydoor/presence/";
/// Prefix of all claims of idempotency keys.
pub const CLAIMS_PREFIX: &str = "/hickorydoor/claims/";

// Twenty digits hold every u64, so that keys sort in numeric order.
const NUMBER_WIDTH: usize = 20;

/// Key of a configuration item.
pub fn item(key: &ItemKey) -> CompactString {
    format_compact!("{CONFIG_PREFIX}{key}")
}

/// Key of the change record of a revision.
pub fn change(revision: Revision) -> CompactString {
    format_compact!("{CHANGES_PREFIX}{:0width$}", revision.get(), width = NUMBER_WIDTH)
}

/// Prefix of the ledger of one entry incarnation.
pub fn ledger(entry: &HostId, incarnation: Incarnation) -> CompactString {
    format_compact!("{BILLS_PREFIX}{entry}/{incarnation}/")
}

/// Key of a billing batch.
pub fn batch(entry: &HostId, incarnation: Incarnation, sequence: Sequence) -> CompactString {
    let ledger = ledger(entry, incarnation);
    format_compact!("{ledger}batch/{:0width$}", sequence.get(), width = NUMBER_WIDTH)
}

/// Key of the lease on a model's rollout.
pub fn rollout_lease(model: &ModelId) -> CompactString {
    format_compact!("{ROLLOUTS_PREFIX}{model}")
}

/// Key whose presence closes a ledger.
pub fn ledger_closed(entry: &HostId, incarnation: Incarnation) -> CompactString {
    let ledger = ledger(entry, incarnation);
    format_compact!("{ledger}closed")
}

/// Key of the numbers of all requests that a ledger's batches hold or that have no bill.
pub fn ledger_settled(entry: &HostId, incarnation: Incarnation) -> CompactString {
    let ledger = ledger(entry, incarnation);
    format_compact!("{ledger}settled")
}

/// Key of a batch that an agent wrote in place of a lost entry.
///
/// The agent's incarnation is part of the key: an agent that restarts counts from 0 again.
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

/// Key of the claim of an idempotency key.
pub fn claim(service: &ServiceName, key_digest: &str) -> CompactString {
    format_compact!("{CLAIMS_PREFIX}{service}/{key_digest}")
}

/// Key of the agent beside an upstream; its create revision is the fencing number.
pub fn presence(upstream: &UpstreamId) -> CompactString {
    format_compact!("{PRESENCE_PREFIX}{upstream}")
}
