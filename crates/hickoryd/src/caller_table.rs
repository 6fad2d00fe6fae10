//! Callers whose answers are on their way.

use std::collections::HashMap;

use bytes::Bytes;
use hickorydoor::Refusal;
use hickorydoor::entry::effect::ResponseHead;
use hickorydoor::id::CallerId;
use hickorydoor::id::RequestId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::caller_answer::BodyPiece;
use crate::caller_answer::CallerAnswer;

/// Where the answer to one caller goes.
#[derive(Debug)]
enum CallerSlot {
    Waiting(oneshot::Sender<CallerAnswer>),
    Answering(mpsc::UnboundedSender<BodyPiece>),
}

/// The caller no longer listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLost;

/// Callers whose answers are on their way.
#[derive(Debug, Default)]
pub struct CallerTable {
    slots: HashMap<CallerId, CallerSlot>,
}

impl CallerTable {
    /// Adds a caller that waits for its answer.
    pub fn add(&mut self, caller: CallerId, answer: oneshot::Sender<CallerAnswer>) {
        self.slots.insert(caller, CallerSlot::Waiting(answer));
    }

    /// Forgets a caller.
    pub fn remove(&mut self, caller: CallerId) {
        self.slots.remove(&caller);
    }

    /// Sends the head of an answer.
    pub fn respond(&mut self, caller: CallerId, head: ResponseHead) -> Result<(), CallerLost> {
        let Some(CallerSlot::Waiting(answer)) = self.slots.remove(&caller) else {
            return Err(CallerLost);
        };
        let (sender, body) = mpsc::unbounded_channel();
        let sent = answer.send(CallerAnswer::Head { head, body });
        sent.map_err(|_answer| CallerLost)?;
        self.slots.insert(caller, CallerSlot::Answering(sender));
        Ok(())
    }

    /// Sends a piece of the body.
    pub fn body(&mut self, caller: CallerId, data: Bytes) -> Result<(), CallerLost> {
        let Some(CallerSlot::Answering(body)) = self.slots.get(&caller) else {
            return Err(CallerLost);
        };
        body.send(BodyPiece::Data(data)).map_err(|_closed| CallerLost)
    }

    /// Ends a complete answer.
    pub fn end(&mut self, caller: CallerId) {
        self.close(caller, BodyPiece::End);
    }

    /// Cuts an answer that has begun.
    pub fn cut(&mut self, caller: CallerId, refusal: Refusal) {
        self.close(caller, BodyPiece::Cut(refusal));
    }

    /// Refuses a request.
    pub fn refuse(&mut self, caller: CallerId, request: Option<RequestId>, refusal: Refusal) {
        if let Some(CallerSlot::Waiting(answer)) = self.slots.remove(&caller) {
            // The request has ended either way.
            drop(answer.send(CallerAnswer::Refused { request, refusal }));
        }
    }

    fn close(&mut self, caller: CallerId, last: BodyPiece) {
        if let Some(CallerSlot::Answering(body)) = self.slots.remove(&caller) {
            // The request has ended either way.
            drop(body.send(last));
        }
    }
}
