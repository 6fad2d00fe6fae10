//! Effects that the daemon carries out for an entry.

use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::CompactString;

use crate::id::CallerId;
use crate::id::HostId;
use crate::id::KvCallId;
use crate::id::RequestId;
use crate::id::VersionId;
use crate::message::EntryMessage;
use crate::observation::Observation;
use crate::refusal::Refusal;
use crate::store::kv_call::KvCall;

/// Status and metadata of a response, sent before its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id that is returned to the caller in a header.
    pub request: RequestId,
    /// HTTP status from the upstream.
    pub status: u16,
    /// Content type from the upstream.
    pub content_type: CompactString,
    /// The model version that produced the response; `None` for plain services.
    pub version: Option<VersionId>,
    /// Whether the session was moved to another version, because its own could not serve it.
    pub session_moved: bool,
    /// Whether the body is streamed as server-sent events.
    pub stream: bool,
}

/// An effect that the daemon carries out; effects of one event are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEffect {
    /// Sends the head of a response.
    Respond {
        /// Exchange that receives the head.
        caller: CallerId,
        /// Status and metadata.
        head: ResponseHead,
    },
    /// Sends a chunk of a response body.
    Body {
        /// Exchange that receives the chunk.
        caller: CallerId,
        /// The chunk, without framing.
        data: Bytes,
    },
    /// Completes a response.
    End {
        /// Exchange whose body is complete.
        caller: CallerId,
    },
    /// Refuses a request whose response head was not sent.
    Refuse {
        /// Exchange that receives the refusal.
        caller: CallerId,
        /// The request; `None` if it was refused before it got an id.
        request: Option<RequestId>,
        /// Reason and retry delay for the caller.
        refusal: Refusal,
    },
    /// Aborts a response that cannot be completed after its head was sent.
    Abort {
        /// Exchange whose body is incomplete.
        caller: CallerId,
        /// Why the response is incomplete.
        refusal: Refusal,
    },
    /// Opens a link to an agent.
    Connect {
        /// Host of the agent.
        agent: HostId,
        /// Address of the agent's link port.
        address: SocketAddr,
    },
    /// Closes the link to an agent.
    Disconnect {
        /// Host of the agent.
        agent: HostId,
    },
    /// Sends a message to an agent.
    Send {
        /// Host of the agent.
        agent: HostId,
        /// Message to encode and send on the current link.
        message: EntryMessage,
    },
    /// Requests a rating from the rating service; the result arrives as `EntryEvent::Rated`.
    Rate {
        /// The request whose response is rated.
        request: RequestId,
        /// Number of the attempt that produced the response.
        ordinal: u32,
        /// The model version that produced the response.
        version: VersionId,
        /// Body of the request.
        prompt: Bytes,
        /// Body of the response.
        answer: Bytes,
    },
    /// Calls the key-value service; the result arrives as `EntryEvent::Kv`.
    Kv {
        /// Identifies the call in the result.
        call: KvCallId,
        /// Operation to run.
        operation: KvCall,
    },
    /// Records an observation in logs, metrics and histograms.
    Record(Observation),
    /// The shutdown is complete; the process may exit.
    Stopped,
}
