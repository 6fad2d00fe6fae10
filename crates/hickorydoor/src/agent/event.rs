//! Events that the daemon feeds to the agent reducer.

use bytes::Bytes;
use compact_str::CompactString;

use crate::billing::usage::Usage;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::KvCallId;
use crate::id::VersionId;
use crate::message::EntryMessage;
use crate::quantity::Tokens;
use crate::store::kv_call::KvOutcome;

/// How a call to the upstream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpstreamFault {
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The upstream answered with a server error before any output.
    ServerError,
    /// The connection broke after the call was sent.
    ConnectionLost,
}

/// Load of the upstream as it reports itself, with a lag.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_prompt_tokens: Tokens,
    /// Prompt tokens read a second.
    pub prefill_tokens_per_s: f64,
    /// Time between two tokens of one stream.
    pub token_interval_ms: f64,
    /// Versions that are loaded.
    pub versions: Vec<VersionId>,
}

/// An event at an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentEvent {
    /// An entry opened a connection; its hello follows as a message.
    LinkUp {
        /// The entry's host.
        entry: HostId,
    },
    /// The connection to an entry is lost.
    LinkDown {
        /// The entry's host.
        entry: HostId,
    },
    /// An entry sent a message.
    Message {
        /// The entry's host.
        entry: HostId,
        /// The message.
        message: EntryMessage,
    },
    /// The upstream began to answer.
    UpstreamStarted {
        /// The attempt.
        attempt: AttemptId,
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: CompactString,
    },
    /// The upstream sent a piece of its answer.
    UpstreamChunk {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens in this piece.
        tokens: Tokens,
        /// The bytes.
        data: Bytes,
    },
    /// The upstream's answer is complete.
    UpstreamEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens used, if the upstream said so.
        usage: Option<Usage>,
    },
    /// The call to the upstream failed.
    UpstreamFailed {
        /// The attempt.
        attempt: AttemptId,
        /// How it failed.
        fault: UpstreamFault,
    },
    /// The upstream reported its load, or could not be asked.
    UpstreamReport(Option<UpstreamReport>),
    /// A key-value call came back.
    Kv {
        /// The call.
        call: KvCallId,
        /// What came back.
        outcome: KvOutcome,
    },
    /// Time passed; sent at least every 100 ms.
    Tick,
    /// The process was asked to stop.
    Shutdown,
}
