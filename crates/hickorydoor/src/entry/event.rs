//! Events that the daemon feeds to the entry reducer.

use crate::entry::caller_request::CallerRequest;
use crate::host_record::HostRecord;
use crate::id::CallerId;
use crate::id::HostId;
use crate::id::KvCallId;
use crate::id::RequestId;
use crate::message::AgentMessage;
use crate::quantity::ByteCount;
use crate::store::kv_call::KvOutcome;

/// Why an answer could not be rated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RatingFault {
    /// The rating service did not answer in time.
    Timeout,
    /// The rating service is not reachable or failed.
    Unavailable,
}

/// An event at an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// A caller sent a request.
    Request(Box<CallerRequest>),
    /// A caller has read bytes of its answer.
    CallerRead {
        /// The caller.
        caller: CallerId,
        /// Bytes that it has read since the last event.
        bytes: ByteCount,
    },
    /// A caller hung up before its answer was complete.
    CallerGone {
        /// The caller.
        caller: CallerId,
    },
    /// A connection to an agent is open.
    LinkUp {
        /// The agent's host.
        agent: HostId,
    },
    /// A connection to an agent is lost or could not be opened.
    LinkDown {
        /// The agent's host.
        agent: HostId,
    },
    /// An agent sent a message.
    Message {
        /// The agent's host.
        agent: HostId,
        /// The message.
        message: AgentMessage,
    },
    /// The rating service judged an answer.
    Rated {
        /// The request whose answer was judged.
        request: RequestId,
        /// The attempt that produced the answer.
        ordinal: u32,
        /// The rating between 0 and 1, or why there is none.
        rating: Result<f64, RatingFault>,
    },
    /// The platform's list of hosts in this region, whole.
    HostList(Vec<HostRecord>),
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
