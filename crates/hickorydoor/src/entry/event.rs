//! Events that the daemon passes to an entry.

use crate::entry::caller_request::CallerRequest;
use crate::host_record::HostRecord;
use crate::id::CallerId;
use crate::id::HostId;
use crate::id::KvCallId;
use crate::id::RequestId;
use crate::message::AgentMessage;
use crate::quantity::ByteCount;
use crate::store::kv_call::KvOutcome;

/// Why a response could not be rated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RatingFault {
    /// The rating service did not respond in time.
    Timeout,
    /// The rating service is unreachable or returned an error.
    Unavailable,
}

/// An input of the entry's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// A caller sent a request.
    Request(Box<CallerRequest>),
    /// A caller has read a part of its response body.
    CallerRead {
        /// Exchange that was read from.
        caller: CallerId,
        /// Bytes read since the previous event of this exchange.
        bytes: ByteCount,
    },
    /// A caller disconnected before its response was complete.
    CallerGone {
        /// Exchange that was closed.
        caller: CallerId,
    },
    /// A link to an agent was opened.
    LinkUp {
        /// Host of the agent.
        agent: HostId,
    },
    /// A link to an agent was lost or could not be opened.
    LinkDown {
        /// Host of the agent.
        agent: HostId,
    },
    /// A message arrived from an agent.
    Message {
        /// Host of the agent.
        agent: HostId,
        /// The decoded message.
        message: AgentMessage,
    },
    /// The rating of a response arrived, or cannot be obtained.
    Rated {
        /// The request whose response was rated.
        request: RequestId,
        /// Number of the attempt that produced the response.
        ordinal: u32,
        /// Rating between 0 and 1, or why there is none.
        rating: Result<f64, RatingFault>,
    },
    /// The complete list of hosts in this region, from the platform.
    HostList(Vec<HostRecord>),
    /// A key-value call completed or failed.
    Kv {
        /// The call, as named in `EntryEffect::Kv`.
        call: KvCallId,
        /// Reply or failure of the call.
        outcome: KvOutcome,
    },
    /// Periodic timer event, sent at least every 100 ms.
    Tick,
    /// Requests a graceful shutdown: no new requests are accepted.
    Shutdown,
}
