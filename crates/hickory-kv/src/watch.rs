//! A running watch.

use bytes::BytesMut;
use hickorydoor::store::kv_call::KvFault;
use hickorydoor::store::kv_call::KvOutcome;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::reply_wire;

/// A running watch; it ends when it is dropped.
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

    pub(crate) fn lost() -> Self {
        Self { body: None, buffer: BytesMut::new(), message_limit_bytes: 0 }
    }

    /// The next report: [`KvOutcome::Watched`], or [`KvFault::WatchLost`] once the watch is over.
    ///
    /// The future may be dropped and called again without losing a report.
    pub async fn next(&mut self) -> KvOutcome {
        loop {
            while let Some(message) = self.take_message() {
                match reply_wire::decode_watch(&message) {
                    Ok(Some(report)) => return report,
                    Ok(None) => {}
                    Err(_error) => return self.end(),
                }
            }
            if self.buffer.len() > self.message_limit_bytes || !self.read_more().await {
                return self.end();
            }
        }
    }

    /// Messages are JSON objects, one a line.
    fn take_message(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        Some(self.buffer.split_to(end + 1))
    }

    async fn read_more(&mut self) -> bool {
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

    fn end(&mut self) -> KvOutcome {
        self.body = None;
        self.buffer.clear();
        KvOutcome::Fault(KvFault::WatchLost)
    }
}
