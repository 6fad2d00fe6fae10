//! Table of the callers with an open request.

use std::collections::HashMap;

use bytes::Bytes;
use hickorydoor::Refusal;
use hickorydoor::entry::effect::ResponseHead;
use hickorydoor::id::CallerId;
use hickorydoor::id::RequestId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::caller_response::BodyEvent;
use crate::caller_response::CallerResponse;

/// Channel to the HTTP handler or the response body of a caller.
#[derive(Debug)]
enum CallerSlot {
    AwaitingHead(oneshot::Sender<CallerResponse>),
    Streaming(mpsc::UnboundedSender<BodyEvent>),
}

/// The caller disconnected, so that nothing can be sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerDisconnected;

/// Callers with an open request.
#[derive(Debug, Default)]
pub struct CallerTable {
    slots: HashMap<CallerId, CallerSlot>,
}

impl CallerTable {
    /// Adds a caller that waits for the head of its response.
    pub fn add(&mut self, caller: CallerId, response: oneshot::Sender<CallerResponse>) {
        self.slots.insert(caller, CallerSlot::AwaitingHead(response));
    }

    pub fn remove(&mut self, caller: CallerId) {
        self.slots.remove(&caller);
    }

    /// Sends the head of a response, after which its body can be sent.
    pub fn respond(
        &mut self,
        caller: CallerId,
        head: ResponseHead,
    ) -> Result<(), CallerDisconnected> {
        let Some(CallerSlot::AwaitingHead(response)) = self.slots.remove(&caller) else {
            return Err(CallerDisconnected);
        };
        let (sender, body) = mpsc::unbounded_channel();
        let sent = response.send(CallerResponse::Head { head, body });
        sent.map_err(|_response| CallerDisconnected)?;
        self.slots.insert(caller, CallerSlot::Streaming(sender));
        Ok(())
    }

    /// Sends a chunk of the body.
    pub fn send_data(&mut self, caller: CallerId, data: Bytes) -> Result<(), CallerDisconnected> {
        let Some(CallerSlot::Streaming(body)) = self.slots.get(&caller) else {
            return Err(CallerDisconnected);
        };
        body.send(BodyEvent::Data(data)).map_err(|_closed| CallerDisconnected)
    }

    /// Ends a complete response.
    pub fn end(&mut self, caller: CallerId) {
        self.close(caller, BodyEvent::End);
    }

    /// Aborts a response whose head was sent.
    pub fn abort(&mut self, caller: CallerId, refusal: Refusal) {
        self.close(caller, BodyEvent::Abort(refusal));
    }

    /// Rejects a request whose head was not sent.
    pub fn reject(&mut self, caller: CallerId, request: Option<RequestId>, refusal: Refusal) {
        if let Some(CallerSlot::AwaitingHead(response)) = self.slots.remove(&caller) {
            // If the caller has disconnected, the request has ended as well.
            drop(response.send(CallerResponse::Refused { request, refusal }));
        }
    }

    fn close(&mut self, caller: CallerId, last: BodyEvent) {
        if let Some(CallerSlot::Streaming(body)) = self.slots.remove(&caller) {
            // If the caller has disconnected, the request has ended as well.
            drop(body.send(last));
        }
    }
}
