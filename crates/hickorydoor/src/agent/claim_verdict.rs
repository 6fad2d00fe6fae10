//! Decisions on claims of idempotency keys.

use crate::agent::claim::StoredResponse;
use crate::id::AttemptId;
use crate::message::AttemptFault;
use crate::time::DurationMs;

/// What is to be done with an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is confirmed; the call may run.
    Run(AttemptId),
    /// An earlier call with this key has this response.
    Replay(AttemptId, StoredResponse),
    /// The call cannot run.
    Fail(AttemptId, AttemptFault),
    /// The claim cannot be stored now; nothing was run.
    Refuse(AttemptId, DurationMs),
}
