//! Stream of the changes under a key prefix.
//!
//! The response to a watch request is a sequence of JSON objects, one per line. The watch ends when
//! the connection fails, the service cancels it, or a message is malformed or too large.

use bytes::BytesMut;
use hickorydoor::store::kv_call::KvFault;
use hickorydoor::store::kv_call::KvOutcome;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::reply_wire;

/// A running watch, returned by [`Client::watch`](crate::Client::watch). Dropping it ends the
/// watch.
#[derive(Debug)]
pub struct Watch {
    body: Option<Incoming>,
    buffer: BytesMut,
    message_limit_bytes: usize,
}

impl Watch {
    pub(crate) fn new(body: Incoming, message_limit_bytes: usize) -> Self {
        Self { body: Some(body), buffer: BytesMut::new(), message_limit_bytes }
    }

    pub(crate) fn closed() -> Self {
        Self { body: None, buffer: BytesMut::new(), message_limit_bytes: 0 }
    }

    /// Waits for the next changes and returns them as [`KvOutcome::Watched`]. Returns
    /// [`KvFault::WatchLost`] once the watch has ended, and from then on.
    ///
    /// This method is cancel safe: dropping its future loses no changes.
    pub async fn next(&mut self) -> KvOutcome {
        loop {
            while let Some(message) = self.next_message() {
                match reply_wire::decode_watch(&message) {
                    Ok(Some(report)) => return report,
                    Ok(None) => {}
                    Err(_error) => return self.close(),
                }
            }
            if self.buffer.len() > self.message_limit_bytes || !self.read_frame().await {
                return self.close();
            }
        }
    }

    /// Removes the first complete message, a JSON object on one line, from the buffer.
    fn next_message(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        Some(self.buffer.split_to(end + 1))
    }

    /// Appends the next frame of the response to the buffer; returns false if the response has
    /// ended or the connection has failed.
    async fn read_frame(&mut self) -> bool {
        let Some(body) = &mut self.body else {
            return false;
        };
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.buffer.extend_from_slice(data);
                }
                true
            }
            Some(Err(_)) | None => false,
        }
    }

    fn close(&mut self) -> KvOutcome {
        self.body = None;
        self.buffer.clear();
        KvOutcome::Fault(KvFault::WatchLost)
    }
}
