//! Events that the daemon passes to the agent reducer.

use bytes::Bytes;
use compact_str::CompactString;

use crate::billing::usage::Usage;
use crate::gateway::upstreams::UpstreamNotice;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::KvCallId;
use crate::id::VersionId;
use crate::message::EntryMessage;
use crate::quantity::Tokens;
use crate::store::kv_call::KvOutcome;

/// Failure of a call to the upstream. It determines whether the call may have been run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpstreamFault {
    /// The call was certainly not run, for example because no connection could be opened.
    NotSent,
    /// The upstream answered with a server error before any output.
    ServerError,
    /// The connection failed after the call was sent, so the call may have been run.
    ConnectionLost,
}

/// Load that an upstream reports about itself. It lags behind the agent's own counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamReport {
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests in the upstream's own queue.
    pub queued: u32,
    /// Prompt tokens whose prefill has not run.
    pub queued_prompt_tokens: Tokens,
    /// Prefill throughput.
    pub prefill_tokens_per_s: f64,
    /// Time between two tokens of a stream, at the current batch size.
    pub token_interval_ms: f64,
    /// Loaded versions; empty if the upstream has not reported any.
    pub versions: Vec<VersionId>,
}

/// Why an upstream has not reported its load. It counts as down until its next report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReportFault {
    /// It refuses connections, so its process has ended.
    NotListening,
    /// It gave no valid report in time; its process may run.
    NoReport,
}

/// Input of the agent reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentEvent {
    /// An entry has opened a connection; its hello follows as a message.
    LinkUp {
        /// Host that the entry runs on.
        entry: HostId,
    },
    /// The connection to an entry was lost or closed.
    LinkDown {
        /// Host that the entry runs on.
        entry: HostId,
    },
    /// A message arrived from an entry.
    Message {
        /// Host that the entry runs on.
        entry: HostId,
        /// Decoded message.
        message: EntryMessage,
    },
    /// The upstream sent its response head.
    UpstreamStarted {
        /// Attempt whose call is answered.
        attempt: AttemptId,
        /// HTTP status to forward.
        status: u16,
        /// Content type to forward.
        content_type: CompactString,
    },
    /// The upstream sent a chunk of its response.
    UpstreamChunk {
        /// Attempt whose call is answered.
        attempt: AttemptId,
        /// Tokens in this chunk; 0 for plain services.
        tokens: Tokens,
        /// Response bytes to forward unchanged.
        data: Bytes,
    },
    /// The upstream's response is complete.
    UpstreamEnded {
        /// Attempt whose call has ended.
        attempt: AttemptId,
        /// Tokens that the upstream reported as used; without a report, the agent's own counts
        /// apply.
        usage: Option<Usage>,
    },
    /// The call to the upstream failed.
    UpstreamFailed {
        /// Attempt whose call has failed.
        attempt: AttemptId,
        /// Determines whether the call may have been run.
        fault: UpstreamFault,
    },
    /// An answer of the upstream says something of it.
    UpstreamNoticed(UpstreamNotice),
    /// The upstream reported its load, or has not.
    UpstreamReport(Result<UpstreamReport, ReportFault>),
    /// A key-value call has ended.
    Kv {
        /// Identifier from the effect that requested the call.
        call: KvCallId,
        /// Reply or fault.
        outcome: KvOutcome,
    },
    /// Drives timeouts and periodic work; must be sent at least every 100 ms.
    Tick,
    /// The process must finish its attempts and stop. No new attempts are admitted.
    Shutdown,
}
