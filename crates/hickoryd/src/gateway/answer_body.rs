//! The body of an answer to a caller: whole, or a stream that may break off.

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

/// Body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All bytes are there.
    Whole(Full<Bytes>),
    /// Bytes arrive one by one.
    Stream(mpsc::Receiver<Result<Bytes, ResponseTruncated>>),
}

impl Body for AnswerBody {
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
                receiver.poll_recv(cx).map(|piece| piece.map(|piece| piece.map(Frame::data)))
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
