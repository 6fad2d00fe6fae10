//! Decision of the claim table on a keyed call.

use crate::agent::claim::StoredResponse;
use crate::id::AttemptId;
use crate::message::AttemptFault;
use crate::time::DurationMs;

/// How the agent must proceed with an attempt that requested a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim is confirmed, so the call must be forwarded to the upstream.
    Run(AttemptId),
    /// An earlier call with the same key has ended with this response, which must be replayed.
    Replay(AttemptId, StoredResponse),
    /// The call must fail: its key was reused for another call, or an earlier call with the key is
    /// in progress or has an unknown outcome.
    Fail(AttemptId, AttemptFault),
    /// The claim cannot be stored now and the call was not run. It may be retried after this delay.
    Refuse(AttemptId, DurationMs),
}
