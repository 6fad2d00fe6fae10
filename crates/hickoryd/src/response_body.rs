//! The body of an answer as the HTTP server takes it.

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

/// The answer could not be completed; the connection is closed without its end mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTruncated;

impl fmt::Display for ResponseTruncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer could not be completed")
    }
}

impl std::error::Error for ResponseTruncated {}

/// The body of an answer. Each piece counts as read when the server takes it.
#[derive(Debug)]
pub struct ResponseBody {
    first: VecDeque<Bytes>,
    pieces: mpsc::UnboundedReceiver<BodyEvent>,
    guard: CallerGuard,
    stream: bool,
    ended: bool,
}

impl ResponseBody {
    /// A body that begins with `first` and is then fed by the reducer.
    pub fn new(
        first: Vec<Bytes>,
        pieces: mpsc::UnboundedReceiver<BodyEvent>,
        guard: CallerGuard,
        stream: bool,
    ) -> Self {
        Self { first: first.into(), pieces, guard, stream, ended: false }
    }

    /// Ends a cut answer: streams get an error event, others an error of the connection.
    fn cut(&mut self, refusal: &Refusal) -> Result<Frame<Bytes>, ResponseTruncated> {
        if !self.stream {
            return Err(ResponseTruncated);
        }
        let event = format!("data: {}\n\n", error_body(refusal));
        Ok(Frame::data(event.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(data) = self.first.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        let piece = std::task::ready!(self.pieces.poll_recv(cx));
        if let Some(BodyEvent::Data(data)) = piece {
            self.guard.read(data.len());
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        self.ended = true;
        match piece {
            Some(BodyEvent::Cut(refusal)) => {
                self.guard.end();
                Poll::Ready(Some(self.cut(&refusal)))
            }
            Some(_) => {
                self.guard.end();
                Poll::Ready(None)
            }
            None => Poll::Ready(Some(Err(ResponseTruncated))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }
}
