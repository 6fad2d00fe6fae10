//! Response of the reducer to a caller, as sent from its task to the HTTP API.

use bytes::Bytes;
use hickorydoor::Refusal;
use hickorydoor::entry::effect::ResponseHead;
use hickorydoor::id::RequestId;
use tokio::sync::mpsc;

/// Start of a response.
#[derive(Debug)]
pub enum CallerResponse {
    /// Head of a response, whose body follows.
    Head {
        /// Status, content type and headers.
        head: ResponseHead,
        /// Body that follows. Flow-control credit bounds how much of it is queued.
        body: mpsc::UnboundedReceiver<BodyEvent>,
    },
    /// The request was rejected.
    Refused {
        /// Id of the request; `None` if it was rejected before it got one.
        request: Option<RequestId>,
        /// Reason, and whether the request may have been executed.
        refusal: Refusal,
    },
}

/// Event of a response body.
#[derive(Debug)]
pub enum BodyEvent {
    /// Next chunk.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The body cannot be completed.
    Abort(Refusal),
}
