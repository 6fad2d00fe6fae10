//! Effects that the daemon carries out for the entry reducer.

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

/// Head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The request.
    pub request: RequestId,
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: CompactString,
    /// The version that answers, for model calls.
    pub version: Option<VersionId>,
    /// Set when the session had to leave its version.
    pub session_moved: bool,
    /// Whether the body is streamed as server-sent events.
    pub stream: bool,
}

/// An effect of the entry reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEffect {
    /// Sends the head of an answer.
    Respond {
        /// The caller.
        caller: CallerId,
        /// The head.
        head: ResponseHead,
    },
    /// Sends a piece of an answer's body.
    Body {
        /// The caller.
        caller: CallerId,
        /// The bytes.
        data: Bytes,
    },
    /// Ends an answer that is complete.
    End {
        /// The caller.
        caller: CallerId,
    },
    /// Refuses a request whose head was not sent.
    Refuse {
        /// The caller.
        caller: CallerId,
        /// The request, once it has an id.
        request: Option<RequestId>,
        /// The refusal.
        refusal: Refusal,
    },
    /// Ends an answer that cannot be completed after its head was sent.
    Abort {
        /// The caller.
        caller: CallerId,
        /// Why it is not complete.
        refusal: Refusal,
    },
    /// Opens a connection to an agent.
    Connect {
        /// The agent's host.
        agent: HostId,
        /// Address of its link port.
        address: SocketAddr,
    },
    /// Closes the connection to an agent.
    Disconnect {
        /// The agent's host.
        agent: HostId,
    },
    /// Sends a message to an agent.
    Send {
        /// The agent's host.
        agent: HostId,
        /// The message.
        message: EntryMessage,
    },
    /// Asks the rating service to judge an answer.
    Rate {
        /// The request.
        request: RequestId,
        /// The attempt that produced the answer.
        ordinal: u32,
        /// The version that answered.
        version: VersionId,
        /// The request body.
        prompt: Bytes,
        /// The answer body.
        answer: Bytes,
    },
    /// Calls the key-value service.
    Kv {
        /// Names the call in the answer.
        call: KvCallId,
        /// The call.
        operation: KvCall,
    },
    /// Reports what happened to logs, metrics and histograms.
    Record(Observation),
    /// The shutdown is complete; the process may exit.
    Stopped,
}
