//! Body of an entry's response, which reports to the reducer what the HTTP server has read.

use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hickorydoor::Refusal;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::caller_guard::CallerGuard;
use crate::caller_response::BodyEvent;
use crate::error_body::error_body;

/// The response could not be completed. The server closes the connection without the end of the
/// body, so that the caller detects the truncation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTruncated;

impl fmt::Display for ResponseTruncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was truncated")
    }
}

impl std::error::Error for ResponseTruncated {}

/// Body of an entry's response. Chunks are reported as read when the server polls them, so that
/// flow control allows more to be sent.
#[derive(Debug)]
pub struct EntryResponseBody {
    buffered: VecDeque<Bytes>,
    events: mpsc::UnboundedReceiver<BodyEvent>,
    guard: CallerGuard,
    stream: bool,
    ended: bool,
}

impl EntryResponseBody {
    /// Creates a body from the chunks in `buffered`, which were reported as read already, and the
    /// `events` that follow. With `stream`, an abort is sent as an error event.
    pub fn new(
        buffered: Vec<Bytes>,
        events: mpsc::UnboundedReceiver<BodyEvent>,
        guard: CallerGuard,
        stream: bool,
    ) -> Self {
        Self { buffered: buffered.into(), events, guard, stream, ended: false }
    }

    /// Ends an incomplete body: a stream with an error event, any other body with a connection error.
    fn abort(&mut self, refusal: &Refusal) -> Result<Frame<Bytes>, ResponseTruncated> {
        if !self.stream {
            return Err(ResponseTruncated);
        }
        let event = format!("data: {}\n\n", error_body(refusal));
        Ok(Frame::data(event.into()))
    }
}

impl Body for EntryResponseBody {
    type Data = Bytes;
    type Error = ResponseTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(data) = self.buffered.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        let event = std::task::ready!(self.events.poll_recv(cx));
        if let Some(BodyEvent::Data(data)) = event {
            self.guard.report_read(data.len());
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        self.ended = true;
        match event {
            Some(BodyEvent::Abort(refusal)) => {
                self.guard.disarm();
                Poll::Ready(Some(self.abort(&refusal)))
            }
            Some(_) => {
                self.guard.disarm();
                Poll::Ready(None)
            }
            None => Poll::Ready(Some(Err(ResponseTruncated))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }
}
