//! Callers whose answers are on their way.

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

/// Where the answer to one caller goes.
#[derive(Debug)]
enum CallerSlot {
    Waiting(oneshot::Sender<CallerResponse>),
    Answering(mpsc::UnboundedSender<BodyEvent>),
}

/// The caller no longer listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerDisconnected;

/// Callers whose answers are on their way.
#[derive(Debug, Default)]
pub struct CallerTable {
    slots: HashMap<CallerId, CallerSlot>,
}

impl CallerTable {
    /// Adds a caller that waits for its answer.
    pub fn add(&mut self, caller: CallerId, answer: oneshot::Sender<CallerResponse>) {
        self.slots.insert(caller, CallerSlot::Waiting(answer));
    }

    /// Forgets a caller.
    pub fn remove(&mut self, caller: CallerId) {
        self.slots.remove(&caller);
    }

    /// Sends the head of an answer.
    pub fn respond(
        &mut self,
        caller: CallerId,
        head: ResponseHead,
    ) -> Result<(), CallerDisconnected> {
        let Some(CallerSlot::Waiting(answer)) = self.slots.remove(&caller) else {
            return Err(CallerDisconnected);
        };
        let (sender, body) = mpsc::unbounded_channel();
        let sent = answer.send(CallerResponse::Head { head, body });
        sent.map_err(|_answer| CallerDisconnected)?;
        self.slots.insert(caller, CallerSlot::Answering(sender));
        Ok(())
    }

    /// Sends a piece of the body.
    pub fn body(&mut self, caller: CallerId, data: Bytes) -> Result<(), CallerDisconnected> {
        let Some(CallerSlot::Answering(body)) = self.slots.get(&caller) else {
            return Err(CallerDisconnected);
        };
        body.send(BodyEvent::Data(data)).map_err(|_closed| CallerDisconnected)
    }

    /// Ends a complete answer.
    pub fn end(&mut self, caller: CallerId) {
        self.close(caller, BodyEvent::End);
    }

    /// Cuts an answer that has begun.
    pub fn cut(&mut self, caller: CallerId, refusal: Refusal) {
        self.close(caller, BodyEvent::Cut(refusal));
    }

    /// Refuses a request.
    pub fn refuse(&mut self, caller: CallerId, request: Option<RequestId>, refusal: Refusal) {
        if let Some(CallerSlot::Waiting(answer)) = self.slots.remove(&caller) {
            // The request has ended either way.
            drop(answer.send(CallerResponse::Refused { request, refusal }));
        }
    }

    fn close(&mut self, caller: CallerId, last: BodyEvent) {
        if let Some(CallerSlot::Answering(body)) = self.slots.remove(&caller) {
            // The request has ended either way.
            drop(body.send(last));
        }
    }
}
