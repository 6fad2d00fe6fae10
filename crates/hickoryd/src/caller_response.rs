//! Answers on their way from the reducer to a caller.

use bytes::Bytes;
use hickorydoor::Refusal;
use hickorydoor::entry::effect::ResponseHead;
use hickorydoor::id::RequestId;
use tokio::sync::mpsc;

/// The first thing that a caller hears.
#[derive(Debug)]
pub enum CallerResponse {
    /// An answer begins.
    Head {
        /// The head.
        head: ResponseHead,
        /// The body that follows; the credit scheme bounds what waits in it.
        body: mpsc::UnboundedReceiver<BodyEvent>,
    },
    /// The request is refused.
    Refused {
        /// The request, once it has an id.
        request: Option<RequestId>,
        /// The refusal.
        refusal: Refusal,
    },
}

/// A piece of an answer's body.
#[derive(Debug)]
pub enum BodyEvent {
    /// Bytes.
    Data(Bytes),
    /// The answer is complete.
    End,
    /// The answer cannot be completed.
    Cut(Refusal),
}
