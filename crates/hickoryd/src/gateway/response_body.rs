//! Body of a response to a caller: complete, or a stream that may be aborted.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

use crate::response_body::ResponseTruncated;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body.
    Whole(Full<Bytes>),
    /// Chunks as they arrive; an error aborts the response without its end.
    Stream(mpsc::Receiver<Result<Bytes, ResponseTruncated>>),
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
            Self::Stream(receiver) => {
                receiver.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
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
