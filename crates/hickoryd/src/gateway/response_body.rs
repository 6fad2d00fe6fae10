//! Body of a response to a caller: complete, or a stream that may be aborted.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

use crate::gateway::connection_trace::ConnectionTrace;
use crate::response_body::ResponseTruncated;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body.
    Whole(Full<Bytes>),
    /// Events as they arrive. The response is broken off if the channel closes without an end.
    Stream(mpsc::Receiver<StreamPiece>),
}

/// Piece of a stream to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamPiece {
    /// The next event.
    Event(Bytes),
    /// The stream is complete.
    End,
}

impl ResponseBody {
    /// Has the record of the connection say when the body has been handed over whole.
    pub const fn traced(self, trace: Rc<ConnectionTrace>) -> TracedBody {
        TracedBody { body: self, trace }
    }
}

/// Body that tells the record of its connection when the server has taken all of it.
#[derive(Debug)]
pub struct TracedBody {
    body: ResponseBody,
    trace: Rc<ConnectionTrace>,
}

impl Body for TracedBody {
    type Data = Bytes;
    type Error = ResponseTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            self.trace.end_request();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TracedBody {
    fn drop(&mut self) {
        if self.body.is_end_stream() {
            self.trace.end_request();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never: Infallible| match never {})
            }
            Self::Stream(receiver) => receiver.poll_recv(cx).map(|piece| match piece {
                Some(StreamPiece::Event(event)) => Some(Ok(Frame::data(event))),
                Some(StreamPiece::End) => None,
                None => Some(Err(ResponseTruncated)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
